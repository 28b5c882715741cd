"""The settings file that the platform writes for a process: lines of the form `a.b=value`.

Unknown fields are ignored, since the platform may add new ones.
"""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from egretstack.errors import UserError
from egretstack.ids import InstanceId, RegionName, ZoneName

SETTINGS_VARIABLE = "EGRETSTACK_NODE_FILE"
"""Environment variable that holds the path of the file."""

_PORT_PATTERN = re.compile(r"[0-9]{1,5}")
"""Fewer texts than `str.isdigit` accepts, some of which `int` rejects."""
_MAX_PORT = 65_535
MAX_SEEDS = 16
MAX_FILE_BYTES = 262_144
_SHARED_CAPACITY = "pressure"
"""Entry in the list of contracts that asks for capacity to be shared while it is scarce."""
_ZONE_PREFIX = "zones."
"""Prefix of the fields that give the region of each zone."""


@dataclass(frozen=True)
class Bounds:
    """Time and rate limits that the platform holds the system to; times are in seconds."""

    runner_drain_s: float
    """Max time from accepting a runner's leaving notice to the last request that reaches it."""
    grace_s: float
    """Time from SIGTERM to SIGKILL."""
    directory_ttl_s: float
    """Max time that callers may cache an answer of the directory."""
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    """Retries allowed in each window in addition to the ratio, for the whole fleet."""
    evacuate_s: float | None = None
    """Max time from accepting a zone's evacuation to the last request that reaches a runner there;
    None where operators evacuate no zones."""
    cold_overage: float | None = None
    """Max rate of requests to a cold runner, as a multiple of the rate that it can serve; None if
    unlimited."""
    cold_slack: float = 0.0
    """Requests per second allowed in addition to that."""


@dataclass(frozen=True)
class NodeSettings:
    """Settings that the platform gives a process at its start."""

    instance: InstanceId
    zone: ZoneName
    region: RegionName
    region_by_zone: Mapping[ZoneName, RegionName]
    ip: str
    front_address: str
    """Address that clients connect to."""
    ready_address: str
    """Address of the platform's readiness check of this instance."""
    directory_address: str
    """Address of the directory, where clients ask which instances to use; empty if another process
    serves it."""
    control_address: str
    """Address for the first contact from other instances; empty if the role does not serve it."""
    first_peer_port: int
    last_peer_port: int
    seeds: tuple[str, ...]
    """Control addresses of a few instances, which may have ended."""
    first_start: bool
    """Whether the whole fleet starts for the first time, so that it has no requests yet."""
    metrics_address: str
    """Address of the metrics endpoint: the second of the internal ports."""
    store_address: str
    link_mbps: float
    bounds: Bounds
    memory_bytes: float = 128e6
    """Memory beyond which the platform ends the process."""
    shares_capacity: bool = False
    """Whether scarce engine memory is shared fairly by client accounts, and callers that find none
    get a time to return."""

    @property
    def detour_port(self) -> int | None:
        """Port for other instances that reach no runner: the third of the internal ports, if any.

        It is the same on all instances.
        """
        port = self.first_peer_port + 2
        return port if port <= self.last_peer_port else None


def read_node_settings(path: Path) -> NodeSettings:
    """Read and validate the file. Raises UserError with the file, the key and what is allowed."""
    try:
        with path.open("rb") as file:
            text = file.read(MAX_FILE_BYTES).decode("utf-8", "replace")
    except OSError as error:
        raise UserError(f"{path}: cannot be read: {error.strerror}") from error
    return _Fields(str(path), _parse_lines(text)).settings()


def _parse_lines(text: str) -> dict[str, str]:
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, found, value = line.partition("=")
        if found and not name.lstrip().startswith("#"):
            values[name.strip()] = value.strip()
    return values


def _parse_port(text: str) -> int | None:
    port = int(text) if _PORT_PATTERN.fullmatch(text) else 0
    return port if 0 < port <= _MAX_PORT else None


class _Fields:
    """Converts the fields of the file to typed settings."""

    def __init__(self, source: str, values: Mapping[str, str]) -> None:
        self._source = source
        self._values = values

    def settings(self) -> NodeSettings:
        """Return all settings. Raises UserError."""
        first, last = self._ports("internal-ports")
        return NodeSettings(
            instance=InstanceId(self._text("node-name")),
            zone=ZoneName(self._text("zone")),
            region=RegionName(self._values.get("region", "")),
            region_by_zone=self._regions(),
            ip=self._text("ip"),
            front_address=self._address("listen.front"),
            ready_address=self._address("listen.ready-address"),
            directory_address=self._address("listen.directory", required=False),
            control_address=self._address("listen.control", required=False),
            first_peer_port=first,
            last_peer_port=last,
            seeds=tuple(one for one in self._values.get("seeds", "").split(",") if one)[:MAX_SEEDS],
            first_start=self._values.get("bootstrap") == "true",
            metrics_address=f"{self._text('ip')}:{min(first + 1, last)}",
            store_address=self._address("platform.address"),
            link_mbps=self._number("limits.link-mbps", 1000),
            bounds=self._bounds(),
            memory_bytes=self._number("limits.memory-mb", 128) * 1e6,
            shares_capacity=_SHARED_CAPACITY in self._values.get("contracts", "").split(","),
        )

    def _bounds(self) -> Bounds:
        return Bounds(
            runner_drain_s=self._number("bounds.drain-ms", 2000) / 1000,
            grace_s=self._number("bounds.grace-s", 8),
            directory_ttl_s=self._number("bounds.ttl_max_s", 5),
            retry_ratio=self._number("bounds.retry-ratio", 0.2),
            retry_window_s=self._number("bounds.budget-window-s", 10),
            retry_slack=self._number("bounds.budget-slack", 10),
            evacuate_s=self._optional_seconds("bounds.evacuate-ms"),
            cold_overage=self._number("bounds.cold-overage", 0) or None,
            cold_slack=self._number("bounds.cold-slack", 0),
        )

    def _text(self, name: str) -> str:
        value = self._values.get(name, "")
        if not value:
            raise UserError(f"{self._source}: {name} is missing")
        return value

    def _number(self, name: str, default: float) -> float:
        text = self._values.get(name, "")
        if not text:
            return default
        try:
            value = float(text)
        except ValueError as error:
            raise UserError(f"{self._source}: {name}: {text!r} is not a number") from error
        if not 0 <= value < float("inf"):
            raise UserError(f"{self._source}: {name}: {text!r} is not a number of 0 or more")
        return value

    def _regions(self) -> dict[ZoneName, RegionName]:
        return {
            ZoneName(name.removeprefix(_ZONE_PREFIX)): RegionName(value)
            for name, value in self._values.items()
            if name.startswith(_ZONE_PREFIX)
        }

    def _optional_seconds(self, name: str) -> float | None:
        """Return an optional field given in milliseconds; None if it is missing or 0."""
        return self._number(name, 0) / 1000 or None

    def _address(self, name: str, *, required: bool = True) -> str:
        value = self._text(name) if required else self._values.get(name, "")
        if not value:
            return ""
        host, _, port = value.rpartition(":")
        if not host or _parse_port(port) is None:
            raise UserError(f"{self._source}: {name}: {value!r} is not HOST:PORT")
        return value

    def _ports(self, name: str) -> tuple[int, int]:
        ports = [_parse_port(part) for part in self._text(name).split(",")]
        if len(ports) != 2 or None in ports:
            raise UserError(f"{self._source}: {name}: two ports are needed, such as 7200,7215")
        first, last = ports
        if first > last:
            raise UserError(f"{self._source}: {name}: {first},{last} is not a range of ports")
        return first, last
