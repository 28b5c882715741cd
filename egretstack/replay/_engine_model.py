"""A model of a continuously batching engine with limited memory.

It has no clock and no I/O: the owner calls `step` at the time `next_step_s` gives. One step
decodes one token for each running sequence. A sequence holds one token of KV memory for each
token of prompt and output. When a step does not fit, the least valuable sequence that started
last is preempted: its memory is freed and it is recomputed later, as vLLM does.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from egretstack.ids import GenerationId


@dataclass(frozen=True)
class EngineParameters:
    """Size and speed of one engine. Sizes are tokens, times seconds."""

    kv_capacity_tokens: int = 60_000
    max_batch: int = 64
    step_base_s: float = 0.02
    step_per_sequence_s: float = 0.0003
    prefill_tokens_per_s: float = 20_000.0
    prefix_cache_tokens: int = 20_000
    report_period_s: float = 0.5
    report_lag_s: float = 0.5


class OutputKind(Enum):
    """What happened to a sequence in a step."""

    TOKEN = "token"
    FINISHED = "finished"
    PREEMPTED = "preempted"


@dataclass(frozen=True, slots=True)
class ModelOutput:
    """One happening of a step."""

    generation: GenerationId
    kind: OutputKind


@dataclass(frozen=True)
class LoadSnapshot:
    """Load at `taken_s`."""

    taken_s: float
    running: int
    waiting: int
    kv_used_tokens: int
    preemptions: int


@dataclass
class _Sequence:
    id: GenerationId
    prompt_tokens: int
    output_tokens: int
    prefix: str
    priority: int
    order: int
    done: int = 0
    started: int = field(default=0)

    @property
    def held(self) -> int:
        return self.prompt_tokens + self.done


class EngineModel:
    """The sequences of one engine: waiting, running, and the memory they hold."""

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.preemptions = 0
        self._waiting: list[_Sequence] = []
        self._running: list[_Sequence] = []
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._order = 0
        self._free_at_s = 0.0
        self._next_s: float | None = None
        self._snapshots: list[LoadSnapshot] = []

    def submit(
        self,
        now_s: float,
        generation: GenerationId,
        *,
        prompt_tokens: int,
        output_tokens: int,
        prefix: str = "",
        priority: int = 0,
    ) -> None:
        """Take a generation in; it starts at a step for which there is memory."""
        self._order += 1
        self._waiting.append(
            _Sequence(generation, prompt_tokens, output_tokens, prefix, priority, self._order)
        )
        self._schedule(now_s)

    def cancel(self, generation: GenerationId) -> None:
        """Drop a generation, waiting or running."""
        self._waiting = [one for one in self._waiting if one.id != generation]
        self._running = [one for one in self._running if one.id != generation]

    def next_step_s(self) -> float | None:
        """Give the time of the next step, or None when there is nothing to do."""
        return self._next_s

    def step(self, now_s: float) -> list[ModelOutput]:
        """Admit what fits, make room, and decode one token for each running sequence."""
        prefill_s = self._admit()
        outputs = self._make_room()
        for sequence in list(self._running):
            sequence.done += 1
            outputs.append(ModelOutput(sequence.id, OutputKind.TOKEN))
            if sequence.done >= sequence.output_tokens:
                self._running.remove(sequence)
                outputs.append(ModelOutput(sequence.id, OutputKind.FINISHED))
        self._next_s = None
        duration = self.parameters.step_base_s
        duration += self.parameters.step_per_sequence_s * len(self._running) + prefill_s
        self._free_at_s = now_s + duration
        self._schedule(now_s)
        return outputs

    def kv_used_tokens(self) -> int:
        """Give the tokens of memory that running sequences hold."""
        return sum(sequence.held for sequence in self._running)

    def cached_prefixes(self) -> list[str]:
        """Give the prefixes in the cache, the least recently used first."""
        return list(self._cached)

    def report(self, now_s: float) -> LoadSnapshot:
        """Give the newest snapshot that the reporting lag lets out."""
        self._snapshot(now_s)
        visible = [
            one for one in self._snapshots if one.taken_s <= now_s - self.parameters.report_lag_s
        ]
        if not visible:
            return LoadSnapshot(now_s, 0, 0, 0, 0)
        self._snapshots = self._snapshots[len(visible) - 1 :]
        return visible[-1]

    def _snapshot(self, now_s: float) -> None:
        last = self._snapshots[-1].taken_s if self._snapshots else None
        if last is None or now_s - last >= self.parameters.report_period_s:
            self._snapshots.append(
                LoadSnapshot(
                    now_s,
                    len(self._running),
                    len(self._waiting),
                    self.kv_used_tokens(),
                    self.preemptions,
                )
            )

    def _schedule(self, now_s: float) -> None:
        if self._next_s is None and (self._waiting or self._running):
            self._next_s = max(now_s, self._free_at_s)
        self._snapshot(now_s)

    def _admit(self) -> float:
        prefill_tokens = 0
        self._waiting.sort(key=lambda one: (-one.priority, one.order))
        used = self.kv_used_tokens()
        while self._waiting and len(self._running) < self.parameters.max_batch:
            first = self._waiting[0]
            room = self.parameters.kv_capacity_tokens - used
            if first.held + 1 > room and self._running:
                break
            self._waiting.pop(0)
            self._order += 1
            first.started = self._order
            self._running.append(first)
            used += first.held + 1
            prefill_tokens += first.held - self._cached_tokens(first)
        return prefill_tokens / self.parameters.prefill_tokens_per_s

    def _cached_tokens(self, sequence: _Sequence) -> int:
        if not sequence.prefix:
            return 0
        hit = self._cached.pop(sequence.prefix, 0)
        self._cached[sequence.prefix] = sequence.prompt_tokens
        while sum(self._cached.values()) > self.parameters.prefix_cache_tokens:
            if len(self._cached) == 1:
                self._cached.clear()
                break
            self._cached.popitem(last=False)
        return min(hit, sequence.prompt_tokens)

    def _make_room(self) -> list[ModelOutput]:
        outputs = []
        needed = self.kv_used_tokens() + len(self._running)
        while needed > self.parameters.kv_capacity_tokens and len(self._running) > 1:
            victim = min(self._running, key=lambda one: (one.priority, -one.started))
            self._running.remove(victim)
            self._waiting.append(victim)
            self.preemptions += 1
            needed -= victim.held + 1
            outputs.append(ModelOutput(victim.id, OutputKind.PREEMPTED))
        return outputs
