"""Decodes the operator's configuration, which the store holds as one object."""

from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from egretstack.errors import UserError
from egretstack.http1 import ServerLimits
from egretstack.ids import AccountId, RegionName, ServiceName
from egretstack.platform._bodies import (
    BadBody,
    Body,
    flag,
    number,
    parse_object,
    rows,
    text,
    whole,
)
from egretstack.routing import (
    ClientAccount,
    ColdStartConfig,
    EngineConfig,
    Route,
    RouteKind,
    RouteTarget,
    RoutingConfiguration,
    ServiceConfig,
    key_digest,
)

Part = TypeVar("Part")

_KIND_BY_WORD = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


MAX_REGIONS = 64
MAX_COLD_START_S = 3_600.0
MAX_COLD_PER_S = 1e6
_MOST_NAME = 256
MAX_FILE_BYTES = 4_194_304
"""Four times the largest object that a store takes."""


def read_configuration(path: Path) -> RoutingConfiguration:
    """Read a configuration from a file: the object as the store holds it, or its `spec` alone.

    Raises UserError, which names the file and the field.
    """
    try:
        with path.open("rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        raise UserError(f"{path}: {error.strerror or error}") from error
    if len(data) > MAX_FILE_BYTES:
        raise UserError(f"{path}: larger than {MAX_FILE_BYTES} bytes")
    try:
        body = parse_object(data)
        spec = body.get("spec", body)
        if not isinstance(spec, dict):
            raise BadBody("spec is not an object")
        return decode_configuration(spec)
    except BadBody as error:
        raise UserError(f"{path}: {error}") from error


def decode_configuration(spec: Body) -> RoutingConfiguration:
    """Decode a whole configuration. Raises BadBody."""
    services = _decoded(spec, "services", _service)
    tenants = rows(spec, "tenants")
    return RoutingConfiguration(
        version=whole(spec, "version"),
        routes=tuple(_decoded(spec, "routes", _route)),
        service_by_name={service.name: service for service in services},
        account_by_key_digest=_accounts(tenants),
        limits=_limits(spec.get("limits")),
        has_accounts="tenants" in spec,
    )


def _decoded(spec: Body, name: str, decode: Callable[[Body], Part]) -> list[Part]:
    """Decode each row of a list; an error tells which row it is in."""
    parts = []
    for number_of_row, row in enumerate(rows(spec, name)):
        try:
            parts.append(decode(row))
        except BadBody as error:
            raise BadBody(f"{name}[{number_of_row}]: {error}") from error
    return parts


def _route(row: Body) -> Route:
    word = text(row, "route-type")
    if word not in _KIND_BY_WORD:
        raise BadBody(f"route-type {word!r} is not one of {', '.join(_KIND_BY_WORD)}")
    gap_ms = number(row, "gap-target-ms", 0)
    timeout_ms = number(row, "timeout-ms")
    return Route(
        name=text(row, "name"),
        host=text(row, "host"),
        path_prefix=text(row, "path-prefix"),
        kind=_KIND_BY_WORD[word],
        targets=_targets(row),
        timeout_s=timeout_ms / 1000,
        # Without a target an answer is in time until the route's timeout.
        target_latency_s=number(row, "target-latency-ms", timeout_ms) / 1000,
        rank=whole(row, "priority", 5),
        max_sends=max(1, whole(row, "max-attempts", 1)),
        anonymous=flag(row, "allow-anonymous"),
        resumable=flag(row, "can-resume"),
        gap_target_s=gap_ms / 1000 if gap_ms else None,
        allowed_regions=_homes(row),
    )


def _homes(row: Body) -> frozenset[RegionName]:
    value = row.get("allowed-regions")
    if value is None:
        return frozenset()
    if not isinstance(value, list) or len(value) > MAX_REGIONS:
        raise BadBody(f"allowed-regions is not a list of {MAX_REGIONS} at most")
    if not all(isinstance(one, str) and 0 < len(one) <= _MOST_NAME for one in value):
        raise BadBody("allowed-regions holds what is no region's name")
    return frozenset(RegionName(one) for one in value)


def _targets(row: Body) -> tuple[RouteTarget, ...]:
    split = rows(row, "traffic-split")
    if not split:
        return (RouteTarget(ServiceName(text(row, "service")), 1.0),)
    return tuple(
        RouteTarget(ServiceName(text(one, "service")), number(one, "weight", 1)) for one in split
    )


def _service(row: Body) -> ServiceConfig:
    engine = row.get("engine")
    return ServiceConfig(
        name=ServiceName(text(row, "name")),
        health_path=text(row, "health-path", "/health"),
        max_connections=whole(row, "max-conns", 64),
        engine=_engine(engine) if isinstance(engine, dict) else None,
        cold_start=_cold(row),
    )


def _cold(row: Body) -> ColdStartConfig:
    return ColdStartConfig(
        warm_up_s=_within(row, "cold-start-s", MAX_COLD_START_S),
        requests_per_s=_within(row, "cold-per-s", MAX_COLD_PER_S),
    )


def _within(row: Body, name: str, most: float) -> float:
    """Give a number from 0 to `most`, 0 if it is not there. Raises BadBody."""
    value = number(row, name, 0)
    if not 0 <= value <= most:
        raise BadBody(f"{name} is not a number from 0 to {most:g}")
    return value


def _engine(row: Body) -> EngineConfig:
    return EngineConfig(
        batch_slots=whole(row, "slots"),
        kv_capacity_tokens=whole(row, "kv-capacity-tokens"),
        kv_token_bytes=whole(row, "kv-token-bytes", 0),
        link_mbps=number(row, "link-mbps", 0),
        moves=flag(row, "moves"),
        backups=flag(row, "backups"),
        tokens_per_event=max(1, whole(row, "stride", 1)),
        copy_ttl_s=number(row, "handle-s", 5),
    )


def _accounts(tenants: list[Body]) -> dict[str, ClientAccount]:
    account_by_key_digest: dict[str, ClientAccount] = {}
    for row in tenants:
        rank = row.get("priority")
        account = ClientAccount(
            AccountId(text(row, "name")), rank if isinstance(rank, int) else None, _homes(row)
        )
        keys = row.get("api-keys", [])
        if not isinstance(keys, list):
            raise BadBody("api-keys is not a list")
        for key in keys:
            account_by_key_digest[key_digest(str(key))] = account
    return account_by_key_digest


def _limits(row: object) -> ServerLimits:
    limits = row if isinstance(row, dict) else {}
    return ServerLimits(
        header_bytes=whole(limits, "max-header-bytes", 16_384),
        body_bytes=whole(limits, "max-body-bytes", 4_194_304),
        header_timeout_s=number(limits, "header-timeout-ms", 3_000) / 1000,
        idle_timeout_s=number(limits, "idle-timeout-ms", 15_000) / 1000,
    )
