"""Holds back instances that come and go."""

from collections import deque
from dataclasses import dataclass, field

from egretstack.ids import InstanceId

MAX_RETURNS = 3
WINDOW_S = 300.0
HOLD_DOWN_S = 30.0


@dataclass
class FlapDamping:
    """Counts returns from the dead; times are seconds on the runtime's clock."""

    _returns_by_id: dict[InstanceId, deque[float]] = field(default_factory=dict)

    def record_return(self, now_s: float, instance: InstanceId) -> None:
        """An instance that was gone is back."""
        self._returns_by_id.setdefault(instance, deque(maxlen=MAX_RETURNS)).append(now_s)

    def is_stable(self, now_s: float, instance: InstanceId) -> bool:
        """Tell whether an instance may be used: one that returned often has to stay for a while.

        A peer that flaps would move the homes of its accounts, and the addresses that callers
        get, at each turn; held back, it moves them once in `HOLD_S` at most.
        """
        returns = self._returns_by_id.get(instance)
        if returns is None or len(returns) < MAX_RETURNS or now_s - returns[0] > WINDOW_S:
            return True
        return now_s - returns[-1] >= HOLD_DOWN_S

    def retain(self, instances: set[InstanceId]) -> None:
        """Forget all instances but these."""
        for instance in self._returns_by_id.keys() - instances:
            del self._returns_by_id[instance]
