"""The event loop of a replay: a virtual clock, the engines, and a policy for each entry."""

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from heapq import heappop, heappush

from egretstack.ids import InstanceId, RequestId
from egretstack.lengths import pack_summary, unpack_summary
from egretstack.policy import (
    Action,
    Arrived,
    CacheChanged,
    Dispatch,
    Ended,
    EndReason,
    Evict,
    Evicted,
    InstancesSeen,
    LengthsLearned,
    Policy,
    PolicyEvent,
    Progressed,
    RunnerLeft,
    RunnerSeen,
    SchedulingRequest,
    Started,
    Tick,
)
from egretstack.replay._deployment import Deployment
from egretstack.replay._figures import Tally
from egretstack.replay._fleet import ReplayEngine
from egretstack.replay._trace import TraceLine

PROGRESS_INTERVAL_TOKENS = 32
"""Tokens between two progress reports of a session to the policy, as in `egretstack.sessions`."""
PATIENCE_S = 1.0
"""Time after the start deadline at which a caller without a token leaves."""
CACHE_EVENT_DELAY_S = 1.0
LENGTH_EXCHANGE_INTERVAL_S = 10.0
"""Time between two requests of an entry for another entry's length summary."""
CACHE_EVENT_LOSS_SHARE = 0.2
"""Share of cache events that are lost."""


@dataclass(slots=True)
class _Session:
    number: int
    line: TraceLine
    request: SchedulingRequest
    entry_number: int
    engine: ReplayEngine | None = None
    decoded_tokens: int = 0
    last_token_s: float = -1.0
    has_first_token: bool = False
    """Whether a first token has ever been decoded, also if the request was run again later."""
    has_ended: bool = False


@dataclass
class _Entry:
    policy: Policy
    wake_s: float | None = None


class ReplayLoop:
    """Replays a trace once; `run` returns the tally."""

    def __init__(
        self,
        lines: list[TraceLine],
        deployment: Deployment,
        policies: list[Policy],
        entries: int,
        seed: int,
    ) -> None:
        self._rng = random.Random(f"replay-{seed}")
        self._deployment = deployment
        self._lines = lines
        self._entries = [_Entry(policy) for policy in policies]
        self._engines = [ReplayEngine(spec) for spec in deployment.engines]
        self._engine_by_id = {engine.id: engine for engine in self._engines}
        self._event_queue: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._now_s = 0.0
        self._tally = Tally()
        self._sessions = [self._make_session(n, line, entries) for n, line in enumerate(lines)]
        self._open_sessions = len(lines)
        self._exchange_round = 0

    def run(self) -> Tally:
        """Replay until every session has ended."""
        for entry in self._entries:
            self._send_event(entry, InstancesSeen(len(self._entries)))
            for engine in self._engines:
                self._send_event(entry, RunnerSeen(engine.info))
        if len(self._entries) > 1:
            self._schedule(LENGTH_EXCHANGE_INTERVAL_S, self._exchange_lengths)
        for session in self._sessions:
            self._schedule(session.line.at_s, partial(self._arrive, session))
        for engine in self._engines:
            self._schedule_engine_events(engine)
        while self._open_sessions:
            self._now_s, _, callback = heappop(self._event_queue)
            callback()
        self._tally.preemptions = sum(engine.preemptions for engine in self._engines)
        return self._tally

    def _make_session(self, number: int, line: TraceLine, entries: int) -> _Session:
        terms = self._deployment.terms(line.service)
        request = SchedulingRequest(
            id=RequestId(str(number)),
            account=line.account,
            service=line.service,
            model=line.model,
            prompt_tokens=line.prompt_tokens,
            max_output_tokens=terms.max_output_tokens,
            prefix=line.prefix,
            value=line.value,
            deadline_s=line.at_s + terms.start_deadline_s,
            streamed=line.stream,
            stall_weight=terms.stall_weight,
            preemption_weight=terms.preemption_weight,
            tail_weight=terms.tail_weight,
        )
        self._tally.sessions += 1
        self._tally.offered_value += line.value
        self._tally.offered_tokens += line.output_tokens
        entry = self._rng.randrange(entries) % len(self._entries)
        return _Session(number, line, request, entry)

    def _schedule_engine_events(self, engine: ReplayEngine) -> None:
        spec = engine.spec
        for entry in self._entries:
            first_s = self._rng.random() * spec.parameters.report_period_s
            self._schedule(first_s, partial(self._report, entry, engine))
        if spec.reclaimed_at_s:
            announced_at_s = max(0.0, spec.reclaimed_at_s - spec.notice_s)
            self._schedule(announced_at_s, partial(self._announce_reclaim, engine))
            self._schedule(spec.reclaimed_at_s, partial(self._reclaim, engine))
        if spec.back_at_s:
            self._schedule(spec.back_at_s, partial(self._restore, engine))

    def _schedule(self, at_s: float, callback: Callable[[], None]) -> None:
        self._event_count += 1
        heappush(self._event_queue, (at_s, self._event_count, callback))

    def _send_event(self, entry: _Entry, event: PolicyEvent) -> None:
        for action in entry.policy.handle(self._now_s, event):
            self._apply_action(entry, action)
        wake_s = entry.policy.next_wake_s()
        if wake_s is not None and wake_s != entry.wake_s:
            self._schedule(max(wake_s, self._now_s), partial(self._tick, entry, wake_s))
        entry.wake_s = wake_s

    def _tick(self, entry: _Entry, wake_s: float) -> None:
        if entry.wake_s == wake_s:
            entry.wake_s = None
            self._send_event(entry, Tick())

    def _arrive(self, session: _Session) -> None:
        gives_up_at_s = session.request.deadline_s + PATIENCE_S
        self._schedule(gives_up_at_s, partial(self._give_up, session))
        self._send_event(self._entries[session.entry_number], Arrived(session.request))

    def _give_up(self, session: _Session) -> None:
        if session.has_ended or session.has_first_token:
            return
        self._tally.given_up += 1
        if session.engine is not None:
            session.engine.cancel(session.number)
        self._end(session, EndReason.CANCELLED)

    def _apply_action(self, entry: _Entry, action: Action) -> None:
        session = self._sessions[int(action.request_id)]
        if session.has_ended:
            return
        if isinstance(action, Dispatch):
            self._dispatch(entry, session, action)
        elif isinstance(action, Evict):
            self._evict(entry, session)
        else:
            self._tally.refused += 1
            session.has_ended = True
            self._open_sessions -= 1

    def _dispatch(self, entry: _Entry, session: _Session, action: Dispatch) -> None:
        engine = self._engine_by_id[action.runner_id]
        if session.engine is not None or not engine.is_up:
            raise RuntimeError(
                f"{action} for a request that is already running, or on an engine that is down"
            )
        session.engine = engine
        engine.submit(
            self._now_s,
            session.number,
            prompt=session.line.prompt_tokens,
            output=session.line.output_tokens,
            prefix=session.line.prefix,
            priority=action.priority,
        )
        self._schedule_step(engine)
        self._schedule(self._now_s, partial(self._on_started, entry, session))

    def _on_started(self, entry: _Entry, session: _Session) -> None:
        if session.engine is not None and not session.has_ended:
            self._send_event(entry, Started(session.request.id))

    def _evict(self, entry: _Entry, session: _Session) -> None:
        is_delivered = session.line.stream and session.decoded_tokens > 0
        if session.engine is None or is_delivered:
            return
        self._tally.evictions += 1
        session.engine.cancel(session.number)
        session.engine = None
        session.decoded_tokens = 0
        self._schedule(self._now_s, partial(self._on_evicted, entry, session))

    def _on_evicted(self, entry: _Entry, session: _Session) -> None:
        if not session.has_ended:
            self._send_event(entry, Evicted(session.request.id))

    def _schedule_step(self, engine: ReplayEngine) -> None:
        at_s = engine.model.next_step_s()
        if at_s is not None and engine.scheduled_step_s != at_s:
            engine.scheduled_step_s = at_s
            self._schedule(at_s, partial(self._step, engine, at_s))

    def _step(self, engine: ReplayEngine, at_s: float) -> None:
        if engine.model.next_step_s() != at_s:
            return
        result = engine.advance(self._now_s)
        step_s = engine.step_s(result.sequences)
        for number in result.decoded:
            self._on_token(self._sessions[number], step_s)
        for number in result.finished:
            self._finish(self._sessions[number])
        self._schedule_step(engine)

    def _on_token(self, session: _Session, step_s: float) -> None:
        session.decoded_tokens += 1
        stream = session.line.stream
        if stream and session.has_first_token:
            self._tally.record_gap(session.number, self._now_s - session.last_token_s, step_s)
        elif not session.has_first_token:
            session.has_first_token = True
            if stream:
                self._tally.first_token_delays_s.append(self._now_s - session.line.at_s)
        session.last_token_s = self._now_s
        if session.decoded_tokens % PROGRESS_INTERVAL_TOKENS == 1:
            delivered = session.decoded_tokens - 1 if stream else 0
            event = Progressed(session.request.id, session.decoded_tokens, delivered)
            self._send_event(self._entries[session.entry_number], event)

    def _finish(self, session: _Session) -> None:
        self._tally.finished += 1
        self._tally.finished_value += session.line.value
        self._tally.finished_tokens += session.line.output_tokens
        self._end(session, EndReason.FINISHED)

    def _end(self, session: _Session, reason: EndReason) -> None:
        session.has_ended = True
        session.engine = None
        self._open_sessions -= 1
        self._send_event(
            self._entries[session.entry_number],
            Ended(session.request.id, session.decoded_tokens, reason),
        )

    def _report(self, entry: _Entry, engine: ReplayEngine) -> None:
        next_s = self._now_s + engine.spec.parameters.report_period_s
        self._schedule(next_s, partial(self._report, entry, engine))
        if not engine.is_up or engine.is_leaving:
            return
        self._send_event(entry, engine.report(self._now_s))
        if entry is self._entries[0]:
            self._publish_cache_changes(engine)

    def _publish_cache_changes(self, engine: ReplayEngine) -> None:
        for prefix, stored in engine.cache_changes():
            if self._rng.random() < CACHE_EVENT_LOSS_SHARE:
                continue
            event = CacheChanged(engine.id, prefix, stored)
            self._schedule(self._now_s + CACHE_EVENT_DELAY_S, partial(self._broadcast, event))

    def _broadcast(self, event: PolicyEvent) -> None:
        for entry in self._entries:
            self._send_event(entry, event)

    def _exchange_lengths(self) -> None:
        """Send each entry the length summary of one other, of each in turn."""
        self._schedule(self._now_s + LENGTH_EXCHANGE_INTERVAL_S, self._exchange_lengths)
        self._exchange_round = self._exchange_round % (len(self._entries) - 1) + 1
        for number, entry in enumerate(self._entries):
            source = (number + self._exchange_round) % len(self._entries)
            packed = pack_summary(self._entries[source].policy.length_summary())
            event = LengthsLearned(InstanceId(str(source)), unpack_summary(packed))
            if event.summary.by_key:
                self._send_event(entry, event)

    def _announce_reclaim(self, engine: ReplayEngine) -> None:
        engine.is_leaving = True
        self._broadcast(RunnerLeft(engine.id))

    def _reclaim(self, engine: ReplayEngine) -> None:
        for number in engine.reclaim():
            self._interrupt(self._sessions[number])

    def _interrupt(self, session: _Session) -> None:
        """End a stream that was being read; run any other request again elsewhere."""
        if session.line.stream and session.decoded_tokens > 0:
            self._tally.lost += 1
            self._end(session, EndReason.FAILED)
            return
        excluded = session.request.excluded | {session.engine.id}
        entry = self._entries[session.entry_number]
        self._send_event(entry, Ended(session.request.id, session.decoded_tokens, EndReason.FAILED))
        session.engine = None
        session.decoded_tokens = 0
        session.request = replace(session.request, excluded=excluded)
        self._send_event(entry, Arrived(session.request))

    def _restore(self, engine: ReplayEngine) -> None:
        engine.restore()
        self._broadcast(RunnerSeen(engine.info))
