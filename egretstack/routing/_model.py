"""The parts of an operator's configuration. Durations are in seconds, sizes in tokens or bytes."""

from dataclasses import dataclass
from enum import Enum

from egretstack.http1 import ServerLimits
from egretstack.ids import AccountId, RegionName, ServiceName


class RouteKind(Enum):
    """Whether requests may be repeated: set by the route, never by the request's method."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    """A stream of events; idempotent only if its route is resumable."""


@dataclass(frozen=True, slots=True)
class RouteTarget:
    """A service that gets a share of a route's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which services, and with which limits."""

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
    """Maximum number of runners that one request may be sent to."""
    anonymous: bool
    """Whether requests are accepted without a key."""
    resumable: bool
    """Whether a caller may request the rest of a stream that it received in part."""
    gap_target_s: float | None
    """Longest pause between two events with which a stream is still in time."""
    allowed_regions: frozenset[RegionName] = frozenset()
    """The only regions whose runners may run its requests; empty for all regions."""

    @property
    def is_resumable_stream(self) -> bool:
        """Whether a stream may be run again, after the last event that its caller has."""
        return self.kind is RouteKind.STREAM and self.resumable

    @property
    def is_idempotent(self) -> bool:
        """Whether its requests may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable_stream


@dataclass(frozen=True, slots=True)
class EngineConfig:
    """The properties that all engines of a service share."""

    batch_slots: int
    kv_capacity_tokens: int
    kv_token_bytes: int
    link_mbps: float
    """Rate at which memory is copied from one engine to another, in Mbit/s."""
    moves: bool
    backups: bool
    tokens_per_event: int
    copy_ttl_s: float
    """How long an engine keeps a copied run that is not continued."""


@dataclass(frozen=True, slots=True)
class ColdStartConfig:
    """Limits for runners that have just started."""

    warm_up_s: float
    """How long a runner is cold after its start."""
    requests_per_s: float
    """Rate that a cold runner can handle; 0 if it can handle as much as a warm one."""


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
    """Overrides the route's rank; None for the route's rank."""
    allowed_regions: frozenset[RegionName] = frozenset()
    """The only regions whose runners may run its requests; empty for all regions."""


def common_regions(route: Route, account: ClientAccount | None) -> frozenset[RegionName] | None:
    """Return the regions in which a request may run; None for all regions, empty for none.

    If both the route and the account restrict the regions, both restrictions apply.
    """
    restrictions = [
        one for one in (route.allowed_regions, account.allowed_regions if account else None) if one
    ]
    return frozenset.intersection(*restrictions) if restrictions else None


@dataclass(frozen=True)
class RoutingConfiguration:
    """One complete accepted configuration."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[ServiceName, ServiceConfig]
    account_by_key_digest: dict[str, ClientAccount]
    limits: ServerLimits
    has_accounts: bool
    """Whether requests need a key, except on anonymous routes."""
