"""The rows of the matrix: the faults; each takes effect at once, and most end by themselves."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import trio

from standins.world import PORTS
from tests.matrix.deployment import Deployment
from tests.matrix.history import Path, StoreAvailable, StoreUnavailable

RECLAIM_NOTICE_S = 6.0
STALL_S = 8.0
UNAVAILABLE_S = 20.0
STORE_DELAY_S = 1.0
PAUSED_S = 6.0
LEASE_LAPSE_S = 40.0
LIST_REMOVAL_DELAY_S = 10.0


@dataclass(frozen=True)
class Target:
    """Target of a fault: the path, the instance that serves it, and the upstream that runs it."""

    path: Path
    entry: str
    upstream: str

    @property
    def processes(self) -> tuple[str, ...]:
        """Return the processes that a kill or pause has to hit for the path."""
        if self.path is Path.CHANGE:
            return (self.entry, f"{self.entry}.steward")
        if self.path is Path.ORDER:
            return (f"{self.entry}.steward",)
        return (self.entry,)


class Fault(ABC):
    """A fault that cells inject."""

    @abstractmethod
    def inject(self, deployment: Deployment, target: Target) -> None:
        """Start the fault."""

    async def heal(self, deployment: Deployment, target: Target) -> None:
        """Wait, and end the fault if it is one that ends."""
        await trio.lowlevel.checkpoint()


class EngineDies(Fault):
    """The upstream's process dies."""

    def inject(self, deployment: Deployment, target: Target) -> None:
        """Refuse connections and break the open ones."""
        deployment.kill_upstream(target.upstream)


class EngineReclaimed(Fault):
    """The upstream is announced as leaving, and dies soon after."""

    def inject(self, deployment: Deployment, target: Target) -> None:
        """Announce that the upstream leaves."""
        deployment.announce_leaving(target.upstream)

    async def heal(self, deployment: Deployment, target: Target) -> None:
        """Kill the upstream and remove it from the list."""
        await trio.sleep(RECLAIM_NOTICE_S)
        deployment.kill_upstream(target.upstream)
        deployment.world.listed.by_id.pop(target.upstream, None)


class LinkStalls(Fault):
    """Links to the upstream, or between instances, carry no data for some time."""

    def inject(self, deployment: Deployment, target: Target) -> None:
        """Stall the links."""
        if target.path is Path.CHANGE:
            own = deployment.world.listed_host(target.entry)
            for name in deployment.process_by_name:
                if "." not in name and name != target.entry:
                    deployment.world.network.cut(own, deployment.world.listed_host(name))
            return
        _set_stalled(deployment, target, True)

    async def heal(self, deployment: Deployment, target: Target) -> None:
        """Let the links carry data again."""
        await trio.sleep(STALL_S)
        deployment.world.network.heal()
        if target.path is not Path.CHANGE:
            _set_stalled(deployment, target, False)


class ConnectionSilent(Fault):
    """Open connections to the upstream, or between instances, never carry data again."""

    def inject(self, deployment: Deployment, target: Target) -> None:
        """Drop everything that open connections carry from now on."""
        now_s = trio.current_time()
        if target.path is Path.CHANGE:
            deployment.world.network.silence_open_streams()
            deployment.world.store.faults.silent_watches = True
        elif target.upstream in deployment.world.engine_by_id:
            faults = deployment.world.engine_by_id[target.upstream].faults
            # A stream opened at this very moment counts as open.
            faults.silent_before = now_s + 0.001
            faults.wake()
        else:
            deployment.world.plain_faults_by_id[target.upstream].silent = True

    async def heal(self, deployment: Deployment, target: Target) -> None:
        """Let new connections work."""
        await trio.sleep(STALL_S)
        deployment.world.store.faults.silent_watches = False
        if target.upstream in deployment.world.plain_faults_by_id:
            deployment.world.plain_faults_by_id[target.upstream].silent = False


class CallerConnectionSilent(Fault):
    """Open connections between callers and the entry never carry data again."""

    def inject(self, deployment: Deployment, target: Target) -> None:
        """Drop everything that they carry from now on."""
        host = deployment.world.listed_host(target.entry)
        deployment.world.http.silence(host, PORTS["caller"])


class StoreDown(Fault):
    """The object API does not answer."""

    def inject(self, deployment: Deployment, target: Target) -> None:
        """Make it unavailable."""
        deployment.history.add(StoreUnavailable)
        deployment.world.store.faults.down = True
        deployment.world.store._notify_watches()

    async def heal(self, deployment: Deployment, target: Target) -> None:
        """Make it available again."""
        await trio.sleep(UNAVAILABLE_S)
        deployment.world.store.faults.down = False
        deployment.history.add(StoreAvailable)


class StoreSlow(Fault):
    """Each call to the object API takes a second."""

    def inject(self, deployment: Deployment, target: Target) -> None:
        """Delay every call."""
        deployment.history.add(StoreUnavailable)
        deployment.world.store.faults.delay_s = STORE_DELAY_S

    async def heal(self, deployment: Deployment, target: Target) -> None:
        """End the delay."""
        await trio.sleep(UNAVAILABLE_S)
        deployment.world.store.faults.delay_s = 0.0
        deployment.history.add(StoreAvailable)


class ListDown(Fault):
    """The instance list does not answer."""

    def inject(self, deployment: Deployment, target: Target) -> None:
        """Make it unavailable."""
        deployment.world.listed.down = True

    async def heal(self, deployment: Deployment, target: Target) -> None:
        """Make it available again."""
        await trio.sleep(UNAVAILABLE_S)
        deployment.world.listed.down = False


class AnswerLost(Fault):
    """The next write takes effect and its answer is lost."""

    def inject(self, deployment: Deployment, target: Target) -> None:
        """Drop the answer of the next write."""
        deployment.world.store.faults.lose_answers = 1

    async def heal(self, deployment: Deployment, target: Target) -> None:
        """End the fault, also if nothing was written."""
        await trio.sleep(STALL_S)
        deployment.world.store.faults.lose_answers = 0


class EntryFrozen(Fault):
    """The process is paused for less than its peers' and callers' timeouts, and resumes."""

    pause_s = PAUSED_S

    def inject(self, deployment: Deployment, target: Target) -> None:
        """Pause the processes."""
        for name in target.processes:
            deployment.pause(name)

    async def heal(self, deployment: Deployment, target: Target) -> None:
        """Resume the processes."""
        await trio.sleep(self.pause_s)
        for name in target.processes:
            deployment.resume(name)


class LeaseLapsed(EntryFrozen):
    """The process is paused longer than every lease and timeout; others take over; it resumes."""

    pause_s = LEASE_LAPSE_S


class OperatorsRace(Fault):
    """Two operators change the same version of a contract at the same time."""

    def inject(self, deployment: Deployment, target: Target) -> None:
        """Start both changes."""
        base = deployment.contract_digest()
        for operator in ("racer-a", "racer-b"):
            deployment.world.nursery.start_soon(deployment.change, operator, base)

    async def heal(self, deployment: Deployment, target: Target) -> None:
        """Wait until both have their answers."""
        await trio.sleep(STALL_S)


class EntryKilled(Fault):
    """The process is killed; its instance stays in the list for some time."""

    def inject(self, deployment: Deployment, target: Target) -> None:
        """Kill the processes."""
        for name in target.processes:
            deployment.kill(name)

    async def heal(self, deployment: Deployment, target: Target) -> None:
        """Remove the instance from the list."""
        await trio.sleep(LIST_REMOVAL_DELAY_S)
        if target.path is not Path.ORDER:
            deployment.world.listed.by_id.pop(target.entry, None)


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


def _set_stalled(deployment: Deployment, target: Target, stalled: bool) -> None:
    engine = deployment.world.engine_by_id.get(target.upstream)
    if engine is None:
        deployment.world.plain_faults_by_id[target.upstream].stalled = stalled
        return
    engine.faults.stalled = stalled
    engine.faults.wake()
