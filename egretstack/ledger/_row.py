"""One call's row in a shard of the ledger, and its stored form."""

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
"""Digest of account, service and idempotency key: the scope in which a call runs once."""

KEY_ID_LENGTH = 32
MAX_KEPT_BODY_BYTES = 4_096
MAX_KEPT_HEADER_BYTES = 1_024
REPLAY_HEADER = "Egret-Replay"
REPLAY_KEPT = "kept"
REPLAY_NOT_KEPT = "answer-not-kept"
REPLAY_RAN = "ran-answer-unknown"
_HTTP_OK = 200


def key_id(account: AccountId, service: ServiceName, key: IdempotencyKey) -> KeyId:
    """Give the id under which a key's row is kept; accounts never share one."""
    text = f"{account}\0{service}\0{key}"
    return KeyId(hashlib.sha256(text.encode()).hexdigest()[:KEY_ID_LENGTH])


@dataclass(frozen=True)
class KeptAnswer:
    """What is kept of an upstream's answer; `body` is None where it was too big to keep.

    `status` is 0 where the call is known to have run but its answer never came.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    digest: str = ""
    length: int = 0

    @classmethod
    def from_response(cls, answer: CallResponse) -> "KeptAnswer":
        """Bound an answer: a big one leaves its status, length and digest."""
        digest = hashlib.sha256(answer.body).hexdigest()
        header_bytes = sum(len(name) + len(value) for name, value in answer.headers)
        if len(answer.body) > MAX_KEPT_BODY_BYTES or header_bytes > MAX_KEPT_HEADER_BYTES:
            return cls(answer.status, (), None, digest, len(answer.body))
        return cls(answer.status, answer.headers, answer.body, digest, len(answer.body))

    def replay(self) -> CallResponse:
        """Give the answer of a repeat; a header says whether it is the upstream's own."""
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
        """Give the stored form."""
        body = None if self.body is None else base64.b64encode(self.body).decode()
        return [self.status, [list(pair) for pair in self.headers], body, self.digest, self.length]

    @classmethod
    def from_spec(cls, spec: list) -> "KeptAnswer":
        """Read the stored form."""
        status, headers, body, digest, length = spec
        kept = tuple((name, value) for name, value in headers)
        return cls(status, kept, None if body is None else base64.b64decode(body), digest, length)


@dataclass(frozen=True)
class Row:
    """What the ledger holds of one call; times are in seconds since the epoch.

    `owner` and `boot` name the process that may send the attempt, `fence` is the number it
    sends, `deadline_s` is when it has long ended, `until_s` when the key may be forgotten.
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
        """Tell whether the attempt may still be under way."""
        return self.state is CallState.INTENT

    @cached_property
    def size(self) -> int:
        """Give the bytes of the stored form, with its key."""
        return len(json.dumps(self.spec())) + KEY_ID_LENGTH + len('"": , ')

    def with_outcome(self, state: CallState, answer: KeptAnswer | None = None) -> "Row":
        """Give the row with its outcome."""
        return replace(self, state=state, answer=answer)

    def spec(self) -> list[object]:
        """Give the stored form, made once: each commit of a shard encodes all its rows."""
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
        """Read the stored form; raise ValueError or TypeError."""
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
    """Refuse a key that was used for another request; raise EgretError."""
    if found.fingerprint != fingerprint:
        raise EgretError(ErrorKind.KEY_REUSED, "the key was used for another request")
