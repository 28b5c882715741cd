"""Resumes a stream at another runner within one response, without a copy of its run's memory.

The request is sent again with the id of the last event that the client has, and a new run continues
after it. The response keeps the head of its first runner.
"""

from enum import Enum
from math import inf

import trio

from egretstack.events import Event, log
from egretstack.http1 import ResponseHead
from egretstack.platform import runner_answer
from egretstack.relay._context import RelayContext, RelayTask
from egretstack.relay._cursor import EventCursor
from egretstack.relay._engine_calls import is_valid_answer
from egretstack.relay._execution_status import RequestFailed
from egretstack.relay._handover import Handover
from egretstack.relay._opening import EngineOpening
from egretstack.relay._patience import place_wait_s
from egretstack.relay._send_limits import SendLimits
from egretstack.relay._timing import StreamTiming

MAX_REJECTIONS = 1
"""Rejections after which a stream is still placed once more. The reader waits meanwhile; a second
rejection shows that the engines are full."""


class AnswerUse(Enum):
    """What the answer of a runner that was asked to resume a stream is good for."""

    CONTINUES = "continues"
    REJECTED = "rejected"
    FAILED = "failed"
    """Not certainly this runner's answer, or a failure of the runner: another one may do better."""
    FINAL = "final"
    """The runner's own refusal to resume the stream; others would answer the same."""


def classify_answer(task: RelayTask, head: ResponseHead) -> AnswerUse:
    """Return what the answer to a resumed request is good for."""
    answer = runner_answer(head)
    if answer.rejected and answer.attempt_id in ("", task.request.attempt_id):
        return AnswerUse.REJECTED
    if not is_valid_answer(task, answer) or head.status >= 500:
        return AnswerUse.FAILED
    return AnswerUse.CONTINUES if head.status == 200 else AnswerUse.FINAL


class StreamResumer:
    """Resumes one stream; the opening's `run` and `source` are those of the latest send."""

    def __init__(
        self,
        context: RelayContext,
        task: RelayTask,
        opening: EngineOpening,
        limits: SendLimits,
        timing: StreamTiming,
        cursor: EventCursor,
        handover: Handover,
    ) -> None:
        self._context = context
        self._task = task
        self._opening = opening
        self._limits = limits
        self._timing = timing
        self._cursor = cursor
        self._handover = handover

    def may_resume(self) -> bool:
        """Return whether the stream may be sent to one more runner now."""
        if self._context.crash_guard.is_refused(self._task.fingerprint):
            return False
        now_s, since_s = trio.current_time(), self._timing.waiting_since_s
        return self._cursor.is_resumable and self._limits.allows(now_s, since_s)

    def is_first_event_late(self) -> bool:
        """Return whether the latest send has taken too long for its first event."""
        return trio.current_time() > self._opening.first_event_until_s and self.may_resume()

    def copy_wait_s(self) -> float:
        """Return how long a copy of the run may be waited for before a new run is started."""
        if not self.may_resume():
            return inf
        now_s, since_s = trio.current_time(), self._timing.waiting_since_s
        return min(place_wait_s(), self._limits.place_wait_s(now_s, since_s))

    async def resume(self, *, is_beside: bool) -> bool:
        """Send the stream to other runners until one continues it; return whether one does.

        `is_beside`: its runner may go on and end the search; a runner that is paused would read
        the request after it was taken back.

        Afterwards the opening holds the latest run that was sent, and its connection.
        """
        source = self._opening.run.runner
        began_s = trio.current_time()
        rejections = 0
        use = AnswerUse.FAILED
        while rejections <= MAX_REJECTIONS and use is not AnswerUse.FINAL and self.may_resume():
            self._context.budget.record_retry(trio.current_time(), self._task.service.name)
            # The latest runner must not keep running beside the next one.
            self._opening.exclude_current()
            try:
                await self._opening.connect()
            except RequestFailed as error:
                self._log(Event.STREAM_NOT_RESUMED, source, began_s, error.detail)
                return False
            if not await self._handover.until_allowed(self._patience_left_s()):
                self._log(Event.STREAM_NOT_RESUMED, source, began_s, "a runner may be at work")
                return False
            if is_beside and not await self._opening.has_answering_runner():
                self._log(Event.STREAM_NOT_RESUMED, source, began_s, "the other runner is silent")
                return False
            use = await self._send()
            if use is AnswerUse.CONTINUES:
                self._cursor.begin_run()
                self._log(Event.STREAM_RESUMED, source, began_s, use.value)
                return True
            rejections += use is AnswerUse.REJECTED
        self._log(Event.STREAM_NOT_RESUMED, source, began_s, use.value)
        return False

    def _patience_left_s(self) -> float:
        return self._limits.patience_left_s(trio.current_time(), self._timing.waiting_since_s)

    async def _send(self) -> AnswerUse:
        try:
            head = await self._opening.send(self._cursor.last_id)
        except RequestFailed:
            await self._opening.wait_until_probed()
            return AnswerUse.FAILED
        return classify_answer(self._task, head)

    def _log(self, event: Event, source: str, began_s: float, detail: str) -> None:
        log(
            event,
            request=self._task.request.attempt_id,
            source=source,
            runner=self._opening.run.runner,
            after=self._cursor.last_id,
            took_ms=round((trio.current_time() - began_s) * 1000),
            detail=detail,
        )
