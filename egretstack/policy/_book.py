"""What one instance knows of each runner: its own sends, and the latest report."""

from dataclasses import dataclass, field

from egretstack.ids import RequestId, RunnerId
from egretstack.lengths import LengthKey
from egretstack.policy._messages import RunnerInfo, RunnerReported, SchedulingRequest

FIRST_RATE = 30.0
"""Output tokens a second of one sequence, taken until a runner's own rate is seen."""
_RATE_WEIGHT = 0.1
MAX_GONE = 256


@dataclass(slots=True)
class Sent:
    """Work that this instance sent to a runner."""

    work: SchedulingRequest
    key: LengthKey
    sent_s: float
    tokens: int = 0
    at_s: float = 0.0
    """When `tokens` was seen."""
    delivered: int = 0
    leaving: bool = False
    """Evicted, and not yet known to have left."""

    def generated(self, now_s: float, rate: float) -> float:
        """Give the output tokens that it is likely to have by now."""
        if not self.tokens:
            return 0.0
        return self.tokens + rate * max(0.0, now_s - self.at_s)


@dataclass(slots=True)
class RunnerBook:
    """One runner."""

    info: RunnerInfo
    sent: dict[RequestId, Sent] = field(default_factory=dict)
    gone: list[tuple[float, Sent]] = field(default_factory=list)
    """Work that left, with the time, as long as a report may still count it."""
    report: RunnerReported | None = None
    rate: float = FIRST_RATE
    """Output tokens a second of one sequence."""
    usable: bool = True
    """Whether it gets new work."""

    @property
    def capacity(self) -> int:
        """Give its memory, tokens."""
        if self.report is not None and self.report.kv_capacity_tokens:
            return self.report.kv_capacity_tokens
        return self.info.kv_capacity_tokens

    def progressed(self, now_s: float, sent: Sent, tokens: int, delivered: int) -> None:
        """Note how far work has come, and how fast."""
        if sent.tokens and tokens > sent.tokens and now_s > sent.at_s:
            seen = (tokens - sent.tokens) / (now_s - sent.at_s)
            self.rate += _RATE_WEIGHT * (seen - self.rate)
        sent.tokens = tokens
        sent.delivered = delivered
        sent.at_s = now_s
        sent.leaving = False

    def reported(self, report: RunnerReported) -> None:
        """Take a report in."""
        self.report = report
        self.gone = [(left_s, sent) for left_s, sent in self.gone if left_s > report.taken_s]

    def others(self) -> tuple[float, float]:
        """Give the number of others' sequences and the memory they hold, as last reported.

        Own work that left after the report was taken is in the report still; counted as
        another's it would block the very room that it gave back.
        """
        report = self.report
        if report is None:
            return 0.0, 0.0
        taken_s = report.taken_s
        own = [one for one in self.sent.values() if one.sent_s <= taken_s]
        own += [one for _, one in self.gone if one.sent_s <= taken_s]
        held = sum(
            one.work.prompt_tokens + one.generated(taken_s, self.rate) for one in own if one.tokens
        )
        count = max(0, report.running + report.waiting - len(own))
        return float(count), max(0.0, report.kv_used_tokens - held) if count else 0.0


class Book:
    """Every runner, and where each piece of work is."""

    def __init__(self) -> None:
        self.by_id: dict[RunnerId, RunnerBook] = {}
        self._runner_by_work: dict[RequestId, RunnerId] = {}

    def seen(self, info: RunnerInfo) -> None:
        """Note a runner that may get work."""
        book = self.by_id.get(info.id)
        if book is None:
            self.by_id[info.id] = RunnerBook(info)
            return
        book.info = info
        book.usable = True

    def left(self, runner_id: RunnerId) -> None:
        """Note a runner that gets no new work; what runs on it goes on."""
        book = self.by_id.get(runner_id)
        if book is None:
            return
        book.usable = False
        book.report = None
        self._forget_if_empty(book)

    def send(
        self, now_s: float, work: SchedulingRequest, runner_id: RunnerId, key: LengthKey
    ) -> None:
        """Note work that goes to a runner."""
        self.by_id[runner_id].sent[work.id] = Sent(work, key, now_s, at_s=now_s)
        self._runner_by_work[work.id] = runner_id

    def runner_of(self, work_id: RequestId) -> RunnerBook | None:
        """Give the runner that has the work."""
        runner_id = self._runner_by_work.get(work_id)
        return None if runner_id is None else self.by_id[runner_id]

    def remove(self, now_s: float, work_id: RequestId) -> Sent | None:
        """Take work off its runner; give what was known of it."""
        book = self.runner_of(work_id)
        if book is None:
            return None
        del self._runner_by_work[work_id]
        sent = book.sent.pop(work_id)
        book.gone.append((now_s, sent))
        del book.gone[:-MAX_GONE]
        self._forget_if_empty(book)
        return sent

    def candidates(self, work: SchedulingRequest) -> list[RunnerBook]:
        """Give the runners that serve the work's model and did not fail it before.

        An instance reads the reports of some runners only. One without a report would look empty
        and draw work from every instance, so it counts only while no other has one.
        """
        found = [
            book
            for book in self.by_id.values()
            if book.usable and work.model in book.info.models and book.info.id not in work.excluded
        ]
        return [book for book in found if book.report is not None] or found

    def _forget_if_empty(self, book: RunnerBook) -> None:
        if not book.usable and not book.sent:
            del self.by_id[book.info.id]
