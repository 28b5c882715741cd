"""The engines of a replay: their models, which are up, and what each runs."""

from egretstack.ids import GenerationId, RunnerId
from egretstack.policy import RunnerInfo, RunnerReported
from egretstack.replay._engine_model import EngineModel, StepResult
from egretstack.replay._site import EngineSpec


class ReplayEngine:
    """One engine of a replay; a generation's id is the number of its session."""

    def __init__(self, spec: EngineSpec) -> None:
        self.spec = spec
        self.is_up = True
        self.is_leaving = False
        self.running: set[int] = set()
        self.scheduled_step_s: float | None = None
        """Time of the step that is in the event loop."""
        self.model = EngineModel(spec.parameters)
        self.preemptions = 0
        self._published_prefixes: set[str] = set()

    @property
    def id(self) -> RunnerId:
        """Give the runner's id."""
        return self.info.id

    @property
    def info(self) -> RunnerInfo:
        """Give what entries know of the engine."""
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
        """Take a session's generation in."""
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
        """Drop a session's generation."""
        self.running.discard(session_number)
        self.model.cancel(GenerationId(session_number))

    def advance(self, now_s: float) -> StepResult:
        """End a step."""
        result = self.model.advance(now_s)
        self.running.difference_update(result.finished)
        self.preemptions += len(result.preempted)
        return result

    def step_s(self, sequences: int) -> float:
        """Give the time of a step with that many sequences and no prompt to read."""
        parameters = self.spec.parameters
        return parameters.step_base_s + parameters.step_per_sequence_s * sequences

    def reclaim(self) -> list[int]:
        """Take the engine away; give the sessions that ran on it."""
        interrupted = sorted(self.running)
        self.running.clear()
        self.is_up = False
        self.model = EngineModel(self.spec.parameters)
        return interrupted

    def restore(self) -> None:
        """Put an empty engine in its place."""
        self.is_up = True
        self.is_leaving = False
        self._published_prefixes = set()

    def cache_changes(self) -> list[tuple[str, bool]]:
        """Give the prefixes that came (true) or went (false) since the last call."""
        cached = set(self.model.cached_prefixes())
        changed = [
            (prefix, prefix in cached) for prefix in sorted(cached ^ self._published_prefixes)
        ]
        self._published_prefixes = cached
        return changed

    def report(self, now_s: float) -> RunnerReported:
        """Give the report that can be read now."""
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
