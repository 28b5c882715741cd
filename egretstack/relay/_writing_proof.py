"""Records how long runners wrote a stream: what crashes runners does so as they begin."""

from egretstack.relay._context import RelayContext, RelayTask
from egretstack.relay._opening import EngineOpening

PROOF_S = 0.5
"""Time for which a runner writes after a stream's first event before it counts as unharmed by its
prompt."""


class WritingProof:
    """Whether some runner has shown that a stream's prompt crashes none."""

    def __init__(self, context: RelayContext, task: RelayTask, opening: EngineOpening) -> None:
        self._context = context
        self._task = task
        self._opening = opening
        self.first_event_s: float | None = None
        """When the stream's first event arrived, from whichever runner."""
        self.has_proven = False
        """Whether some runner wrote for long enough."""
        self._began_s: float | None = None
        """When the current runner's first event arrived; None if it has sent none."""

    def begin_run(self) -> None:
        """Record that another runner sends the following events."""
        self._began_s = None

    def record_event(self, now_s: float) -> None:
        """Record that events of the current runner arrived."""
        if self.first_event_s is None:
            self.first_event_s = now_s
        if self._began_s is None:
            self._began_s = now_s
        if now_s - self._began_s >= PROOF_S:
            self._prove(self._began_s)

    def record_end(self, sent_s: float) -> None:
        """Record that the current runner, which got the run at `sent_s`, has completed it."""
        self._prove(sent_s if self._began_s is None else self._began_s)

    def _prove(self, began_s: float) -> None:
        if not self.has_proven:
            self.has_proven = self._opening.has_proven = True
            self._context.crash_guard.record_writing(self._task.fingerprint, began_s)
