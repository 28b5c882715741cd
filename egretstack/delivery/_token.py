"""Session ids: opaque, authenticated tokens from which any entry can take a session over.

The token contains account, owner, service, engine and generation, encrypted with Fernet (AES and
HMAC), so a session needs no write to the platform and no account can forge another's session id.
"""

from dataclasses import dataclass

import msgpack
from cryptography.fernet import Fernet, InvalidToken, MultiFernet

from egretstack.errors import UserError
from egretstack.ids import AccountId, GenerationId, InstanceId, RunnerId, ServiceName, SessionId

PREFIX = "resp_"
MAX_TOKEN_LENGTH = 1024
_FORMAT = 1
_FIELDS = 6


class InvalidSessionId(Exception):
    """The text is not a session id issued by this system."""


@dataclass(frozen=True)
class SessionRef:
    """The contents of a session id."""

    account: AccountId
    owner: InstanceId
    service: ServiceName
    runner: RunnerId
    generation: GenerationId


class SessionIdCipher:
    """Encrypts and decrypts session ids.

    The first key encrypts; all keys are tried for decryption, so that keys can be rotated.
    """

    def __init__(self, keys: list[bytes]) -> None:
        if not keys:
            raise UserError("the session key file holds no key")
        try:
            self._fernet = MultiFernet([Fernet(key) for key in keys])
        except ValueError as error:
            raise UserError("the session key file holds a line that is not a key") from error

    @staticmethod
    def new_key() -> bytes:
        """Return a new random key for the session key file."""
        return Fernet.generate_key()

    def seal(self, ref: SessionRef) -> SessionId:
        """Return the session id for `ref`."""
        row = [_FORMAT, ref.account, ref.owner, ref.service, ref.runner, ref.generation]
        return SessionId(PREFIX + self._fernet.encrypt(msgpack.packb(row)).decode())

    def open(self, text: str) -> SessionRef:
        """Decrypt a session id; raise InvalidSessionId."""
        if not text.startswith(PREFIX) or len(text) > MAX_TOKEN_LENGTH:
            raise InvalidSessionId("not a session id")
        try:
            row = msgpack.unpackb(self._fernet.decrypt(text[len(PREFIX) :].encode()))
        except (InvalidToken, ValueError) as error:
            raise InvalidSessionId("a session id that was not issued here") from error
        # Peers' hello messages are encrypted with the same keys, so a text that decrypts is not
        # necessarily a session id.
        if not isinstance(row, list) or len(row) != _FIELDS or row[0] != _FORMAT:
            raise InvalidSessionId("a session id of another format")
        if not all(isinstance(field, str) for field in row[1:]):
            raise InvalidSessionId("a session id with a wrong field")
        account, owner, service, runner, generation = row[1:]
        return SessionRef(
            AccountId(account),
            InstanceId(owner),
            ServiceName(service),
            RunnerId(runner),
            GenerationId(generation),
        )
