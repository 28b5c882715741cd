"""What one instance knows about each engine: its own requests there and the latest report."""

from dataclasses import dataclass, field

from egretstack.ids import RequestId, RunnerId
from egretstack.lengths import LengthKey
from egretstack.policy._messages import RunnerInfo, RunnerReported, SchedulingRequest

INITIAL_TOKENS_PER_S = 30.0
"""Assumed output tokens per second of one sequence until an engine's own rate is observed."""
_RATE_SMOOTHING = 0.1
MAX_ENDED = 256


@dataclass(slots=True)
class SentRequest:
    """A request that this instance sent to an engine."""

    request: SchedulingRequest
    key: LengthKey
    sent_s: float
    tokens: int = 0
    progress_s: float = 0.0
    """Time of the latest progress event, which reported `tokens`."""
    delivered: int = 0
    evicting: bool = False
    """An Evict was issued, and the engine has not confirmed it yet."""

    def estimated_tokens(self, now_s: float, rate: float) -> float:
        """Return the estimated number of output tokens generated so far."""
        if not self.tokens:
            return 0.0
        return self.tokens + rate * max(0.0, now_s - self.progress_s)


@dataclass(slots=True)
class EngineState:
    """One engine: its description, the requests sent there and its latest load report."""

    info: RunnerInfo
    sent: dict[RequestId, SentRequest] = field(default_factory=dict)
    ended: list[tuple[float, SentRequest]] = field(default_factory=list)
    """Requests that ended, with the time, as long as a report may still include them."""
    report: RunnerReported | None = None
    tokens_per_s: float = INITIAL_TOKENS_PER_S
    """Output tokens per second of one sequence, as a moving average."""
    accepts_requests: bool = True
    """Whether new requests may be sent to it."""

    @property
    def capacity(self) -> int:
        """Return the size of its KV cache in tokens."""
        if self.report is not None and self.report.kv_capacity_tokens:
            return self.report.kv_capacity_tokens
        return self.info.kv_capacity_tokens

    def record_progress(self, now_s: float, sent: SentRequest, tokens: int, delivered: int) -> None:
        """Record the progress of a request and update the generation rate."""
        if sent.tokens and tokens > sent.tokens and now_s > sent.progress_s:
            observed_rate = (tokens - sent.tokens) / (now_s - sent.progress_s)
            self.tokens_per_s += _RATE_SMOOTHING * (observed_rate - self.tokens_per_s)
        sent.tokens = tokens
        sent.delivered = delivered
        sent.progress_s = now_s
        sent.evicting = False

    def record_report(self, report: RunnerReported) -> None:
        """Store a load report and drop the ended requests that it no longer includes."""
        self.report = report
        self.ended = [(left_s, sent) for left_s, sent in self.ended if left_s > report.taken_s]

    def other_load(self) -> tuple[float, float]:
        """Return the number of sequences of other instances and their memory in tokens.

        Both are derived from the latest report. It still includes this instance's requests that
        ended after it was taken; counted as those of others, they would keep the memory that they
        have freed from being used.
        """
        report = self.report
        if report is None:
            return 0.0, 0.0
        taken_s = report.taken_s
        own = [sent for sent in self.sent.values() if sent.sent_s <= taken_s]
        own += [sent for _, sent in self.ended if sent.sent_s <= taken_s]
        held = sum(
            sent.request.prompt_tokens + sent.estimated_tokens(taken_s, self.tokens_per_s)
            for sent in own
            if sent.tokens
        )
        count = max(0, report.running + report.waiting - len(own))
        return float(count), max(0.0, report.kv_used_tokens - held) if count else 0.0


class EngineRegistry:
    """All engines, and the engine that each request was sent to."""

    def __init__(self) -> None:
        self.by_id: dict[RunnerId, EngineState] = {}
        self._runner_by_request: dict[RequestId, RunnerId] = {}

    def update_runner(self, info: RunnerInfo) -> None:
        """Add a runner that may get requests, or update its description."""
        engine = self.by_id.get(info.id)
        if engine is None:
            self.by_id[info.id] = EngineState(info)
            return
        engine.info = info
        engine.accepts_requests = True

    def retire_runner(self, runner_id: RunnerId) -> None:
        """Stop sending new requests to a runner; its running requests continue."""
        engine = self.by_id.get(runner_id)
        if engine is None:
            return
        engine.accepts_requests = False
        engine.report = None
        self._remove_if_unused(engine)

    def record_sent(
        self, now_s: float, request: SchedulingRequest, runner_id: RunnerId, key: LengthKey
    ) -> None:
        """Record a request that is sent to a runner."""
        self.by_id[runner_id].sent[request.id] = SentRequest(request, key, now_s, progress_s=now_s)
        self._runner_by_request[request.id] = runner_id

    def engine_of(self, request_id: RequestId) -> EngineState | None:
        """Return the engine that a request was sent to, or None."""
        runner_id = self._runner_by_request.get(request_id)
        return None if runner_id is None else self.by_id[runner_id]

    def remove(self, now_s: float, request_id: RequestId) -> SentRequest | None:
        """Remove a request from its engine and return its record, or None."""
        engine = self.engine_of(request_id)
        if engine is None:
            return None
        del self._runner_by_request[request_id]
        sent = engine.sent.pop(request_id)
        engine.ended.append((now_s, sent))
        del engine.ended[:-MAX_ENDED]
        self._remove_if_unused(engine)
        return sent

    def candidates(self, request: SchedulingRequest) -> list[EngineState]:
        """Return the engines that serve the request's model and have not failed it before.

        An instance reads the reports of some engines only. An engine without a report would look
        empty and attract requests from every instance, so it is a candidate only if no engine has
        a report.
        """
        found = [
            engine
            for engine in self.by_id.values()
            if engine.accepts_requests
            and request.model in engine.info.models
            and engine.info.id not in request.excluded
        ]
        return [engine for engine in found if engine.report is not None] or found

    def _remove_if_unused(self, engine: EngineState) -> None:
        if not engine.accepts_requests and not engine.sent:
            del self.by_id[engine.info.id]
