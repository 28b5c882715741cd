"""The combined state of instances and runners, derived from the rows."""

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

_ListedKey = tuple[str, str]
"""The service and the id of a listed member."""


@dataclass(frozen=True)
class InstanceView:
    """One instance, its address and its state."""

    member: Member
    state: InstanceState

    @property
    def accepts_requests(self) -> bool:
        """Return whether callers may be sent there; a suspect may be live, so it counts."""
        return self.state in (InstanceState.LIVE, InstanceState.SUSPECT)


class Views:
    """The state of instances and of the list, updated row by row from the table.

    Computed anew for each message, 420 instances and 1,700 runners would block the event loop that
    forwards tokens for 17 ms; here a changed row costs the same at any size.
    """

    def __init__(self, table: Table) -> None:
        self.by_id: dict[InstanceId, InstanceView] = {}
        self._table = table
        self._member_by_key: dict[_ListedKey, Member] = {}
        self._listed_keys: list[_ListedKey] = []
        self._keys_by_id: dict[str, set[_ListedKey]] = {}

    @property
    def listed_ids(self) -> KeysView[str]:
        """Return the ids of the members that are listed."""
        return self._keys_by_id.keys()

    def members(self) -> list[Member]:
        """Return the list as any instance last read it, with leaving runners marked as such.

        A member that did not change is the same object as before.
        """
        return [self._member_by_key[key] for key in self._listed_keys]

    def follow(self) -> None:
        """Apply the rows that changed in the table since the last call."""
        for kind, name in self._table.pop_changed():
            if kind == INSTANCE_KIND:
                self._update_instance(InstanceId(name))
            elif kind == LISTED_KIND:
                service, _, member_id = name.partition("/")
                self._update_listed((service, member_id))
            else:
                for key in list(self._keys_by_id.get(name, ())):
                    self._update_listed(key)

    def _update_instance(self, name: InstanceId) -> None:
        listed = self._table.get(ListedRow.key_at(ENTRY_SERVICE, name))
        row = self._table.get(InstanceRow.key_of(name))
        if row is not None:
            self.by_id[name] = _merge_view(row, listed)
        elif listed is not None and listed.state is not None:
            self.by_id[name] = InstanceView(listed.member, _STATE_BY_LISTED[listed.state])
        else:
            self.by_id.pop(name, None)

    def _update_listed(self, key: _ListedKey) -> None:
        row = self._table.get(ListedRow.key_at(*key))
        if row is None or row.state is None:
            self._remove_listed(key)
        else:
            state = MemberState.LEAVING if _has_leaving_notice(self._table, row) else row.state
            if key not in self._member_by_key:
                insort(self._listed_keys, key)
                self._keys_by_id.setdefault(key[1], set()).add(key)
            self._member_by_key[key] = replace(row.member, state=state)
        if key[0] == ENTRY_SERVICE:
            self._update_instance(InstanceId(key[1]))

    def _remove_listed(self, key: _ListedKey) -> None:
        if self._member_by_key.pop(key, None) is None:
            return
        del self._listed_keys[bisect_left(self._listed_keys, key)]
        same_id = self._keys_by_id[key[1]]
        same_id.remove(key)
        if not same_id:
            del self._keys_by_id[key[1]]


_STATE_BY_LISTED = {
    MemberState.LIVE: InstanceState.LIVE,
    MemberState.LEAVING: InstanceState.LEAVING,
}


def _merge_view(row: InstanceRow, listed: ListedRow | None) -> InstanceView:
    if listed is None or listed.state is None:
        return InstanceView(row.member, row.state)
    ports = listed.member.ports | row.member.ports
    member = replace(row.member, ports=ports)
    # The list lags: what it says of an instance that has started since is about the earlier run.
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
