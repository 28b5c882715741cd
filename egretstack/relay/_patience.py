"""Times on the way of a run from one runner to another. Does no I/O.

Each is set against two others: the longest silence of a sound runner, and the patience of the
stream's reader. A time that is shorter than that silence may start a search for another place, but
never ends the last place where the run can go on.
"""

from egretstack.routing import Route

SILENCE_S = 1.2
"""Usual silence of a sound runner; requests on a leaving instance have room for it."""
LONGEST_SILENCE_S = 2.0
"""Longest silence of a sound runner. Only after it is a place of a run given up that has not
answered, and only if there is another place."""

READER_MIN_PATIENCE_S = 2.0
READER_PATIENCE_TARGETS = 4.0
READER_PATIENCE_GAPS = 8.0
"""Readers give up on a stream after the longest of these: two seconds, a multiple of the target
time to the first event, a multiple of the target gap between events."""

UNRESPONSIVE_S = 1.2
"""Time without events after which another place is asked to continue a run, while the connection to
its runner stays open. Readers wait for at least two seconds."""
ASK_AGAIN_S = 0.5
"""Pause before a place is asked again; the run stays where it is meanwhile."""
GO_ON_S = 0.15
"""Time in which a silent runner that answers again goes on with its streams."""
OVERLAP_S = 0.3
"""Time for which a request to continue a run may be unanswered while its previous runner may still
work on it. Two runners may do so for 0.4 s at most; answers take some 0.03 s, 0.1 s at most."""
LATE_ANSWER_S = 1.0
"""Time after which an engine that answers questions counts as not answering a request."""
ANSWER_MARGIN_S = 0.2
"""Time for the answer of a runner that has been silent."""

SWITCH_DELAY_S = 0.7
"""How long a run with a copy stays on a leaving runner, whose notice is some 1.5 to 2 s.

On its new engine the run is copied again, completely. These copies would compete for the links
with runs that have no copy yet and have to move before their runner ends.
"""
HURRY_AFTER_S = 1.2
"""Time since the leave notice after which the last part is not delayed any more: engines end after
some 1.5 s, and a late stream is better than a lost one."""
COPY_TIMEOUT_S = 4.0
"""Timeout of a copy while the run goes on. For a long prompt queued behind other copies it takes
some 0.2 s within a zone and twice that across zones.

A copy that times out still continues, and its memory stays in use for seconds."""
FREE_TIMEOUT_S = 0.3
RENEW_SHARE = 0.6
"""Share of a copy's time to live after which it is renewed."""

CONTINUE_WAIT_SHARE = 0.6
"""Share of the reader's patience, and of a copy's time to live, that a stream waits for a runner
that currently accepts no requests."""
FIRST_EVENT_SHARE = 0.6
"""Share of the reader's remaining patience that a runner gets for its first event if another one
may get the request afterwards. With the shortest patience of 2 s the other one has 0.8 s, and first
events take 0.25 to 0.35 s on engines of usual speed."""
MIN_FIRST_EVENT_S = 0.7
"""Shortest time after which a first event counts as late. After a long wait for a place, little
patience is left; a shorter time would end runs that are on time, and no other would be in time."""


def reader_patience_s(route: Route) -> float:
    """Return the time without events, in seconds, after which a reader gives up on a stream."""
    by_target_s = READER_PATIENCE_TARGETS * route.target_latency_s
    by_gap_s = READER_PATIENCE_GAPS * (route.gap_target_s or 0.0)
    return max(READER_MIN_PATIENCE_S, by_target_s, by_gap_s)


def place_wait_s() -> float:
    """Return how long one place of a stopped run may take to answer before another is asked."""
    return LONGEST_SILENCE_S + ANSWER_MARGIN_S
