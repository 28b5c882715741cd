#!/usr/bin/env python3
"""Measures the processor time of the default policy's decisions; prints one JSON line a figure."""

import json
import random
import time

from egretstack.ids import AccountId, ModelName, RequestId, RunnerId, ServiceName, ZoneName
from egretstack.policy import (
    Arrived,
    Dispatch,
    Ended,
    EndReason,
    InstancesSeen,
    Policy,
    Progressed,
    RunnerInfo,
    RunnerReported,
    RunnerSeen,
    SchedulingRequest,
    make_policy,
)

REQUESTS = 2000
REQUESTS_PER_S = 10.0
"""Of one node at the target size."""
TOKENS = 512
PROGRESS_TOKENS = 32
TOKENS_PER_S = 40.0
RUNNERS = (4, 32)
REPORTS_PER_S = 2.0
OTHERS = 12
MEMORY = 60_000
_SERVICE = ServiceName("llm")
_MODEL = ModelName("story")


class Meter:
    """Adds up processor time by kind of event."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self.spent_ns: dict[str, int] = {}
        self.count: dict[str, int] = {}

    def tell(self, now_s: float, event: object) -> list:
        """Pass an event on and note what it cost."""
        kind = type(event).__name__
        before = time.process_time_ns()
        actions = self._policy.handle(now_s, event)
        self.spent_ns[kind] = self.spent_ns.get(kind, 0) + time.process_time_ns() - before
        self.count[kind] = self.count.get(kind, 0) + 1
        return actions


def work(number: int, now_s: float) -> SchedulingRequest:
    """Give one request."""
    account = AccountId(f"account-{number % 20}")
    return SchedulingRequest(
        id=RequestId(str(number)),
        account=account,
        service=_SERVICE,
        model=_MODEL,
        prompt_tokens=600,
        max_output_tokens=16_000,
        prefix=f"prefix-{number % 60}",
        value=100,
        deadline_s=now_s + 10.0,
        streamed=True,
    )


def drive(runners: int) -> Meter:
    """Send a policy the events of one node for REQUESTS requests."""
    rng = random.Random(1)
    meter = Meter(make_policy("default", rng))
    meter.tell(0.0, InstancesSeen(6))
    names = [RunnerId(f"r{number}") for number in range(runners)]
    for name in names:
        info = RunnerInfo(name, _SERVICE, ZoneName("a"), (_MODEL,), MEMORY, 64)
        meter.tell(0.0, RunnerSeen(info))
    plan: list[tuple[float, int, object]] = []
    for number in range(REQUESTS):
        at_s = number / REQUESTS_PER_S
        plan.append((at_s, number, Arrived(work(number, at_s))))
        for tokens in range(1, TOKENS, PROGRESS_TOKENS):
            event = Progressed(RequestId(str(number)), tokens, tokens)
            plan.append((at_s + tokens / TOKENS_PER_S, number, event))
        ended = Ended(RequestId(str(number)), TOKENS, EndReason.FINISHED)
        plan.append((at_s + TOKENS / TOKENS_PER_S, number, ended))
    for step in range(int(REQUESTS / REQUESTS_PER_S * REPORTS_PER_S)):
        at_s = step / REPORTS_PER_S
        for name in names:
            used = OTHERS * 900
            report = RunnerReported(name, at_s - 0.5, OTHERS, 0, used, MEMORY, 0)
            plan.append((at_s, -1, report))
    plan.sort(key=lambda row: (row[0], row[1]))
    sent = 0
    for at_s, _, event in plan:
        actions = meter.tell(at_s, event)
        sent += sum(isinstance(action, Dispatch) for action in actions)
    print(json.dumps({"figure": "policy_sent", "runners": runners, "value": sent}))
    return meter


def main() -> None:
    """Print microseconds for each event, and the part of a core at the target's rates."""
    for runners in RUNNERS:
        meter = drive(runners)
        micros = {kind: spent / meter.count[kind] / 1000 for kind, spent in meter.spent_ns.items()}
        for kind in ("Arrived", "Progressed", "Ended", "RunnerReported"):
            line = {"figure": f"policy_{kind.lower()}_us", "runners": runners}
            print(json.dumps(line | {"value": round(micros[kind], 2)}))
        seconds = REQUESTS / REQUESTS_PER_S
        core = sum(meter.spent_ns.values()) / 1e9 / seconds
        line = {"figure": "policy_core_share", "runners": runners, "requests_per_s": REQUESTS_PER_S}
        print(json.dumps(line | {"value": round(core, 5)}))


if __name__ == "__main__":
    main()
