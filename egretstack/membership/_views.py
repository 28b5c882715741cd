"""What the rows together say of instances and runners."""

from dataclasses import dataclass, replace

from egretstack.ids import InstanceId
from egretstack.membership._rows import InstanceRow, InstanceState, ListedRow, RunnerNotice
from egretstack.membership._table import Table
from egretstack.platform import ENTRY_SERVICE, Member, MemberState


@dataclass(frozen=True)
class InstanceView:
    """One instance, its address and its state."""

    member: Member
    state: InstanceState

    @property
    def takes_work(self) -> bool:
        """Tell whether callers may be sent there; a suspect may live, so it counts."""
        return self.state in (InstanceState.LIVE, InstanceState.SUSPECT)


def instance_views(table: Table) -> dict[InstanceId, InstanceView]:
    """Give every instance that is listed or was heard of."""
    found: dict[InstanceId, InstanceView] = {}
    listed_by_id = {
        InstanceId(row.member.id): row
        for row in table.rows()
        if isinstance(row, ListedRow) and row.member.service == ENTRY_SERVICE
    }
    for row in table.rows():
        if isinstance(row, InstanceRow):
            name = InstanceId(row.member.id)
            found[name] = _merged(row, listed_by_id.get(name))
    for name, listed in listed_by_id.items():
        if name not in found and listed.state is not None:
            found[name] = InstanceView(listed.member, _STATE_BY_LISTED[listed.state])
    return found


def listed_members(table: Table) -> list[Member]:
    """Give the list as it was last read by anyone, with runners that leave marked so."""
    found = []
    for row in table.rows():
        if isinstance(row, ListedRow) and row.state is not None:
            state = MemberState.LEAVING if _told_to_leave(table, row) else row.state
            found.append(replace(row.member, state=state))
    return sorted(found, key=lambda member: (member.service, member.id))


_STATE_BY_LISTED = {
    MemberState.LIVE: InstanceState.LIVE,
    MemberState.LEAVING: InstanceState.LEAVING,
}


def _merged(row: InstanceRow, listed: ListedRow | None) -> InstanceView:
    if listed is None or listed.state is None:
        return InstanceView(row.member, row.state)
    ports = listed.member.ports | row.member.ports
    member = replace(row.member, ports=ports)
    # The list lags: what it says of an instance that has started since is about the run before.
    listed_leaving = listed.state is MemberState.LEAVING and listed.stamp >= row.incarnation
    if listed_leaving and row.state in (InstanceState.LIVE, InstanceState.SUSPECT):
        return InstanceView(member, InstanceState.LEAVING)
    return InstanceView(member, row.state)


def _told_to_leave(table: Table, row: ListedRow) -> bool:
    notice = table.get(RunnerNotice.key_of(row.member.id))
    if not isinstance(notice, RunnerNotice) or not notice.leaving:
        return False
    # A runner that was listed anew after the notice is another run of it.
    return not (row.state is MemberState.LIVE and row.stamp > notice.stamp)
