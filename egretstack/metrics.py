"""Metrics of a process, served on the operator port."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

FIRST_TOKEN_BUCKETS_S = (0.05, 0.1, 0.2, 0.4, 0.63, 1.0, 2.0, 5.0, 10.0, 30.0)
GAP_BUCKETS_S = (0.01, 0.02, 0.036, 0.054, 0.072, 0.1, 0.2, 0.5, 1.0, 5.0)


class Metrics:
    """Every metric of the product, in one registry for each process."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
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
        self.first_token = Histogram(
            "egret_first_token_seconds",
            "Time from a request to its first token.",
            ["account"],
            buckets=FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self.gap = Histogram(
            "egret_token_gap_seconds",
            "Time between the tokens of a session.",
            ["account"],
            buckets=GAP_BUCKETS_S,
            registry=self.registry,
        )
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
