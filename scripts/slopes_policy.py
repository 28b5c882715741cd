#!/usr/bin/env python3
"""Measures the processor time of the default policy's decisions; prints a JSON line per figure."""

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
"""Request rate of one node at the target size."""
TOKENS = 512
PROGRESS_TOKENS = 32
TOKENS_PER_S = 40.0
RUNNERS = (4, 32)
REPORTS_PER_S = 2.0
OTHER_SEQUENCES = 12
KV_CAPACITY_TOKENS = 60_000
_SERVICE = ServiceName("llm")
_MODEL = ModelName("story")


class PolicyMeter:
    """Sums the processor time of a policy by kind of event."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self.spent_ns_by_kind: dict[str, int] = {}
        self.count_by_kind: dict[str, int] = {}

    def handle(self, now_s: float, event: object) -> list:
        """Pass an event to the policy and record its processor time."""
        kind = type(event).__name__
        before = time.process_time_ns()
        actions = self._policy.handle(now_s, event)
        self.spent_ns_by_kind[kind] = (
            self.spent_ns_by_kind.get(kind, 0) + time.process_time_ns() - before
        )
        self.count_by_kind[kind] = self.count_by_kind.get(kind, 0) + 1
        return actions


def make_request(number: int, now_s: float) -> SchedulingRequest:
    """Make one request."""
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


def drive_policy(runners: int) -> PolicyMeter:
    """Send a policy the events of one node for REQUESTS requests; return the meter."""
    rng = random.Random(1)
    meter = PolicyMeter(make_policy("default", rng))
    meter.handle(0.0, InstancesSeen(6))
    names = [RunnerId(f"r{number}") for number in range(runners)]
    for name in names:
        info = RunnerInfo(name, _SERVICE, ZoneName("a"), (_MODEL,), KV_CAPACITY_TOKENS, 64)
        meter.handle(0.0, RunnerSeen(info))
    events: list[tuple[float, int, object]] = []
    for number in range(REQUESTS):
        at_s = number / REQUESTS_PER_S
        events.append((at_s, number, Arrived(make_request(number, at_s))))
        for tokens in range(1, TOKENS, PROGRESS_TOKENS):
            event = Progressed(RequestId(str(number)), tokens, tokens)
            events.append((at_s + tokens / TOKENS_PER_S, number, event))
        ended = Ended(RequestId(str(number)), TOKENS, EndReason.FINISHED)
        events.append((at_s + TOKENS / TOKENS_PER_S, number, ended))
    for step in range(int(REQUESTS / REQUESTS_PER_S * REPORTS_PER_S)):
        at_s = step / REPORTS_PER_S
        for name in names:
            used = OTHER_SEQUENCES * 900
            report = RunnerReported(
                name, at_s - 0.5, OTHER_SEQUENCES, 0, used, KV_CAPACITY_TOKENS, 0
            )
            events.append((at_s, -1, report))
    events.sort(key=lambda row: (row[0], row[1]))
    sent = 0
    for at_s, _, event in events:
        actions = meter.handle(at_s, event)
        sent += sum(isinstance(action, Dispatch) for action in actions)
    print(json.dumps({"figure": "policy_sent", "runners": runners, "value": sent}))
    return meter


def main() -> None:
    """Print the microseconds per event, and the share of a core at the target's rates."""
    for runners in RUNNERS:
        meter = drive_policy(runners)
        micros = {
            kind: spent / meter.count_by_kind[kind] / 1000
            for kind, spent in meter.spent_ns_by_kind.items()
        }
        for kind in ("Arrived", "Progressed", "Ended", "RunnerReported"):
            line = {"figure": f"policy_{kind.lower()}_us", "runners": runners}
            print(json.dumps(line | {"value": round(micros[kind], 2)}))
        seconds = REQUESTS / REQUESTS_PER_S
        core = sum(meter.spent_ns_by_kind.values()) / 1e9 / seconds
        line = {"figure": "policy_core_share", "runners": runners, "requests_per_s": REQUESTS_PER_S}
        print(json.dumps(line | {"value": round(core, 5)}))


if __name__ == "__main__":
    main()
