"""Rows of the table that instances share, and which of two rows about one subject is newer."""

from dataclasses import dataclass, replace
from enum import Enum

from egretstack.ids import RunnerId, ServiceName, ZoneName, is_name
from egretstack.objectapi import Member, MemberState

MAX_PORTS = 16
MAX_HOST_LENGTH = 45
MAX_STAMP = 2**53
"""Largest incarnation or stamp accepted from a peer: with larger ones a faulty peer would win every
comparison from then on."""

NO_EXPIRY = 0
INSTANCE_KIND = "instance"
LISTED_KIND = "listed"
NOTICE_KIND = "notice"


class RowError(Exception):
    """A peer sent something that is not a row."""


class InstanceState(Enum):
    """State of an instance; of two rows of one incarnation the later state wins."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    GONE = "gone"


_RANK_BY_STATE = {state: rank for rank, state in enumerate(InstanceState)}


@dataclass(frozen=True)
class InstanceRow:
    """One instance: `incarnation` is raised at each start and by each refuted suspicion.

    An instance that was only listed so far, and from which no message came, has incarnation 0.
    """

    member: Member
    incarnation: int
    state: InstanceState

    @property
    def key(self) -> tuple[str, str]:
        """Return the key of the row's subject."""
        return self.key_of(self.member.id)

    @staticmethod
    def key_of(name: str) -> tuple[str, str]:
        """Return the key of an instance's row."""
        return (INSTANCE_KIND, name)

    @property
    def order(self) -> tuple[int, int]:
        """Return what decides which of two rows is newer."""
        return (self.incarnation, _RANK_BY_STATE[self.state])

    def with_state(self, state: InstanceState) -> "InstanceRow":
        """Return the row with another state."""
        return replace(self, state=state)


@dataclass(frozen=True)
class ListedRow:
    """One member as last read from the platform's list; `state` is None if it is not listed.

    `stamp` is in milliseconds since the epoch, and above that of the row it replaced.
    """

    member: Member
    state: MemberState | None
    stamp: int

    @property
    def key(self) -> tuple[str, str]:
        """Return the key of the row's subject."""
        return self.key_of(self.member)

    @staticmethod
    def key_of(member: Member) -> tuple[str, str]:
        """Return the key of a member's row."""
        return ListedRow.key_at(member.service, member.id)

    @staticmethod
    def key_at(service: str, member_id: str) -> tuple[str, str]:
        """Return the key of the row of a member of a service."""
        return (LISTED_KIND, f"{service}/{member_id}")

    @property
    def order(self) -> tuple[int, str]:
        """Return what decides which of two rows is newer."""
        return (self.stamp, "" if self.state is None else self.state.value)


@dataclass(frozen=True)
class RunnerNotice:
    """A runner itself, or an operator, stated that it is leaving or accepts requests again."""

    runner: RunnerId
    leaving: bool
    stamp: int
    """In milliseconds since the epoch, and above that of the row it replaced."""
    until: int
    """When the notice expires, in the unit of `stamp`; `NO_EXPIRY` if it does not."""

    @property
    def key(self) -> tuple[str, str]:
        """Return the key of the row's subject."""
        return self.key_of(self.runner)

    @staticmethod
    def key_of(runner: str) -> tuple[str, str]:
        """Return the key of a runner's notice."""
        return (NOTICE_KIND, runner)

    @property
    def order(self) -> tuple[int, bool]:
        """Return what decides which of two rows is newer."""
        return (self.stamp, self.leaving)


Row = InstanceRow | ListedRow | RunnerNotice

_INSTANCE, _LISTED, _NOTICE = range(3)
_NOT_LISTED = ""


def pack_row(row: Row) -> list:
    """Return a row as a list for msgpack."""
    if isinstance(row, InstanceRow):
        return [_INSTANCE, row.incarnation, row.state.value, *_pack_member(row.member)]
    if isinstance(row, ListedRow):
        state = _NOT_LISTED if row.state is None else row.state.value
        return [_LISTED, row.stamp, state, *_pack_member(row.member)]
    return [_NOTICE, row.stamp, row.leaving, row.runner, row.until]


def unpack_row(packed: object) -> Row:
    """Parse a row from a peer. Raises RowError."""
    try:
        kind, stamp, state, *rest = packed
        if not (isinstance(stamp, int) and 0 <= stamp <= MAX_STAMP):
            raise RowError("a stamp out of bounds")
        if kind == _INSTANCE:
            return InstanceRow(_unpack_member(*rest), stamp, InstanceState(state))
        if kind == _LISTED:
            listed = None if state == _NOT_LISTED else MemberState(state)
            return ListedRow(_unpack_member(*rest), listed, stamp)
        if kind == _NOTICE:
            runner, until = rest
            return RunnerNotice(RunnerId(_checked_name(runner)), bool(state), stamp, int(until))
    except (TypeError, ValueError) as error:
        raise RowError(repr(error)) from error
    raise RowError("a row of an unknown kind")


def _pack_member(member: Member) -> list:
    return [member.id, member.service, member.zone, member.host, member.ports]


def _unpack_member(name: object, service: object, zone: object, host: object, ports: object):
    if not (isinstance(host, str) and len(host) <= MAX_HOST_LENGTH):
        raise RowError("an invalid host")
    if not (isinstance(ports, dict) and len(ports) <= MAX_PORTS):
        raise RowError("invalid ports")
    if not all(is_name(port) and isinstance(number, int) for port, number in ports.items()):
        raise RowError("an invalid port")
    zone_name = ZoneName(_checked_name(zone) if zone else "")
    return Member(
        _checked_name(name),
        ServiceName(_checked_name(service)),
        zone_name,
        host,
        ports,
        MemberState.LIVE,
    )


def _checked_name(text: object) -> str:
    if not is_name(text):
        raise RowError("an invalid name")
    return text
