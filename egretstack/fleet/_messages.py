"""Datagrams between instances; numbers 70 to 89.

Rows are lists, in the order of the fields that the functions here name. Whatever is lost is sent or
requested again within a period; no guarantee to clients depends on any of it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import ClassVar

from egretstack.fleet._instance import Instance, InstanceState, KnownInstance, StoreReachability
from egretstack.fleet._runner import Incarnation, Runner, RunnerState
from egretstack.http1 import is_address, is_header_text
from egretstack.ids import InstanceId, RunnerName, ServiceName, ZoneName
from egretstack.messages import Message, MessageError, checked_integer

MAX_ROWS = 4096


@dataclass(frozen=True)
class InstanceReport(Message):
    """An instance reports its status and its runs to the home and to the next in line."""

    number: ClassVar[int] = 70
    sender: list
    """One row as made by `instance_row`."""
    home: str
    """The instance that the sender takes for the home."""
    held: list
    """Epoch and version of the updates that the sender holds, and whether it missed some."""
    runs: list
    answers: list
    """Outcomes of the sender's recent calls to plain runners, a row each."""
    strikes: list
    """Runners that ended while they ran the sender's requests, a row each."""
    clears: list
    """Requests that were answered after runners had ended while running them: content id and
    round."""
    part_strikes: list
    """Runners that ended as the sender's runs began to write, with the parts of their prompts."""
    part_proofs: list
    """Parts that the home suspects and that the sender's runs have proven sound, a row each."""
    proven_runs: int
    """How many of the sender's runs lately began without an end of their runner."""
    leaving: list
    """Ids of runners that are known to be leaving, whatever the store lists."""
    limits: list
    """Rate limits that runners lately gave, a row each."""
    brittle: list
    """Rejections a second that brittle runners lately said to bear, a row each."""


@dataclass(frozen=True)
class FleetNews(Message):
    """The home sends an instance the changes of instances and runners after a version."""

    number: ClassVar[int] = 71
    home: list
    """The sender's own row, as made by `instance_row`."""
    epoch: int
    """Whose versions these are: drawn at random by each home when it becomes home."""
    continued_epoch: int
    """The epoch whose versions this one continues."""
    continued_version: int
    """The last version of that epoch that the sender had."""
    base: int
    upto: int
    latest: int
    """The sender's own version."""
    rows: bytes
    """Packed changes after the version `base`, up to `upto`."""
    runners_revision: int
    runners_age_ms: int
    evacuations_revision: int
    """Revision of the store at which the sender knows the evacuated zones; 0 if it does not."""
    evacuations_age_ms: int
    config_version: int
    """The newest version that any instance reports."""
    config_holders: list
    """Ids of some instances that have it."""


@dataclass(frozen=True)
class FleetLoads(Message):
    """The home sends the loads of some engines, for instances that place without it if it fails."""

    number: ClassVar[int] = 81
    home: str
    loads: list


@dataclass(frozen=True)
class EngineTimings(Message):
    """An instance reports to the home and to the next in line how fast engines served its runs."""

    number: ClassVar[int] = 82
    sender: str
    timings: list
    """A row for each engine with new timings since the last message."""


@dataclass(frozen=True)
class FleetView(Message):
    """An instance that is not the home refers a peer that follows another home to the right one."""

    number: ClassVar[int] = 77
    instances: list


@dataclass(frozen=True)
class HeldRows(Message):
    """An instance sends a new home rows that it holds of an earlier one, and the new one lacks."""

    number: ClassVar[int] = 83
    sender: str
    rows: bytes
    """Packed changes, as in `FleetNews`."""


@dataclass(frozen=True)
class PlaceAsk(Message):
    """Requests a runner for one generation from the home."""

    number: ClassVar[int] = 72
    sender: str
    work: list


@dataclass(frozen=True)
class PlaceAnswer(Message):
    """The runner; without one the request is queued at the home, with a forecast of the wait."""

    number: ClassVar[int] = 73
    attempt: str
    runner: str
    backup: str
    retry_after_ms: int
    runners: list
    """Rows of the runners named, for a requester that does not know them yet."""
    refused: bool
    """Whether no engine can accept the request in time; it is not queued then."""


@dataclass(frozen=True)
class PlaceDrop(Message):
    """The request for a place is cancelled."""

    number: ClassVar[int] = 80
    attempt: str


@dataclass(frozen=True)
class BackupAsk(Message):
    """Requests from the home where to back up a run that goes on at another runner."""

    number: ClassVar[int] = 78
    sender: str
    attempt: str
    runner: str
    """Where the run goes on."""
    source: str
    """Where it was before."""


@dataclass(frozen=True)
class BackupAnswer(Message):
    """The runner for the backup; empty if there is no capacity."""

    number: ClassVar[int] = 79
    attempt: str
    backup: str


@dataclass(frozen=True)
class MoveAsk(Message):
    """Requests the permit to copy this run off its runner now."""

    number: ClassVar[int] = 74
    sender: str
    attempt: str
    source: str
    order: float
    """The run with the lowest value goes first."""
    refused: list
    """Engines that had no capacity for its copy a moment ago."""


@dataclass(frozen=True)
class MoveTurn(Message):
    """Grants the permit, and names the runner to copy the run to."""

    number: ClassVar[int] = 75
    attempt: str
    source: str
    destination: str


@dataclass(frozen=True)
class MoveDone(Message):
    """Returns the permit, whatever the outcome."""

    number: ClassVar[int] = 76
    sender: str
    attempt: str
    source: str


def instance_row(known: KnownInstance) -> list:
    """Return the row of an instance."""
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
        known.reaches_runners,
        known.config_version,
    ]


def broadcast_instance_row(known: KnownInstance, *, watches: bool) -> list:
    """Return an instance's row for all others, without what changes in all instances at once.

    These are the configuration version and whether it reaches the store. The latter stays in for
    those that watch the store for the others, since all have to know it.
    """
    store = (
        known.store
        if watches or known.store is StoreReachability.UNREACHABLE
        else StoreReachability.UNKNOWN
    )
    return [*instance_row(replace(known, store=store))[:-1], 0]


def instance_from_row(row: object) -> KnownInstance:
    """Parse the row of an instance. Raises MessageError."""
    try:
        name, zone, front, peer, strength, incarnation, state, store, reaches, version = row
        instance = Instance(
            InstanceId(str(name)),
            ZoneName(str(zone)),
            _checked_address(front),
            _checked_address(peer),
            checked_integer(strength),
        )
        return KnownInstance(
            instance,
            checked_integer(incarnation),
            InstanceState(state),
            StoreReachability(store),
            checked_integer(version),
            bool(reaches),
        )
    except (TypeError, ValueError, OverflowError) as error:
        raise MessageError(f"invalid instance row: {error}") from error


def runner_row(runner: Runner) -> list:
    """Return the row of a runner."""
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
    """Parse the row of a runner. Raises MessageError."""
    try:
        name, started_ms, service, address, zone, slots, state, cold_ms, confirmed_at = row
        return Runner(
            Incarnation(
                _checked_name(name), None if started_ms is None else checked_integer(started_ms)
            ),
            ServiceName(str(service)),
            _checked_address(address),
            ZoneName(str(zone)),
            checked_integer(slots),
            RunnerState(state),
            checked_integer(cold_ms) / 1000,
            checked_integer(confirmed_at),
        )
    except (TypeError, ValueError, OverflowError) as error:
        raise MessageError(f"invalid runner row: {error}") from error


def _checked_address(value: object) -> str:
    """Return an address to which a connection can be opened. Raises ValueError."""
    if not isinstance(value, str) or not is_address(value):
        raise ValueError("not an address")
    return value


def _checked_name(value: object) -> RunnerName:
    """Return a runner's name, which is sent in a header. Raises ValueError."""
    if not isinstance(value, str) or not is_header_text(value):
        raise ValueError("not a runner's name")
    return RunnerName(value)


def parse_rows(rows: Iterable, parse_row) -> list:
    """Parse the rows of a message. Raises MessageError if there are too many or one is invalid."""
    rows = list(rows)
    if len(rows) > MAX_ROWS:
        raise MessageError(f"{len(rows)} rows are too many")
    return [parse_row(row) for row in rows]
