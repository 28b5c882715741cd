"""Decodes the operator's configuration, which the store holds as a single object."""

import re
from collections.abc import Callable
from math import inf
from pathlib import Path
from typing import TypeVar

from egretstack.errors import UserError
from egretstack.http1 import ServerLimits, is_header_text
from egretstack.ids import AccountId, RegionName, ServiceName
from egretstack.platform._bodies import (
    BadBody,
    Body,
    flag,
    integer,
    is_unicode,
    nests_deeply,
    number,
    parse_object,
    rows,
    text,
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

T = TypeVar("T")

_KIND_BY_NAME = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}


_PATH_PATTERN = re.compile(r"/[!-~]{0,1023}")
MAX_REGIONS = 64
MAX_COLD_START_S = 3_600.0
MAX_COLD_PER_S = 1e6
MAX_VERSION = (1 << 63) - 1
"""Largest integer that an instance accepts from another."""
MAX_RANK = 1 << 31
MAX_STRIDE = 1 << 31
MAX_FIGURE = 1 << 53
"""Largest time in milliseconds and largest size that is sent on or used in products."""
_MAX_NAME_LENGTH = 256
MAX_FILE_BYTES = 4_194_304
"""Four times the largest object that a store accepts."""


def read_configuration(path: Path) -> RoutingConfiguration:
    """Read a configuration from a file: the object as stored, or only its `spec`.

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
    """Decode a complete configuration. Raises BadBody."""
    if nests_deeply(spec):
        raise BadBody("nested too deeply to be sent to other instances")
    services = _decode_rows(spec, "services", _decode_service)
    tenants = rows(spec, "tenants")
    return RoutingConfiguration(
        version=int(_bounded_number(spec, "version", MAX_VERSION)),
        routes=tuple(_decode_rows(spec, "routes", _decode_route)),
        service_by_name={service.name: service for service in services},
        account_by_key_digest=_decode_accounts(tenants),
        limits=_decode_limits(spec.get("limits")),
        has_accounts="tenants" in spec,
    )


def _decode_rows(spec: Body, name: str, decode: Callable[[Body], T]) -> list[T]:
    """Decode each row of a list. Raises BadBody, which names the row."""
    decoded = []
    for index, row in enumerate(rows(spec, name)):
        try:
            decoded.append(decode(row))
        except BadBody as error:
            raise BadBody(f"{name}[{index}]: {error}") from error
    return decoded


def _decode_route(row: Body) -> Route:
    kind_name = text(row, "route-type")
    if kind_name not in _KIND_BY_NAME:
        raise BadBody(f"route-type {kind_name!r} is not one of {', '.join(_KIND_BY_NAME)}")
    gap_ms = _bounded_number(row, "gap-target-ms", MAX_FIGURE, default=0)
    timeout_ms = _bounded_number(row, "timeout-ms", inf)
    # Without a target, an answer counts as in time until the route's timeout.
    target_ms = _bounded_number(
        row, "target-latency-ms", MAX_FIGURE, default=min(timeout_ms, MAX_FIGURE)
    )
    return Route(
        name=text(row, "name"),
        host=text(row, "host"),
        path_prefix=text(row, "path-prefix"),
        kind=_KIND_BY_NAME[kind_name],
        targets=_decode_targets(row),
        timeout_s=timeout_ms / 1000,
        target_latency_s=target_ms / 1000,
        rank=_checked_rank(integer(row, "priority", 5)),
        max_sends=max(1, integer(row, "max-attempts", 1)),
        anonymous=flag(row, "allow-anonymous"),
        resumable=flag(row, "can-resume"),
        gap_target_s=gap_ms / 1000 if gap_ms else None,
        allowed_regions=_decode_regions(row),
    )


def _decode_regions(row: Body) -> frozenset[RegionName]:
    value = row.get("allowed-regions")
    if value is None:
        return frozenset()
    if not isinstance(value, list) or len(value) > MAX_REGIONS:
        raise BadBody(f"allowed-regions is not a list of {MAX_REGIONS} at most")
    if not all(_is_name(name) for name in value):
        raise BadBody("allowed-regions holds what is no region's name")
    return frozenset(RegionName(name) for name in value)


def _is_name(value: object) -> bool:
    return isinstance(value, str) and 0 < len(value) <= _MAX_NAME_LENGTH and is_unicode(value)


def _decode_targets(row: Body) -> tuple[RouteTarget, ...]:
    split = rows(row, "traffic-split")
    if not split:
        return (RouteTarget(ServiceName(text(row, "service")), 1.0),)
    return tuple(
        RouteTarget(ServiceName(text(target, "service")), number(target, "weight", 1))
        for target in split
    )


def _decode_service(row: Body) -> ServiceConfig:
    engine = row.get("engine")
    return ServiceConfig(
        name=ServiceName(text(row, "name")),
        health_path=_decode_health_path(row),
        max_connections=integer(row, "max-conns", 64),
        engine=_decode_engine(engine) if isinstance(engine, dict) else None,
        cold_start=_decode_cold_start(row),
    )


def _decode_health_path(row: Body) -> str:
    value = text(row, "health-path", "/health")
    if not _PATH_PATTERN.fullmatch(value):
        raise BadBody("health-path cannot be requested")
    return value


def _decode_cold_start(row: Body) -> ColdStartConfig:
    return ColdStartConfig(
        warm_up_s=_bounded_number(row, "cold-start-s", MAX_COLD_START_S, default=0),
        requests_per_s=_bounded_number(row, "cold-per-s", MAX_COLD_PER_S, default=0),
    )


def _bounded_number(row: Body, name: str, maximum: float, *, default: float | None = None) -> float:
    """Return a number from 0 to `maximum`; None as the default requires it. Raises BadBody."""
    value = number(row, name, default)
    if not 0 <= value <= maximum:
        raise BadBody(f"{name} is not a number from 0 to {maximum:g}")
    return value


def _decode_engine(row: Body) -> EngineConfig:
    return EngineConfig(
        batch_slots=integer(row, "slots"),
        kv_capacity_tokens=int(_bounded_number(row, "kv-capacity-tokens", MAX_FIGURE)),
        kv_token_bytes=int(_bounded_number(row, "kv-token-bytes", MAX_FIGURE, default=0)),
        link_mbps=number(row, "link-mbps", 0),
        moves=flag(row, "moves"),
        backups=flag(row, "backups"),
        tokens_per_event=max(1, int(_bounded_number(row, "stride", MAX_STRIDE, default=1))),
        copy_ttl_s=number(row, "handle-s", 5),
    )


def _decode_accounts(tenants: list[Body]) -> dict[str, ClientAccount]:
    account_by_key_digest: dict[str, ClientAccount] = {}
    for row in tenants:
        rank = row.get("priority")
        account = ClientAccount(
            AccountId(_decode_account_name(row)),
            _checked_rank(rank) if isinstance(rank, int) else None,
            _decode_regions(row),
        )
        keys = row.get("api-keys", [])
        if not isinstance(keys, list):
            raise BadBody("api-keys is not a list")
        for key in keys:
            account_by_key_digest[key_digest(str(key))] = account
    return account_by_key_digest


def _checked_rank(rank: int) -> int:
    """Return a rank that can be sent to other instances. Raises BadBody."""
    if not -MAX_RANK <= rank <= MAX_RANK:
        raise BadBody("priority is out of bounds")
    return rank


def _decode_account_name(row: Body) -> str:
    value = text(row, "name")
    if not is_header_text(value):
        raise BadBody("the name of a tenant cannot be sent in a header")
    return value


def _decode_limits(row: object) -> ServerLimits:
    limits = row if isinstance(row, dict) else {}
    return ServerLimits(
        header_bytes=integer(limits, "max-header-bytes", 16_384),
        body_bytes=integer(limits, "max-body-bytes", 4_194_304),
        header_timeout_s=_bounded_number(limits, "header-timeout-ms", inf, default=3_000) / 1000,
        idle_timeout_s=_bounded_number(limits, "idle-timeout-ms", inf, default=15_000) / 1000,
    )
