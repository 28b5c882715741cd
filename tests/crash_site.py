"""Sites whose runners end under one request, for tests of what becomes of it."""

import json

from egretstack.http1 import UpstreamBroken
from egretstack.platform import decode_request
from egretstack.services.fleet_port import FleetPort
from standins.platform import ACCOUNT, EngineStandIn, PlainStandIn, client_request
from tests.support import check

ENDING = b"ends its runner"
REFUSED_TYPE = "crashes-runners"


def end_under_it(site, after=0):
    """Let every runner end when it runs the ending request, engines after some events."""
    for one in (*site.plain, *site.engines):
        one.fatal_body = ENDING
    for one in site.engines:
        one.fatal_after_events = after


def begun(site):
    """Give how many runs of the ending request began, on all runners that there were."""
    return sum(one.fatal_runs for one in (*site.plain, *site.engines))


def crashes(site, entry=0):
    """Give what an instance knows of requests under which runners ended."""
    return site.kernels[entry].get(FleetPort).crashes


def content_of(path, method=b"POST"):
    """Give the content of the ending request as the instances name it."""
    head, body = client_request(path, "", method=method, body=ENDING)
    return decode_request(head, body).content_id(ACCOUNT)


def refused_everywhere(site, path):
    """Tell whether every instance refuses the ending request."""
    content = content_of(path)
    return all(crashes(site, entry).is_refused(content) for entry in range(len(site.kernels)))


def is_known(site, runner_id):
    """Tell whether every instance may send to a runner."""
    return all(one.get(FleetPort).runners.is_ready(runner_id) for one in site.kernels)


async def replace_ended(site, tag):
    """Start a runner in the place of each that has ended, under a new id, as the platform does."""
    for service, kind, runners in (
        ("desk", PlainStandIn, site.plain),
        ("llm", EngineStandIn, site.engines),
    ):
        for one in list(runners):
            if not one.fatal_runs or one.runner_id.endswith("-over"):
                continue
            site.store.remove("servers", one.runner_id)
            new = kind(one.address, f"{one.runner_id}.{tag}")
            one.runner_id += "-over"
            new.fatal_body = ENDING
            runners.append(new)
            await site.nursery.start(new.run)
            site.register(new.runner_id, service, new.address)
            await site.until(lambda new=new: is_known(site, new.runner_id))


async def send_ending(site, path, attempt, entry=0, **more):
    """Send the ending request once; give the status, None if it broke off, and the body."""
    try:
        head, body = await site.call(
            path, attempt, entry=entry, method=b"POST", body=ENDING, **more
        )
    except UpstreamBroken:
        return None, b""
    return head.status, body


async def send_again_and_again(site, path, times, tag="e", **more):
    """Send the ending request to the instances in turn, with sound runners each time."""
    answers = []
    for number in range(times):
        entry = number % len(site.kernels)
        answers.append(await send_ending(site, path, f"{tag}-{number}", entry, **more))
        await replace_ended(site, f"{tag}{number}")
    return answers


def check_refused(answer):
    """Check that an answer says truly why the request was not run, and names no time."""
    status, body = answer
    check.assertEqual(status, 503)
    document = json.loads(body)
    check.assertTrue(document["type"].endswith(REFUSED_TYPE), document)
    check.assertEqual(document["run"], "not-run")
