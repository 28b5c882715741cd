"""Streams that an entry accepts after SIGTERM and cuts when it ends."""

from pathlib import Path

import trio

from review.harness import (
    Engine,
    Site,
    Stream,
    configuration,
    route,
    run_case,
)

KEY = "key-of-the-halls"
FIRST_S = 1.5
"""The sheet's aim for the first event is 1.8 s."""
GAP_S = 0.07
"""Between two events of 4 tokens, 17.5 ms a token; with pauses of up to 0.18 s a stream is on time.
On the sheet a step takes 7 ms and more, and 8 ms more while a piece of another request's prompt is
read in it (14 tokens a ms, 112 tokens). Some runners slow down when they are nearly full."""
OTHERS = 40
"""Streams of other clients, at the other entries, that crowd the engines all the while."""
OTHERS_TOKENS = 700
TOKENS = 180
GRACE_S = 8.0
EARLIEST_S = 3.0
"""After SIGTERM. The rule doesn't count some of the requests that were sent sooner."""
LATEST_S = 4.0
STREAMS = 5


async def play(site: Site) -> bool:
    """Return whether the rule was kept."""
    engines = [
        Engine(f"{site.net}.3.{number}:8080", f"i-llm-{number}", site.record, FIRST_S, GAP_S)
        for number in (1, 2)
    ]
    for engine in engines:
        await site.add_runner(engine, "llm", 24)
    routes = [route("plans", "streaming", "llm", 39_000, 1_800, **{"gap-target-ms": 180})]
    site.store.put("config", "main", configuration(1, routes, {"halls": [KEY]}))
    await site.until_in_touch()
    leaving = site.entries[0]
    addresses = await site.resolve(leaving)
    site.record.write(f"the directory names {', '.join(sorted(addresses))}")
    if leaving.front not in addresses:
        raise RuntimeError("the entry is not named")
    streams = [Stream(f"plan-{number}", site.record) for number in range(STREAMS)]
    others = [Stream(f"other-{number}", site.record) for number in range(OTHERS)]
    async with trio.open_nursery() as nursery:
        for number, other in enumerate(others):
            entry = site.entries[1 + number % 2]
            nursery.start_soon(other.read, entry.front, KEY, OTHERS_TOKENS)
        await trio.sleep(3.0)
        watch = trio.CancelScope()

        async def keep() -> None:
            with watch:
                await leaving.keep_running(0.5)

        nursery.start_soon(keep)
        if site.trouble:
            leaving.terminate()
        await trio.sleep(EARLIEST_S + 0.1)
        for stream in streams:
            nursery.start_soon(stream.read, leaving.front, KEY, TOKENS)
            await trio.sleep((LATEST_S - EARLIEST_S - 0.2) / STREAMS)
        while not all(stream.has_ended for stream in (*streams, *others)):
            await trio.sleep(0.1)
        watch.cancel()
    ran = {work.attempt for engine in engines for work in engine.work}
    cut = [
        stream
        for stream in streams
        if stream.outcome.startswith("cut")
        and stream.attempt in ran
        and stream.ended_s <= (leaving.stopped_s or 0.0) + GRACE_S + 1.0
        and stream.sent_s > (leaving.stopped_s or 0.0) + EARLIEST_S
    ]
    site.record.write(
        f"streams that were read, passed on and ended without a complete answer: {len(cut)} of"
        f" {STREAMS} (one breaks LOST); streams of others that were complete:"
        f" {sum(other.outcome == 'complete' for other in others)} of {OTHERS}"
    )
    return not cut


run_case(Path(__file__).resolve().parent, 3, play)
