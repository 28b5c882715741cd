"""The engines of a replay: their models, whether they are up, and the sessions they run."""

from egretstack.ids import GenerationId, RunnerId
from egretstack.policy import RunnerInfo, RunnerReported
from egretstack.replay._deployment import EngineSpec
from egretstack.replay._engine_model import EngineModel, StepResult


class ReplayEngine:
    """One engine of a replay; the id of a generation is the number of its session."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.is_up = True
        self.is_leaving = False
        self.running: set[int] = set()
        self.scheduled_step_s: float | None = None
        """End of the step that is scheduled in the event loop."""
        self.model = EngineModel(spec.parameters)
        self.preemptions = 0
        self._published_prefixes: set[str] = set()

    @property
    def id(self) -> RunnerId:
        """Return the runner's id."""
        return self.info.id

    @property
    def info(self) -> RunnerInfo:
        """Return what the entries know about the engine."""
        return self.spec.info

    def submit(
        self,
        now_s: float,
        session_number: int,
        *,
        prompt: int,
        output: int,
        prefix: str,
        priority: int,
    ) -> None:
        """Start a session's generation."""
        self.running.add(session_number)
        self.model.submit(
            now_s,
            GenerationId(session_number),
            prompt_tokens=prompt,
            output_tokens=output,
            prefix=prefix,
            priority=priority,
        )

    def cancel(self, session_number: int) -> None:
        """Cancel a session's generation."""
        self.running.discard(session_number)
        self.model.cancel(GenerationId(session_number))

    def advance(self, now_s: float) -> StepResult:
        """End the step in progress and begin the next."""
        result = self.model.advance(now_s)
        self.running.difference_update(result.finished)
        self.preemptions += len(result.preempted)
        return result

    def step_s(self, sequences: int) -> float:
        """Return the duration of a step with this many sequences and no prefill."""
        parameters = self.spec.parameters
        return parameters.step_base_s + parameters.step_per_sequence_s * sequences

    def reclaim(self) -> list[int]:
        """Take the engine down; return the sessions that ran on it."""
        interrupted = sorted(self.running)
        self.running.clear()
        self.is_up = False
        self.model = EngineModel(self.spec.parameters)
        return interrupted

    def restore(self) -> None:
        """Bring the engine back, empty."""
        self.is_up = True
        self.is_leaving = False
        self._published_prefixes = set()

    def cache_changes(self) -> list[tuple[str, bool]]:
        """Return the prefixes cached (True) or evicted (False) since the last call."""
        cached = set(self.model.cached_prefixes())
        changed = [
            (prefix, prefix in cached) for prefix in sorted(cached ^ self._published_prefixes)
        ]
        self._published_prefixes = cached
        return changed

    def report(self, now_s: float) -> RunnerReported:
        """Return the load report that an entry can read now."""
        snapshot = self.model.report(now_s)
        return RunnerReported(
            runner_id=self.id,
            taken_s=snapshot.taken_s,
            running=snapshot.running,
            waiting=snapshot.waiting,
            kv_used_tokens=snapshot.kv_used_tokens,
            kv_capacity_tokens=self.spec.parameters.kv_capacity_tokens,
            preemptions=snapshot.preemptions,
        )
