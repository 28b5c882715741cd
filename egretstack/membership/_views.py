"""What the rows together say of instances and runners."""

from bisect import bisect_left, insort
from collections.abc import KeysView
from dataclasses import dataclass, replace

from egretstack.ids import InstanceId
from egretstack.membership._rows import (
    INSTANCE_KIND,
    LISTED_KIND,
    InstanceRow,
    InstanceState,
    ListedRow,
    RunnerNotice,
)
from egretstack.membership._table import Table
from egretstack.objectapi import ENTRY_SERVICE, Member, MemberState

_Place = tuple[str, str]
"""The service and the id of a listed member."""


@dataclass(frozen=True)
class InstanceView:
    """One instance, its address and its state."""

    member: Member
    state: InstanceState

    @property
    def accepts_requests(self) -> bool:
        """Tell whether callers may be sent there; a suspect may live, so it counts."""
        return self.state in (InstanceState.LIVE, InstanceState.SUSPECT)


class Views:
    """What the table says of instances and of the list, changed row by row.

    Worked out anew for each message, 420 instances and 1,700 runners would hold the loop that
    passes tokens on for 17 ms; here a changed row costs the same at any size.
    """

    def __init__(self, table: Table) -> None:
        self.by_id: dict[InstanceId, InstanceView] = {}
        self._table = table
        self._member_by_place: dict[_Place, Member] = {}
        self._places: list[_Place] = []
        self._places_by_id: dict[str, set[_Place]] = {}

    @property
    def listed_ids(self) -> KeysView[str]:
        """Give the ids of the members that are listed."""
        return self._places_by_id.keys()

    def members(self) -> list[Member]:
        """Give the list as it was last read by anyone, with runners that leave marked so.

        A member that did not change is the same object as before.
        """
        return [self._member_by_place[place] for place in self._places]

    def follow(self) -> None:
        """Take in the rows that changed in the table since the last call."""
        for kind, name in self._table.pop_changed():
            if kind == INSTANCE_KIND:
                self._update_instance(InstanceId(name))
            elif kind == LISTED_KIND:
                service, _, member_id = name.partition("/")
                self._update_listed((service, member_id))
            else:
                for place in list(self._places_by_id.get(name, ())):
                    self._update_listed(place)

    def _update_instance(self, name: InstanceId) -> None:
        listed = self._table.get(ListedRow.key_at(ENTRY_SERVICE, name))
        row = self._table.get(InstanceRow.key_of(name))
        if row is not None:
            self.by_id[name] = _merge_view(row, listed)
        elif listed is not None and listed.state is not None:
            self.by_id[name] = InstanceView(listed.member, _STATE_BY_LISTED[listed.state])
        else:
            self.by_id.pop(name, None)

    def _update_listed(self, place: _Place) -> None:
        row = self._table.get(ListedRow.key_at(*place))
        if row is None or row.state is None:
            self._remove_listed(place)
        else:
            state = MemberState.LEAVING if _has_leaving_notice(self._table, row) else row.state
            if place not in self._member_by_place:
                insort(self._places, place)
                self._places_by_id.setdefault(place[1], set()).add(place)
            self._member_by_place[place] = replace(row.member, state=state)
        if place[0] == ENTRY_SERVICE:
            self._update_instance(InstanceId(place[1]))

    def _remove_listed(self, place: _Place) -> None:
        if self._member_by_place.pop(place, None) is None:
            return
        del self._places[bisect_left(self._places, place)]
        same_id = self._places_by_id[place[1]]
        same_id.remove(place)
        if not same_id:
            del self._places_by_id[place[1]]


_STATE_BY_LISTED = {
    MemberState.LIVE: InstanceState.LIVE,
    MemberState.LEAVING: InstanceState.LEAVING,
}


def _merge_view(row: InstanceRow, listed: ListedRow | None) -> InstanceView:
    if listed is None or listed.state is None:
        return InstanceView(row.member, row.state)
    ports = listed.member.ports | row.member.ports
    member = replace(row.member, ports=ports)
    # The list lags: what it says of an instance that has started since is about the run before.
    listed_leaving = listed.state is MemberState.LEAVING and listed.stamp >= row.incarnation
    if listed_leaving and row.state in (InstanceState.LIVE, InstanceState.SUSPECT):
        return InstanceView(member, InstanceState.LEAVING)
    return InstanceView(member, row.state)


def _has_leaving_notice(table: Table, row: ListedRow) -> bool:
    notice = table.get(RunnerNotice.key_of(row.member.id))
    if not isinstance(notice, RunnerNotice) or not notice.leaving:
        return False
    # A runner that was listed anew after the notice is another run of it.
    return not (row.state is MemberState.LIVE and row.stamp > notice.stamp)
