"""Queries the status of instances and requests that one drains."""

import random
from dataclasses import dataclass

import httpx
import trio

from egretstack.ids import InstanceId, Revision
from egretstack.objectapi import ENTRY_SERVICE, InstanceList, Member

OPERATOR_PORT = "operator"
STEWARD_OPERATOR_PORT = "steward-operator"
MAX_CONCURRENT_REQUESTS = 32


@dataclass(frozen=True)
class InstanceStatus:
    """The status of one process of an instance; `revision` is None if it did not answer."""

    instance: InstanceId
    port: str
    revision: Revision | None
    draining: bool


async def fleet_status(
    client: httpx.AsyncClient, listed: InstanceList, max_instances: int | None = None
) -> list[InstanceStatus]:
    """Query every process of all listed instances, or of `max_instances` chosen at random.

    Raises PlatformAway for the list.
    """
    members = [member for member in await listed.members() if member.service == ENTRY_SERVICE]
    if max_instances is not None:
        members = random.sample(members, min(max_instances, len(members)))
    statuses: list[InstanceStatus] = []
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)

    async def query(member: Member, port: str) -> None:
        async with limiter:
            statuses.append(await _query_status(client, member, port))

    async with trio.open_nursery() as nursery:
        for member in members:
            for port in (OPERATOR_PORT, STEWARD_OPERATOR_PORT):
                if port in member.ports:
                    nursery.start_soon(query, member, port)
    return sorted(statuses, key=lambda status: (status.instance, status.port))


async def drain_instance(client: httpx.AsyncClient, member: Member) -> None:
    """Request a graceful shutdown of an instance's entry. Raises httpx.HTTPError."""
    response = await client.post(member.url(OPERATOR_PORT) + "/drain")
    response.raise_for_status()


async def _query_status(client: httpx.AsyncClient, member: Member, port: str) -> InstanceStatus:
    instance = InstanceId(member.id)
    try:
        response = await client.get(member.url(port) + "/status")
        body = response.json()
        return InstanceStatus(instance, port, Revision(int(body["revision"])), body["draining"])
    except (httpx.HTTPError, ValueError, KeyError, TypeError):
        return InstanceStatus(instance, port, None, False)
