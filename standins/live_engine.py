"""An engine stand-in on trio's clock: an engine model and the generations that it runs."""

import random
import re
import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from zlib import crc32

import trio

from egretstack.ids import GenerationId, ModelName
from egretstack.replay import EngineModel, EngineParameters, OutputKind
from egretstack.upstreams import (
    CacheEvent,
    EngineEvent,
    EngineEventKind,
    GenerationRequest,
    GenerationState,
    LoadReport,
    Order,
    OrderRefused,
)

CHARACTERS_PER_TOKEN = 4
RETENTION_S = 120.0
CACHE_EVENT_DELAY_S = 1.0
CACHE_EVENT_LOSS = 0.2
PREFIX_CHARACTERS = 256
_LENGTH = re.compile(r"tokens:(\d+)")
_WORDS = ("wind", "road", "shift", "ferry", "child", "note", "house", "hill", "seat", "rain")
_FINAL_EVENT_BY_STATE = {
    GenerationState.COMPLETED: EngineEventKind.COMPLETED,
    GenerationState.CANCELLED: EngineEventKind.CANCELLED,
    GenerationState.FAILED: EngineEventKind.FAILED,
}


def prompt_tokens(prompt: str) -> int:
    """Estimate the number of tokens of a prompt."""
    return max(1, len(prompt) // CHARACTERS_PER_TOKEN)


def output_length(prompt: str, limit: int) -> int:
    """Return the output length: N if the prompt has `tokens:N`, else drawn from its checksum."""
    match = _LENGTH.search(prompt)
    if match:
        return max(1, min(int(match.group(1)), limit))
    drawn = random.Random(crc32(prompt.encode())).lognormvariate(5.0, 1.0)
    return max(1, min(int(drawn), limit))


@dataclass
class Generation:
    """One generation: its events so far, and the trigger for its readers."""

    id: GenerationId
    prompt: str
    state: GenerationState = GenerationState.QUEUED
    events: list[EngineEvent] = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)
    ended_s: float | None = None

    def add(self, kind: EngineEventKind, text: str = "") -> None:
        """Append an event and wake the waiting readers."""
        self.events.append(EngineEvent(self.id, len(self.events), kind, text))
        self.changed.set()
        self.changed = trio.Event()

    def end(self, state: GenerationState, now_s: float) -> None:
        """Set the final state and append the last event."""
        self.state = state
        self.ended_s = now_s
        self.add(_FINAL_EVENT_BY_STATE[state])


class LiveEngine:
    """Runs an engine model on the real or a mock clock; start `run` in a nursery."""

    def __init__(
        self,
        parameters: EngineParameters,
        models: tuple[ModelName, ...],
        *,
        checks_fencing: bool = True,
        seed: int = 1,
    ) -> None:
        self.model = EngineModel(parameters)
        self.models = models
        self.by_id: dict[GenerationId, Generation] = {}
        self.orders: list[Order] = []
        self.on_start: Callable[[Generation], None] = _ignore
        """Called with each generation that the engine accepts."""
        self.text: Callable[[Generation], str] = _word
        """Returns the text of a generation's next token."""
        self.leaving = False
        self._checks_fencing = checks_fencing
        self._fencing = 0
        self._rng = random.Random(seed)
        self._submitted = trio.Event()
        self._cache_events: list[tuple[float, CacheEvent]] = []
        self._cached: set[str] = set()

    def start(self, request: GenerationRequest) -> Generation:
        """Accept a generation."""
        generation = Generation(GenerationId("gen" + secrets.token_hex(8)), request.prompt)
        self.by_id[generation.id] = generation
        self.on_start(generation)
        generation.add(EngineEventKind.CREATED)
        self.model.submit(
            trio.current_time(),
            generation.id,
            prompt_tokens=prompt_tokens(request.prompt),
            output_tokens=output_length(request.prompt, request.max_output_tokens),
            prefix=request.prompt[:PREFIX_CHARACTERS],
            priority=request.priority,
        )
        self._submitted.set()
        return generation

    def cancel(self, generation: Generation) -> None:
        """Cancel a generation unless it has ended."""
        if generation.ended_s is None:
            self.model.cancel(generation.id)
            generation.end(GenerationState.CANCELLED, trio.current_time())

    def order(self, order: Order) -> None:
        """Execute an order. Raises OrderRefused for an old fencing number, if those are checked."""
        if self._checks_fencing and order.fencing < self._fencing:
            raise OrderRefused(order.id)
        self._fencing = max(self._fencing, order.fencing)
        self.models = order.models
        self.orders.append(order)

    def load(self) -> LoadReport:
        """Return the engine's load report, which lags behind."""
        now_s = trio.current_time()
        snapshot = self.model.report(now_s)
        return LoadReport(
            age_s=now_s - snapshot.taken_s,
            running=snapshot.running,
            waiting=snapshot.waiting,
            kv_used_tokens=snapshot.kv_used_tokens,
            kv_capacity_tokens=self.model.parameters.kv_capacity_tokens,
            preemptions=snapshot.preemptions,
            leaving=self.leaving,
        )

    def cache_events(self, after: int) -> list[CacheEvent]:
        """Return cache events after a number; they are delayed, and some are missing."""
        ready_s = trio.current_time() - CACHE_EVENT_DELAY_S
        return [e for at_s, e in self._cache_events if at_s <= ready_s and e.number > after]

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Step the model forever."""
        task_status.started()
        while True:
            at_s = self.model.next_step_s()
            if at_s is None:
                self._submitted = trio.Event()
                await self._submitted.wait()
                continue
            await trio.sleep_until(at_s)
            self._step()

    def _step(self) -> None:
        now_s = trio.current_time()
        for output in self.model.step(now_s):
            generation = self.by_id[output.generation]
            if output.kind is OutputKind.TOKEN:
                generation.state = GenerationState.RUNNING
                generation.add(EngineEventKind.TOKEN, self.text(generation))
            elif output.kind is OutputKind.FINISHED:
                generation.end(GenerationState.COMPLETED, now_s)
        self._record_cache_events(now_s)
        self._forget_expired(now_s)

    def _record_cache_events(self, now_s: float) -> None:
        cached = set(self.model.cached_prefixes())
        for prefix in sorted(cached ^ self._cached):
            number = len(self._cache_events) + 1
            if self._rng.random() >= CACHE_EVENT_LOSS:
                event = CacheEvent(number, prefix, prefix in cached)
                self._cache_events.append((now_s, event))
        self._cached = cached

    def _forget_expired(self, now_s: float) -> None:
        expired = [
            generation.id
            for generation in self.by_id.values()
            if generation.ended_s is not None and now_s - generation.ended_s > RETENTION_S
        ]
        for generation_id in expired:
            del self.by_id[generation_id]


def _word(generation: Generation) -> str:
    number = len(generation.events)
    return _WORDS[(crc32(generation.prompt.encode()) + number) % len(_WORDS)] + " "


def _ignore(generation: Generation) -> None:
    """Do nothing."""
