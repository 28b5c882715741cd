"""Logs placements that were made by forecast latency."""

from egretstack.events import Event, log
from egretstack.placing import Placement


def log_forecast(attempt: str, placement: Placement) -> None:
    """Log the forecast of a placement, if engines differ and there is one."""
    latency = placement.latency
    if latency is None:
        return
    log(
        Event.PLACED_BY_FORECAST if latency.keeps_targets else Event.PLACED_BEYOND_TARGET,
        request=attempt,
        runner=placement.runner,
        first_token_ms=round(latency.first_token_s * 1000),
        pause_ms=round(latency.pause_s * 1000),
    )
