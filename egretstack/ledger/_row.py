"""A call's row in a shard of the ledger, and its stored form."""

import base64
import hashlib
import json
from dataclasses import dataclass, replace
from functools import cached_property
from typing import NewType

from egretstack.errors import EgretError, ErrorKind
from egretstack.ids import AccountId, AttemptId, IdempotencyKey, InstanceId, ServiceName
from egretstack.ledger._entry import CallState
from egretstack.upstreams import CallResponse

KeyId = NewType("KeyId", str)
"""Digest of account, service and idempotency key: the scope in which a call runs at most once."""

KEY_ID_LENGTH = 32
MAX_KEPT_BODY_BYTES = 4_096
MAX_KEPT_HEADER_BYTES = 1_024
REPLAY_HEADER = "Egret-Replay"
REPLAY_KEPT = "kept"
REPLAY_NOT_KEPT = "answer-not-kept"
REPLAY_RAN = "ran-answer-unknown"
_HTTP_OK = 200


def key_id(account: AccountId, service: ServiceName, key: IdempotencyKey) -> KeyId:
    """Return the id under which a key's row is stored; accounts never share one."""
    text = f"{account}\0{service}\0{key}"
    return KeyId(hashlib.sha256(text.encode()).hexdigest()[:KEY_ID_LENGTH])


@dataclass(frozen=True)
class KeptAnswer:
    """The stored part of an upstream's answer; `body` is None if the answer was too big.

    `status` is 0 if the call is known to have run but its answer never arrived.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    digest: str = ""
    length: int = 0

    @classmethod
    def from_response(cls, answer: CallResponse) -> "KeptAnswer":
        """Build from an answer; of a big one only the status, length and digest are stored."""
        digest = hashlib.sha256(answer.body).hexdigest()
        header_bytes = sum(len(name) + len(value) for name, value in answer.headers)
        if len(answer.body) > MAX_KEPT_BODY_BYTES or header_bytes > MAX_KEPT_HEADER_BYTES:
            return cls(answer.status, (), None, digest, len(answer.body))
        return cls(answer.status, answer.headers, answer.body, digest, len(answer.body))

    def replay(self) -> CallResponse:
        """Return the answer to a repeat; a header says whether it is the upstream's own answer."""
        if self.body is not None:
            return CallResponse(
                self.status, (*self.headers, (REPLAY_HEADER, REPLAY_KEPT)), self.body
            )
        replay_kind = REPLAY_NOT_KEPT if self.status else REPLAY_RAN
        summary = {
            "replay": replay_kind,
            "status": self.status,
            "bytes": self.length,
            "sha256": self.digest,
        }
        headers = (("Content-Type", "application/json"), (REPLAY_HEADER, replay_kind))
        return CallResponse(self.status or _HTTP_OK, headers, json.dumps(summary).encode())

    def spec(self) -> list[object]:
        """Return the stored form."""
        body = None if self.body is None else base64.b64encode(self.body).decode()
        return [self.status, [list(pair) for pair in self.headers], body, self.digest, self.length]

    @classmethod
    def from_spec(cls, spec: list) -> "KeptAnswer":
        """Parse the stored form."""
        status, headers, body, digest, length = spec
        kept = tuple((name, value) for name, value in headers)
        return cls(status, kept, None if body is None else base64.b64decode(body), digest, length)


@dataclass(frozen=True)
class Row:
    """The ledger's record of one call; times are in seconds since the epoch.

    `owner` and `boot` identify the process that may send the attempt, and `fence` is the fencing
    number that it sends. By `deadline_s` the attempt has certainly ended, and after `until_s` the
    key may be forgotten.
    """

    attempt: AttemptId
    owner: InstanceId
    boot: str
    fingerprint: str
    state: CallState
    fence: int
    deadline_s: float
    until_s: float
    answer: KeptAnswer | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the attempt may still be in progress."""
        return self.state is CallState.INTENT

    @cached_property
    def size(self) -> int:
        """Return the size of the stored form with its key, in bytes."""
        return len(json.dumps(self.spec())) + KEY_ID_LENGTH + len('"": , ')

    def with_outcome(self, state: CallState, answer: KeptAnswer | None = None) -> "Row":
        """Return a copy of the row with its outcome."""
        return replace(self, state=state, answer=answer)

    def spec(self) -> list[object]:
        """Return the stored form, which is cached: each commit of a shard encodes all its rows."""
        return self._spec

    @cached_property
    def _spec(self) -> list[object]:
        return [
            self.attempt,
            self.owner,
            self.boot,
            self.fingerprint,
            self.state.value,
            self.fence,
            round(self.deadline_s, 3),
            round(self.until_s, 3),
            None if self.answer is None else self.answer.spec(),
        ]

    @classmethod
    def from_spec(cls, spec: list) -> "Row":
        """Parse the stored form. Raises ValueError, TypeError."""
        attempt, owner, boot, fingerprint, state, fence, deadline_s, until_s, answer = spec
        kept = None if answer is None else KeptAnswer.from_spec(answer)
        return cls(
            AttemptId(attempt),
            InstanceId(owner),
            boot,
            fingerprint,
            CallState(state),
            fence,
            deadline_s,
            until_s,
            kept,
        )


def check_same_request(found: Row, fingerprint: str) -> None:
    """Raise EgretError KEY_REUSED if the row's key was used for another request."""
    if found.fingerprint != fingerprint:
        raise EgretError(ErrorKind.KEY_REUSED, "the key was used for another request")
