"""The rows of the matrix: each fault strikes at once, and heals by itself where it can."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import trio

from standins.world import PORTS
from tests.matrix.history import Path, StoreAway, StoreBack
from tests.matrix.site import Site

RECLAIM_NOTICE_S = 6.0
STALL_S = 8.0
STORE_AWAY_S = 20.0
STORE_DELAY_S = 1.0
FROZEN_S = 6.0
LAPSED_S = 40.0
LIST_FORGETS_S = 10.0


@dataclass(frozen=True)
class Target:
    """What a fault strikes: the path, the instance that serves it, the upstream that works."""

    path: Path
    entry: str
    upstream: str

    @property
    def processes(self) -> tuple[str, ...]:
        """Give the processes whose death or pause matters for the path."""
        if self.path is Path.CHANGE:
            return (self.entry, f"{self.entry}.steward")
        if self.path is Path.ORDER:
            return (f"{self.entry}.steward",)
        return (self.entry,)


class Fault(ABC):
    """One fault."""

    @abstractmethod
    def strike(self, site: Site, target: Target) -> None:
        """Take effect at once."""

    async def heal(self, site: Site, target: Target) -> None:
        """Wait, and end the fault where it ends."""
        await trio.lowlevel.checkpoint()


class EngineDies(Fault):
    """The upstream's process dies."""

    def strike(self, site: Site, target: Target) -> None:
        """Refuse connections and break the open ones."""
        site.die(target.upstream)


class EngineReclaimed(Fault):
    """The upstream is said to be leaving, and dies soon after."""

    def strike(self, site: Site, target: Target) -> None:
        """Give the notice."""
        site.leave(target.upstream)

    async def heal(self, site: Site, target: Target) -> None:
        """Die, and leave the list."""
        await trio.sleep(RECLAIM_NOTICE_S)
        site.die(target.upstream)
        site.world.listed.by_id.pop(target.upstream, None)


class LinkStalls(Fault):
    """Nothing moves on the links to the upstream, or between instances, for a while."""

    def strike(self, site: Site, target: Target) -> None:
        """Stall."""
        if target.path is Path.CHANGE:
            own = site.world.listed_host(target.entry)
            for name in site.process_by_name:
                if "." not in name and name != target.entry:
                    site.world.network.cut(own, site.world.listed_host(name))
            return
        _set_stalled(site, target, True)

    async def heal(self, site: Site, target: Target) -> None:
        """Go on."""
        await trio.sleep(STALL_S)
        site.world.network.heal()
        if target.path is not Path.CHANGE:
            _set_stalled(site, target, False)


class ConnectionSilent(Fault):
    """Open connections to the upstream, or between instances, are silent for good."""

    def strike(self, site: Site, target: Target) -> None:
        """Lose all that open connections carry from now on."""
        now_s = trio.current_time()
        if target.path is Path.CHANGE:
            site.world.network.silence_open_streams()
            site.world.store.faults.silent_watches = True
        elif target.upstream in site.world.engine_by_id:
            faults = site.world.engine_by_id[target.upstream].faults
            # A stream opened at this very moment counts as open.
            faults.silent_before = now_s + 0.001
            faults.wake()
        else:
            site.world.plain_faults_by_id[target.upstream].silent = True

    async def heal(self, site: Site, target: Target) -> None:
        """Let new connections work."""
        await trio.sleep(STALL_S)
        site.world.store.faults.silent_watches = False
        if target.upstream in site.world.plain_faults_by_id:
            site.world.plain_faults_by_id[target.upstream].silent = False


class CallerConnectionSilent(Fault):
    """Open connections between callers and the entry are silent for good."""

    def strike(self, site: Site, target: Target) -> None:
        """Lose all that they carry from now on."""
        host = site.world.listed_host(target.entry)
        site.world.http.silence(host, PORTS["caller"])


class StoreDown(Fault):
    """The object API does not answer."""

    def strike(self, site: Site, target: Target) -> None:
        """Go away."""
        site.history.add(StoreAway)
        site.world.store.faults.down = True
        site.world.store._notify_watches()

    async def heal(self, site: Site, target: Target) -> None:
        """Come back."""
        await trio.sleep(STORE_AWAY_S)
        site.world.store.faults.down = False
        site.history.add(StoreBack)


class StoreSlow(Fault):
    """Each call to the object API takes a second."""

    def strike(self, site: Site, target: Target) -> None:
        """Slow down."""
        site.history.add(StoreAway)
        site.world.store.faults.delay_s = STORE_DELAY_S

    async def heal(self, site: Site, target: Target) -> None:
        """Be quick again."""
        await trio.sleep(STORE_AWAY_S)
        site.world.store.faults.delay_s = 0.0
        site.history.add(StoreBack)


class ListDown(Fault):
    """The instance list does not answer."""

    def strike(self, site: Site, target: Target) -> None:
        """Go away."""
        site.world.listed.down = True

    async def heal(self, site: Site, target: Target) -> None:
        """Come back."""
        await trio.sleep(STORE_AWAY_S)
        site.world.listed.down = False


class AnswerLost(Fault):
    """The next write takes effect and its answer is lost."""

    def strike(self, site: Site, target: Target) -> None:
        """Lose one answer."""
        site.world.store.faults.lose_answers = 1

    async def heal(self, site: Site, target: Target) -> None:
        """Forget it where nothing was written."""
        await trio.sleep(STALL_S)
        site.world.store.faults.lose_answers = 0


class EntryFrozen(Fault):
    """The process is stopped for less than its peers' and callers' timeouts, and goes on."""

    pause_s = FROZEN_S

    def strike(self, site: Site, target: Target) -> None:
        """Freeze."""
        for name in target.processes:
            site.freeze(name)

    async def heal(self, site: Site, target: Target) -> None:
        """Thaw."""
        await trio.sleep(self.pause_s)
        for name in target.processes:
            site.thaw(name)


class LeaseLapsed(EntryFrozen):
    """The process is stopped past every lease and timeout; others take over; it goes on."""

    pause_s = LAPSED_S


class OperatorsRace(Fault):
    """Two operators change the same contract from the same version at once."""

    def strike(self, site: Site, target: Target) -> None:
        """Start both."""
        base = site.contract_digest()
        for operator in ("racer-a", "racer-b"):
            site.world.nursery.start_soon(site.change, operator, base)

    async def heal(self, site: Site, target: Target) -> None:
        """Wait until both were told."""
        await trio.sleep(STALL_S)


class EntryKilled(Fault):
    """The process is killed; the list goes on naming its instance for a while."""

    def strike(self, site: Site, target: Target) -> None:
        """Kill."""
        for name in target.processes:
            site.kill(name)

    async def heal(self, site: Site, target: Target) -> None:
        """Leave the list."""
        await trio.sleep(LIST_FORGETS_S)
        if target.path is not Path.ORDER:
            site.world.listed.by_id.pop(target.entry, None)


FAULT_BY_NAME: dict[str, Fault] = {
    "engine_dies": EngineDies(),
    "engine_reclaimed": EngineReclaimed(),
    "link_stalls": LinkStalls(),
    "connection_silent": ConnectionSilent(),
    "caller_connection_silent": CallerConnectionSilent(),
    "store_down": StoreDown(),
    "store_slow": StoreSlow(),
    "list_down": ListDown(),
    "answer_lost": AnswerLost(),
    "lease_lapsed": LeaseLapsed(),
    "operators_race": OperatorsRace(),
    "entry_killed": EntryKilled(),
    "entry_frozen": EntryFrozen(),
}


def _set_stalled(site: Site, target: Target, stalled: bool) -> None:
    engine = site.world.engine_by_id.get(target.upstream)
    if engine is None:
        site.world.plain_faults_by_id[target.upstream].stalled = stalled
        return
    engine.faults.stalled = stalled
    engine.faults.wake()
