"""Detects that this process's table differs from those of its neighbours."""

from dataclasses import dataclass, field

from egretstack.ids import InstanceId

DIVERGED_AFTER_S = 10.0
"""Well above the time that updates take to reach everyone."""
REREAD_INTERVAL_S = 60.0


@dataclass
class DivergenceDetector:
    """Compares digests; times are seconds on the runtime's clock."""

    _agrees_by_peer: dict[InstanceId, bool] = field(default_factory=dict)
    _since_s: float | None = None
    _read_s: float = float("-inf")

    def record_comparison(self, now_s: float, peer: InstanceId, agrees: bool) -> None:
        """Record whether a neighbour's digest equals this process's."""
        self._agrees_by_peer[peer] = agrees
        differing = sum(not one for one in self._agrees_by_peer.values())
        if differing * 2 <= len(self._agrees_by_peer):
            self._since_s = None
        elif self._since_s is None:
            self._since_s = now_s

    def record_list_read(self, now_s: float) -> None:
        """Record that this process has read the list."""
        self._read_s = now_s

    def needs_list(self, now_s: float) -> bool:
        """Return whether to read the list ahead of the plan.

        The first reading of a process is not sent to others. If it was outdated, nobody would
        correct it until the next reading; most neighbours then differ from this process.
        """
        if self._since_s is None or now_s - self._since_s < DIVERGED_AFTER_S:
            return False
        return now_s - self._read_s >= REREAD_INTERVAL_S

    def retain(self, peers: set[InstanceId]) -> None:
        """Drop the state of all neighbours but those given."""
        for peer in self._agrees_by_peer.keys() - peers:
            del self._agrees_by_peer[peer]
