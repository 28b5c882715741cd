"""Measures the cost of membership per instance at several fleet sizes.

Prints one JSON line for each size. Instances are objects on a simulated clock; messages pass
through the real codec, without sockets. Rates are per instance in an idle fleet; `cpu_us_per_s`
includes the cost of the simulated clock. Run it with
`python scripts/slopes_membership.py [SIZE ...]`.
"""

import json
import random
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent.parent))

from egretstack.ids import InstanceId, RunnerId
from egretstack.membership import Heartbeat, InstanceState, MembershipState, ReadingPlan
from egretstack.membership._reading import ROW_BYTES
from egretstack.membership._rows import NO_EXPIRY, RunnerNotice, pack_row
from egretstack.objectapi import Member, MemberState
from tests.membership_fleet import EPOCH_S, Fleet, fleet_of, instance, runner

SIZES = (5, 20, 80, 320)
RUNNERS_OF_INSTANCE = 4
IDLE_S = 20
STEP_S = 0.05
STEP_SIZES = ((7, 28), (80, 320), (420, 1700))
CHANGES = 100
TIMEOUT_S = 60
LEAVING_TRIES = 3
_MICROSECONDS = 1_000_000


def main() -> None:
    """Measure and print."""
    for size in [int(text) for text in sys.argv[1:]] or SIZES:
        print(json.dumps(_measure(size)), flush=True)
    for instances, runners in STEP_SIZES:
        print(json.dumps(_measure_steps(instances, runners)), flush=True)


def _measure(size: int) -> dict[str, float]:
    fleet, listed = fleet_of(size, runners=RUNNERS_OF_INSTANCE * size)
    fleet.run(15)
    row = {"instances": size, "listed": len(listed)} | _measure_idle(fleet, size)
    plan = ReadingPlan.make(1.0, len(listed), 0, size)
    row["list_period_s"] = plan.period_s
    row["list_bytes_per_s"] = round(len(listed) * ROW_BYTES / plan.period_s)
    row["fleet_list_reads_per_s"] = round(size / plan.period_s, 2)
    row["memory_kb"] = _measure_memory_kb(size)
    row |= _measure_spread(fleet, size)
    return row


def _measure_idle(fleet: Fleet, size: int) -> dict[str, float]:
    messages, sent = _totals(fleet)
    began = time.process_time()
    fleet.run(IDLE_S)
    used_s = time.process_time() - began
    messages_after, sent_after = _totals(fleet)
    return {
        "messages_per_s": round((messages_after - messages) / IDLE_S / size, 2),
        "bytes_per_s": round((sent_after - sent) / IDLE_S / size, 1),
        "cpu_us_per_s": round(used_s / IDLE_S / size * _MICROSECONDS, 1),
    }


def _measure_spread(fleet: Fleet, size: int) -> dict[str, float]:
    """Let some instances leave and one crash; return the longest times until all others know."""
    leaving_s, leaving_bytes = 0.0, 0.0
    for number in range(LEAVING_TRIES):
        _, before = _totals(fleet)
        fleet.state_of(number).leave()
        took_s = _wait_until_known_s(fleet, number, InstanceState.LEAVING)
        leaving_s = max(leaving_s, took_s)
        fleet.run(5 - took_s)
        _, after = _totals(fleet)
        leaving_bytes = (after - before) / size
    dead = size - 1
    fleet.node(dead).down = True
    return {
        "leaving_known_s": round(leaving_s, 2),
        "bytes_in_5_s_of_a_leaving": round(leaving_bytes),
        "gone_known_s": round(_wait_until_known_s(fleet, dead, InstanceState.GONE), 2),
    }


def _wait_until_known_s(fleet: Fleet, subject: int, state: InstanceState) -> float:
    name = InstanceId(f"entry-{subject}")
    began_s = fleet.now_s
    observers = [node.state for node in fleet.node_by_id.values() if not node.down]
    while any(one.views()[name].state is not state for one in observers):
        fleet.run(STEP_S)
        if fleet.now_s - began_s > TIMEOUT_S:
            return float("inf")
    return fleet.now_s - began_s


def _totals(fleet: Fleet) -> tuple[int, int]:
    nodes = fleet.node_by_id.values()
    return sum(node.messages for node in nodes), sum(node.sent_bytes for node in nodes)


def _measure_steps(size: int, runners: int) -> dict[str, float]:
    """Return how long one change, and one reading of the list, block the event loop at most."""
    listed = [instance(number) for number in range(size)]
    listed += [runner(number) for number in range(runners)]
    state = MembershipState(listed[0], 0.0, EPOCH_S, random.Random(1))
    state.apply_list(0.0, listed)
    changes = [_measure_change_us(state, number) for number in range(1, CHANGES + 1)]
    steps = _measure_reading_us(
        state, [replace(listed[-1], state=MemberState.LEAVING), *listed[:-1]]
    )
    return {
        "instances": size,
        "listed": len(listed),
        "longest_step_of_a_change_us": round(max(changes)),
        "median_step_of_a_change_us": round(statistics.median(changes)),
        "longest_step_of_a_reading_us": round(max(steps)),
        "steps_of_a_reading": len(steps),
    }


def _measure_change_us(state: MembershipState, number: int) -> float:
    """Return the time from a neighbour's notice of a leaving runner to the updated member list."""
    notice = RunnerNotice(RunnerId(f"runner-{number}"), True, number, NO_EXPIRY)
    message = Heartbeat(1, 0, 0, 0, number, 0, 0, [pack_row(notice)])
    began = time.perf_counter()
    state.on_heartbeat(1.0, InstanceId("entry-1"), message)
    state.members()
    return (time.perf_counter() - began) * _MICROSECONDS


def _measure_reading_us(state: MembershipState, members: list[Member]) -> list[float]:
    steps = []
    began = time.perf_counter()
    for _ in state.apply_list_steps(2.0, members):
        steps.append((time.perf_counter() - began) * _MICROSECONDS)
        began = time.perf_counter()
    state.members()
    steps.append((time.perf_counter() - began) * _MICROSECONDS)
    return steps


def _measure_memory_kb(size: int) -> int:
    def build() -> MembershipState:
        listed = [instance(number) for number in range(size)]
        listed += [runner(number) for number in range(RUNNERS_OF_INSTANCE * size)]
        fleet = Fleet()
        state = fleet.start(listed[0], listed).state
        for number in range(1, size):
            other = MembershipState(listed[number], 0.0, EPOCH_S, fleet.rng)
            state.on_heartbeat(0.0, other.own, next(iter(_first_messages(other, state))))
        return state

    return _traced_kb(build)


def _first_messages(sender: MembershipState, receiver: MembershipState):
    sender.apply_list(0.0, [receiver.own_member])
    return [outgoing.message for outgoing in sender.tick(1.0)]


def _traced_kb(build: Callable[[], object]) -> int:
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return round(size / 1024)


if __name__ == "__main__":
    main()
