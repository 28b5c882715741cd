"""Whether this instance reaches the runners at all. Does no I/O; the time is passed in.

Only new connections count: while links are cut, connections that were open before may live on.
"""

from enum import Enum

FAILURE_TTL_S = 3.0
"""How long a failed connection to a runner counts."""
MIN_FAILED_RUNNERS = 2
"""Runners in a row that accept no connection before the links are doubted: one may have ended."""
PROOF_S = 0.05
"""How long a connection to any runner shows that the links are sound."""


class LinkState(Enum):
    """The state of the links from this instance to the runners."""

    SOUND = "sound"
    DOUBTED = "doubted"
    """Several runners in a row accepted no connection; others are being tried."""
    CUT = "cut"
    """None of the runners that were tried accepts a connection of this instance."""


class RunnerReach:
    """Judges the links by the connections that this instance opens, or fails to."""

    def __init__(self) -> None:
        self.state = LinkState.SOUND
        self._failed_s_by_address: dict[str, float] = {}
        """Runners that have accepted no connection since one was last opened to any runner."""
        self._connected_s = float("-inf")

    def is_proven(self, now_s: float) -> bool:
        """Return whether a runner that accepts no connection now is itself the cause."""
        return self.state is LinkState.SOUND and now_s - self._connected_s < PROOF_S

    def record_connected(self, now_s: float) -> None:
        """Record a connection to any runner."""
        self.state = LinkState.SOUND
        self._connected_s = now_s
        self._failed_s_by_address.clear()

    def record_failed(self, now_s: float, address: str, known_runners: int) -> None:
        """Record that a runner accepted no connection, one of `known_runners`."""
        for other, failed_s in list(self._failed_s_by_address.items()):
            if now_s - failed_s > FAILURE_TTL_S:
                del self._failed_s_by_address[other]
        self._failed_s_by_address[address] = now_s
        enough = max(1, min(MIN_FAILED_RUNNERS, known_runners))
        if self.state is LinkState.SOUND and len(self._failed_s_by_address) >= enough:
            self.state = LinkState.DOUBTED

    def record_cut(self) -> None:
        """Record that no runner tried accepts a connection, or that others reach one that fails."""
        self.state = LinkState.CUT
