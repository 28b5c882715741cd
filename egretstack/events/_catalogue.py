"""The closed catalogue of log events; `docs/events.md` is made from it."""

from enum import Enum

from egretstack.events._level import Level

_PAGE_HEAD = """# Log events

Made from the catalogue by `egretctl reference events`; do not edit by hand. The number of an event
never changes and is never used again.

| number | name | level | meaning and what to do |
| --- | --- | --- | --- |
"""


class Event(Enum):
    """One kind of log line: number, level, and what it means to an operator."""

    STARTED = (100, Level.INFO, "Every service of the process is up.")
    DRAIN_BEGUN = (101, Level.INFO, "A graceful shutdown has begun; nothing in progress is cut.")
    STOPPED = (102, Level.INFO, "The process has nothing in progress left and ends.")
    SERVICE_FAILED = (103, Level.ERROR, "A service stopped with an error; the process ends.")
    REQUEST_REFUSED = (200, Level.INFO, "A request got a final answer other than the one asked.")
    REQUEST_BUG = (201, Level.ERROR, "A request met a bug; report it with this line.")
    SESSION_STARTED = (210, Level.DEBUG, "An engine accepted a session's generation.")
    SESSION_FINISHED = (211, Level.DEBUG, "A session's last token was delivered.")
    SESSION_RERUN = (212, Level.WARNING, "An engine was lost before delivery; run again.")
    SESSION_RESUMED = (213, Level.INFO, "A session goes on over a new connection.")
    SESSION_LOST = (214, Level.ERROR, "A generation was lost in part; the caller was told.")
    SESSION_ABANDONED = (215, Level.INFO, "The caller left and did not come back; cancelled.")
    SESSION_RELEASED = (216, Level.INFO, "Another entry took the session over; let go here.")
    SESSION_HOLDER_UNTOLD = (
        217,
        Level.WARNING,
        "An entry that may serve a session taken over here did not answer; if it is alive it "
        "cancels the generation at the end of its resume window.",
    )
    SESSION_SILENT = (
        218,
        Level.WARNING,
        "A stream went silent; the engine was asked over a new connection, and `answer` is what "
        "came of it.",
    )
    CALL_UNKNOWN = (220, Level.ERROR, "A call that may not be repeated has no known outcome.")
    INTENT_ABANDONED = (
        221,
        Level.WARNING,
        "The store gave no answer to an intent in time; the call was refused and is never sent.",
    )
    INTENT_TOO_OLD = (
        222,
        Level.WARNING,
        "This process stood still after it wrote an intent; the call was not sent.",
    )
    CALL_TAKEN_OVER = (
        223,
        Level.WARNING,
        "A repeat took a key over from an attempt that was given up, or that is fenced off.",
    )
    CALL_LOOKED_UP = (224, Level.INFO, "A service was asked whether a call ran.")
    LEDGER_PRUNED = (225, Level.INFO, "Old segments of the ledger were dropped.")
    LIMITS_HOME_AWAY = (
        230,
        Level.WARNING,
        "The instance that lends the limits of some accounts does not answer; a share is used.",
    )
    LIMITS_HOME_THAWED = (
        231,
        Level.WARNING,
        "This process stood still; it forgot the limits it had lent and waits before lending.",
    )
    CONFIG_APPLIED = (300, Level.INFO, "A configuration revision is in force on this instance.")
    CONFIG_REFUSED_OLDER = (
        301,
        Level.ERROR,
        "The store offered an older configuration than is in force: restored from a copy?",
    )
    CONFIG_FORKED = (
        303,
        Level.ERROR,
        "Another history of changes is offered; the one in force is kept. Compare both stores.",
    )
    CONFIG_BAD = (302, Level.ERROR, "A part of the configuration does not pass its checks.")
    PLATFORM_AWAY = (310, Level.WARNING, "The platform's object API does not answer.")
    PLATFORM_BACK = (311, Level.INFO, "The platform's object API answers again.")
    PLATFORM_BREAKER_OPEN = (312, Level.WARNING, "Calls to the platform fail at once for now.")
    PLATFORM_BREAKER_CLOSED = (313, Level.INFO, "The platform answered a probe; calls go out.")
    PLATFORM_WATCH_SILENT = (314, Level.WARNING, "A watch sent no bookmark; it is opened anew.")
    PEER_REFUSED = (320, Level.WARNING, "A peer connection was refused; check keys and version.")
    INSTANCE_LIVE = (321, Level.INFO, "An instance takes work.")
    INSTANCE_LEAVING = (322, Level.INFO, "An instance leaves; callers are sent elsewhere.")
    INSTANCE_SUSPECT = (
        323,
        Level.WARNING,
        "An instance does not answer heartbeats; it is used for some seconds more.",
    )
    INSTANCE_GONE = (
        324,
        Level.WARNING,
        "An instance stopped, or did not answer a suspicion; no caller is sent there.",
    )
    INSTANCE_ID_TWICE = (
        325,
        Level.ERROR,
        "Another process goes by this instance's id; end one of them, or give it another id.",
    )
    RUNNER_JOINED = (330, Level.INFO, "A runner is known and gets work.")
    RUNNER_LEFT = (331, Level.INFO, "A runner gets no new work.")
    RUNNER_SILENT = (
        332,
        Level.WARNING,
        "A runner's load report cannot be read; it gets no new work from this instance.",
    )
    RUNNER_NOTICED = (333, Level.INFO, "A runner said, or was ordered, to leave or to return.")
    DUTY_TAKEN = (350, Level.INFO, "This steward holds a duty now.")
    DUTY_LOST = (351, Level.WARNING, "This steward's lease on a duty ended; it gives no orders.")
    DUTY_UNREADABLE = (352, Level.ERROR, "The object of a lease cannot be read; delete it.")
    ORDER_SENT = (353, Level.INFO, "An engine was ordered to serve the models described.")
    ORDER_REFUSED = (354, Level.WARNING, "An engine knows a newer holder; this one stops.")
    ORDER_FAILED = (355, Level.WARNING, "An engine could not be read or given an order.")
    DUTY_ROUND_FAILED = (
        356,
        Level.WARNING,
        "A round of a fleet duty was not finished; the next period makes another.",
    )

    def __init__(self, number: int, level: Level, meaning: str) -> None:
        self.number = number
        self.level = level
        self.meaning = meaning


def catalogue_page() -> str:
    """Give the text of `docs/events.md`."""
    rows = [
        f"| {event.number} | {event.name.lower()} | {event.level.value} | {event.meaning} |"
        for event in sorted(Event, key=lambda one: one.number)
    ]
    return _PAGE_HEAD + "\n".join(rows) + "\n"
