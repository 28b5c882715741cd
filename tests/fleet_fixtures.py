"""Instances, runners and generation requests for tests of the fleet and of placement."""

from egretstack.fleet import (
    Incarnation,
    Instance,
    InstanceState,
    KnownInstance,
    Runner,
    RunnerState,
    StoreReachability,
)
from egretstack.ids import InstanceId, RunnerId, RunnerName, ServiceName, ZoneName
from egretstack.placing import GenerationRequest
from egretstack.routing import EngineConfig

ENGINES = ServiceName("match-llm")
PLAIN = ServiceName("desk-app")
ENGINE = EngineConfig(
    batch_slots=24,
    kv_capacity_tokens=34_000,
    kv_token_bytes=327_680,
    link_mbps=47_000.0,
    moves=True,
    backups=True,
    tokens_per_event=4,
    copy_ttl_s=5.0,
)


def known_instance(number, state=InstanceState.READY, *, reads_store=True, version=1, strength=0):
    """Return an instance as others know it."""
    name = f"entry-{number}"
    instance = Instance(
        InstanceId(name),
        ZoneName("leon-a"),
        f"10.1.0.{number}:8740",
        f"10.1.0.{number}:7200",
        strength,
    )
    store = StoreReachability.REACHABLE if reads_store else StoreReachability.UNREACHABLE
    return KnownInstance(instance, number, state, store, version)


def runner(
    name,
    service=ENGINES,
    state=RunnerState.READY,
    *,
    zone="leon-a",
    slots=24,
    cold_s=0.0,
    started_ms=None,
    address=None,
    confirmed_at=0,
):
    """Return a runner."""
    address = address or f"10.2.0.{sum(name.encode()) % 250}:8442"
    start = Incarnation(RunnerName(name), started_ms)
    return Runner(start, service, address, ZoneName(zone), slots, state, cold_s, confirmed_at)


def generation_request(
    attempt,
    *,
    prompt=3_000,
    max_output=2_000,
    hint=900,
    rank=0,
    patience_s=7.0,
    wait_s=4.0,
    prompt_id="",
    excluded=(),
    account="",
    zones=None,
):
    """Return the request of a generation for an engine."""
    names = tuple(RunnerId(one) for one in excluded)
    terms = (patience_s, wait_s, prompt_id, names, account, zones)
    return GenerationRequest(attempt, ENGINES, prompt, max_output, hint, rank, *terms)
