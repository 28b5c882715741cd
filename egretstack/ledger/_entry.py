"""A call's state, and its entry in the ledger that keeps one object for each call."""

import base64
import hashlib
from dataclasses import dataclass
from enum import Enum

from egretstack.ids import AttemptId
from egretstack.upstreams import CallRequest, CallResponse


class CallState(Enum):
    """The recorded state of a call."""

    INTENT = "intent"
    """Written before the first byte is sent; the call may run from now on."""
    NOT_RUN = "not-run"
    """No byte was sent; the key may be used again for the same request."""
    DONE = "done"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class LedgerEntry:
    """One call's attempt, request fingerprint and state, and its answer once it is done."""

    attempt: AttemptId
    fingerprint: str
    state: CallState
    answer: CallResponse | None = None

    def spec(self) -> dict[str, object]:
        """Return the stored form."""
        spec: dict[str, object] = {
            "attempt": self.attempt,
            "fingerprint": self.fingerprint,
            "state": self.state.value,
        }
        if self.answer is not None:
            spec["status"] = self.answer.status
            spec["headers"] = [list(pair) for pair in self.answer.headers]
            spec["body"] = base64.b64encode(self.answer.body).decode()
        return spec

    @classmethod
    def from_spec(cls, spec: dict) -> "LedgerEntry":
        """Parse the stored form."""
        answer = None
        if "status" in spec:
            headers = tuple((name, value) for name, value in spec["headers"])
            answer = CallResponse(spec["status"], headers, base64.b64decode(spec["body"]))
        attempt = AttemptId(spec["attempt"])
        return cls(attempt, spec["fingerprint"], CallState(spec["state"]), answer)


def fingerprint(request: CallRequest) -> str:
    """Return a digest that distinguishes different requests with the same key."""
    digest = hashlib.sha256()
    for part in (request.method, request.path, request.query):
        digest.update(part.encode() + b"\0")
    digest.update(request.body)
    return digest.hexdigest()
