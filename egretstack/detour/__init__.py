"""Reaches runners through other instances while this instance cannot connect to them itself."""

from egretstack.detour._carrier import carry, read_request
from egretstack.detour._helpers import HelperChoice
from egretstack.detour._reach import LinkState, RunnerReach
from egretstack.detour._tunnel import TunnelLink, TunnelRefused, open_tunnel
from egretstack.detour._wire import BadTunnelRequest, TunnelOutcome

__all__ = [
    "BadTunnelRequest",
    "HelperChoice",
    "LinkState",
    "RunnerReach",
    "TunnelLink",
    "TunnelOutcome",
    "TunnelRefused",
    "carry",
    "open_tunnel",
    "read_request",
]
