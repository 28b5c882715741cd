"""The load of one engine, from the runs that are known to be on it."""

from dataclasses import dataclass
from math import inf

from egretstack.ids import RunnerId
from egretstack.messages import MessageError


@dataclass(slots=True)
class EngineLoad:
    """The load of one engine; memory is counted in tokens."""

    runs: int = 0
    held_tokens: float = 0.0
    """Memory that its runs use now or soon."""
    copy_tokens: float = 0.0
    """Memory that copies of runs on other engines use now or soon."""
    pending_prefills: int = 0
    """Runs whose first token has not come yet."""
    prefilled_at_s: float = 0.0
    """Forecast time at which all prompts sent so far are processed."""
    streams: int = 0
    """Long streams with a gap target among its runs."""
    gap_target_s: float = inf
    """The shortest gap target of these."""

    @property
    def used_tokens(self) -> float:
        """Memory that runs and copies use."""
        return self.held_tokens + self.copy_tokens

    def prefill_wait_s(self, now_s: float) -> float:
        """Return how long a prompt sent now waits before it is processed."""
        return max(0.0, self.prefilled_at_s - now_s)


def load_row(
    runner: RunnerId, load: EngineLoad, now_s: float, *, with_streams: bool = False
) -> list:
    """Return a load as a row for a message.

    `with_streams` adds the number of long streams and their gap target. Only fleets whose engines
    differ need these columns; a reader of an earlier version refuses them.
    """
    wait_ms = round(load.prefill_wait_s(now_s) * 1000)
    row = [runner, load.runs, round(load.held_tokens), round(load.copy_tokens), wait_ms]
    if with_streams and load.streams:
        row += [load.streams, round(load.gap_target_s * 1000)]
    return row


def load_from_row(row: object, now_s: float) -> tuple[RunnerId, EngineLoad]:
    """Parse the row of a load; later versions may add columns. Raises MessageError."""
    try:
        runner, runs, held, copies, wait_ms, *rest = row
        load = EngineLoad(int(runs), float(held), float(copies))
        load.prefilled_at_s = now_s + int(wait_ms) / 1000
        streams, gap_target_ms, *_ = (*rest, 0, 0)
        if int(gap_target_ms) > 0:
            load.streams = max(0, min(load.runs, int(streams)))
            load.gap_target_s = int(gap_target_ms) / 1000 if load.streams else inf
        return RunnerId(str(runner)), load
    except (TypeError, ValueError, OverflowError) as error:
        raise MessageError(f"not a load: {error}") from error
