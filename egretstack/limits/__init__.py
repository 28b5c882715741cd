"""Fleet-wide limits of client accounts: request rate, burst and open requests.

The limits home of an account (one live instance, by rendezvous hash) owns its limits and grants
parts of them to the entries that serve the account. An entry holds the granted part as a slice
until it expires. While no home is reachable, it uses its conservative share instead.
"""

from egretstack.limits._account_state import Mode
from egretstack.limits._entry import EntryLimiter, HomeQuery
from egretstack.limits._home import LimitsHome
from egretstack.limits._homes import HomeLocator
from egretstack.limits._messages import (
    Grant,
    GrantRequest,
    GrantStatus,
    LimitsAnswer,
    LimitsAsk,
    make_answer,
    make_query,
)
from egretstack.limits._share import Share, contract_share
from egretstack.limits._timing import (
    MAX_READY_WAIT_S,
    MAX_VIEW_LAG_S,
    PAUSE_THRESHOLD_S,
    QUERY_TIMEOUT_S,
    SLICE_RENEW_S,
    SLICE_TTL_S,
    TICK_INTERVAL_S,
    WARM_UP_S,
)

__all__ = [
    "QUERY_TIMEOUT_S",
    "GrantRequest",
    "TICK_INTERVAL_S",
    "EntryLimiter",
    "PAUSE_THRESHOLD_S",
    "Grant",
    "HomeQuery",
    "LimitsHome",
    "HomeLocator",
    "SLICE_TTL_S",
    "LimitsAnswer",
    "LimitsAsk",
    "Mode",
    "MAX_READY_WAIT_S",
    "SLICE_RENEW_S",
    "Share",
    "GrantStatus",
    "MAX_VIEW_LAG_S",
    "WARM_UP_S",
    "make_answer",
    "make_query",
    "contract_share",
]
