"""A deployment of entries and one plain service, for tests of calls that may not be repeated."""

from contextlib import asynccontextmanager, suppress

import trio

from egretstack.errors import ErrorKind
from egretstack.ids import AccountId, IdempotencyKey, ServiceName
from egretstack.ledger import Shard, key_id
from egretstack.objectapi import ObjectKind
from egretstack.replay import EngineParameters
from egretstack.services.caller_api import CallerApi
from egretstack.services.configuration import Configuration
from egretstack.services.ledger_store import LedgerStore
from egretstack.settings import Program
from egretstack.upstreams import CallRequest
from standins.gate import ProcessKilled
from standins.plain_service import PlainServiceState
from standins.world import open_world
from tests.ledger_support import DelayingObjectApi, outcome_of

KEY_ID = key_id(AccountId("acme"), ServiceName("holds"), IdempotencyKey("k"))
CONTRACT = {"contract": {"account": "acme", "key_sha256": "f" * 64}}
OTHER_CONTRACT = {"contract": {"account": "other", "key_sha256": "e" * 64}}
LLM_SERVICE = {"service": {"name": "llm", "kind": "engine"}, "engine": {"models": "story"}}


@asynccontextmanager
async def deployment(entries=2, fencing="ignored", lookup=""):
    """Yield a simulated deployment, its entries, and the runner of its plain service."""
    service = {
        "service": {"name": "holds", "kind": "plain", "fencing": fencing},
        "calls": {"lookup": lookup},
    }
    async with open_world() as world:
        await world.configure(
            contract__acme=CONTRACT,
            contract__other=OTHER_CONTRACT,
            service__holds=service,
            service__llm=LLM_SERVICE,
        )
        world.add_engine("engine-0", "llm", ("story",), EngineParameters())
        state = PlainServiceState(offers_lookup=bool(lookup), checks_fencing=fencing == "checked")
        runner = world.add_plain("holds-0", "holds", state)
        started = []
        for number in range(entries):
            process = await world.start(f"entry-{number}", Program.ENTRY)
            started.append(process)
        await trio.sleep(2)
        runner.held = []
        try:
            yield world, started, runner
        finally:
            for held in runner.held:
                held.set()


def post(key="k", body=b"{}", timeout_s=5.0):
    headers = () if key is None else (("Idempotency-Key", key),)
    return CallRequest("POST", "/h", "", headers, body, timeout_s)


async def call(process, request=None, account="acme"):
    """Make a call; return its status, or the kind of its error."""
    contract = process.kernel.get(Configuration).state.contract_by_account[account]
    api = process.kernel.get(CallerApi)
    found = await outcome_of(api.call, contract, ServiceName("holds"), request or post())
    return found if isinstance(found, ErrorKind) else found.status


def make_writes_delayable(process):
    """Replace the process's object API by one whose writes can be delayed; return that."""
    api = DelayingObjectApi(process.access.store_client.store)
    process.access.store_client = api
    process.access.object_api = process.access.budgeted(api)
    process.kernel.get(LedgerStore)._store._api = process.access.object_api
    return api


def open_rows(world):
    """Return all intents in the store."""
    heads = [stored for stored in world.store.of_kind(ObjectKind.LEDGER) if "turn" in stored.spec]
    rows = [row for head in heads for row in Shard.from_stored(head).row_by_key.values()]
    return [row for row in rows if row.is_open]


async def pause_before_first_byte(world, process, runner, request=None):
    """Start a call and pause it between the sender's last check and its first byte.

    Returns the event that resumes it, and the list to which its answer is added.
    """
    runner.sending = trio.Event()
    answers = []

    async def caller():
        with suppress(ProcessKilled):
            answers.append(await call(process, request))

    world.nursery.start_soon(caller)
    await trio.sleep(0.5)
    held, runner.sending = runner.sending, None
    runner.held.append(held)
    return held, answers


async def cut_after_delayed_write(api):
    """Make the store unreachable once a write is delayed."""
    while not api.delayed_writes:
        await trio.sleep(0.001)
    api.cut = True
