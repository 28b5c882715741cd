"""A model of a continuously batching engine with limited memory.

It has no clock and does no I/O: the owner calls `step` at the time that `next_step_s` returns, the
end of the step in progress. A step decodes one token for each sequence whose prefill is complete
and prefills the prompts of the others, up to a limit per step; every sequence in the batch waits
for the whole step. A sequence holds one token of KV memory for each token of prompt and output.
When a step does not fit into memory, the sequence with the lowest priority that started last is
preempted: its memory is freed, and its prompt and output are prefilled again when it resumes, as
vLLM does.
"""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from egretstack.ids import GenerationId

MAX_SNAPSHOTS = 64


@dataclass(frozen=True)
class EngineParameters:
    """Size and speed of one engine. Sizes are tokens, times seconds."""

    kv_capacity_tokens: int = 60_000
    max_batch: int = 64
    step_base_s: float = 0.02
    step_per_sequence_s: float = 0.0003
    prefill_tokens_per_s: float = 20_000.0
    prefill_step_tokens: int = 2048
    """Maximum number of prompt tokens prefilled in one step."""
    prefix_cache_tokens: int = 20_000
    prefix_share: float = 0.7
    """Fraction of a prompt that its named prefix covers."""
    watermark: float = 0.01
    """Fraction of the memory that stays free when a sequence is admitted."""
    report_period_s: float = 0.5
    report_lag_s: float = 0.5


class OutputKind(Enum):
    """What happened to a sequence in a step."""

    TOKEN = "token"
    FINISHED = "finished"
    PREEMPTED = "preempted"


@dataclass(frozen=True, slots=True)
class ModelOutput:
    """One event of a step."""

    generation: GenerationId
    kind: OutputKind


@dataclass(frozen=True, slots=True)
class StepResult:
    """The generations that one step affected; `sequences` is the batch size."""

    decoded: list[GenerationId]
    finished: list[GenerationId]
    preempted: list[GenerationId]
    sequences: int


@dataclass(frozen=True)
class LoadSnapshot:
    """Load of the engine at `taken_s`."""

    taken_s: float
    running: int
    waiting: int
    kv_used_tokens: int
    preemptions: int


@dataclass(slots=True)
class _Sequence:
    id: GenerationId
    prompt_tokens: int
    output_tokens: int
    prefix: str
    priority: int
    queue_order: int
    decoded_tokens: int = 0
    prefill_remaining: int = 0
    """Tokens of the prompt, and of output to recompute, that are still to be prefilled."""
    start_order: int = field(default=0)

    @property
    def kv_tokens(self) -> int:
        return self.prompt_tokens + self.decoded_tokens


class EngineModel:
    """The waiting and running sequences of one engine, and the memory that they hold."""

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.preemptions = 0
        self._waiting: list[_Sequence] = []
        self._running: list[_Sequence] = []
        self._decoding: list[_Sequence] = []
        self._preempted: list[GenerationId] = []
        self._kv_used_tokens = 0
        self._prefix_cache: OrderedDict[str, int] = OrderedDict()
        self._last_order = 0
        self._step_end_s: float | None = None
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
        """Queue a generation; it starts at the first step that has memory for it."""
        self._last_order += 1
        self._waiting.append(
            _Sequence(generation, prompt_tokens, output_tokens, prefix, priority, self._last_order)
        )
        if self._step_end_s is None:
            self._begin_step(now_s)
        self._take_snapshot(now_s)

    def cancel(self, generation: GenerationId) -> None:
        """Remove a generation, whether it is waiting or running."""
        self._waiting = [one for one in self._waiting if one.id != generation]
        for sequence in [s for s in self._running if s.id == generation]:
            self._remove(sequence)

    def next_step_s(self) -> float | None:
        """Return the time at which the step in progress ends, or None when there is none."""
        return self._step_end_s

    def step(self, now_s: float) -> list[ModelOutput]:
        """End the step in progress, begin the next, and return each sequence's outputs."""
        result = self.advance(now_s)
        outputs = [ModelOutput(one, OutputKind.PREEMPTED) for one in result.preempted]
        outputs += [ModelOutput(one, OutputKind.TOKEN) for one in result.decoded]
        outputs += [ModelOutput(one, OutputKind.FINISHED) for one in result.finished]
        return outputs

    def advance(self, now_s: float) -> StepResult:
        """Do the same as `step`, without allocating an object for each token."""
        decoded = self._decoding
        sequences = len(self._running)
        finished = []
        for sequence in decoded:
            sequence.decoded_tokens += 1
            if sequence.decoded_tokens >= sequence.output_tokens:
                finished.append(sequence)
        self._kv_used_tokens += len(decoded)
        for sequence in finished:
            self._remove(sequence)
        preempted = self._preempted
        self._begin_step(now_s)
        self._take_snapshot(now_s)
        return StepResult(
            [one.id for one in decoded], [one.id for one in finished], preempted, sequences
        )

    def kv_used_tokens(self) -> int:
        """Return the KV memory that running sequences hold, in tokens."""
        return self._kv_used_tokens

    def cached_prefixes(self) -> list[str]:
        """Return the cached prefixes, least recently used first."""
        return list(self._prefix_cache)

    def report(self, now_s: float) -> LoadSnapshot:
        """Return the newest snapshot that is at least as old as the reporting lag."""
        self._take_snapshot(now_s)
        latest_s = now_s - self.parameters.report_lag_s
        visible = [one for one in self._snapshots if one.taken_s <= latest_s]
        if not visible:
            return LoadSnapshot(now_s, 0, 0, 0, 0)
        self._snapshots = self._snapshots[len(visible) - 1 :]
        return visible[-1]

    def _take_snapshot(self, now_s: float) -> None:
        last_taken_s = self._snapshots[-1].taken_s if self._snapshots else None
        if last_taken_s is None or now_s - last_taken_s >= self.parameters.report_period_s:
            self._snapshots.append(
                LoadSnapshot(
                    now_s,
                    len(self._running),
                    len(self._waiting),
                    self._kv_used_tokens,
                    self.preemptions,
                )
            )
            del self._snapshots[:-MAX_SNAPSHOTS]

    def _remove(self, sequence: _Sequence) -> None:
        self._running.remove(sequence)
        self._kv_used_tokens -= sequence.kv_tokens
        if sequence in self._decoding:
            self._decoding = [one for one in self._decoding if one is not sequence]

    def _begin_step(self, now_s: float) -> None:
        self._admit()
        self._preempted = self._preempt_until_fits()
        prefilled_tokens = self._prefill()
        self._decoding = [one for one in self._running if one.prefill_remaining == 0]
        if not self._running:
            self._step_end_s = None
            return
        duration_s = self.parameters.step_base_s
        duration_s += self.parameters.step_per_sequence_s * len(self._running)
        duration_s += prefilled_tokens / self.parameters.prefill_tokens_per_s
        self._step_end_s = now_s + duration_s

    def _admit(self) -> None:
        if not self._waiting:
            return
        self._waiting.sort(key=lambda one: (-one.priority, one.queue_order))
        reserved_tokens = self.parameters.watermark * self.parameters.kv_capacity_tokens
        while self._waiting and len(self._running) < self.parameters.max_batch:
            candidate = self._waiting[0]
            free_tokens = (
                self.parameters.kv_capacity_tokens - self._kv_used_tokens - len(self._running)
            )
            if candidate.kv_tokens + 1 + reserved_tokens > free_tokens and self._running:
                return
            self._waiting.pop(0)
            self._last_order += 1
            candidate.start_order = self._last_order
            candidate.prefill_remaining = max(
                1, candidate.kv_tokens - self._cached_tokens(candidate)
            )
            self._running.append(candidate)
            self._kv_used_tokens += candidate.kv_tokens

    def _prefill(self) -> int:
        budget = self.parameters.prefill_step_tokens
        for sequence in self._running:
            if sequence.prefill_remaining and budget:
                prefilled = min(budget, sequence.prefill_remaining)
                sequence.prefill_remaining -= prefilled
                budget -= prefilled
        return self.parameters.prefill_step_tokens - budget

    def _cached_tokens(self, sequence: _Sequence) -> int:
        if not sequence.prefix:
            return 0
        prefix_tokens = int(sequence.prompt_tokens * self.parameters.prefix_share)
        hit_tokens = min(prefix_tokens, self._prefix_cache.pop(sequence.prefix, 0))
        self._prefix_cache[sequence.prefix] = max(hit_tokens, prefix_tokens)
        while sum(self._prefix_cache.values()) > self.parameters.prefix_cache_tokens:
            self._prefix_cache.popitem(last=False)
        return hit_tokens

    def _preempt_until_fits(self) -> list[GenerationId]:
        preempted = []
        needed = self._kv_used_tokens + len(self._running)
        while needed > self.parameters.kv_capacity_tokens and len(self._running) > 1:
            victim = min(self._running, key=lambda one: (one.priority, -one.start_order))
            needed -= victim.kv_tokens + 1
            self._remove(victim)
            self._waiting.append(victim)
            self.preemptions += 1
            preempted.append(victim.id)
        return preempted
