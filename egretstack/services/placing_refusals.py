"""Logs and counts early refusals and returns."""

from egretstack.events import Event, log
from egretstack.placing import EarlyRefusals, Refusal, ReturnOutcome
from egretstack.services.relay_metrics import RelayMetrics

_EVENT_BY_OUTCOME = {
    ReturnOutcome.KEPT: Event.RETURN_KEPT,
    ReturnOutcome.EARLY: Event.RETURN_EARLY,
    ReturnOutcome.MISSED: Event.RETURN_MISSED,
}


class RefusalRecords:
    """The log lines and counters of early refusals."""

    def __init__(self, metrics: RelayMetrics) -> None:
        self._refused = metrics.counter(
            "egret_relay_early_refusals",
            "Generations refused before their longest wait.",
            "reason",
            "slot",
        )
        self._returns = metrics.counter(
            "egret_relay_returns", "Times to return that callers kept or did not keep.", "outcome"
        )

    def record_refused(self, refusal: Refusal, *, alone: bool = False) -> None:
        """Record a refusal of the home, or of this instance `alone`."""
        slot = refusal.slot
        self._refused.labels(refusal.reason.value, "none" if slot is None else "given").inc()
        log(
            Event.REFUSED_ALONE if alone else Event.REFUSED_EARLY,
            request=refusal.attempt,
            reason=refusal.reason.value,
            rank=refusal.rank,
            prompt=refusal.prompt_tokens,
            forecast_wait_s=_rounded(refusal.forecast_wait_s),
            left_s=_rounded(refusal.left_s),
            ahead=_rounded(refusal.ahead),
            retry_s=_rounded(refusal.retry_after_s),
        )
        if slot is not None and slot.attempt == refusal.attempt:
            log(
                Event.RETURN_GIVEN,
                request=refusal.attempt,
                prompt_id=slot.key,
                retry_s=_rounded(refusal.retry_after_s),
            )

    def record_outcomes(self, refusals: EarlyRefusals) -> None:
        """Record what became of times to return since the last call."""
        for outcome, slot in refusals.take_outcomes():
            self._returns.labels(outcome.value).inc()
            log(
                _EVENT_BY_OUTCOME[outcome],
                request=slot.returned_attempt or slot.attempt,
                prompt_id=slot.key,
                rank=slot.rank,
            )


def _rounded(value: float) -> float | None:
    """Return a value for a log line; None if it is infinite."""
    return round(value, 3) if value < 1e6 else None
