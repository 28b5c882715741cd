"""The size to build towards, and the bounds it has to stay within."""

from dataclasses import dataclass

DAY_S = 86_400
KILOBYTE = 1_000
MEGABYTE = 1_000_000


@dataclass(frozen=True)
class Target:
    """The target size. Rates are for each second unless the name says otherwise."""

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
        """Return the changes of configuration in a second."""
        return self.changes_a_day / DAY_S

    @property
    def members(self) -> int:
        """Return the members of the instance list."""
        return self.nodes + self.runners

    @property
    def parts(self) -> int:
        """Return the parts of the configuration: contracts, and a description for each model."""
        return self.accounts + self.models

    @property
    def node_tokens(self) -> float:
        """Return the tokens one node passes on."""
        return self.tokens / self.nodes

    @property
    def node_requests(self) -> float:
        """Return the requests one node takes."""
        return self.requests / self.nodes

    @property
    def open_sessions(self) -> float:
        """Return the sessions open on one node, were every gap as long as its target allows.

        A stream makes at least one token in each gap, so there are at most tokens times gap.
        """
        return self.tokens * self.gap_s / self.nodes

    @property
    def tokens_a_session(self) -> float:
        """Return the mean length of an output."""
        return self.tokens / self.requests


@dataclass(frozen=True)
class Bounds:
    """What control may cost. Processor time is in microseconds a second, sizes in bytes."""

    cpu_us: float = 12_000
    memory_bytes: float = 256 * MEGABYTE
    sent_bytes: float = 3 * KILOBYTE
    writes: float = 300
    """Several hundred a second."""
    reads: float = 2_000
    """Each waiting watch is counted as one."""


TARGET = Target()
BOUNDS = Bounds()
