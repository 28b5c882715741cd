"""A generation that wants an engine, and one that has one."""

from dataclasses import dataclass

from egretstack.ids import RunnerId, ServiceName, ZoneName
from egretstack.messages import MessageError


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A generation that wants an engine."""

    attempt: str
    service: ServiceName
    prompt_tokens: int
    max_output_tokens: int
    length_hint: int | None
    rank: int
    """0 is the most urgent."""
    first_token_budget_s: float
    """Time left until the first token comes late for the caller."""
    max_wait_s: float
    """How long the caller may be kept waiting for room."""
    prompt_id: str = ""
    """The same for a caller that comes back after a refusal; empty if it can't be told."""
    excluded: tuple[RunnerId, ...] = ()
    account: str = ""
    """The client account; empty if the route needs none."""
    zones: frozenset[ZoneName] | None = None
    """The availability zones in which alone it may run; None if it may anywhere."""

    def may_run_in(self, zone: ZoneName) -> bool:
        """Tell whether a runner of this zone may run it."""
        return self.zones is None or zone in self.zones


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a generation runs, and where its memory is copied meanwhile."""

    runner: RunnerId
    backup: RunnerId | None


@dataclass(slots=True)
class Run:
    """A generation on an engine, as its instance last told of it."""

    request: GenerationRequest
    runner: RunnerId
    backup: RunnerId | None
    generated_tokens: int = 0
    started: bool = False
    """Whether its first token came."""


def request_row(work: GenerationRequest) -> list:
    """Give the row of a work for a message."""
    return [
        work.attempt,
        work.service,
        work.prompt_tokens,
        work.max_output_tokens,
        work.length_hint,
        work.rank,
        round(work.first_token_budget_s * 1000),
        round(work.max_wait_s * 1000),
        work.prompt_id,
        list(work.excluded),
        work.account,
        None if work.zones is None else sorted(work.zones),
    ]


def request_from_row(row: object) -> GenerationRequest:
    """Read the row of a work. Raises MessageError."""
    try:
        attempt, service, prompt, most, hint, rank, patience_ms, wait_ms, *rest = row
        prompt_id, excluded, account, zones = rest
        return GenerationRequest(
            str(attempt),
            ServiceName(str(service)),
            int(prompt),
            int(most),
            None if hint is None else int(hint),
            int(rank),
            int(patience_ms) / 1000,
            int(wait_ms) / 1000,
            str(prompt_id),
            tuple(RunnerId(str(one)) for one in excluded),
            str(account),
            None if zones is None else frozenset(ZoneName(str(one)) for one in zones),
        )
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a work: {error}") from error


def run_row(run: Run) -> list:
    """Give the row of a run for a message."""
    return [request_row(run.request), run.runner, run.backup, run.generated_tokens, run.started]


def run_from_row(row: object) -> Run:
    """Read the row of a run. Raises MessageError."""
    try:
        work, runner, backup, made, started = row
        copy = None if backup is None else RunnerId(str(backup))
        return Run(request_from_row(work), RunnerId(str(runner)), copy, int(made), bool(started))
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a run: {error}") from error
