"""The columns of the matrix: the steps of each path, and the scenario that reaches each step."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import trio

from egretstack.duties import LEASE_TTL_S
from egretstack.ids import ServiceName
from egretstack.objectapi import ObjectKind
from egretstack.services.duties import Duties, orders_of
from standins.gate import Gate, Seam, Write
from tests.matrix.deployment import ANSWER_TTL_S, ENGINES, ENTRIES, PLAIN_RUNNERS, Deployment
from tests.matrix.faults import Fault, Target
from tests.matrix.history import CallRan, Path

FOCUS_REQUEST = "focus"
FOCUS_ENTRY = ENTRIES[0]
SESSION_TOKENS = 40
MIDDLE_TOKEN = 15
TAKEOVER_S = 3 * LEASE_TTL_S
LONG_SESSION_TOKENS = 130
"""At ten tokens a second, a session that outlasts the entry lists that callers hold."""
ENGINES_DUTY = orders_of(ServiceName("llm"))


class FaultInjector:
    """Injects the faults of a cell once, when the step is reached."""

    def __init__(self, deployment: Deployment, path: Path, faults: tuple[Fault, ...]) -> None:
        self._deployment = deployment
        self._path = path
        self._faults = faults
        self.entry = FOCUS_ENTRY
        self.injected = False
        self.healed = trio.Event()

    def inject(self, upstream: str | None = None) -> None:
        """Inject the faults now, into `upstream` or by default the one that got the request."""
        if self.injected:
            return
        self.injected = True
        found = upstream or self._deployment.last_upstream_of(FOCUS_REQUEST)
        default = PLAIN_RUNNERS[0] if self._path is Path.CALL else ENGINES[0]
        target = Target(self._path, self.entry, found or default)
        for fault in self._faults:
            fault.inject(self._deployment, target)
        self._deployment.world.nursery.start_soon(self._heal, target)

    async def _heal(self, target: Target) -> None:
        async with trio.open_nursery() as nursery:
            for fault in self._faults:
                nursery.start_soon(fault.heal, self._deployment, target)
        self.healed.set()

    def inject_at(self, process: str, seam: Seam, matches: Callable[[object], bool]) -> None:
        """Inject the faults when a process reaches a seam with a subject that matches."""

        def observe(gate: Gate, reached: Seam, subject: object) -> None:
            if gate.process == process and reached is seam and matches(subject):
                self.inject()

        self._deployment.world.observers.append(observe)

    def inject_at_steward(
        self, seam: Seam, matches: Callable[[object], bool], excluded: tuple[str, ...] = ()
    ) -> None:
        """Inject the faults when a steward reaches a seam with a subject that matches; they hit its
        instance."""

        def observe(gate: Gate, reached: Seam, subject: object) -> None:
            instance, _, program = gate.process.partition(".")
            if program and instance not in excluded and reached is seam and matches(subject):
                self.entry = instance
                self.inject()

        self._deployment.world.observers.append(observe)


Scenario = Callable[[Deployment, FaultInjector], Awaitable[None]]


@dataclass(frozen=True)
class Step:
    """One step of a path: its name, and the scenario that injects faults at it."""

    path: Path
    name: str
    scenario: Scenario


async def _placing(deployment: Deployment, injector: FaultInjector) -> None:
    injector.inject_at(
        FOCUS_ENTRY, Seam.ENGINE_REQUESTED, lambda prompt: f"r:{FOCUS_REQUEST} " in prompt
    )
    await deployment.session(FOCUS_REQUEST, length=SESSION_TOKENS).run()


async def _before_first_token(deployment: Deployment, injector: FaultInjector) -> None:
    injector.inject_at(
        FOCUS_ENTRY, Seam.ENGINE_ACCEPTED, lambda prompt: f"r:{FOCUS_REQUEST} " in prompt
    )
    await deployment.session(FOCUS_REQUEST, length=SESSION_TOKENS).run()


def _at_token(number: int) -> Scenario:
    async def scenario(deployment: Deployment, injector: FaultInjector) -> None:
        caller = deployment.session(FOCUS_REQUEST, length=SESSION_TOKENS)
        caller.on_token.append(lambda count: injector.inject() if count == number else None)
        await caller.run()

    return scenario


async def _reconnect(deployment: Deployment, injector: FaultInjector) -> None:
    caller = deployment.session(FOCUS_REQUEST, length=SESSION_TOKENS, disconnect_after=MIDDLE_TOKEN)
    caller.before_reconnect.append(injector.inject)
    await caller.run()


async def _before_intent(deployment: Deployment, injector: FaultInjector) -> None:
    await deployment.call(FOCUS_REQUEST, before_send=[injector.inject]).run()


async def _intent_written(deployment: Deployment, injector: FaultInjector) -> None:
    injector.inject_at(FOCUS_ENTRY, Seam.STORE_WRITE, lambda write: write.kind is ObjectKind.LEDGER)
    await deployment.call(FOCUS_REQUEST).run()


async def _dispatch(deployment: Deployment, injector: FaultInjector) -> None:
    injector.inject_at(FOCUS_ENTRY, Seam.CALL_SENT, lambda call: call.method == "POST")
    await deployment.call(FOCUS_REQUEST).run()


async def _answer(deployment: Deployment, injector: FaultInjector) -> None:
    injector.inject_at(FOCUS_ENTRY, Seam.CALL_RAN, lambda call: call.method == "POST")
    await deployment.call(FOCUS_REQUEST).run()


async def _outcome_written(deployment: Deployment, injector: FaultInjector) -> None:
    def ran(write: Write) -> bool:
        return write.kind is ObjectKind.LEDGER and any(
            one.request == FOCUS_REQUEST for one in deployment.history.of(CallRan)
        )

    injector.inject_at(FOCUS_ENTRY, Seam.STORE_WRITE, ran)
    await deployment.call(FOCUS_REQUEST).run()


async def _repeat(deployment: Deployment, injector: FaultInjector) -> None:
    await deployment.call(FOCUS_REQUEST).run()
    others = (ENTRIES[1], ENTRIES[0], ENTRIES[2])
    await deployment.call(FOCUS_REQUEST, others, before_send=[injector.inject]).run()


async def _parts_written(deployment: Deployment, injector: FaultInjector) -> None:
    injector.inject_at(
        "operator", Seam.STORE_WRITE, lambda write: write.kind is ObjectKind.CONFIG_PART
    )
    await deployment.change()


async def _head_update(deployment: Deployment, injector: FaultInjector) -> None:
    injector.inject_at(
        "operator", Seam.STORE_WRITE, lambda write: write.kind is ObjectKind.CONFIG_HEAD
    )
    await deployment.change()


async def _fan_out(deployment: Deployment, injector: FaultInjector) -> None:
    await deployment.change()
    injector.inject()
    await trio.sleep(3)


def _find_holder(deployment: Deployment) -> str:
    """Return the instance whose steward holds the duty of the engines."""
    for name in ENTRIES:
        held = deployment.process_by_name[f"{name}.steward"].kernel.get(Duties).held()
        if ENGINES_DUTY in held:
            return name
    raise AssertionError("no steward holds the duty of the engines")


def _is_lease(write: Write) -> bool:
    return write.kind is ObjectKind.LEASE and write.name == ENGINES_DUTY


async def _lease_taken(deployment: Deployment, injector: FaultInjector) -> None:
    holder = _find_holder(deployment)
    injector.inject_at_steward(Seam.STORE_WRITTEN, _is_lease, excluded=(holder,))
    deployment.kill(f"{holder}.steward")
    await deployment.add_model()
    await trio.sleep(TAKEOVER_S)


async def _order_sent(deployment: Deployment, injector: FaultInjector) -> None:
    injector.inject_at_steward(Seam.ORDER_SENT, lambda order: True)
    await deployment.add_model()
    await trio.sleep(TAKEOVER_S)


async def _holder_change(deployment: Deployment, injector: FaultInjector) -> None:
    """Pause the holder just before it sends its order; resume it after the next has sent orders."""
    holder = _find_holder(deployment)
    steward = f"{holder}.steward"
    injector.inject_at_steward(Seam.ORDER_SENT, lambda order: True, excluded=(holder,))

    def pause_holder(gate: Gate, seam: Seam, subject: object) -> None:
        if gate.process == steward and seam is Seam.ORDER_SENT and not gate.paused:
            deployment.pause(steward)

    deployment.world.observers.append(pause_holder)
    await deployment.add_model()
    await trio.sleep(TAKEOVER_S)
    deployment.world.observers.remove(pause_holder)
    deployment.resume(steward)
    await trio.sleep(TAKEOVER_S)


async def _drain_with(
    deployment: Deployment, start_injection: Callable[[trio.Nursery], None]
) -> None:
    """Stop the focus entry while a long session and a call are in progress on it."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(deployment.session(FOCUS_REQUEST, length=LONG_SESSION_TOKENS).run)
        nursery.start_soon(deployment.call("focus-call").run)
        await trio.sleep(0.2)
        start_injection(nursery)
        await deployment.stop(FOCUS_ENTRY)


def _drain_after(delay_s: float) -> Scenario:
    async def scenario(deployment: Deployment, injector: FaultInjector) -> None:
        async def inject_later() -> None:
            await trio.sleep(delay_s)
            injector.inject()

        await _drain_with(deployment, lambda nursery: nursery.start_soon(inject_later))

    return scenario


async def _drain_stop(deployment: Deployment, injector: FaultInjector) -> None:
    async def inject_at_end() -> None:
        caller = deployment.session("last", length=LONG_SESSION_TOKENS + 20)
        caller.on_token.append(
            lambda count: injector.inject("engine-1") if count == caller.length else None
        )
        await caller.run()

    await _drain_with(deployment, lambda nursery: nursery.start_soon(inject_at_end))


STEPS: tuple[Step, ...] = (
    Step(Path.SESSION, "placing", _placing),
    Step(Path.SESSION, "before_first_token", _before_first_token),
    Step(Path.SESSION, "mid_stream", _at_token(MIDDLE_TOKEN)),
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
    Step(Path.DRAIN, "answers_life", _drain_after(ANSWER_TTL_S / 2)),
    Step(Path.DRAIN, "in_progress", _drain_after(ANSWER_TTL_S + 3)),
    Step(Path.DRAIN, "stop", _drain_stop),
)
