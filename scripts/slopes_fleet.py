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
    Incarnation,
    InstanceReport,
    InstanceState,
    KnownInstance,
    Runner,
    RunnerState,
    RunnerTable,
    instance_of,
    instance_row,
    runner_row,
)
from egretstack.fleet import Instance as FleetInstance
from egretstack.ids import InstanceId, RunnerName, ServiceName, ZoneName
from egretstack.messages import decode, encode
from egretstack.placing import Placer, Run, Work, run_of, run_row
from egretstack.routing import EnginePlan
from scripts._slope import MICROSECONDS, REPEATS, fit, show

INSTANCES = (7, 30, 70, 420)
ENGINES = (6, 24, 96, 384)
RUNS = (0, 4, 16, 64)
RUNS_OF_ENGINE = 4
ROUNDS = 50
SERVICE = ServiceName("llm")
PLAN = EnginePlan(
    batch_slots=24,
    kv_capacity_tokens=22_000,
    kv_token_bytes=327_680,
    link_mbps=47_000.0,
    moves=True,
    backups=True,
    tokens_per_event=4,
    copy_life_s=5.0,
)


def main() -> None:
    """Measure and print."""
    show(fit("report_wire", "bytes", "run", {n: _report_bytes(n) for n in RUNS}))
    show(fit("quiet_news_wire", "bytes", "instance", {n: _news_bytes(0, 0) for n in INSTANCES}))
    show(fit("instance_news_wire", "bytes", "instance", {n: _news_bytes(n, 0) for n in INSTANCES}))
    show(fit("runner_news_wire", "bytes", "runner", {n: _news_bytes(0, n) for n in ENGINES}))
    reports = {n: _report_us(n) for n in INSTANCES}
    show(fit("home_report_cpu", "us", "instance", reports))
    places = {n: _place_us(n) for n in ENGINES}
    show(fit("place_cpu", "us", "engine", places))
    per_s = {n: n / REPORT_PERIOD_S for n in INSTANCES}
    show(fit("home_reports", "messages/s", "instance", per_s))


def known(number: int) -> KnownInstance:
    """Give an instance."""
    instance = FleetInstance(
        InstanceId(f"edge-zone-{number}"),
        ZoneName("zone-a"),
        f"10.1.{number // 250}.{number % 250}:8740",
        f"10.1.{number // 250}.{number % 250}:7200",
        200,
    )
    return KnownInstance(instance, 1 << 52, InstanceState.READY, True, 123)


def runner(number: int) -> Runner:
    """Give an engine."""
    address = f"10.2.{number // 250}.{number % 250}:8087"
    start = Incarnation(RunnerName(f"i-{number:010x}"), 1_700_000_000_000 + number)
    return Runner(start, SERVICE, address, ZoneName("zone-a"), 24, RunnerState.READY, 0)


def work(name: str) -> Work:
    """Give a long generation."""
    return Work(name, SERVICE, 3_000, 1_756, 500, 0, 1.8, 3.6, f"{hash(name) & (1 << 64) - 1:016x}")


def _runs(count: int, engines: int = 1) -> list[Run]:
    return [
        Run(work(f"{number:016x}"), runner(number % engines).id, None, 400, True)
        for number in range(count)
    ]


def _report(number: int, runs: list[Run]) -> bytes:
    rows = [run_row(run) for run in runs]
    message = InstanceReport(instance_row(known(number)), "edge-zone-0", 1_000_000, rows, [])
    return encode(message)


def _report_bytes(runs: int) -> float:
    return len(_report(1, _runs(runs)))


def _news_bytes(instances: int, engines: int) -> float:
    news = FleetNews(
        home="edge-zone-0",
        whole=bool(instances or engines),
        instances=[instance_row(known(number)) for number in range(instances)],
        runners_revision=1_000_000,
        runners_age_ms=100,
        runners=[runner_row(runner(number)) for number in range(engines)],
        silent=[],
        suspects=[],
        loads=[[runner(number).id, 5, 17_000, 3_000, 120] for number in range(engines)],
    )
    return len(encode(news))


def _report_us(instances: int) -> float:
    """Time for the home to take one report of an instance with two runs."""
    view = Fleet(known(0), 0.0)
    for number in range(1, instances):
        view.heard(0.0, known(number))
    placer = Placer(RunnerTable(), random.Random(1))
    data = [_report(number, _runs(2)) for number in range(1, instances)]
    step_s = REPORT_PERIOD_S / instances
    now_s = 0.0

    def take(number: int) -> None:
        nonlocal now_s
        now_s += step_s
        report = decode(msgpack.unpackb(data[number % len(data)]))
        sender = instance_of(report.sender)
        view.heard(now_s, sender)
        placer.book.reported(sender.instance.id, [run_of(row) for row in report.runs])
        view.home(now_s)

    return _best_us(take)


def _place_us(engines: int) -> float:
    """Time for the home to place one generation, with four runs on each engine."""
    table = RunnerTable()
    table.take(0.0, [runner(number) for number in range(engines)], 1, 0.0)
    placer = Placer(table, random.Random(1))
    placer.book.reported(InstanceId("e"), _runs(RUNS_OF_ENGINE * engines, engines))

    def place(number: int) -> None:
        placer.wait(0.0, work(f"w{number}"), PLAN)
        placer.settle(0.0)
        placer.ended(f"w{number}")

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
