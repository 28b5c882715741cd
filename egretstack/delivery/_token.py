"""Session ids: opaque, authenticated tokens that any entry can pick a session up from.

The token holds account, owner, engine and generation, sealed with Fernet (AES and HMAC), so a
session needs no write to the platform and an account cannot forge another's.
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
    """The text is not a session id that this system made."""


@dataclass(frozen=True)
class SessionRef:
    """What a session id says."""

    account: AccountId
    owner: InstanceId
    service: ServiceName
    runner: RunnerId
    generation: GenerationId


class SessionIdCipher:
    """Seals and opens session ids. The first key seals; every key opens, so keys can rotate."""

    def __init__(self, keys: list[bytes]) -> None:
        if not keys:
            raise UserError("the session key file holds no key")
        try:
            self._box = MultiFernet([Fernet(key) for key in keys])
        except ValueError as error:
            raise UserError("the session key file holds a line that is not a key") from error

    @staticmethod
    def new_key() -> bytes:
        """Make a key for the session key file."""
        return Fernet.generate_key()

    def seal(self, ref: SessionRef) -> SessionId:
        """Make the session id."""
        row = [_FORMAT, ref.account, ref.owner, ref.service, ref.runner, ref.generation]
        return SessionId(PREFIX + self._box.encrypt(msgpack.packb(row)).decode())

    def open(self, text: str) -> SessionRef:
        """Read a session id; raise TokenRefused."""
        if not text.startswith(PREFIX) or len(text) > MAX_TOKEN_LENGTH:
            raise InvalidSessionId("not a session id")
        try:
            row = msgpack.unpackb(self._box.decrypt(text[len(PREFIX) :].encode()))
        except (InvalidToken, ValueError) as error:
            raise InvalidSessionId("not a session id of ours") from error
        # The keys seal peers' hellos too, so a seal of ours is not yet a session id.
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
