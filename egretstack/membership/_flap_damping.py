"""Holds down instances that repeatedly go and come back."""

from collections import deque
from dataclasses import dataclass, field

from egretstack.ids import InstanceId

MAX_RETURNS = 3
WINDOW_S = 300.0
HOLD_DOWN_S = 30.0


@dataclass
class FlapDamping:
    """Counts returns of instances that were gone; times are seconds on the runtime's clock."""

    _returns_by_id: dict[InstanceId, deque[float]] = field(default_factory=dict)

    def record_return(self, now_s: float, instance: InstanceId) -> None:
        """Record that an instance that was gone is back."""
        self._returns_by_id.setdefault(instance, deque(maxlen=MAX_RETURNS)).append(now_s)

    def is_stable(self, now_s: float, instance: InstanceId) -> bool:
        """Return whether an instance may be used: one that returned often has to stay for a while.

        At each of its changes a flapping peer would move the homes of its accounts and the
        addresses that callers get; held down, it moves them once in `HOLD_DOWN_S` at most.
        """
        returns = self._returns_by_id.get(instance)
        if returns is None or len(returns) < MAX_RETURNS or now_s - returns[0] > WINDOW_S:
            return True
        return now_s - returns[-1] >= HOLD_DOWN_S

    def retain(self, instances: set[InstanceId]) -> None:
        """Drop the state of all instances but those given."""
        for instance in self._returns_by_id.keys() - instances:
            del self._returns_by_id[instance]
