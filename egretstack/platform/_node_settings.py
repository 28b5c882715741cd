"""The settings file that the platform writes for a process: lines of the form `a.b=value`.

Fields that are not known here are left alone, since new ones may come.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from egretstack.errors import UserError
from egretstack.ids import InstanceId, RegionName, ZoneName

SETTINGS_VARIABLE = "EGRETSTACK_NODE_FILE"
"""Name of the environment variable that holds the file's path."""

MAX_SEEDS = 16
MAX_FILE_BYTES = 262_144
_ZONES = "zones."
"""Begins the fields that give the region of each zone."""


@dataclass(frozen=True)
class Bounds:
    """Limits in time that the platform holds the system to, in seconds."""

    runner_drain_s: float
    """From a runner's accepted notice to the last request that may reach it."""
    grace_s: float
    """From SIGTERM to SIGKILL."""
    directory_ttl_s: float
    """Longest time that callers keep an answer of the directory."""
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    """Retries allowed in each window beyond the ratio, for the whole fleet."""
    evacuate_s: float | None = None
    """From an accepted evacuation of a zone to the last request that may reach a runner there; None
    where operators evacuate none."""
    cold_overage: float | None = None
    """How many times what a cold runner bears in a second may reach it; None if nothing binds."""
    cold_slack: float = 0.0
    """Requests that may reach it in a second beyond that."""


@dataclass(frozen=True)
class NodeSettings:
    """What the platform tells a process at its start."""

    instance: InstanceId
    zone: ZoneName
    region: RegionName
    region_by_zone: Mapping[ZoneName, RegionName]
    ip: str
    front_address: str
    """Where clients connect."""
    ready_address: str
    """Where the platform asks whether this instance is ready."""
    directory_address: str
    """Where clients ask which instances to use; empty if another process answers them."""
    control_address: str
    """Where other instances reach this one at first; empty if the role does not serve it."""
    first_peer_port: int
    last_peer_port: int
    seeds: tuple[str, ...]
    """Control addresses of a few instances, which may be gone."""
    first_start: bool
    """Whether the whole fleet starts for the first time: nobody asks it anything yet."""
    metrics_address: str
    """Where metrics are served: the second of the ports between instances."""
    store_address: str
    link_mbps: float
    bounds: Bounds


def read_node_settings(path: Path) -> NodeSettings:
    """Read and check the file. Raises UserError with the file, the key and what is allowed."""
    try:
        with path.open("rb") as file:
            text = file.read(MAX_FILE_BYTES).decode("utf-8", "replace")
    except OSError as error:
        raise UserError(f"{path}: cannot be read: {error.strerror}") from error
    return _Fields(str(path), _values(text)).settings()


def _values(text: str) -> dict[str, str]:
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, found, value = line.partition("=")
        if found and not name.lstrip().startswith("#"):
            values[name.strip()] = value.strip()
    return values


class _Fields:
    """Takes typed values out of the file's fields."""

    def __init__(self, source: str, values: Mapping[str, str]) -> None:
        self._source = source
        self._values = values

    def settings(self) -> NodeSettings:
        """Give the whole."""
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
        )

    def _bounds(self) -> Bounds:
        return Bounds(
            runner_drain_s=self._number("bounds.drain-ms", 2000) / 1000,
            grace_s=self._number("bounds.grace-s", 8),
            directory_ttl_s=self._number("bounds.ttl_max_s", 5),
            retry_ratio=self._number("bounds.retry-ratio", 0.2),
            retry_window_s=self._number("bounds.budget-window-s", 10),
            retry_slack=self._number("bounds.budget-slack", 10),
            evacuate_s=self._seconds("bounds.evacuate-ms"),
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
            ZoneName(name.removeprefix(_ZONES)): RegionName(value)
            for name, value in self._values.items()
            if name.startswith(_ZONES)
        }

    def _seconds(self, name: str) -> float | None:
        """Give a field in milliseconds that may be missing; 0 stands for that too."""
        return self._number(name, 0) / 1000 or None

    def _address(self, name: str, *, required: bool = True) -> str:
        value = self._text(name) if required else self._values.get(name, "")
        if not value:
            return ""
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65_536:
            raise UserError(f"{self._source}: {name}: {value!r} is not HOST:PORT")
        return value

    def _ports(self, name: str) -> tuple[int, int]:
        parts = self._text(name).split(",")
        if len(parts) != 2 or not all(part.isdigit() for part in parts):
            raise UserError(f"{self._source}: {name}: two ports are needed, such as 7200,7215")
        first, last = int(parts[0]), int(parts[1])
        if not 0 < first <= last < 65_536:
            raise UserError(f"{self._source}: {name}: {first},{last} is not a range of ports")
        return first, last
