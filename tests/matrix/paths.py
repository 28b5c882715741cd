"""The columns of the matrix: the steps of each path, and how a cell walks the path to one."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from egretstack.duties import LEASE_TTL_S
from egretstack.ids import ServiceName
from egretstack.objectapi import ObjectKind
from egretstack.services.duties import Duties, orders_of
from standins.gate import Gate, Seam, Write
from tests.matrix.faults import Fault, Target
from tests.matrix.history import CallRan, Path
from tests.matrix.site import ANSWER_LIFE_S, ENGINES, ENTRIES, PLAIN, Site

FOCUS = "focus"
FOCUS_ENTRY = ENTRIES[0]
SESSION_TOKENS = 40
MIDDLE = 15
TAKEOVER_S = 3 * LEASE_TTL_S
LONG_TOKENS = 130
ENGINES_DUTY = orders_of(ServiceName("llm"))
"""A session that outlives the answers that callers keep, at ten tokens a second."""


class Striker:
    """Lets the faults of a cell strike once, when the step is reached."""

    def __init__(self, site: Site, path: Path, faults: tuple[Fault, ...]) -> None:
        self._site = site
        self._path = path
        self._faults = faults
        self.entry = FOCUS_ENTRY
        self.struck = False
        self.healed = trio.Event()

    def strike(self, upstream: str | None = None) -> None:
        """Strike now; `upstream` is the one at work, by default the one given the request."""
        if self.struck:
            return
        self.struck = True
        found = upstream or self._site.upstream_of(FOCUS)
        default = PLAIN[0] if self._path is Path.CALL else ENGINES[0]
        target = Target(self._path, self.entry, found or default)
        for fault in self._faults:
            fault.strike(self._site, target)
        self._site.world.nursery.start_soon(self._heal, target)

    async def _heal(self, target: Target) -> None:
        async with trio.open_nursery() as nursery:
            for fault in self._faults:
                nursery.start_soon(fault.heal, self._site, target)
        self.healed.set()

    def at(self, process: str, seam: Seam, matches: Callable[[object], bool]) -> None:
        """Strike when a process reaches a seam with a subject that matches."""

        def observe(gate: Gate, reached: Seam, subject: object) -> None:
            if gate.process == process and reached is seam and matches(subject):
                self.strike()

        self._site.world.observers.append(observe)

    def at_steward(
        self, seam: Seam, matches: Callable[[object], bool], but: tuple[str, ...] = ()
    ) -> None:
        """Strike the instance whose steward reaches a seam with a subject that matches."""

        def observe(gate: Gate, reached: Seam, subject: object) -> None:
            instance, _, program = gate.process.partition(".")
            if program and instance not in but and reached is seam and matches(subject):
                self.entry = instance
                self.strike()

        self._site.world.observers.append(observe)


Walk = Callable[[Site, Striker], Awaitable[None]]


@dataclass(frozen=True)
class Step:
    """One step of a path: its name, and the walk that strikes at it."""

    path: Path
    name: str
    walk: Walk


async def _placing(site: Site, striker: Striker) -> None:
    striker.at(FOCUS_ENTRY, Seam.ENGINE_REQUESTED, lambda prompt: f"r:{FOCUS} " in prompt)
    await site.session(FOCUS, length=SESSION_TOKENS).run()


async def _before_first_token(site: Site, striker: Striker) -> None:
    striker.at(FOCUS_ENTRY, Seam.ENGINE_ACCEPTED, lambda prompt: f"r:{FOCUS} " in prompt)
    await site.session(FOCUS, length=SESSION_TOKENS).run()


def _at_token(number: int) -> Walk:
    async def walk(site: Site, striker: Striker) -> None:
        caller = site.session(FOCUS, length=SESSION_TOKENS)
        caller.on_token.append(lambda count: striker.strike() if count == number else None)
        await caller.run()

    return walk


async def _reconnect(site: Site, striker: Striker) -> None:
    caller = site.session(FOCUS, length=SESSION_TOKENS, leaves_at=MIDDLE)
    caller.before_return.append(striker.strike)
    await caller.run()


async def _before_intent(site: Site, striker: Striker) -> None:
    await site.call(FOCUS, before_ask=[striker.strike]).run()


async def _intent_written(site: Site, striker: Striker) -> None:
    striker.at(FOCUS_ENTRY, Seam.STORE_WRITE, lambda write: write.kind is ObjectKind.LEDGER)
    await site.call(FOCUS).run()


async def _dispatch(site: Site, striker: Striker) -> None:
    striker.at(FOCUS_ENTRY, Seam.CALL_SENT, lambda call: call.method == "POST")
    await site.call(FOCUS).run()


async def _answer(site: Site, striker: Striker) -> None:
    striker.at(FOCUS_ENTRY, Seam.CALL_RAN, lambda call: call.method == "POST")
    await site.call(FOCUS).run()


async def _outcome_written(site: Site, striker: Striker) -> None:
    def ran(write: Write) -> bool:
        return write.kind is ObjectKind.LEDGER and any(
            one.request == FOCUS for one in site.history.of(CallRan)
        )

    striker.at(FOCUS_ENTRY, Seam.STORE_WRITE, ran)
    await site.call(FOCUS).run()


async def _repeat(site: Site, striker: Striker) -> None:
    await site.call(FOCUS).run()
    others = (ENTRIES[1], ENTRIES[0], ENTRIES[2])
    await site.call(FOCUS, others, before_ask=[striker.strike]).run()


async def _parts_written(site: Site, striker: Striker) -> None:
    striker.at("operator", Seam.STORE_WRITE, lambda write: write.kind is ObjectKind.CONFIG_PART)
    await site.change()


async def _head_update(site: Site, striker: Striker) -> None:
    striker.at("operator", Seam.STORE_WRITE, lambda write: write.kind is ObjectKind.CONFIG_HEAD)
    await site.change()


async def _fan_out(site: Site, striker: Striker) -> None:
    await site.change()
    striker.strike()
    await trio.sleep(3)


def _holder(site: Site) -> str:
    """Give the instance whose steward holds the duty of the engines."""
    for name in ENTRIES:
        held = site.process_by_name[f"{name}.steward"].kernel.get(Duties).held()
        if ENGINES_DUTY in held:
            return name
    raise AssertionError("no steward holds the duty of the engines")


def _is_lease(write: Write) -> bool:
    return write.kind is ObjectKind.LEASE and write.name == ENGINES_DUTY


async def _lease_taken(site: Site, striker: Striker) -> None:
    holder = _holder(site)
    striker.at_steward(Seam.STORE_WRITTEN, _is_lease, but=(holder,))
    site.kill(f"{holder}.steward")
    await site.add_model()
    await trio.sleep(TAKEOVER_S)


async def _order_sent(site: Site, striker: Striker) -> None:
    striker.at_steward(Seam.ORDER_SENT, lambda order: True)
    await site.add_model()
    await trio.sleep(TAKEOVER_S)


async def _holder_change(site: Site, striker: Striker) -> None:
    """Freeze the holder as its order is about to leave; the next one gives orders; thaw."""
    holder = _holder(site)
    steward = f"{holder}.steward"
    striker.at_steward(Seam.ORDER_SENT, lambda order: True, but=(holder,))

    def freeze(gate: Gate, seam: Seam, subject: object) -> None:
        if gate.process == steward and seam is Seam.ORDER_SENT and not gate.paused:
            site.freeze(steward)

    site.world.observers.append(freeze)
    await site.add_model()
    await trio.sleep(TAKEOVER_S)
    site.world.observers.remove(freeze)
    site.thaw(steward)
    await trio.sleep(TAKEOVER_S)


async def _drained(site: Site, strikes: Callable[[trio.Nursery], None]) -> None:
    """Stop the focus entry while a long session and calls are in progress on it."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(site.session(FOCUS, length=LONG_TOKENS).run)
        nursery.start_soon(site.call("focus-call").run)
        await trio.sleep(0.2)
        strikes(nursery)
        await site.stop(FOCUS_ENTRY)


def _drain_after(delay_s: float) -> Walk:
    async def walk(site: Site, striker: Striker) -> None:
        async def strike_later() -> None:
            await trio.sleep(delay_s)
            striker.strike()

        await _drained(site, lambda nursery: nursery.start_soon(strike_later))

    return walk


async def _drain_stop(site: Site, striker: Striker) -> None:
    async def strike_at_end() -> None:
        caller = site.session("last", length=LONG_TOKENS + 20)
        caller.on_token.append(
            lambda count: striker.strike("engine-1") if count == caller.length else None
        )
        await caller.run()

    await _drained(site, lambda nursery: nursery.start_soon(strike_at_end))


STEPS: tuple[Step, ...] = (
    Step(Path.SESSION, "placing", _placing),
    Step(Path.SESSION, "before_first_token", _before_first_token),
    Step(Path.SESSION, "mid_stream", _at_token(MIDDLE)),
    Step(Path.SESSION, "reconnect", _reconnect),
    Step(Path.SESSION, "last_token", _at_token(SESSION_TOKENS)),
    Step(Path.CALL, "before_intent", _before_intent),
    Step(Path.CALL, "intent_written", _intent_written),
    Step(Path.CALL, "dispatch", _dispatch),
    Step(Path.CALL, "answer", _answer),
    Step(Path.CALL, "outcome_written", _outcome_written),
    Step(Path.CALL, "repeat", _repeat),
    Step(Path.CHANGE, "parts_written", _parts_written),
    Step(Path.CHANGE, "head_update", _head_update),
    Step(Path.CHANGE, "fan_out", _fan_out),
    Step(Path.ORDER, "lease_taken", _lease_taken),
    Step(Path.ORDER, "order_sent", _order_sent),
    Step(Path.ORDER, "holder_change", _holder_change),
    Step(Path.DRAIN, "begun", _drain_after(0)),
    Step(Path.DRAIN, "answers_life", _drain_after(ANSWER_LIFE_S / 2)),
    Step(Path.DRAIN, "in_progress", _drain_after(ANSWER_LIFE_S + 3)),
    Step(Path.DRAIN, "stop", _drain_stop),
)
