"""Measures what acting together costs on the users' platform: reports, news, places at the home.

Views and messages as objects, through the real codec, without sockets. Message sizes are whole
datagrams; processor time is of one message or one question.
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
RUNS_OF_ENGINE = 4
ROUNDS = 50
NEWEST = 1 << 31
SERVICE = ServiceName("llm")
PLAN = EngineConfig(
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
    reports = {n: _report_us(n) for n in INSTANCES}
    print_slope(fit("home_report_cpu", "us", "instance", reports))
    places = {n: _place_us(n) for n in ENGINES}
    print_slope(fit("place_cpu", "us", "engine", places))
    per_s = {n: n / REPORT_PERIOD_S for n in INSTANCES}
    print_slope(fit("home_reports", "messages/s", "instance", per_s))


def wire_slopes() -> list[Slope]:
    """Give the slopes of bytes, which do not depend on the machine."""
    quiet = {n: _news_bytes(NEWEST, n, 0) for n in INSTANCES}
    instances = {n: _news_bytes(0, n, 0) for n in INSTANCES}
    runners = {n: _news_bytes(0, 0, n) for n in ENGINES}
    return [
        fit("report_wire", "bytes", "run", {n: _report_bytes(n) for n in RUNS}),
        fit("quiet_news_wire", "bytes", "instance", quiet),
        fit("instance_news_wire", "bytes", "instance", instances),
        fit("runner_news_wire", "bytes", "runner", runners),
    ]


def known(number: int) -> KnownInstance:
    """Give an instance."""
    instance = FleetInstance(
        InstanceId(f"edge-zone-{number}"),
        ZoneName("zone-a"),
        f"10.1.{number // 250}.{number % 250}:8740",
        f"10.1.{number // 250}.{number % 250}:7200",
        200,
    )
    return KnownInstance(instance, 1 << 52, InstanceState.READY, StoreReachability.UNKNOWN, 123)


def runner(number: int) -> Runner:
    """Give an engine."""
    address = f"10.2.{number // 250}.{number % 250}:8087"
    start = Incarnation(RunnerName(f"i-{number:010x}"), 1_700_000_000_000 + number)
    return Runner(start, SERVICE, address, ZoneName("zone-a"), 24, RunnerState.READY, 0)


def work(name: str) -> GenerationRequest:
    """Give a long generation."""
    return GenerationRequest(
        name, SERVICE, 3_000, 1_756, 500, 0, 1.8, 3.6, f"{hash(name) & (1 << 64) - 1:016x}"
    )


def _runs(count: int, engines: int = 1) -> list[Run]:
    return [
        Run(work(f"{number:016x}"), runner(number % engines).id, None, 400, True)
        for number in range(count)
    ]


def _report(number: int, runs: list[Run]) -> bytes:
    rows = [run_row(run) for run in runs]
    held = [1 << 52, 1_000, False]
    message = InstanceReport(instance_row(known(number)), "edge-zone-0", held, rows, [])
    return encode(message)


def _report_bytes(runs: int) -> float:
    return len(_report(1, _runs(runs)))


def _rows(instances: int, engines: int) -> dict[str, list]:
    rows = {f"r{number}": [*runner_row(runner(number)), 0] for number in range(engines)}
    for number in range(instances):
        rows[f"i{number}"] = broadcast_instance_row(known(number), watches=number < 2)
    return rows


def _news_bytes(held: int, instances: int, engines: int) -> float:
    """Give the bytes of all that the home tells an instance that holds a version."""
    teller = UpdatePublisher(lambda: 1 << 52, HeldVersion(), VersionedRows())
    teller.replace_rows(_rows(instances, engines))
    name = InstanceId("e")
    teller.record_held(name, HeldVersion(teller.epoch, min(held, teller.rows.version)))
    version = teller.rows.version
    holders = [f"edge-zone-{number}" for number in range(8)]
    empty = FleetNews(
        instance_row(known(0)), teller.epoch, 0, 0, 0, 0, version, b"", 1_000_000, 100, 123, holders
    )
    return sum(len(encode(part.fill(empty))) for part in teller.parts_for(0.0, name))


def _report_us(instances: int) -> float:
    """Time for the home to take one report of an instance with two runs."""
    view = Fleet(known(0), 0.0)
    for number in range(1, instances):
        view.record_report(0.0, known(number))
    placer = Placer(RunnerTable(), random.Random(1))
    data = [_report(number, _runs(2)) for number in range(1, instances)]
    step_s = REPORT_PERIOD_S / instances
    now_s = 0.0

    def take(number: int) -> None:
        nonlocal now_s
        now_s += step_s
        report = decode(msgpack.unpackb(data[number % len(data)]))
        sender = instance_from_row(report.sender)
        view.record_report(now_s, sender)
        placer.registry.record_report(
            sender.instance.id, [run_from_row(row) for row in report.runs]
        )
        view.home(now_s)

    return _best_us(take)


def _place_us(engines: int) -> float:
    """Time for the home to place one generation, with four runs on each engine."""
    table = RunnerTable()
    table.apply_reading(0.0, [runner(number) for number in range(engines)], 1, 0.0)
    placer = Placer(table, random.Random(1))
    placer.registry.record_report(InstanceId("e"), _runs(RUNS_OF_ENGINE * engines, engines))

    def place(number: int) -> None:
        placer.enqueue(0.0, work(f"w{number}"), PLAN)
        placer.place_waiting(0.0)
        placer.remove(f"w{number}")

    return _best_us(place)


def _best_us(step: Callable[[int], None]) -> float:
    best_s = float("inf")
    for _ in range(REPEATS):
        began_s = time.perf_counter()
        for number in range(ROUNDS):
            step(number)
        best_s = min(best_s, (time.perf_counter() - began_s) / ROUNDS)
    return best_s * MICROSECONDS


if __name__ == "__main__":
    main()
