"""The parts of an operator's configuration. Durations are in seconds, sizes in tokens or bytes."""

from dataclasses import dataclass
from enum import Enum

from egretstack.http1 import ServerLimits
from egretstack.ids import AccountId, RegionName, ServiceName


class RouteKind(Enum):
    """What may be repeated: it follows from the route, never from the request's method."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    """A stream of events; not idempotent either."""


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service that gets a share of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which services, and under what terms."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[RouteTarget, ...]
    timeout_s: float
    target_latency_s: float
    rank: int
    """0 is the most urgent."""
    max_sends: int
    """Most runners that one request may be sent to."""
    anonymous: bool
    """Whether requests need no key."""
    resumable: bool
    """Whether a caller may ask for the rest of a stream it has seen in part."""
    gap_target_s: float | None
    """Longest pause between two events for which a stream is still on time."""
    allowed_regions: frozenset[RegionName] = frozenset()
    """Regions whose runners alone may run its requests; empty if all may."""


@dataclass(frozen=True, slots=True)
class EngineConfig:
    """What all engines of a service have in common."""

    batch_slots: int
    kv_capacity_tokens: int
    kv_token_bytes: int
    link_mbps: float
    """Rate at which an engine's memory is copied to another, Mbit/s."""
    moves: bool
    backups: bool
    tokens_per_event: int
    copy_ttl_s: float
    """How long an engine keeps a copied run that nobody continues."""


@dataclass(frozen=True, slots=True)
class ColdStartConfig:
    """How runners that are cold have to be treated."""

    warm_up_s: float
    """How long a runner is cold after it has started."""
    requests_per_s: float
    """What a cold one bears; 0 if it bears what a warm one does."""


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """One service behind the routes; `engine` is None for a plain service."""

    name: ServiceName
    health_path: str
    max_connections: int
    engine: EngineConfig | None
    cold_start: ColdStartConfig = ColdStartConfig(0.0, 0.0)


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account; its keys are kept as digests only."""

    name: AccountId
    rank: int | None
    """Goes before a route's rank; None leaves the order to the route."""
    allowed_regions: frozenset[RegionName] = frozenset()
    """Regions whose runners alone may run its requests; empty if all may."""


def common_regions(route: Route, account: ClientAccount | None) -> frozenset[RegionName] | None:
    """Give the regions in which a request may run; None if all, empty if none.

    Where both the route and the account have some, both bind.
    """
    bound = [
        one for one in (route.allowed_regions, account.allowed_regions if account else None) if one
    ]
    return frozenset.intersection(*bound) if bound else None


@dataclass(frozen=True)
class RoutingConfiguration:
    """One accepted configuration, whole."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[ServiceName, ServiceConfig]
    account_by_key_digest: dict[str, ClientAccount]
    limits: ServerLimits
    has_accounts: bool
    """Whether requests need a key, but for routes that are anonymous."""
