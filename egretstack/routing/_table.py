"""Finds the route and the client account of a request; rejects older configuration versions."""

from hashlib import sha256

from egretstack.ids import RegionName, ServiceName
from egretstack.routing._model import ClientAccount, Route, RoutingConfiguration, ServiceConfig


def key_digest(key: str) -> str:
    """Return the digest under which a client account's key is stored.

    A key that is no text has a digest too, which that of no client's key equals.
    """
    return sha256(key.encode("utf-8", "surrogatepass")).hexdigest()


class RoutingTable:
    """An immutable index of one configuration; each new version gets a new table."""

    def __init__(self, configuration: RoutingConfiguration) -> None:
        self.configuration = configuration
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._routes_by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    @property
    def version(self) -> int:
        """The configuration's version."""
        return self.configuration.version

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that matches the path, or None."""
        for route in self._routes_by_host.get(_bare_host(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def allowed_regions(self, host: str) -> frozenset[RegionName]:
        """Return the union of the regions that a host's routes name; empty if none does."""
        routes = self._routes_by_host.get(_bare_host(host), ())
        return frozenset().union(*(route.allowed_regions for route in routes))

    def service(self, name: ServiceName) -> ServiceConfig | None:
        """Return a service by name, or None."""
        return self.configuration.service_by_name.get(name)

    def account(self, key: str | None) -> ClientAccount | None:
        """Return the client account that a key belongs to, or None."""
        if key is None:
            return None
        return self.configuration.account_by_key_digest.get(key_digest(key))


class VersionGate:
    """The configuration in force; replaced by newer versions only.

    Otherwise a store that answers from an older copy, or a peer that lags, would bring back removed
    routes and revoked keys.
    """

    def __init__(self) -> None:
        self.table: RoutingTable | None = None

    @property
    def version(self) -> int:
        """The version in force; 0 before the first."""
        return 0 if self.table is None else self.table.version

    def offer(self, configuration: RoutingConfiguration) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        if configuration.version <= self.version:
            return False
        self.table = RoutingTable(configuration)
        return True


def _bare_host(host: str) -> str:
    name, _, port = host.rpartition(":")
    return (name if name and port.isdigit() else host).lower()
