"""Reaches runners through other instances while this instance cannot connect to them itself."""

from egretstack.detour._reach import LinkState, RunnerReach

__all__ = [
    "LinkState",
    "RunnerReach",
]
