"""Measures the cost of a runner or instance: instance list, load reports and policy."""

import json
import random

import httpx
import trio

from egretstack.ids import AccountId, ModelName, RequestId, RunnerId, ServiceName, ZoneName
from egretstack.objectapi import HttpInstanceList
from egretstack.peers import PeerLink
from egretstack.policy import (
    DEFAULT_POLICY,
    Arrived,
    Ended,
    EndReason,
    Policy,
    RunnerInfo,
    RunnerReported,
    RunnerSeen,
    SchedulingRequest,
    make_policy,
)
from egretstack.upstreams import HttpEngine
from scripts._slope import OBJECT_SIZES, fit, measure_cpu_us, measure_held_bytes, print_slope

MODELS = 27


def make_endpoint_list(members: int) -> bytes:
    """Make the platform's response that lists this many runners."""
    endpoints = [
        {
            "addresses": [f"10.1.{number // 250}.{number % 250}"],
            "zone": "leon-a",
            "targetRef": {"name": f"engine-{number}"},
            "conditions": {},
        }
        for number in range(members)
    ]
    metadata = {"name": "llm", "labels": {"kubernetes.io/service-name": "llm"}}
    ports = [{"name": "http", "port": 8000}]
    item = {"metadata": metadata, "ports": ports, "endpoints": endpoints}
    return json.dumps({"kind": "EndpointSliceList", "items": [item]}).encode()


def read_list(body: bytes) -> None:
    """Read an instance list through the real client, without a socket."""

    async def read() -> None:
        transport = httpx.MockTransport(lambda request: httpx.Response(200, content=body))
        async with httpx.AsyncClient(transport=transport) as client:
            listed = HttpInstanceList(client, "http://platform", "egretstack")
            for _ in range(READS):
                await listed.members()

    trio.run(read)


READS = 10


def make_policy_with(runners: int) -> Policy:
    """Make the default policy with this many runners, spread over the models."""
    policy = make_policy(DEFAULT_POLICY, random.Random(1))
    for number in range(runners):
        runner_id = RunnerId(f"engine-{number}")
        models = (ModelName(f"model-{number % MODELS}"),)
        info = RunnerInfo(
            runner_id, ServiceName("llm"), ZoneName("leon-a"), models, 60_000_000, 4096
        )
        policy.handle(0.0, RunnerSeen(info))
        policy.handle(0.0, RunnerReported(runner_id, 0.0, 1, 0, 100, 60_000_000, 0))
    return policy


def serve_requests(policy: Policy) -> None:
    """Let the policy dispatch a number of requests, and end them."""
    for number in range(REQUESTS):
        request = SchedulingRequest(
            id=RequestId(f"work-{number}"),
            account=AccountId(f"account-{number % 10}"),
            service=ServiceName("llm"),
            model=ModelName("model-0"),
            prompt_tokens=300,
            max_output_tokens=2000,
            prefix="",
            value=100,
            deadline_s=10.0,
            streamed=True,
        )
        policy.handle(0.0, Arrived(request))
        policy.handle(0.0, Ended(request.id, 500, EndReason.FINISHED))


REQUESTS = 50


def print_member_slopes() -> None:
    """Measure and print the slopes per member and runner."""
    bodies = {size: make_endpoint_list(size) for size in OBJECT_SIZES}
    wire = {size: len(body) for size, body in bodies.items()}
    print_slope(fit("instance_list_answer", "bytes", "member", wire))
    read = {
        size: measure_cpu_us(lambda body=body: read_list(body)) / READS
        for size, body in bodies.items()
    }
    print_slope(fit("instance_list_read_cpu", "us", "member", read))
    held = {
        size: measure_held_bytes(lambda size=size: make_policy_with(size)) for size in OBJECT_SIZES
    }
    print_slope(fit("policy_memory", "bytes", "runner", held))
    placed = {}
    for size in OBJECT_SIZES:
        policy = make_policy_with(size)
        placed[size] = measure_cpu_us(lambda policy=policy: serve_requests(policy)) / REQUESTS
    print_slope(fit("policy_request_cpu", "us", "runner", placed))


def read_reports(count: int) -> None:
    """Read this many load reports through the real client, without a socket."""

    async def read() -> None:
        transport = httpx.MockTransport(lambda request: httpx.Response(200, text=LOAD_REPORT))
        async with httpx.AsyncClient(transport=transport) as client:
            for number in range(count):
                await HttpEngine(client, client, f"http://engine-{number}", 5.0).load()

    trio.run(read)


LOAD_REPORT = """vllm:num_requests_running 12.0
vllm:num_requests_waiting 3.0
vllm:kv_cache_usage_perc 0.4375
vllm:num_preemptions_total 7.0
egret_engine_kv_capacity_tokens 60000
egret_engine_report_age_seconds 0.25
"""
REPORT_HEAD_BYTES = 300
"""Size of the request line, status line and headers of a report, with httpx and hypercorn."""


def print_report_slopes() -> None:
    """Measure and print the slopes per load report."""
    sizes = (5, 20, 80)
    read = {size: measure_cpu_us(lambda size=size: read_reports(size)) for size in sizes}
    print_slope(fit("load_report_read_cpu", "us", "report", read))
    wire = {size: size * (len(LOAD_REPORT) + REPORT_HEAD_BYTES) for size in sizes}
    print_slope(fit("load_report_wire", "bytes", "report", wire))


class ClosedStream(trio.abc.Stream):
    """The stream of a link that carries no data."""

    async def send_all(self, data: bytes) -> None:
        """Do nothing."""

    async def wait_send_all_might_not_block(self) -> None:
        """Do nothing."""

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Return the end of the stream."""
        return b""

    async def aclose(self) -> None:
        """Do nothing."""


def print_link_slopes() -> None:
    """Measure and print the memory of one end of a link."""
    held = {
        size: measure_held_bytes(lambda size=size: [PeerLink(ClosedStream()) for _ in range(size)])
        for size in OBJECT_SIZES
    }
    print_slope(fit("link_memory", "bytes", "link end", held))


if __name__ == "__main__":
    print_member_slopes()
    print_report_slopes()
    print_link_slopes()
