"""Counts what the relay does, and serves the counts as Prometheus text, beside other pages."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import trio
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from egretstack.events import add_event_counter
from egretstack.http1 import (
    BadRequest,
    ClientConnection,
    ClientDisconnected,
    ResponseHead,
    ServerLimits,
    SlowSender,
    open_listener,
)
from egretstack.kernel import Kernel, Service, WorkKind
from egretstack.platform import NodeSettings
from egretstack.routing import RouteKind
from egretstack.services._serving import serve_connections

LIMITS = ServerLimits(header_bytes=8_192, body_bytes=1_024, header_timeout_s=2, idle_timeout_s=60)
BUCKETS_S = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.8, 2.5, 4.0, 8.0, 20.0, 40.0)
"""Concentrated around the targets of both users' deployments: 125 and 200 ms for calls, 1.5 and
1.8 s for first tokens."""


@dataclass(frozen=True, slots=True)
class Page:
    """A whole answer of the metrics port."""

    status: int
    content_type: bytes
    body: bytes


class RelayMetrics(Service):
    """The metrics of one process; all label values come from fixed sets."""

    name = "relay_metrics"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.registry = CollectorRegistry()
        self._page_by_path: dict[bytes, Callable[[], Page]] = {}
        self._requests = Counter(
            "egret_relay_requests",
            "Requests by kind of route and how they ended.",
            ["kind", "outcome"],
            registry=self.registry,
        )
        self._seconds = Histogram(
            "egret_relay_seconds",
            "Time to the whole answer, or to a stream's first event.",
            ["kind"],
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self._events = Counter(
            "egret_log_events", "Events by name, as logged.", ["event"], registry=self.registry
        )
        add_event_counter(lambda event: self._events.labels(event.name.lower()).inc())
        errors = self.counter(
            "egret_relay_unforeseen_errors",
            "Bugs that ended one connection, datagram, row, exchange or pass of a loop.",
            "work",
        )
        for kind in WorkKind:
            errors.labels(kind.value)
        kernel.unforeseen.on_error(lambda kind: errors.labels(kind.value).inc())

    def add_page(self, path: bytes, make: Callable[[], Page]) -> None:
        """Serve what `make` returns at a path; it must not raise."""
        self._page_by_path[path] = make

    def gauge(self, name: str, meaning: str, *labels: str) -> Gauge:
        """Add a gauge for another service; the values of its labels come from fixed sets."""
        return Gauge(name, meaning, labels, registry=self.registry)

    def counter(self, name: str, meaning: str, *labels: str) -> Counter:
        """Add a counter for another service; the values of its labels come from fixed sets."""
        return Counter(name, meaning, labels, registry=self.registry)

    def count_request(self, kind: RouteKind | None, outcome: str) -> None:
        """Count a request; the kind is None where no route was found."""
        self._requests.labels("none" if kind is None else kind.value, outcome).inc()

    def observe_answer(self, kind: RouteKind, seconds: float) -> None:
        """Record the time to an answer or a first event."""
        self._seconds.labels(kind.value).observe(seconds)

    async def run(self, task_status: trio.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        node: NodeSettings = self.kernel.settings
        host, _, port = node.metrics_address.rpartition(":")
        listener = await open_listener(host, int(port))
        async with trio.open_nursery() as nursery:
            serve = partial(serve_connections, port="metrics")
            await nursery.start(serve, self.kernel, listener, self._serve)
            task_status.started()

    async def _serve(self, stream: trio.SocketStream) -> None:
        connection = ClientConnection(stream, LIMITS)
        try:
            while (request := await connection.read_head()) is not None:
                await connection.read_body()
                page = self._page(request.target)
                headers = ((b"content-type", page.content_type),)
                reason = b"OK" if page.status == 200 else b""
                await connection.send_response(
                    ResponseHead(page.status, reason, headers), page.body
                )
                if not connection.start_next():
                    return
        except (BadRequest, SlowSender, ClientDisconnected):
            return  # The scraper tries again.
        finally:
            connection.close()

    def _page(self, target: bytes) -> Page:
        """Return the page at a path, or the metrics at any other one."""
        make = self._page_by_path.get(target.partition(b"?")[0])
        if make is not None:
            return make()
        return Page(200, b"text/plain; version=0.0.4", generate_latest(self.registry))
