"""How long slices live, when they are renewed, and how long a new home waits; in seconds."""

SLICE_TTL_S = 4.0
"""Life of a slice that admits requests, counted by the entry from when it sent its ask."""

SLICE_RENEW_S = 2.5
"""Age at which an entry asks again; one lost ask can be repeated within the life."""

HOLD_TTL_S = 15.0
"""Life of a slice that only counts requests already open; it admits nothing new."""

HOLD_RENEW_S = 9.0
"""Age at which a slice that only counts is renewed."""

MAX_VIEW_LAG_S = 2.0
"""How much later than a new home an old one may learn that it is not the home any more."""

WARM_UP_S = SLICE_TTL_S + MAX_VIEW_LAG_S
"""How long a new home grants nothing of its own."""

PAUSE_THRESHOLD_S = 1.5
"""Silence of a home's own beat after which it takes itself for a new home."""

TICK_INTERVAL_S = 0.25
"""Period of the loop that beats the home side and sends the asks that are due."""

QUERY_TIMEOUT_S = 1.0
"""Time allowed for one ask."""

MIN_QUERY_INTERVAL_S = 0.5
"""Least time between asks for an account whose home gave less than was wanted."""

QUERY_BACKOFF_S = (0.5, 1.0, 2.0, 4.0)
"""Times between asks to a home that does not answer, by the number of failures."""

IDLE_TIMEOUT_S = 30.0
"""Time without demand after which an entry forgets an account."""

MAX_READY_WAIT_S = 0.3
"""Longest time a request waits for the answer of its account's home."""

DIRECT_TOKEN_TTL_S = 0.25
"""Time from an ask within which tokens for waiting requests are spent or lost."""
