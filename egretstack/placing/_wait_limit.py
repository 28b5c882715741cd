"""How long a generation waits for a place before its caller is refused. Does no I/O."""

WAIT_SHARE = 0.6
"""Share of the time until its first token is late, or until its deadline, that a generation waits
for a place; the prefill takes the rest. A route's timeout may be set below its target: a request
that waited until the timeout would get an answer that does not promise that it did not run,
although it never ran."""
LATE_WAIT_SHARE = 0.1
"""Share of its caller's time that a generation waits for a place, late or not. With 39 s left a
late answer is better for the caller than a refusal after one second; with 6 s left the caller is
refused sooner."""
MAX_WAIT_TARGETS = 2.0
"""Longest wait for a place, as a multiple of the target: readers give up a stream that has not
begun after four targets, and the prompt has to be processed too."""


def longest_wait_s(target_s: float, waited_s: float, time_left_s: float) -> float:
    """Return how much longer a request may wait for a place, in seconds.

    `target_s` is the target time from the request to its first token, `waited_s` the time that it
    has already waited, `time_left_s` the time until its deadline.
    """
    in_time_s = WAIT_SHARE * (target_s - waited_s)
    late_s = min(MAX_WAIT_TARGETS * target_s, LATE_WAIT_SHARE * time_left_s) - waited_s
    return max(0.0, min(WAIT_SHARE * time_left_s, max(in_time_s, late_s)))


def is_worth_waiting(lateness_s: float, time_left_s: float | None) -> bool:
    """Return whether an answer that is late by `lateness_s` is worth more than a refusal.

    `time_left_s` is the time until the caller's deadline. If it is not known, the wait is limited
    only by what the request states.
    """
    return time_left_s is None or lateness_s <= LATE_WAIT_SHARE * time_left_s
