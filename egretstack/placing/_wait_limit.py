"""How long a generation waits for room before its caller is refused; pure."""

WAIT_SHARE = 0.6
"""Part of the time until its first token is late, or its time is up, that a generation waits for
room; reading its prompt takes the rest. A route's timeout may be set below its target: what waited
until then would get an answer that promises nothing, though it never ran."""
LATE_WAIT_SHARE = 0.1
"""Part of its caller's time that a generation waits for room, late or not: a caller that has 39 s
is better off with a late answer than with a refusal after one. One that has 6 s is told sooner."""
MOST_WAIT_TARGETS = 2.0
"""Longest wait for room, as a multiple of the target: readers give a stream up that has not begun
after four, and its prompt has to be read too."""


def longest_wait_s(target_s: float, waited_s: float, time_left_s: float) -> float:
    """Give how much longer a caller may be kept waiting for room.

    `target_s` is the time from its request to a first token that is in time, `waited_s` what it
    has waited already, `time_left_s` the time until its deadline.
    """
    in_time_s = WAIT_SHARE * (target_s - waited_s)
    late_s = min(MOST_WAIT_TARGETS * target_s, LATE_WAIT_SHARE * time_left_s) - waited_s
    return max(0.0, min(WAIT_SHARE * time_left_s, max(in_time_s, late_s)))
