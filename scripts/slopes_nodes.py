"""Measures the cost of a fleet of idle instances as it grows, with all programs in one process.

Each instance is a real entry and a real steward on a mock clock, connected by a network that counts
bytes. The fleet has one account and one engine service, so that only control is measured.
"""

import time
import tracemalloc
from collections import Counter
from dataclasses import dataclass

import trio
import trio.testing

from egretstack.settings import Program
from scripts._slope import MICROSECONDS, fit, print_slope
from standins.network import Network
from standins.world import open_world

FLEET_SIZES = (5, 20, 80)
WARM_UP_S = 60.0
MEASURE_S = 60.0
CHANGES = 10
CONTRACT = {"contract": {"account": "acme", "key_sha256": "f" * 64}}
ENGINES = {"service": {"name": "llm", "kind": "engine"}, "engine": {"models": "story"}}


class CountingNetwork(Network):
    """A network that counts the bytes each host sends."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_by_host: Counter = Counter()
        self.links_by_host: Counter = Counter()

    async def connect(self, source: str, host: str, port: int) -> trio.abc.Stream:
        """Open a stream; count its bytes in both directions unless it stays on one instance."""
        stream = await super().connect(source, host, port)
        if source == host:
            return stream
        self.links_by_host.update((source, host))
        return _CountedStream(stream, self, source, host)


class _CountedStream(trio.abc.Stream):
    def __init__(self, inner: trio.abc.Stream, network: CountingNetwork, source: str, target: str):
        self._inner = inner
        self._network = network
        self._source = source
        self._target = target
        self._closed = False

    async def send_all(self, data: bytes) -> None:
        self._network.bytes_by_host[self._source] += len(data)
        await self._inner.send_all(data)

    async def wait_send_all_might_not_block(self) -> None:
        await self._inner.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        data = await self._inner.receive_some(max_bytes)
        self._network.bytes_by_host[self._target] += len(data)
        return data

    async def aclose(self) -> None:
        if not self._closed:
            self._closed = True
            self._network.links_by_host.subtract((self._source, self._target))
        await self._inner.aclose()


@dataclass(frozen=True)
class FleetCost:
    """The cost of an idle fleet, and of one configuration change.

    Bytes and processor time are per instance and second, calls are per second for the whole fleet;
    `change_bytes` is per instance and change.
    """

    sent_bytes: float
    busiest_sent_bytes: float
    cpu_us: float
    calls: float
    waiting_watches: int
    links: float
    memory_bytes: float
    change_bytes: float
    change_calls: float


async def measure(instances: int) -> FleetCost:
    """Run a fleet of this many instances, idle and then with changes; return its cost."""
    async with open_world() as world:
        network = CountingNetwork()
        world.network = network
        await world.configure(contract__acme=CONTRACT, service__llm=ENGINES)
        before, _ = tracemalloc.get_traced_memory()
        for number in range(instances):
            for program in (Program.STEWARD, Program.ENTRY):
                await world.start(f"entry-{number}", program, zone=f"zone-{number % 10}")
        await trio.sleep(WARM_UP_S)
        after, _ = tracemalloc.get_traced_memory()
        idle = await _measure_window(world, network, instances)
        changed = await _measure_window(world, network, instances, CHANGES)
        change_bytes = (changed[0] - idle[0]) * MEASURE_S / CHANGES
        change_calls = (changed[3] - idle[3]) * MEASURE_S / CHANGES
        watches = world.store.waiting_watches
        memory = (after - before) / instances
        links = max(network.links_by_host.values(), default=0)
        return FleetCost(*idle, watches, links, memory, change_bytes, change_calls)


async def _measure_window(
    world, network, instances, changes=0
) -> tuple[float, float, float, float]:
    network.bytes_by_host.clear()
    calls = world.store.calls.total()
    started_s = time.process_time()
    for number in range(changes):
        limits = {"limits": {"burst": str(100 + number)}}
        await world.configure(contract__acme=CONTRACT | limits)
        await trio.sleep(MEASURE_S / changes)
    if not changes:
        await trio.sleep(MEASURE_S)
    used_s = time.process_time() - started_s
    share = instances * MEASURE_S
    sent = network.bytes_by_host
    busiest = max(sent.values(), default=0) / MEASURE_S
    cpu_us = used_s * MICROSECONDS / share
    called = (world.store.calls.total() - calls) / MEASURE_S
    return sum(sent.values()) / share, busiest, cpu_us, called


def run_fleet(instances: int, *, memory: bool) -> FleetCost:
    """Measure one fleet; trace memory only on request, because tracing costs processor time."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    if memory:
        tracemalloc.start()
    try:
        return trio.run(measure, instances, clock=clock)
    finally:
        tracemalloc.stop()


def main() -> None:
    """Measure fleets of every size and print the slopes."""
    timed = {size: run_fleet(size, memory=False) for size in FLEET_SIZES}
    for field, name, unit in (
        ("sent_bytes", "idle_bytes", "bytes/s an instance"),
        ("busiest_sent_bytes", "idle_bytes_busiest", "bytes/s an instance"),
        ("cpu_us", "idle_cpu", "us/s an instance"),
        ("calls", "idle_object_api_calls", "calls/s"),
        ("waiting_watches", "idle_waiting_watches", "watches"),
        ("links", "links_busiest", "links an instance"),
        ("change_bytes", "change_bytes", "bytes an instance and change"),
        ("change_calls", "change_object_api_calls", "calls a change"),
    ):
        values = {size: getattr(idle, field) for size, idle in timed.items()}
        print_slope(fit(name, unit, "instance", values))


if __name__ == "__main__":
    from loguru import logger

    logger.remove()
    main()
