"""Entries of the soak test that lose their links to all runners, while all else reaches them."""

import random
from collections.abc import Awaitable, Callable

import trio

from standins.platform import LinkCut
from tests.soak.clients import Kind, Record
from tests.soak.entries import EntryProcess

DETECTION_S = 1.0
"""Time after the beginning of a cut from which on requests have to be served again."""
OBSERVED_S = 2.0
INTERVAL_S = 0.15
MIN_SHARE = 2 / 3
"""Share of the others' first tries that have to be served at entries without runners."""


async def cut_temporarily(
    rng: random.Random, entries: list[EntryProcess], duration_s: float
) -> None:
    """Cut some of the entries, or all of them, off from all runners for some time."""
    how = rng.choice(list(LinkCut))
    lost = rng.sample(entries, rng.randint(1, len(entries)))
    for entry in lost:
        entry.cut_from_runners(how)
    await trio.sleep(duration_s)
    for entry in lost:
        entry.cut_from_runners(None)


async def check_partition(
    rng: random.Random,
    entries: list[EntryProcess],
    send: Callable[[EntryProcess, Kind], Awaitable[Record]],
    broken: list[str],
) -> None:
    """Cut all entries but one off while there are no faults, and compare first tries."""
    sound = rng.choice(entries)
    lost = [one for one in entries if one is not sound]
    how = rng.choice(list(LinkCut))
    for entry in lost:
        entry.cut_from_runners(how)
    await trio.sleep(DETECTION_S)
    records: list[tuple[EntryProcess, Record]] = []

    async def send_one(entry: EntryProcess, kind: Kind) -> None:
        records.append((entry, await send(entry, kind)))

    async with trio.open_nursery() as nursery:
        until_s = trio.current_time() + OBSERVED_S
        while trio.current_time() < until_s:
            for entry in entries:
                nursery.start_soon(send_one, entry, rng.choice(list(Kind)))
            await trio.sleep(INTERVAL_S)
    for entry in lost:
        entry.cut_from_runners(None)
    share = _served_share(records, lost)
    others_share = _served_share(records, [sound])
    if share < MIN_SHARE * others_share:
        broken.append(
            f"{share:.2f} of the first tries served at entries without runners ({how.value}), "
            f"{others_share:.2f} at the other"
        )


def _served_share(records: list[tuple[EntryProcess, Record]], entries: list[EntryProcess]) -> float:
    sent = [record for entry, record in records if entry in entries]
    return sum(one.status == 200 and one.whole for one in sent) / max(1, len(sent))
