"""Generations that need an engine, and generations that run on one."""

from dataclasses import dataclass

from egretstack.ids import RunnerId, ServiceName, ZoneName
from egretstack.messages import MessageError, checked_integer
from egretstack.placing._latency_forecast import Latency

SHORT_TOKENS = 64
"""Expected output up to which a run ends before a copy of it could be used, and before a pause in
its stream is likely. Runs with more are long."""


@dataclass(frozen=True, slots=True)
class GenerationRequest:
    """A generation that needs an engine."""

    attempt: str
    service: ServiceName
    prompt_tokens: int
    max_output_tokens: int
    length_hint: int | None
    rank: int
    """0 is the most urgent."""
    first_token_budget_s: float
    """Time left until the first token is late for the caller."""
    max_wait_s: float
    """How long the request may wait for a place."""
    prompt_id: str = ""
    """Identifies the prompt of a caller that returns after a refusal; empty if not known."""
    excluded: tuple[RunnerId, ...] = ()
    account: str = ""
    """The client account; empty if the route needs none."""
    zones: frozenset[ZoneName] | None = None
    """The only availability zones in which it may run; None if it may run anywhere."""
    gap_target_s: float | None = None
    """Longest pause between two events with which its stream is still in time; None if not set."""
    time_left_s: float | None = None
    """Time until the caller's deadline; None if not known."""
    generated_tokens: int = 0
    """Output of earlier runs, after which a resumed run continues; it counts as part of the prompt,
    and its memory is in use from the start."""

    @property
    def context_tokens(self) -> int:
        """Tokens that an engine processes before the first new one."""
        return self.prompt_tokens + self.generated_tokens

    def may_run_in(self, zone: ZoneName) -> bool:
        """Return whether a runner in this zone may run it."""
        return self.zones is None or zone in self.zones


@dataclass(frozen=True, slots=True)
class Placement:
    """The engine that runs a generation, and the one that holds its backup copy, if any."""

    runner: RunnerId
    backup: RunnerId | None
    latency: Latency | None = None
    """Its forecast latency, where the speeds of engines differ."""


@dataclass(slots=True)
class Run:
    """A generation in progress on an engine, as its instance last reported it."""

    request: GenerationRequest
    runner: RunnerId
    backup: RunnerId | None
    generated_tokens: int = 0
    started: bool = False
    """Whether its first token has come."""
    has_proven: bool = False
    """Whether it has written for long enough to show that its prompt crashes no engine."""


def request_row(request: GenerationRequest) -> list:
    """Return a request as a row for a message."""
    return [
        request.attempt,
        request.service,
        request.prompt_tokens,
        request.max_output_tokens,
        request.length_hint,
        request.rank,
        round(request.first_token_budget_s * 1000),
        round(request.max_wait_s * 1000),
        request.prompt_id,
        list(request.excluded),
        request.account,
        None if request.zones is None else sorted(request.zones),
        _optional_ms(request.gap_target_s),
        _optional_ms(request.time_left_s),
        request.generated_tokens,
    ]


def request_from_row(row: object) -> GenerationRequest:
    """Parse the row of a request; later versions may add columns. Raises MessageError."""
    try:
        attempt, service, prompt, max_output, hint, rank, budget_ms, wait_ms, *rest = row
        # Versions before the last three columns may send rows without them.
        rest = (*rest, None, None, None)
        prompt_id, excluded, account, zones, gap_target_ms, time_left_ms, generated, *_ = rest
        return GenerationRequest(
            str(attempt),
            ServiceName(str(service)),
            checked_integer(prompt),
            checked_integer(max_output),
            None if hint is None else checked_integer(hint),
            checked_integer(rank),
            checked_integer(budget_ms) / 1000,
            checked_integer(wait_ms) / 1000,
            str(prompt_id),
            tuple(RunnerId(str(one)) for one in excluded),
            str(account),
            None if zones is None else frozenset(ZoneName(str(one)) for one in zones),
            _gap_target_s(gap_target_ms),
            _optional_s(time_left_ms),
            max(0, checked_integer(generated or 0)),
        )
    except (TypeError, ValueError, OverflowError) as error:
        raise MessageError(f"not a generation request: {error}") from error


def _optional_ms(time_s: float | None) -> int | None:
    return None if time_s is None else round(time_s * 1000)


def _optional_s(time_ms: object) -> float | None:
    return None if time_ms is None else checked_integer(time_ms) / 1000


def _gap_target_s(time_ms: object) -> float | None:
    """Parse a gap target; None if it is not above 0, since pauses are divided by it."""
    target_s = _optional_s(time_ms)
    return None if target_s is None or target_s <= 0 else target_s


def run_row(run: Run) -> list:
    """Return a run as a row for a message."""
    return [request_row(run.request), run.runner, run.backup, run.generated_tokens, run.started]


def run_from_row(row: object) -> Run:
    """Parse the row of a run. Raises MessageError."""
    try:
        request, runner, backup, generated, started = row
        copy = None if backup is None else RunnerId(str(backup))
        return Run(
            request_from_row(request),
            RunnerId(str(runner)),
            copy,
            checked_integer(generated),
            bool(started),
        )
    except (TypeError, ValueError, OverflowError) as error:
        raise MessageError(f"not a run: {error}") from error
