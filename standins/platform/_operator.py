"""Configurations, runner entries and client requests for tests and the demo."""

from egretstack.http1 import RequestHead

HOST = "ficu.example"
KEY = "key-of-nineras"
ACCOUNT = "nineras"


def client_request(
    path: str,
    attempt: str,
    *,
    method: bytes = b"GET",
    body: bytes = b"",
    key: str | None = KEY,
    deadline_ms: int = 10_000,
    headers: tuple = (),
) -> tuple[RequestHead, bytes]:
    """Return a client's request: head and body."""
    base_headers = [
        (b"host", HOST.encode()),
        (b"attempt-id", attempt.encode()),
        (b"deadline-ms", b"%d" % deadline_ms),
    ]
    if key is not None:
        base_headers.append((b"authorization", f"Bearer {key}".encode()))
    if body:
        base_headers.append((b"content-length", b"%d" % len(body)))
    return RequestHead(method, path.encode(), (*base_headers, *headers)), body


GENERATION = (
    (b"model", b"m"),
    (b"token-count", b"1460,400"),
    (b"prompt-prefix", b"5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    (b"length-hint", b"120"),
)
"""Headers of a request for a generation."""


def route(name: str, kind: str, service: str, **more) -> dict:
    """Return a route in the format of the operator's configuration."""
    row = {
        "name": name,
        "host": HOST,
        "path-prefix": f"/{name}/",
        "route-type": kind,
        "timeout-ms": 5_000,
        "target-latency-ms": 1_500,
        "priority": 1,
        "service": service,
        "max-attempts": 2 if kind == "idempotent" else 1,
        "allow-anonymous": False,
    }
    return row | more


def configuration(
    version: int,
    routes: list[dict],
    keys: tuple[str, ...],
    *,
    cold_per_s: float = 0.0,
    **account: object,
) -> dict:
    """Return an operator's configuration; `account` overrides fields of its one account."""
    cold = {"cold-start-s": 2.0, "cold-per-s": cold_per_s}
    engine = {
        "slots": 24,
        "kv-capacity-tokens": 34_000,
        "kv-token-bytes": 327_680,
        "link-mbps": 47_000.0,
        "moves": True,
        "backups": True,
        "stride": 4,
        "handle-s": 5.0,
    }
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "llm", "health-path": "/health", "max-conns": 200, "engine": engine} | cold,
            {"name": "desk", "health-path": "/health", "max-conns": 100} | cold,
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 100_000,
            "header-timeout-ms": 500,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": ACCOUNT, "api-keys": list(keys), "priority": 1} | account],
    }


def runner_spec(
    service: str,
    address: str,
    state: str = "ready",
    started_ms: int | None = None,
    *,
    zone: str = "leon-a",
    cold_ms: int = 0,
    slots: int = 24,
) -> dict:
    """Return a runner's entry in the store, in the format that the runner writes."""
    start_time = {} if started_ms is None else {"born": started_ms}
    return start_time | {
        "service": service,
        "address": address,
        "zone": zone,
        "version": "v1",
        "slots": slots,
        "state": state,
        "cold-remaining-ms": cold_ms,
        "seq-no": 1,
    }
