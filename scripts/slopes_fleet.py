"""Measures coordination costs on the users' platform: reports, updates, placement at the home.

Views and messages are objects that pass through the real codec, without sockets. Message sizes are
those of whole datagrams; processor time is per message or per placement request.
"""

import random
import time
from collections.abc import Callable

import msgpack

from egretstack.fleet import (
    REPORT_PERIOD_S,
    Fleet,
    FleetNews,
    HeldVersion,
    Incarnation,
    InstanceReport,
    InstanceState,
    KnownInstance,
    Runner,
    RunnerState,
    RunnerTable,
    StoreReachability,
    UpdatePublisher,
    VersionedRows,
    broadcast_instance_row,
    instance_from_row,
    instance_row,
    runner_row,
)
from egretstack.fleet import Instance as FleetInstance
from egretstack.ids import InstanceId, RunnerName, ServiceName, ZoneName
from egretstack.messages import decode, encode
from egretstack.placing import GenerationRequest, Placer, Run, run_from_row, run_row
from egretstack.routing import EngineConfig
from scripts._slope import MICROSECONDS, REPEATS, Slope, fit, print_slope

INSTANCES = (7, 30, 70, 420)
ENGINES = (6, 24, 96, 384)
RUNS = (0, 4, 16, 64)
RUNS_PER_ENGINE = 4
ROUNDS = 50
NEWEST = 1 << 31
SERVICE = ServiceName("llm")
ENGINE_CONFIG = EngineConfig(
    batch_slots=24,
    kv_capacity_tokens=22_000,
    kv_token_bytes=327_680,
    link_mbps=47_000.0,
    moves=True,
    backups=True,
    tokens_per_event=4,
    copy_ttl_s=5.0,
)


def main() -> None:
    """Measure and print."""
    for slope in wire_slopes():
        print_slope(slope)
    reports = {n: _measure_report_us(n) for n in INSTANCES}
    print_slope(fit("home_report_cpu", "us", "instance", reports))
    places = {n: _measure_place_us(n) for n in ENGINES}
    print_slope(fit("place_cpu", "us", "engine", places))
    per_s = {n: n / REPORT_PERIOD_S for n in INSTANCES}
    print_slope(fit("home_reports", "messages/s", "instance", per_s))


def wire_slopes() -> list[Slope]:
    """Return the slopes of message sizes, which do not depend on the machine."""
    quiet = {n: _update_bytes(NEWEST, n, 0) for n in INSTANCES}
    instances = {n: _update_bytes(0, n, 0) for n in INSTANCES}
    runners = {n: _update_bytes(0, 0, n) for n in ENGINES}
    return [
        fit("report_wire", "bytes", "run", {n: _report_bytes(n) for n in RUNS}),
        fit("quiet_news_wire", "bytes", "instance", quiet),
        fit("instance_news_wire", "bytes", "instance", instances),
        fit("runner_news_wire", "bytes", "runner", runners),
    ]


def make_known_instance(number: int) -> KnownInstance:
    """Make an instance."""
    instance = FleetInstance(
        InstanceId(f"edge-zone-{number}"),
        ZoneName("zone-a"),
        f"10.1.{number // 250}.{number % 250}:8740",
        f"10.1.{number // 250}.{number % 250}:7200",
        200,
    )
    return KnownInstance(instance, 1 << 52, InstanceState.READY, StoreReachability.UNKNOWN, 123)


def make_engine(number: int) -> Runner:
    """Make an engine."""
    address = f"10.2.{number // 250}.{number % 250}:8087"
    start = Incarnation(RunnerName(f"i-{number:010x}"), 1_700_000_000_000 + number)
    return Runner(start, SERVICE, address, ZoneName("zone-a"), 24, RunnerState.READY, 0)


def make_request(name: str) -> GenerationRequest:
    """Make the request of a long generation."""
    return GenerationRequest(
        name, SERVICE, 3_000, 1_756, 500, 0, 1.8, 3.6, f"{hash(name) & (1 << 64) - 1:016x}"
    )


def _make_runs(count: int, engines: int = 1) -> list[Run]:
    return [
        Run(make_request(f"{number:016x}"), make_engine(number % engines).id, None, 400, True)
        for number in range(count)
    ]


def _encode_report(number: int, runs: list[Run]) -> bytes:
    rows = [run_row(run) for run in runs]
    held = [1 << 52, 1_000, False]
    message = InstanceReport(
        instance_row(make_known_instance(number)),
        "edge-zone-0",
        held,
        rows,
        *[[]] * 5,
        0,
        *[[]] * 3,
    )
    return encode(message)


def _report_bytes(runs: int) -> float:
    return len(_encode_report(1, _make_runs(runs)))


def _make_rows(instances: int, engines: int) -> dict[str, list]:
    rows = {f"r{number}": [*runner_row(make_engine(number)), 0] for number in range(engines)}
    for number in range(instances):
        rows[f"i{number}"] = broadcast_instance_row(make_known_instance(number), watches=number < 2)
    return rows


def _update_bytes(held_version: int, instances: int, engines: int) -> float:
    """Return the size of all updates that the home sends to an instance with a version."""
    publisher = UpdatePublisher(lambda: 1 << 52, HeldVersion(), VersionedRows())
    publisher.replace_rows(_make_rows(instances, engines))
    instance_id = InstanceId("e")
    publisher.record_held(
        instance_id, HeldVersion(publisher.epoch, min(held_version, publisher.rows.version))
    )
    version = publisher.rows.version
    holders = [f"edge-zone-{number}" for number in range(8)]
    empty = FleetNews(
        instance_row(make_known_instance(0)),
        publisher.epoch,
        0,
        0,
        0,
        0,
        version,
        b"",
        1_000_000,
        100,
        123,
        holders,
    )
    return sum(len(encode(part.fill(empty))) for part in publisher.parts_for(0.0, instance_id))


def _measure_report_us(instances: int) -> float:
    """Return the time that the home takes to process the report of an instance with two runs."""
    view = Fleet(make_known_instance(0), 0.0)
    for number in range(1, instances):
        view.record_report(0.0, make_known_instance(number))
    placer = Placer(RunnerTable(), random.Random(1))
    data = [_encode_report(number, _make_runs(2)) for number in range(1, instances)]
    step_s = REPORT_PERIOD_S / instances
    now_s = 0.0

    def apply_report(number: int) -> None:
        nonlocal now_s
        now_s += step_s
        report = decode(msgpack.unpackb(data[number % len(data)]))
        sender = instance_from_row(report.sender)
        view.record_report(now_s, sender)
        placer.registry.record_report(
            sender.instance.id, [run_from_row(row) for row in report.runs]
        )
        view.home(now_s)

    return _measure_best_us(apply_report)


def _measure_place_us(engines: int) -> float:
    """Return the time that the home takes to place a generation, with four runs per engine."""
    table = RunnerTable()
    table.apply_reading(0.0, [make_engine(number) for number in range(engines)], 1, 0.0)
    placer = Placer(table, random.Random(1))
    placer.registry.record_report(InstanceId("e"), _make_runs(RUNS_PER_ENGINE * engines, engines))

    def place(number: int) -> None:
        placer.enqueue(0.0, make_request(f"w{number}"), ENGINE_CONFIG)
        placer.place_waiting(0.0)
        placer.remove(f"w{number}")

    return _measure_best_us(place)


def _measure_best_us(step: Callable[[int], None]) -> float:
    best_s = float("inf")
    for _ in range(REPEATS):
        began_s = time.perf_counter()
        for number in range(ROUNDS):
            step(number)
        best_s = min(best_s, (time.perf_counter() - began_s) / ROUNDS)
    return best_s * MICROSECONDS


if __name__ == "__main__":
    main()
