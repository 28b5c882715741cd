"""The target size of a deployment, and the bounds on its control costs."""

from dataclasses import dataclass

DAY_S = 86_400
KILOBYTE = 1_000
MEGABYTE = 1_000_000


@dataclass(frozen=True)
class Target:
    """The target size. Rates are per second unless the name says otherwise."""

    nodes: int = 420
    runners: int = 1_700
    accelerators: int = 6_600
    requests: int = 4_300
    tokens: int = 2_200_000
    accounts: int = 700
    models: int = 27
    regions: int = 4
    zones: int = 10
    changes_a_day: int = 5_100
    in_force_s: float = 5.0
    gap_s: float = 0.072
    failed_a_day: int = 37
    replaced_a_day: int = 280

    @property
    def changes(self) -> float:
        """Return the configuration changes per second."""
        return self.changes_a_day / DAY_S

    @property
    def members(self) -> int:
        """Return the number of members in the instance list."""
        return self.nodes + self.runners

    @property
    def parts(self) -> int:
        """Return the number of configuration parts: contracts, and a description for each model."""
        return self.accounts + self.models

    @property
    def node_tokens(self) -> float:
        """Return the tokens per second that one node relays."""
        return self.tokens / self.nodes

    @property
    def node_requests(self) -> float:
        """Return the requests per second that one node receives."""
        return self.requests / self.nodes

    @property
    def open_sessions(self) -> float:
        """Return the sessions open on one node if every gap is as long as its target allows.

        A stream produces at least one token per gap, so at most tokens times gap are open.
        """
        return self.tokens * self.gap_s / self.nodes

    @property
    def tokens_a_session(self) -> float:
        """Return the mean length of an output."""
        return self.tokens / self.requests


@dataclass(frozen=True)
class Bounds:
    """Bounds on control costs. Processor time is in microseconds per second, sizes in bytes."""

    cpu_us: float = 12_000
    memory_bytes: float = 256 * MEGABYTE
    sent_bytes: float = 3 * KILOBYTE
    writes: float = 300
    """The requirement is "several hundred" per second."""
    reads: float = 2_000
    """Each open watch counts as one read per second."""


TARGET = Target()
BOUNDS = Bounds()
