"""Requests through entries of which some have lost their links to all runners."""

import random
from dataclasses import dataclass

import trio

from egretstack.fleet import InstanceState
from egretstack.http1 import UpstreamBroken
from egretstack.services.fleet_port import FleetPort
from standins.platform import GENERATION, LinkCut

CALL_DEADLINE_MS = 1_500
PATHS = {"notes": b"GET", "holds": b"POST", "plans": b"POST"}
"""A path of each kind of route, and the method of its requests."""
INTERVAL_S = 0.08


@dataclass(frozen=True)
class FirstTry:
    """The outcome of a request that was sent once."""

    attempt: str
    status: int | None
    """None if the connection broke."""
    took_s: float


async def first_try(site, path: str, attempt: str, *, entry: int) -> FirstTry:
    """Send a request once."""
    began_s = trio.current_time()
    more = {"headers": GENERATION, "deadline_ms": 8_000} if path == "plans" else {}
    more.setdefault("deadline_ms", CALL_DEADLINE_MS)
    try:
        head, _ = await site.call(f"/{path}/1", attempt, entry=entry, method=PATHS[path], **more)
        status = head.status
    except UpstreamBroken:
        status = None
    return FirstTry(attempt, status, trio.current_time() - began_s)


async def first_tries(site, path: str, *, entry: int, seconds: float, tag: str) -> list[FirstTry]:
    """Send requests at a steady rate for some time; return their outcomes."""
    tries: list[FirstTry] = []

    async def send(attempt: str) -> None:
        tries.append(await first_try(site, path, attempt, entry=entry))

    async with trio.open_nursery() as nursery:
        until_s = trio.current_time() + seconds
        while trio.current_time() < until_s:
            nursery.start_soon(send, f"{tag}-{random.getrandbits(48):012x}")
            await trio.sleep(INTERVAL_S)
    return tries


def served(tries: list[FirstTry]) -> int:
    """Return how many were answered by a runner."""
    return sum(one.status == 200 for one in tries)


def cut(site, how: LinkCut, *entries: int) -> None:
    """Cut entries off from all runners."""
    for entry in entries:
        site.links.cut(site.settings(entry).instance, how)


def heal(site, *entries: int) -> None:
    """End the cuts of entries."""
    for entry in entries:
        site.links.heal(site.settings(entry).instance)


def home_number(site) -> int:
    """Return the number of the entry that is home."""
    return next(number for number, one in enumerate(site.kernels) if one.get(FleetPort).is_home())


async def until_one_home(site) -> None:
    """Wait until the entries agree on one home and know each other as ready."""

    def is_agreed() -> bool:
        ports = [one.get(FleetPort) for one in site.kernels]
        now_s = trio.current_time()
        homes = {port.fleet.home(now_s) for port in ports}
        live_by_port = [one.fleet.live(now_s) for one in ports]
        return len(homes) == 1 and all(
            len(live) == len(ports) and all(one.state is InstanceState.READY for one in live)
            for live in live_by_port
        )

    await site.until(is_agreed)
