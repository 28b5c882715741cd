"""Metrics of a process, served on the operator port."""

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge

from egretstack.metrics._levels import ServiceLevels
from egretstack.metrics._names import INSTANCE_LABEL, SNAPSHOT, STARTED

UNNAMED = "unnamed"


class Metrics:
    """The metrics of one process in a registry of its own.

    `epoch_now` returns seconds since the epoch. The metrics include the time at which they were
    read and the time at which the process started, so that a saved file is self-describing.
    """

    def __init__(
        self, instance: str = UNNAMED, epoch_now: Callable[[], float] = lambda: 0.0
    ) -> None:
        self.registry = CollectorRegistry()
        self._add_timestamps(instance, epoch_now)
        self.sessions = Counter(
            "egret_sessions",
            "Sessions ended, by account and outcome.",
            ["account", "outcome"],
            registry=self.registry,
        )
        self.refusals = Counter(
            "egret_refusals", "Final answers by error kind.", ["kind"], registry=self.registry
        )
        self.calls = Counter(
            "egret_calls",
            "Calls to plain services, by account and outcome.",
            ["account", "outcome"],
            registry=self.registry,
        )
        self.tokens = Counter(
            "egret_tokens", "Output tokens passed on.", ["account"], registry=self.registry
        )
        self.levels = ServiceLevels()
        self.registry.register(self.levels)
        self.open_sessions = Gauge(
            "egret_open_sessions", "Sessions in progress.", registry=self.registry
        )
        self.open_calls = Gauge("egret_open_calls", "Calls in progress.", registry=self.registry)
        self.platform_calls = Counter(
            "egret_platform_calls",
            "Calls to the object API, by class, verb and outcome; a watch is one call.",
            ["class", "verb", "outcome"],
            registry=self.registry,
        )
        self.platform_watches = Gauge(
            "egret_platform_watches",
            "Watches that wait at the object API, by class.",
            ["class"],
            registry=self.registry,
        )
        self.revision = Gauge(
            "egret_config_revision", "Configuration revision in force.", registry=self.registry
        )

    def _add_timestamps(self, instance: str, epoch_now: Callable[[], float]) -> None:
        started = Gauge(
            STARTED,
            "When this process started, in seconds since the epoch.",
            [INSTANCE_LABEL],
            registry=self.registry,
        )
        started.labels(instance).set(epoch_now())
        snapshot = Gauge(
            SNAPSHOT,
            "When these metrics were read, in seconds since the epoch.",
            [INSTANCE_LABEL],
            registry=self.registry,
        )
        snapshot.labels(instance).set_function(epoch_now)
