"""One play: odd things at some doors, one after the other, beside usual calls."""

from collections.abc import Awaitable, Callable

import trio

from egretstack.kernel import WorkKind
from standins.platform import GENERATION
from tests.fuzz.doors import Doors
from tests.platform_site import WAIT_S, Deployment, platform_site
from tests.support import check

CALL_PERIOD_S = 0.05


async def play_outer_doors(seed: int, inputs: int) -> None:
    """Fuzz what clients, runners and other writers of the store reach; usual calls succeed."""
    async with platform_site(entries=2, plain=2, engines=1) as site:
        doors = Doors(site, seed)
        await doors.start_runners()
        errors = _count_errors(site)
        failed: list[str] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call_usually, site, failed)
            steps = (doors.put_row, doors.send_request, doors.send_request, doors.call_odd_runner)
            await _repeat(steps, inputs)
            nursery.cancel_scope.cancel()
        check.assertEqual(failed, [], f"seed {seed}: usual calls beside odd input")
        await _repeat((doors.put_configuration,), inputs // 20)
        await _check_sound(site, errors, seed)
        doors.close()


async def play_inner_doors(seed: int, inputs: int) -> None:
    """Fuzz the ports of other instances.

    What arrives there is believed if it is sound, and may name other homes and runners; so only
    the end of a process, and unforeseen errors, count.
    """
    async with platform_site(entries=2, plain=2, engines=1) as site:
        doors = Doors(site, seed)
        errors = _count_errors(site)
        await _repeat((doors.send_internal,), inputs)
        await trio.sleep(1.0)
        check.assertEqual(errors, [], f"seed {seed}: unforeseen errors")
        for number in range(len(site.kernels)):
            await site.call("/notes/1", f"after-{number}", entry=number)
        doors.close()


async def _repeat(steps: tuple[Callable[[], Awaitable[None]], ...], count: int) -> None:
    for number in range(count):
        await steps[number % len(steps)]()


def _count_errors(site: Deployment) -> list[WorkKind]:
    """Return a list to which the kind of each unforeseen error is added."""
    errors: list[WorkKind] = []
    for kernel in site.kernels:
        kernel.unforeseen.on_error(errors.append)
    return errors


async def _call_usually(site: Deployment, failed: list[str]) -> None:
    """Make calls and read streams at all entries; add what fails."""
    number = 0
    while True:
        number += 1
        entry = number % len(site.kernels)
        path, headers = ("/plans/1", GENERATION) if number % 10 == 0 else ("/notes/1", ())
        attempt = f"usual-{number}"
        head, _ = await site.call(path, attempt, entry=entry, method=b"POST", headers=headers)
        if head.status != 200:
            failed.append(f"{attempt} {path} {head.status}")
        await trio.sleep(CALL_PERIOD_S)


async def _check_sound(site: Deployment, errors: list[WorkKind], seed: int) -> None:
    """Check that no error was unforeseen, and that the site works as before."""
    check.assertEqual(errors, [], f"seed {seed}: unforeseen errors")
    with trio.fail_after(WAIT_S):
        for number in range(len(site.kernels)):
            while (await site.call("/notes/1", f"last-{number}", entry=number))[0].status != 200:
                await trio.sleep(0.05)
