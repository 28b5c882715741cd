"""Detects a store that was restored from an older copy, and reads what recovers it."""

import httpx

from egretstack.configuration import (
    ConfigurationStore,
    Head,
    Snapshot,
    TransferError,
    is_sections,
    part_digest,
)
from egretstack.errors import UserError
from egretstack.ids import ChangeId, Revision
from egretstack.objectapi import ENTRY_SERVICE, InstanceList, Member
from egretstack.operators._status import OPERATOR_PORT, InstanceStatus, fleet_status

MAX_INSTANCES_CHECKED = 8


async def refuse_older_store(
    client: httpx.AsyncClient, listed: InstanceList, store: ConfigurationStore
) -> None:
    """Raise UserError if an instance has a newer revision in force than the store.

    Every instance would reject a change accepted by such a store, although the operator was told
    that it is accepted.
    """
    statuses = await fleet_status(client, listed, MAX_INSTANCES_CHECKED)
    # The store is read after the instances, so a change accepted in between causes no false alarm.
    head = await store.head()
    check_not_older(statuses, Revision(0) if head is None else head.revision)


def check_not_older(statuses: list[InstanceStatus], stored: Revision) -> None:
    """Raise UserError if a status reports a revision above the stored one."""
    for status in statuses:
        if status.revision is not None and status.revision > stored:
            raise UserError(
                f"the store holds revision {stored} and {status.instance} has revision"
                f" {status.revision} in force: the store was restored from an older copy;"
                f" put it right with: egretctl recover {status.instance}"
            )


async def find_instance(listed: InstanceList, instance: str) -> Member:
    """Return the listed instance named `instance`. Raises UserError, PlatformAway."""
    for member in await listed.members():
        if member.service == ENTRY_SERVICE and member.id == instance:
            return member
    raise UserError(f"no instance named {instance} is listed")


async def snapshot_in_force(client: httpx.AsyncClient, member: Member) -> Snapshot:
    """Read the configuration that an instance has in force. Raises UserError, httpx.HTTPError."""
    response = await client.get(member.url(OPERATOR_PORT) + "/configuration")
    response.raise_for_status()
    try:
        return _parse_snapshot(response.json())
    except (KeyError, ValueError, TypeError, AttributeError, TransferError) as error:
        raise UserError(f"{member.id} has no configuration to give") from error


def _parse_snapshot(body: dict) -> Snapshot:
    parts = body["parts"]
    if not all(is_sections(sections) for sections in parts.values()):
        raise TransferError("malformed part")
    digests = {part: part_digest(sections) for part, sections in parts.items()}
    recent = tuple(ChangeId(str(change_id)) for change_id in body["recent"])
    head = Head(Revision(int(body["revision"])), ChangeId(body["change_id"]), digests, recent)
    return Snapshot(head, parts)
