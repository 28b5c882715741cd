"""Generates keys for client accounts and for sessions."""

import hashlib
import secrets

from egretstack.delivery import SessionIdCipher

KEY_BYTES = 24


def new_account_key() -> tuple[str, str]:
    """Generate a client account's key; return it and the digest that a contract holds."""
    key = secrets.token_urlsafe(KEY_BYTES)
    return key, hashlib.sha256(key.encode()).hexdigest()


def new_session_key() -> str:
    """Generate a line for the session key file."""
    return SessionIdCipher.new_key().decode()
