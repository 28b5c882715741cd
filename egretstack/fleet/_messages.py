"""What instances tell and ask each other in datagrams; numbers 70 to 89.

Rows are lists, in the order of the fields that the functions here name. Whatever is lost is told
again within a period, or asked again; nothing that callers were promised rests on any of it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import ClassVar

from egretstack.fleet._instance import Instance, InstanceState, KnownInstance, StoreReachability
from egretstack.fleet._runner import Incarnation, Runner, RunnerState
from egretstack.ids import InstanceId, RunnerName, ServiceName, ZoneName
from egretstack.messages import Message, MessageError

MAX_ROWS = 4096


@dataclass(frozen=True)
class InstanceReport(Message):
    """An instance tells the home, and the next in line, of itself and of what it runs."""

    number: ClassVar[int] = 70
    sender: list
    """One row as `instance_row` makes it."""
    home: str
    """Whom the sender takes for the home."""
    held: list
    """Epoch and version of the news that the sender holds, and whether it missed some."""
    runs: list
    answers: list
    """What plain runners made of its calls of the last moment, a row each."""
    strikes: list
    """Runners that ended while they ran its requests, a row each."""
    clears: list
    """Requests that runners have answered since some ended under them: content and round."""
    leaving: list
    """Ids of runners that are known to leave, whatever the store says."""
    limits: list
    """What runners said lately of how many requests they take, a row each."""


@dataclass(frozen=True)
class FleetNews(Message):
    """The home tells an instance what changed of the instances and runners since a version."""

    number: ClassVar[int] = 71
    home: list
    """The sender's own row, as `instance_row` makes it."""
    epoch: int
    """Whose versions these are: drawn at random by each home when it becomes one."""
    continued_epoch: int
    """The epoch whose versions this one goes on from."""
    continued_version: int
    """The last version of it that the sender had."""
    base: int
    upto: int
    latest: int
    """The version that the sender has itself."""
    rows: bytes
    """Packed changes after the version `base`, up to `upto`."""
    runners_revision: int
    runners_age_ms: int
    evacuations_revision: int
    """Revision of the store as of which the sender knows the evacuated zones; 0 if it does not."""
    evacuations_age_ms: int
    config_version: int
    """The newest that any instance reports."""
    config_holders: list
    """Ids of some instances that have it."""


@dataclass(frozen=True)
class FleetLoads(Message):
    """The home tells the loads of some engines, for whoever places alone when it falls silent."""

    number: ClassVar[int] = 81
    home: str
    loads: list


@dataclass(frozen=True)
class FleetView(Message):
    """An instance that is not the home points a peer that follows another one to its home."""

    number: ClassVar[int] = 77
    instances: list


@dataclass(frozen=True)
class PlaceAsk(Message):
    """Asks the home for a runner for one generation."""

    number: ClassVar[int] = 72
    sender: str
    work: list


@dataclass(frozen=True)
class PlaceAnswer(Message):
    """The runner; without one the work waits at the home, and this forecasts for how long."""

    number: ClassVar[int] = 73
    attempt: str
    runner: str
    backup: str
    retry_after_ms: int
    runners: list
    """Rows of the runners named, for an asker that has not heard of them yet."""
    refused: bool
    """Whether no engine may take the work in time; then it does not wait."""


@dataclass(frozen=True)
class PlaceDrop(Message):
    """Nobody waits for this place any more."""

    number: ClassVar[int] = 80
    attempt: str


@dataclass(frozen=True)
class BackupAsk(Message):
    """Asks the home where a run that goes on at another runner is copied from now on."""

    number: ClassVar[int] = 78
    sender: str
    attempt: str
    runner: str
    """Where the run goes on."""
    source: str
    """Where it was before."""


@dataclass(frozen=True)
class BackupAnswer(Message):
    """The runner for the copy; empty if there is no room."""

    number: ClassVar[int] = 79
    attempt: str
    backup: str


@dataclass(frozen=True)
class MoveAsk(Message):
    """Asks the home for this run's turn to be copied off its runner."""

    number: ClassVar[int] = 74
    sender: str
    attempt: str
    source: str
    order: float
    """The lowest goes first."""
    refused: list
    """Engines that had no room for its copy a moment ago."""


@dataclass(frozen=True)
class MoveTurn(Message):
    """Where to copy the run to."""

    number: ClassVar[int] = 75
    attempt: str
    source: str
    destination: str


@dataclass(frozen=True)
class MoveDone(Message):
    """The turn is over, however it went."""

    number: ClassVar[int] = 76
    sender: str
    attempt: str
    source: str


def instance_row(known: KnownInstance) -> list:
    """Give the row of an instance."""
    instance = known.instance
    return [
        instance.id,
        instance.zone,
        instance.front_address,
        instance.peer_address,
        instance.strength,
        known.incarnation,
        known.state.value,
        known.store.value,
        known.config_version,
    ]


def broadcast_instance_row(known: KnownInstance, *, watches: bool) -> list:
    """Give the row of an instance for all others, without what changes in all at the same time.

    That is the configuration, and whether it reaches the store; of those that watch the store for
    the others all have to know that.
    """
    store = (
        known.store
        if watches or known.store is StoreReachability.UNREACHABLE
        else StoreReachability.UNKNOWN
    )
    return [*instance_row(replace(known, store=store))[:-1], 0]


def instance_from_row(row: object) -> KnownInstance:
    """Read the row of an instance. Raises MessageError."""
    try:
        name, zone, front, peer, strength, incarnation, state, store, version = row
        instance = Instance(
            InstanceId(str(name)), ZoneName(str(zone)), str(front), str(peer), int(strength)
        )
        return KnownInstance(
            instance, int(incarnation), InstanceState(state), StoreReachability(store), int(version)
        )
    except (TypeError, ValueError) as error:
        raise MessageError(f"not an instance: {error}") from error


def runner_row(runner: Runner) -> list:
    """Give the row of a runner."""
    return [
        runner.incarnation.name,
        runner.incarnation.started_ms,
        runner.service,
        runner.address,
        runner.zone,
        runner.slots,
        runner.state.value,
        round(runner.cold_s * 1000),
        runner.confirmed_at_revision,
    ]


def runner_from_row(row: object) -> Runner:
    """Read the row of a runner. Raises MessageError."""
    try:
        name, started_ms, service, address, zone, slots, state, cold_ms, confirmed_at = row
        return Runner(
            Incarnation(RunnerName(str(name)), None if started_ms is None else int(started_ms)),
            ServiceName(str(service)),
            str(address),
            ZoneName(str(zone)),
            int(slots),
            RunnerState(state),
            int(cold_ms) / 1000,
            int(confirmed_at),
        )
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a runner: {error}") from error


def parse_rows(rows: Iterable, parse_row) -> list:
    """Read the rows of a message; raise MessageError if there are too many or one is bad."""
    rows = list(rows)
    if len(rows) > MAX_ROWS:
        raise MessageError(f"{len(rows)} rows")
    return [parse_row(row) for row in rows]
