"""How fast each engine is, compared with the other engines of its service.

For fleets whose engines differ by a constant factor, on machines that are slow for a while now and
then, measured by instances that each see few runs of any one engine.

Does no I/O; the time is passed in.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from egretstack.ids import RunnerId, ServiceName
from egretstack.messages import MessageError

MIN_PERCENT = 10
MAX_PERCENT = 1000


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """The speed of one engine, relative to the typical engine of its service."""

    prefill_factor: float = 1.0
    """Time to process a prompt, as a multiple of the typical engine's."""
    step_factor: float = 1.0
    """Time between two events of a stream in a batch of equal size, as a multiple likewise."""


TYPICAL = EngineSpeed()


class EngineSpeeds:
    """The engines whose speed is known to differ from the typical one."""

    def __init__(self) -> None:
        self._speed_by_id: dict[RunnerId, EngineSpeed] = {}
        self._event_s_by_service: dict[ServiceName, float] = {}

    def speed(self, runner_id: RunnerId) -> EngineSpeed:
        """Return an engine's speed: the typical one unless it is known to differ."""
        return self._speed_by_id.get(runner_id, TYPICAL)

    def differ(self) -> bool:
        """Return whether any engine's speed is known to differ from the typical one."""
        return bool(self._speed_by_id)

    def typical_event_s(self, service: ServiceName) -> float | None:
        """Return the time of one event on the typical engine without runs and prompts.

        None if it was not measured here; only the home measures it.
        """
        return self._event_s_by_service.get(service)

    def typical_events_s(self) -> dict[ServiceName, float]:
        """Return the measured `typical_event_s` of all services."""
        return dict(self._event_s_by_service)

    def apply(
        self,
        speed_by_id: Mapping[RunnerId, EngineSpeed],
        event_s_by_service: Mapping[ServiceName, float] | None = None,
    ) -> None:
        """Replace all known speeds, and the times of the typical engines that they refer to."""
        self._speed_by_id = dict(speed_by_id)
        self._event_s_by_service = dict(event_s_by_service or {})

    def by_id(self) -> dict[RunnerId, EngineSpeed]:
        """Return the speeds of all engines that differ."""
        return dict(self._speed_by_id)


def speed_row(speed: EngineSpeed) -> list:
    """Return a speed as a row: the prefill and the step factor in percent."""
    return [round(speed.prefill_factor * 100), round(speed.step_factor * 100)]


def speed_from_row(row: object) -> EngineSpeed:
    """Parse the row of a speed; later versions may add columns. Raises MessageError."""
    try:
        prefill, step, *_ = row
    except (TypeError, ValueError) as error:
        raise MessageError(f"not a speed: {error}") from error
    for percent in (prefill, step):
        if type(percent) is not int or not MIN_PERCENT <= percent <= MAX_PERCENT:
            raise MessageError("a speed is not between 10 and 1,000 percent")
    return EngineSpeed(prefill / 100, step / 100)
