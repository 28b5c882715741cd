"""Asks instances for their status, and one to drain."""

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
    """What one process of an instance says; `revision` is None where it does not answer."""

    instance: InstanceId
    port: str
    revision: Revision | None
    draining: bool


async def fleet_status(
    client: httpx.AsyncClient, listed: InstanceList, max_instances: int | None = None
) -> list[InstanceStatus]:
    """Ask every process of every listed instance, or of `most` of them drawn at random.

    Raises PlatformAway for the list.
    """
    members = [one for one in await listed.members() if one.service == ENTRY_SERVICE]
    if max_instances is not None:
        members = random.sample(members, min(max_instances, len(members)))
    found: list[InstanceStatus] = []
    limit = trio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)

    async def ask(member: Member, port: str) -> None:
        async with limit:
            found.append(await _ask(client, member, port))

    async with trio.open_nursery() as nursery:
        for member in members:
            for port in (OPERATOR_PORT, STEWARD_OPERATOR_PORT):
                if port in member.ports:
                    nursery.start_soon(ask, member, port)
    return sorted(found, key=lambda one: (one.instance, one.port))


async def drain_instance(client: httpx.AsyncClient, member: Member) -> None:
    """Ask the entry of an instance to shut down gracefully. Raises httpx.HTTPError."""
    response = await client.post(member.url(OPERATOR_PORT) + "/drain")
    response.raise_for_status()


async def _ask(client: httpx.AsyncClient, member: Member, port: str) -> InstanceStatus:
    instance = InstanceId(member.id)
    try:
        response = await client.get(member.url(port) + "/status")
        body = response.json()
        return InstanceStatus(instance, port, Revision(int(body["revision"])), body["draining"])
    except (httpx.HTTPError, ValueError, KeyError, TypeError):
        return InstanceStatus(instance, port, None, False)
