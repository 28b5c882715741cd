"""Requests under which runners end: who is refused, by every instance, and who is not."""

import json

from egretstack.http1 import UpstreamBroken
from egretstack.services.fleet_port import FleetPort
from standins.platform import GENERATION, EngineStandIn, PlainStandIn
from tests.platform_site import platform_site
from tests.support import check, on_real_clock, tests_of

load_tests = tests_of(globals())

ENDING = b"ends its runner"
ALLOWED_ENDS = 4
"""Three ends, and one by a run that was sent before the third was known."""


def begun(site):
    """Give how many runs of the ending request began, on all runners that there were."""
    return sum(one.begun_of_ending for one in (*site.plain, *site.engines))


def is_known(site, runner_id):
    """Tell whether every instance may send to a runner."""
    return all(one.get(FleetPort).runners.is_ready(runner_id) for one in site.kernels)


async def replace_ended(site, number):
    """Start a runner in the place of each that has ended, under a new id, as the platform does."""
    for service, kind, runners in (
        ("desk", PlainStandIn, site.plain),
        ("llm", EngineStandIn, site.engines),
    ):
        for one in list(runners):
            if not one.begun_of_ending or one.runner_id.endswith("-over"):
                continue
            site.store.remove("servers", one.runner_id)
            new = kind(one.address, f"{one.runner_id}.{number}")
            one.runner_id += "-over"
            new.ends_under = ENDING
            runners.append(new)
            await site.nursery.start(new.run)
            site.register(new.runner_id, service, new.address)
            await site.until(lambda new=new: is_known(site, new.runner_id))


async def send_again_and_again(site, path, times=8, **more):
    """Send the ending request to instances in turn; give the statuses."""
    for one in (*site.plain, *site.engines):
        one.ends_under = ENDING
    answers = []
    for number in range(times):
        entry = number % len(site.kernels)
        try:
            head, body = await site.call(
                path, f"e-{number}", entry=entry, method=b"POST", body=ENDING, **more
            )
            answers.append((head.status, body))
        except UpstreamBroken:
            answers.append((None, b""))
        await replace_ended(site, number)
    return answers


def check_refused(answer):
    """Check that an answer says truly why the request was not run."""
    status, body = answer
    check.assertEqual(status, 503)
    document = json.loads(body)
    check.assertTrue(document["type"].endswith("crashes-runners"), document)


@on_real_clock
async def test_a_generation_that_ends_its_engines_is_refused_by_every_instance():
    # Guards against a request that ends one engine after another.
    async with platform_site(entries=2, plain=0, engines=3) as site:
        answers = await send_again_and_again(site, "/plans/1", headers=GENERATION)
        check.assertLessEqual(begun(site), ALLOWED_ENDS)
        for answer in answers[-3:]:
            check_refused(answer)


@on_real_clock
async def test_a_call_that_ends_its_runners_is_refused_by_every_instance():
    # Guards against retries that carry such a call from runner to runner.
    async with platform_site(entries=2, plain=3) as site:
        answers = await send_again_and_again(site, "/notes/1")
        check.assertLessEqual(begun(site), ALLOWED_ENDS)
        for answer in answers[-3:]:
            check_refused(answer)
