"""An entry of another writer in the store that names no runner, beside calls in progress."""

from pathlib import Path

import trio

from review.harness import (
    Calls,
    DeskRunner,
    Site,
    configuration,
    entry_of,
    is_ready,
    route,
    run_case,
)

KEY = "key-of-the-collective"
CALLERS = 5
"""Kept connections to each entry on which payouts are made, one after the other."""
WORK_S = 0.1
"""Twice the sheet's 45 ms, and less than the 5 x 45 ms of its longest work."""
QUIET_S = 3.0
PLAYED_S = 10.0
RESTART_S = 0.5
MAX_CLOSED = 3
"""The rule's own limit."""
BORN_MS = 1_796_000_000_000
"""When the runners started, in Unix milliseconds; on this site their entries say so."""
CUT_SERVICE = "bazaar-app \ud83d"
"""A service that the configuration doesn't name: a text that was cut within a character outside of
the basic plane, as programs that count in UTF-16 write it. It comes as a JSON escape."""


async def watch_readiness(site: Site) -> None:
    """Ask each entry once a second whether it is ready, as the platform does."""
    while True:
        ready = [entry.name for entry in site.entries if await is_ready(entry)]
        site.record.write(f"ready: {', '.join(ready) or 'none'}")
        await trio.sleep(1.0)


async def play(site: Site) -> bool:
    """Return whether the rule was kept."""
    runners = [
        DeskRunner(f"{site.net}.2.{number}:8080", f"i-app-{number}", site.record, WORK_S)
        for number in (1, 2, 3)
    ]
    for runner in runners:
        await site.add_runner(runner, "desk", 6, born=BORN_MS)
    routes = [route("holds", "non_idempotent", "desk", 1500, 200)]
    site.store.put("config", "main", configuration(1, routes, {"collective": [KEY]}))
    await site.until_in_touch()
    calls = Calls(site.record, KEY)
    async with trio.open_nursery() as nursery:
        for entry in site.entries:
            nursery.start_soon(entry.keep_running, RESTART_S)
            for _ in range(CALLERS):
                nursery.start_soon(calls.repeat, entry)
        nursery.start_soon(watch_readiness, site)
        await trio.sleep(QUIET_S)
        if site.trouble:
            nobody = DeskRunner(f"{site.net}.2.99:8080", "i-5be07d91", site.record, WORK_S)
            foreign = entry_of(nobody, CUT_SERVICE, 6) | {"born": BORN_MS}
            site.store.put("servers", nobody.name, foreign)
            site.record.write(f"another writer's entry: {nobody.name} {foreign!r}")
        await trio.sleep(PLAYED_S)
        nursery.cancel_scope.cancel()
    ran = set().union(*(runner.ran for runner in runners))
    lost = [attempt for attempt in calls.closed if attempt in ran]
    ends = ", ".join(f"{entry.name} {len(entry.ended)}" for entry in site.entries)
    site.record.write(f"processes that ended by themselves: {ends}")
    site.record.write(
        f"payouts: {calls.sent} sent, {calls.answered} answered; passed on from a kept connection"
        f" that closed without an answer: {len(lost)} (more than {MAX_CLOSED} break LOST)"
    )
    return len(lost) <= MAX_CLOSED


run_case(Path(__file__).resolve().parent, 3, play)
