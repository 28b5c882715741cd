"""What is sent to each door of an instance."""

import random
import socket
import zlib
from contextlib import suppress
from dataclasses import fields

import msgpack
import trio

from egretstack.detour._wire import encode_request
from egretstack.fleet import (
    BackupAnswer,
    BackupAsk,
    EngineTimings,
    FleetLoads,
    FleetNews,
    FleetView,
    HeldRows,
    InstanceReport,
    MoveAsk,
    MoveDone,
    MoveTurn,
    PlaceAnswer,
    PlaceAsk,
    PlaceDrop,
    instance_row,
)
from egretstack.services.fleet_port import FleetPort
from standins.platform import GENERATION, HOST, KEY, configuration, route, runner_spec
from tests.fuzz.http import odd_request
from tests.fuzz.runners import OddRunner
from tests.fuzz.values import OddValues
from tests.platform_site import Deployment, free_loopback_net

ODD_ROUTES = (
    route("odd-calls", "idempotent", "odd-desk", **{"max-attempts": 3, "timeout-ms": 1_000}),
    route("odd-streams", "streaming", "odd-llm", **{"can-resume": True, "timeout-ms": 1_500}),
)
ANSWER_WAIT_S = 0.05
"""How long the answer to odd bytes is waited for, and thrown away."""
_MESSAGES = (
    InstanceReport,
    FleetView,
    FleetNews,
    FleetLoads,
    EngineTimings,
    HeldRows,
    PlaceAsk,
    PlaceAnswer,
    PlaceDrop,
    BackupAsk,
    BackupAnswer,
    MoveAsk,
    MoveTurn,
    MoveDone,
)
_RUNNER_ROW = ["i-odd", None, "odd", "127.0.0.9:80", "z", 6, 0, 0, 0, 0]
_ROWS = {
    "r": _RUNNER_ROW,
    "i": ["i", "z", "127.0.0.9:80", "127.0.0.9:81", 0, 1, 1, 0, True, 0],
    "c": [0, [["i-odd", 2]], False],
    "l": [2.5],
    "b": [3.0],
    "s": [100, 150],
    "t": [500, 150],
    "p": [[["i-odd"]], False, True, False, ["part"], []],
    "z": [],
    "m": [1],
}


class Doors:
    """Sends odd things to the doors of one site's instances."""

    def __init__(self, site: Deployment, seed: int) -> None:
        self._site = site
        self._odd = OddValues(random.Random(seed))
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.runners: list[OddRunner] = []

    async def start_runners(self) -> None:
        """Start runners of services of their own, and route requests to them."""
        net = free_loopback_net()
        for number in range(4):
            runner = OddRunner(f"127.{net}.4.{number + 1}:8080", self._odd)
            await self._site.nursery.start(runner.run)
            service = "odd-desk" if number < 2 else "odd-llm"
            self._site.register(f"i-odd-{number}", service, runner.address)
            self.runners.append(runner)
        await self.configure()

    async def configure(self) -> None:
        """Put a sound configuration in force."""
        self._site.version += 1
        self._site.store.put("config", "main", self._configuration())

    def _configuration(self) -> dict:
        routes = [*self._site.routes, *ODD_ROUTES]
        spec = configuration(self._site.version, routes, (KEY,))
        engine, plain = spec["services"]
        spec["services"] += [engine | {"name": "odd-llm"}, plain | {"name": "odd-desk"}]
        return spec

    async def put_row(self) -> None:
        """Write an odd object into the store, as another writer may."""
        odd, store = self._odd, self._site.store
        specs = {
            "servers": runner_spec("odd", "127.0.0.9:80"),
            "evacuations": {},
            "egret-instances": {"zone": "z", "front": "127.0.0.9:80", "peer": "127.0.0.9:81"},
            "egret-crash-records": {"record": _ROWS["c"]},
            "egret-crash-parts": {"record": _ROWS["p"][:-1]},
            "config": {"version": 1},
        }
        kind = odd.rng.choice(list(specs))
        spec = odd.mutated(specs[kind])
        store.put(kind, odd.rng.choice(("odd", odd.text())), spec if isinstance(spec, dict) else {})
        if odd.rng.random() < 0.05:
            store.forget_history()

    async def put_configuration(self) -> None:
        """Write an odd configuration, and a sound one after it."""
        self._site.version += 1
        spec = self._odd.mutated(self._configuration())
        if isinstance(spec, dict):
            self._site.store.put("config", "main", spec | {"version": self._site.version})
        await trio.sleep(ANSWER_WAIT_S)
        await self.configure()

    async def send_request(self) -> None:
        """Send odd bytes to one of the HTTP ports."""
        node = self._site.settings(self._odd.rng.randrange(len(self._site.kernels)))
        address = self._odd.rng.choice(
            (node.front_address, node.ready_address, node.directory_address, node.metrics_address)
        )
        await self._send(address, odd_request(self._odd))

    async def call_odd_runner(self) -> None:
        """Send a sound request that a runner with odd answers gets."""
        node = self._site.settings(self._odd.rng.randrange(len(self._site.kernels)))
        path, headers = self._odd.rng.choice(
            ((b"/odd-calls/1", ()), (b"/odd-streams/1", GENERATION))
        )
        lines = [
            b"POST " + path + b" HTTP/1.1",
            b"host: " + HOST.encode(),
            b"attempt-id: odd-%d" % self._odd.rng.getrandbits(40),
            b"authorization: Bearer " + KEY.encode(),
            b"deadline-ms: 1500",
            b"content-length: 0",
            *(name + b": " + value for name, value in headers),
        ]
        await self._send(node.front_address, b"\r\n".join((*lines, b"", b"")), wait_s=0.3)

    async def send_internal(self) -> None:
        """Send odd bytes to one of the ports of other instances."""
        kernel = self._odd.rng.choice(self._site.kernels)
        node = kernel.settings
        if self._odd.rng.random() < 0.7:
            port = node.first_peer_port
            for _ in range(5):
                self._socket.sendto(self._datagram(kernel), (node.ip, port))
            return
        tunnel = encode_request("127.0.0.9:80", 0.1)
        data = self._odd.rng.choice(
            (self._odd.spoilt(tunnel), odd_request(self._odd), b"\xff" * 600)
        )
        port = self._odd.rng.choice((node.first_peer_port, node.detour_port))
        await self._send(f"{node.ip}:{port}", data)

    def _datagram(self, kernel) -> bytes:
        """Return a message whose fields have their declared types, with odd content."""
        odd = self._odd
        while True:
            kind = odd.rng.choice(_MESSAGES)
            row = [kind.number, *(self._field(kernel, one.name, one.type) for one in fields(kind))]
            with suppress(TypeError, ValueError, OverflowError):
                data = msgpack.packb(odd.mutated(row, 1) if odd.rng.random() < 0.2 else row)
                return odd.spoilt(data) if odd.rng.random() < 0.1 else data

    def _field(self, kernel, name: str, kind: type) -> object:
        odd, own = self._odd, kernel.get(FleetPort).fleet.own
        if name in ("sender", "home") and kind is list:
            row = instance_row(own)
            row[0] = odd.rng.choice(("i-odd", "entry-0", "entry-1"))
            return odd.mutated(row, 1) if odd.rng.random() < 0.3 else row
        if name in ("sender", "home"):
            return odd.rng.choice(("i-odd", "entry-0", "entry-1", odd.text()))
        if kind is bytes:
            return self._packed_rows()
        if kind is list:
            rows = [odd.mutated(row) for row in odd.rng.sample(list(_ROWS.values()), 2)]
            return odd.rng.choice((rows, [odd.value()], [], odd.mutated(_RUNNER_ROW)))
        return {str: odd.text, bool: lambda: True, int: self._integer}.get(kind, odd.number)()

    def _integer(self) -> int:
        return self._odd.rng.choice((0, 1, 2**40, -1, 2**63))

    def _packed_rows(self) -> bytes:
        """Return changes of rows as they are packed, with odd rows among them."""
        odd = self._odd
        letters = odd.rng.sample(list(_ROWS), 3)
        changes = [
            [number, f"{letter}odd", odd.mutated(_ROWS[letter]) if odd.rng.random() < 0.7 else None]
            for number, letter in enumerate(letters, 1)
        ]
        with suppress(TypeError, ValueError, OverflowError):
            packed = zlib.compress(msgpack.packb(changes))
            return odd.spoilt(packed) if odd.rng.random() < 0.1 else packed
        return b""

    async def _send(self, address: str, data: bytes, wait_s: float = ANSWER_WAIT_S) -> None:
        """Send bytes on a connection of their own, in pieces now and then."""
        host, _, port = address.rpartition(":")
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            async with await trio.open_tcp_stream(host, int(port)) as stream:
                cut = self._odd.rng.randrange(len(data) + 1)
                for piece in (data[:cut], data[cut:]):
                    if piece:
                        await stream.send_all(piece)
                    await trio.sleep(0)
                with trio.move_on_after(wait_s):
                    while await stream.receive_some(65_536):
                        pass

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
