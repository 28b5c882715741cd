"""Makes keys for client accounts and for sessions."""

import hashlib
import secrets

from egretstack.delivery import SessionIdCipher

KEY_BYTES = 24


def new_account_key() -> tuple[str, str]:
    """Make a client account's key; give it and the digest that a contract holds."""
    key = secrets.token_urlsafe(KEY_BYTES)
    return key, hashlib.sha256(key.encode()).hexdigest()


def new_session_key() -> str:
    """Make a line for the session key file."""
    return SessionIdCipher.new_key().decode()
