"""Decides whom to send heartbeats, whom to suspect, and what is known of every instance."""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from egretstack.ids import InstanceId, Revision, RunnerId
from egretstack.membership._divergence import DivergenceDetector
from egretstack.membership._duplicates import DuplicateDetector
from egretstack.membership._exchange import AnyHeartbeat, Exchange
from egretstack.membership._failure_detector import FailureDetector
from egretstack.membership._flap_damping import FlapDamping
from egretstack.membership._listing import Listing
from egretstack.membership._messages import Heartbeat, HeartbeatAnswer
from egretstack.membership._rings import Rings
from egretstack.membership._row_expiry import RowExpiry
from egretstack.membership._rows import (
    NO_EXPIRY,
    InstanceRow,
    InstanceState,
    RunnerNotice,
)
from egretstack.membership._table import Table
from egretstack.membership._views import InstanceView, Views
from egretstack.objectapi import Member

TICK_S = 0.2
"""Time between calls of `tick`, and between two messages to one neighbour that carry updates."""
HEARTBEAT_INTERVAL_S = 1.0
ANSWER_TIMEOUT_S = 1.0
SUSPICION_TIMEOUT_S = 4.0
"""Time in which a suspect can refute the suspicion before it counts as gone."""
PAUSE_THRESHOLD_S = 2.0
PROBE_INTERVAL_S = 5.0
REFUTE_INTERVAL_S = 1.0
NOTICE_TTL_S = 180.0
_MS = 1000


@dataclass(frozen=True)
class HeartbeatRequest:
    """A heartbeat to send; call `on_answer` with the peer's answer, `on_timeout` if none comes."""

    peer: Member
    message: Heartbeat


class MembershipState:
    """Membership as one process sees it.

    `now_s` is the runtime's clock, `epoch_s` seconds since the Unix epoch. Calls that change the
    state increment `changes`.
    """

    def __init__(self, own: Member, now_s: float, epoch_s: float, rng: random.Random) -> None:
        self.own = InstanceId(own.id)
        self.changes = 0
        self._rng = rng
        self._epoch_offset_s = epoch_s - now_s
        self._table = Table()
        self._row = InstanceRow(own, int(epoch_s * _MS), InstanceState.LIVE)
        self._table.put(self._row)
        self._exchange = Exchange(self._row.incarnation, self._table)
        self._listing = Listing(self._table)
        self._detector = FailureDetector()
        self._divergence = DivergenceDetector()
        self._flap_damping = FlapDamping()
        self._rings = Rings(self.own)
        self._view_index = Views(self._table)
        self._views = self._view_index.by_id
        self._sent_s: dict[InstanceId, float] = {}
        self._in_flight: set[InstanceId] = set()
        self._suspected_here: set[InstanceId] = set()
        self._suspect_until_s: dict[InstanceId, float] = {}
        self._row_expiry = RowExpiry(now_s)
        self._ticked_s = now_s
        self._probed_s = now_s
        self._refuted_s = float("-inf")
        self._duplicates = DuplicateDetector()
        self._refresh()

    @property
    def digest(self) -> int:
        """Return the digest of the whole table; equal digests mean equal tables."""
        return self._table.digest

    @property
    def duplicate_alarms(self) -> int:
        """Return how often another process was found that uses this instance's id."""
        return self._duplicates.alarms

    @property
    def own_member(self) -> Member:
        """Return this instance's own address."""
        return self._row.member

    def views(self) -> dict[InstanceId, InstanceView]:
        """Return every known instance, including this one."""
        return self._views

    def live(self, now_s: float) -> list[Member]:
        """Return the instances that accept requests and are not held down for flapping."""
        return [
            view.member
            for name, view in self._views.items()
            if view.accepts_requests and self._flap_damping.is_stable(now_s, name)
        ]

    def members(self) -> list[Member]:
        """Return the platform's list as any instance last read it."""
        return self._view_index.members()

    def neighbours(self) -> set[InstanceId]:
        """Return the instances that this one exchanges heartbeats with."""
        return {*self._rings.watched(), *self._rings.watchers()}

    def set_revision(self, revision: Revision) -> None:
        """Send another applied configuration revision, from the next tick on."""
        self._exchange.revision = revision
        self._sent_s.clear()

    def apply_list(self, now_s: float, members: list[Member]) -> None:
        """Merge a reading of the platform's list at once."""
        for _ in self.apply_list_steps(now_s, members):
            pass

    def apply_list_steps(self, now_s: float, members: list[Member]) -> Iterator[None]:
        """Merge a reading step by step; other calls may come between, another reading may not."""
        self._detector.record_list_read(now_s)
        self._divergence.record_list_read(now_s)
        for changed in self._listing.steps(self._epoch_ms(now_s), members):
            if changed:
                self._refresh()
            yield

    def wants_list(self, now_s: float) -> bool:
        """Return whether the list is to be read ahead of the plan."""
        return self._divergence.needs_list(now_s)

    def leave(self) -> None:
        """Inform everyone that this instance is leaving, from the next tick on."""
        self._set_own_state(InstanceState.LEAVING)

    def stop(self) -> None:
        """Inform everyone that this instance is gone, from the next tick on."""
        self._set_own_state(InstanceState.GONE)

    def announce_runner(
        self, now_s: float, runner: RunnerId, leaving: bool, for_good: bool
    ) -> None:
        """Inform everyone that a runner is leaving, or accepts requests again.

        A notice that is not for good expires after `NOTICE_TTL_S` unless it is repeated.
        """
        old = self._table.get(RunnerNotice.key_of(runner))
        if old is None and not leaving:
            return
        if old is not None and old.leaving == leaving and old.until == NO_EXPIRY:
            return
        epoch_ms = self._epoch_ms(now_s)
        stamp = epoch_ms if old is None else max(epoch_ms, old.stamp + 1)
        until = NO_EXPIRY if for_good else stamp + int(NOTICE_TTL_S * _MS)
        self._table.put(RunnerNotice(runner, leaving, stamp, until))
        self._refresh()

    def tick(self, now_s: float) -> list[HeartbeatRequest]:
        """Return the heartbeats that are due; call it every `TICK_S`."""
        if now_s - self._ticked_s > PAUSE_THRESHOLD_S:
            self._on_resume(now_s)
        self._ticked_s = now_s
        self._refute(now_s)
        self._expire(now_s)
        if self._row_expiry.sweep(
            now_s, self._epoch_ms(now_s), self._table, self._view_index.listed_ids
        ):
            self._refresh()
        due = [
            peer
            for peer in self._rings.watched()
            if self._is_due(now_s, peer, HEARTBEAT_INTERVAL_S)
        ]
        due += [peer for peer in sorted(self.neighbours()) if self._is_update_due(now_s, peer)]
        due += self._probe(now_s)
        return [self._request(now_s, peer) for peer in dict.fromkeys(due) if peer in self._views]

    def on_heartbeat(self, now_s: float, peer: InstanceId, message: Heartbeat) -> HeartbeatAnswer:
        """Apply a peer's heartbeat and return the answer. Raises RowError."""
        self._detector.record_message(now_s, peer)
        self._apply(now_s, peer, message)
        return self._exchange.message(peer, HeartbeatAnswer)

    def on_answer(self, now_s: float, peer: InstanceId, message: HeartbeatAnswer) -> None:
        """Apply a peer's answer. Raises RowError."""
        self._in_flight.discard(peer)
        self._detector.record_answer(now_s, peer)
        self._apply(now_s, peer, message)

    def on_timeout(self, now_s: float, peer: InstanceId) -> None:
        """Record that a heartbeat got no answer in time."""
        self._in_flight.discard(peer)
        view = self._views.get(peer)
        if view is None or not self._detector.record_miss(now_s, peer):
            return
        if view.state in (InstanceState.LIVE, InstanceState.LEAVING):
            self._suspected_here.add(peer)
            self._set_state(now_s, peer, InstanceState.SUSPECT)

    def _is_due(self, now_s: float, peer: InstanceId, period_s: float) -> bool:
        waited_s = now_s - self._sent_s.get(peer, float("-inf"))
        return peer not in self._in_flight and waited_s >= period_s - TICK_S / 2

    def _is_update_due(self, now_s: float, peer: InstanceId) -> bool:
        """Return whether to send updates ahead of the next heartbeat."""
        # A peer that does not answer gets regular heartbeats only: refused connections fail at
        # once, and the misses of a second would be counted in a fraction of it.
        responsive = self._detector.is_responsive(peer)
        return responsive and self._is_due(now_s, peer, TICK_S) and self._exchange.has_updates(peer)

    def _request(self, now_s: float, peer: InstanceId) -> HeartbeatRequest:
        self._in_flight.add(peer)
        self._sent_s[peer] = now_s
        return HeartbeatRequest(self._views[peer].member, self._exchange.message(peer))

    def _probe(self, now_s: float) -> list[InstanceId]:
        """Probe one instance that is gone: separated halves of a fleet find each other this way."""
        if now_s - self._probed_s < PROBE_INTERVAL_S:
            return []
        self._probed_s = now_s
        gone = [
            name
            for name, view in self._views.items()
            if view.state is InstanceState.GONE and name != self.own
        ]
        free = [name for name in gone if name not in self._in_flight]
        return [self._rng.choice(free)] if free else []

    def _apply(self, now_s: float, peer: InstanceId, message: AnyHeartbeat) -> None:
        before = self._views
        updates = self._exchange.apply(peer, message)
        self._divergence.record_comparison(now_s, peer, message.digest == self._table.digest)
        if not updates:
            return
        for row in updates:
            if isinstance(row, InstanceRow):
                self._on_instance_row(now_s, row, before)
        self._refresh()

    def _on_instance_row(
        self, now_s: float, row: InstanceRow, before: dict[InstanceId, InstanceView]
    ) -> None:
        name = InstanceId(row.member.id)
        if name == self.own:
            return
        if row.state is InstanceState.SUSPECT:
            self._suspect_until_s[name] = now_s + SUSPICION_TIMEOUT_S
            return
        self._suspect_until_s.pop(name, None)
        if row.state is InstanceState.GONE:
            return
        was_gone = name in before and before[name].state is InstanceState.GONE
        if was_gone:
            self._flap_damping.record_return(now_s, name)
        elif name in self._suspected_here:
            self._detector.record_false_suspicion(now_s, name)
        self._suspected_here.discard(name)

    def _refute(self, now_s: float) -> None:
        """Refute what others state of this instance, by a higher incarnation."""
        held = self._table.get(self._row.key)
        if held == self._row or now_s - self._refuted_s < REFUTE_INTERVAL_S:
            return
        self._refuted_s = now_s
        if not self._duplicates.may_refute(now_s, held):
            return
        # A process that resumes after a pause, or that restarted on a machine whose clock is
        # behind, finds its own row overruled; nobody would believe it until its incarnation is
        # above that of the row.
        self._row = InstanceRow(self._row.member, held.incarnation + 1, self._row.state)
        self._table.put(self._row)
        self._refresh()

    def _set_own_state(self, state: InstanceState) -> None:
        self._row = self._row.with_state(state)
        self._table.put(self._row)
        self._refresh()

    def _set_state(self, now_s: float, peer: InstanceId, state: InstanceState) -> None:
        row = self._table.get(InstanceRow.key_of(peer))
        if row is None:
            row = InstanceRow(self._views[peer].member, 0, InstanceState.LIVE)
        row = row.with_state(state)
        if self._table.put(row):
            if state is InstanceState.SUSPECT:
                self._suspect_until_s[peer] = now_s + SUSPICION_TIMEOUT_S
            self._refresh()

    def _expire(self, now_s: float) -> None:
        for name, until_s in list(self._suspect_until_s.items()):
            if now_s >= until_s:
                del self._suspect_until_s[name]
                self._set_state(now_s, name, InstanceState.GONE)

    def _epoch_ms(self, now_s: float) -> int:
        return int((now_s + self._epoch_offset_s) * _MS)

    def _on_resume(self, now_s: float) -> None:
        self._detector.reset_misses()
        for name in self._suspect_until_s:
            self._suspect_until_s[name] = now_s + SUSPICION_TIMEOUT_S

    def _refresh(self) -> None:
        self._view_index.follow()
        present = {
            name for name, view in self._views.items() if view.state is not InstanceState.GONE
        }
        self._rings.update(present)
        kept = self.neighbours() | self._in_flight
        self._exchange.retain(kept)
        self._detector.retain(kept)
        self._divergence.retain(kept)
        self._flap_damping.retain(set(self._views))
        for name in self._sent_s.keys() - kept:
            del self._sent_s[name]
        self.changes += 1
