"""Returns of the soak test's store from a copy of some seconds before."""

import random
from collections.abc import Callable

import trio

from standins.platform import StoreFault, StoreStandIn

MAX_AWAY_S = 0.7
MAX_REWRITE_S = 1.0
"""Longest time until the operator and the runners have written their entries again."""


async def return_from_copy(
    store: StoreStandIn,
    rng: random.Random,
    lost_s: float,
    current_runners: Callable[[], set[str]],
    write_again: Callable[[], None],
) -> None:
    """Let the store lose what it takes during `lost_s`, and have entries written again.

    Entries of runners that have ended are not kept up by anyone, and lapse.
    """
    copy = store.copy()
    await trio.sleep(lost_s)
    store.fault = StoreFault.SILENT
    await trio.sleep(rng.uniform(0.1, MAX_AWAY_S))
    store.return_from(copy)
    store.fault = StoreFault.NONE
    await trio.sleep(rng.uniform(0.0, MAX_REWRITE_S))
    for name in store.names("servers") - current_runners():
        store.remove("servers", name)
    write_again()
