"""The instance list over HTTP, as Kubernetes EndpointSlice resources (`discovery.k8s.io/v1`)."""

import httpx
import trio

from egretstack.ids import ServiceName, ZoneName, is_name
from egretstack.objectapi._instance_list import InstanceList, Member, MemberState
from egretstack.objectapi._object_api import PlatformAway

SERVICE_LABEL = "kubernetes.io/service-name"
MAX_MEMBERS = 10_000
MEMBERS_PER_CHECKPOINT = 64
"""Members parsed between two checkpoints; a long list without any would delay tokens."""


class HttpInstanceList(InstanceList):
    """Reads EndpointSlices from a base URL."""

    def __init__(self, client: httpx.AsyncClient, base_url: str, namespace: str) -> None:
        self._client = client
        self._url = f"{base_url}/apis/discovery.k8s.io/v1/namespaces/{namespace}/endpointslices"

    async def members(self) -> list[Member]:
        """Read all members of all services. Raises PlatformAway."""
        try:
            response = await self._client.get(self._url)
            response.raise_for_status()
            return await _parse_members(response.json())
        except (httpx.HTTPError, ValueError, KeyError, TypeError, AttributeError) as error:
            raise PlatformAway(repr(error)) from error


async def _parse_members(body: dict) -> list[Member]:
    members: list[Member] = []
    for item in body["items"]:
        service = ServiceName(item["metadata"]["labels"][SERVICE_LABEL])
        ports = {port["name"]: int(port["port"]) for port in item["ports"]}
        for endpoint in item["endpoints"]:
            members.append(_parse_member(service, ports, endpoint))
            if len(members) % MEMBERS_PER_CHECKPOINT == 0:
                await trio.lowlevel.checkpoint()
    if len(members) > MAX_MEMBERS:
        raise ValueError("the list is too long")
    return members


def _parse_member(service: ServiceName, ports: dict[str, int], endpoint: dict) -> Member:
    name = endpoint["targetRef"]["name"]
    if not (is_name(name) and is_name(service)):
        raise ValueError("a member without a proper name")
    leaving = bool(endpoint.get("conditions", {}).get("terminating"))
    return Member(
        id=name,
        service=service,
        zone=ZoneName(endpoint.get("zone", "")),
        host=endpoint["addresses"][0],
        ports=ports,
        state=MemberState.LEAVING if leaving else MemberState.LIVE,
    )
