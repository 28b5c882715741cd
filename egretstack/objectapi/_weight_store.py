"""Client of the weight store, whose reads are rate-limited."""

from abc import ABC, abstractmethod

import httpx

from egretstack.ids import ModelName
from egretstack.objectapi._object_api import PlatformAway

MAX_VERSIONS = 1000


class WeightStore(ABC):
    """Lists the versions of a model's weights that can be loaded; reads are rate-limited."""

    @abstractmethod
    async def versions(self, model: ModelName) -> list[str]:
        """List the versions of a model. Raises PlatformAway."""


class HttpWeightStore(WeightStore):
    """Client of the weight store at a base URL."""

    def __init__(self, client: httpx.AsyncClient, base_url: str) -> None:
        self._client = client
        self._base = base_url

    async def versions(self, model: ModelName) -> list[str]:
        """List the versions of a model. Raises PlatformAway."""
        try:
            response = await self._client.get(f"{self._base}/weights/{model}")
            response.raise_for_status()
            versions = response.json()["versions"]
            return [str(version) for version in versions[:MAX_VERSIONS]]
        except (httpx.HTTPError, ValueError, KeyError, TypeError) as error:
            raise PlatformAway(repr(error)) from error
