"""The event loop of a replay: a virtual clock, entries with a policy each, and engines."""

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
from egretstack.replay._figures import Tally
from egretstack.replay._fleet import ReplayEngine
from egretstack.replay._site import Deployment
from egretstack.replay._trace import TraceLine

REPORT_EVERY_TOKENS = 32
"""How often an entry's sessions tell the policy of progress, as in `egretstack.sessions`."""
PATIENCE_S = 1.0
"""How long after the start deadline a caller without a token leaves."""
CACHE_DELAY_S = 1.0
SHARE_PERIOD_S = 10.0
"""How often an entry asks one other for what it learned of lengths."""
CACHE_LOSS = 0.2
"""Share of cache events that never come."""


@dataclass(slots=True)
class _Session:
    number: int
    line: TraceLine
    work: SchedulingRequest
    entry: int
    engine: ReplayEngine | None = None
    done: int = 0
    last_s: float = -1.0
    seen: bool = False
    """Whether a first token ever came."""
    over: bool = False


@dataclass
class _Entry:
    policy: Policy
    wake_s: float | None = None


class ReplayLoop:
    """Replays a trace once; `run` gives the tally."""

    def __init__(
        self,
        lines: list[TraceLine],
        site: Deployment,
        policies: list[Policy],
        entries: int,
        seed: int,
    ) -> None:
        self._rng = random.Random(f"replay-{seed}")
        self._site = site
        self._lines = lines
        self._entries = [_Entry(policy) for policy in policies]
        self._engines = [ReplayEngine(spec) for spec in site.engines]
        self._engine_by_id = {engine.id: engine for engine in self._engines}
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._now_s = 0.0
        self._tally = Tally()
        self._sessions = [self._session(n, line, entries) for n, line in enumerate(lines)]
        self._open = len(lines)
        self._turn = 0

    def run(self) -> Tally:
        """Replay until every session has ended."""
        for entry in self._entries:
            self._tell(entry, InstancesSeen(len(self._entries)))
            for engine in self._engines:
                self._tell(entry, RunnerSeen(engine.info))
        if len(self._entries) > 1:
            self._at(SHARE_PERIOD_S, self._share_lengths)
        for session in self._sessions:
            self._at(session.line.at_s, partial(self._arrive, session))
        for engine in self._engines:
            self._plan(engine)
        while self._open:
            self._now_s, _, act = heappop(self._heap)
            act()
        self._tally.preemptions = sum(engine.preemptions for engine in self._engines)
        return self._tally

    def _session(self, number: int, line: TraceLine, entries: int) -> _Session:
        terms = self._site.terms(line.service)
        work = SchedulingRequest(
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
        return _Session(number, line, work, entry)

    def _plan(self, engine: ReplayEngine) -> None:
        spec = engine.spec
        for entry in self._entries:
            first_s = self._rng.random() * spec.parameters.report_period_s
            self._at(first_s, partial(self._report, entry, engine))
        if spec.reclaimed_at_s:
            noticed_s = max(0.0, spec.reclaimed_at_s - spec.notice_s)
            self._at(noticed_s, partial(self._notice, engine))
            self._at(spec.reclaimed_at_s, partial(self._reclaim, engine))
        if spec.back_at_s:
            self._at(spec.back_at_s, partial(self._bring_back, engine))

    def _at(self, at_s: float, act: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._heap, (at_s, self._count, act))

    def _tell(self, entry: _Entry, event: PolicyEvent) -> None:
        for action in entry.policy.handle(self._now_s, event):
            self._carry_out(entry, action)
        wake_s = entry.policy.next_wake_s()
        if wake_s is not None and wake_s != entry.wake_s:
            self._at(max(wake_s, self._now_s), partial(self._tick, entry, wake_s))
        entry.wake_s = wake_s

    def _tick(self, entry: _Entry, wake_s: float) -> None:
        if entry.wake_s == wake_s:
            entry.wake_s = None
            self._tell(entry, Tick())

    def _arrive(self, session: _Session) -> None:
        leaves_s = session.work.deadline_s + PATIENCE_S
        self._at(leaves_s, partial(self._give_up, session))
        self._tell(self._entries[session.entry], Arrived(session.work))

    def _give_up(self, session: _Session) -> None:
        if session.over or session.seen:
            return
        self._tally.given_up += 1
        if session.engine is not None:
            session.engine.cancel(session.number)
        self._end(session, EndReason.CANCELLED)

    def _carry_out(self, entry: _Entry, action: Action) -> None:
        session = self._sessions[int(action.request_id)]
        if session.over:
            return
        if isinstance(action, Dispatch):
            self._dispatch(entry, session, action)
        elif isinstance(action, Evict):
            self._evict(entry, session)
        else:
            self._tally.refused += 1
            session.over = True
            self._open -= 1

    def _dispatch(self, entry: _Entry, session: _Session, action: Dispatch) -> None:
        engine = self._engine_by_id[action.runner_id]
        if session.engine is not None or not engine.up:
            raise RuntimeError(f"{action} for work that runs, or on an engine that is gone")
        session.engine = engine
        engine.submit(
            self._now_s,
            session.number,
            prompt=session.line.prompt_tokens,
            output=session.line.output_tokens,
            prefix=session.line.prefix,
            priority=action.priority,
        )
        self._follow(engine)
        self._at(self._now_s, partial(self._started, entry, session))

    def _started(self, entry: _Entry, session: _Session) -> None:
        if session.engine is not None and not session.over:
            self._tell(entry, Started(session.work.id))

    def _evict(self, entry: _Entry, session: _Session) -> None:
        delivered = session.line.stream and session.done > 0
        if session.engine is None or delivered:
            return
        self._tally.evictions += 1
        session.engine.cancel(session.number)
        session.engine = None
        session.done = 0
        self._at(self._now_s, partial(self._evicted, entry, session))

    def _evicted(self, entry: _Entry, session: _Session) -> None:
        if not session.over:
            self._tell(entry, Evicted(session.work.id))

    def _follow(self, engine: ReplayEngine) -> None:
        at_s = engine.model.next_step_s()
        if at_s is not None and engine.planned_s != at_s:
            engine.planned_s = at_s
            self._at(at_s, partial(self._step, engine, at_s))

    def _step(self, engine: ReplayEngine, at_s: float) -> None:
        if engine.model.next_step_s() != at_s:
            return
        result = engine.advance(self._now_s)
        step_s = engine.step_s(result.sequences)
        for number in result.decoded:
            self._token(self._sessions[number], step_s)
        for number in result.finished:
            self._finish(self._sessions[number])
        self._follow(engine)

    def _token(self, session: _Session, step_s: float) -> None:
        session.done += 1
        stream = session.line.stream
        if stream and session.seen:
            self._tally.record_gap(session.number, self._now_s - session.last_s, step_s)
        elif not session.seen:
            session.seen = True
            if stream:
                self._tally.first_tokens.append(self._now_s - session.line.at_s)
        session.last_s = self._now_s
        if session.done % REPORT_EVERY_TOKENS == 1:
            delivered = session.done - 1 if stream else 0
            event = Progressed(session.work.id, session.done, delivered)
            self._tell(self._entries[session.entry], event)

    def _finish(self, session: _Session) -> None:
        self._tally.finished += 1
        self._tally.finished_value += session.line.value
        self._tally.finished_tokens += session.line.output_tokens
        self._end(session, EndReason.FINISHED)

    def _end(self, session: _Session, reason: EndReason) -> None:
        session.over = True
        session.engine = None
        self._open -= 1
        self._tell(self._entries[session.entry], Ended(session.work.id, session.done, reason))

    def _report(self, entry: _Entry, engine: ReplayEngine) -> None:
        next_s = self._now_s + engine.spec.parameters.report_period_s
        self._at(next_s, partial(self._report, entry, engine))
        if not engine.up or engine.leaving:
            return
        self._tell(entry, engine.report(self._now_s))
        if entry is self._entries[0]:
            self._publish_cache(engine)

    def _publish_cache(self, engine: ReplayEngine) -> None:
        for prefix, stored in engine.cache_changes():
            if self._rng.random() < CACHE_LOSS:
                continue
            event = CacheChanged(engine.id, prefix, stored)
            self._at(self._now_s + CACHE_DELAY_S, partial(self._tell_all, event))

    def _tell_all(self, event: PolicyEvent) -> None:
        for entry in self._entries:
            self._tell(entry, event)

    def _share_lengths(self) -> None:
        """Let each entry learn from one other, from each in turn."""
        self._at(self._now_s + SHARE_PERIOD_S, self._share_lengths)
        self._turn = self._turn % (len(self._entries) - 1) + 1
        for number, entry in enumerate(self._entries):
            giver = (number + self._turn) % len(self._entries)
            packed = pack_summary(self._entries[giver].policy.length_summary())
            event = LengthsLearned(InstanceId(str(giver)), unpack_summary(packed))
            if event.summary.by_key:
                self._tell(entry, event)

    def _notice(self, engine: ReplayEngine) -> None:
        engine.leaving = True
        self._tell_all(RunnerLeft(engine.id))

    def _reclaim(self, engine: ReplayEngine) -> None:
        for number in engine.reclaim():
            self._cut(self._sessions[number])

    def _cut(self, session: _Session) -> None:
        """End a stream that was being read; run anything else again elsewhere."""
        if session.line.stream and session.done > 0:
            self._tally.lost += 1
            self._end(session, EndReason.FAILED)
            return
        excluded = session.work.excluded | {session.engine.id}
        entry = self._entries[session.entry]
        self._tell(entry, Ended(session.work.id, session.done, EndReason.FAILED))
        session.engine = None
        session.done = 0
        session.work = replace(session.work, excluded=excluded)
        self._tell(entry, Arrived(session.work))

    def _bring_back(self, engine: ReplayEngine) -> None:
        engine.replace()
        self._tell_all(RunnerSeen(engine.info))
