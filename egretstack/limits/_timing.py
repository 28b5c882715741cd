"""Time to live of slices, when they are renewed, and how long a new home waits; in seconds."""

SLICE_TTL_S = 4.0
"""Time to live of a slice that admits requests; the entry counts it from sending its query."""

SLICE_RENEW_S = 2.5
"""Age at which an entry renews a slice; a lost query can be repeated before it expires."""

HOLD_TTL_S = 15.0
"""Time to live of a hold: a slice that only counts open requests and admits nothing new."""

HOLD_RENEW_S = 9.0
"""Age at which a hold is renewed."""

MAX_VIEW_LAG_S = 2.0
"""How much later than the new home the old one may learn that it is no longer the home."""

WARM_UP_S = SLICE_TTL_S + MAX_VIEW_LAG_S
"""How long a new home grants nothing: until all slices of the old home have expired."""

PAUSE_THRESHOLD_S = 1.5
"""Time without a tick of its own after which a home treats itself as new."""

TICK_INTERVAL_S = 0.25
"""Period of the loop that ticks the home and sends the queries that are due."""

QUERY_TIMEOUT_S = 1.0
"""Timeout of one query."""

MIN_QUERY_INTERVAL_S = 0.5
"""Minimum time between queries for an account whose home granted less than was wanted."""

QUERY_BACKOFF_S = (0.5, 1.0, 2.0, 4.0)
"""Times between queries to a home that does not answer, by the number of failures."""

IDLE_TIMEOUT_S = 30.0
"""Time without demand after which an entry drops an account's state."""

MAX_READY_WAIT_S = 0.3
"""Maximum time that a request waits for the answer of its account's home."""

DIRECT_TOKEN_TTL_S = 0.25
"""Time from a query within which tokens for waiting requests are spent or lost."""
