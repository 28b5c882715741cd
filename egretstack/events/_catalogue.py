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
    RELAY_STARTED = (400, Level.INFO, "The process has read its settings and starts its services.")
    SETTINGS_READ_AGAIN = (401, Level.INFO, "The settings file was read again; `changed` says if.")
    SETTINGS_BAD = (402, Level.ERROR, "The changed settings file is wrong; the former holds on.")
    CONFIG_IN_FORCE = (410, Level.INFO, "A configuration is in force here, from `source`.")
    CONFIG_NOT_FETCHED = (411, Level.WARNING, "A peer did not give its newer configuration.")
    STORE_AWAY = (412, Level.WARNING, "The store does not answer; what is known stays in use.")
    STORE_BACK = (413, Level.INFO, "The store answers again.")
    RUNNER_LEAVES = (414, Level.INFO, "A runner gets no new work: it leaves or is gone.")
    RUNNER_UNREADABLE = (415, Level.WARNING, "An entry in the store names no runner; not used.")
    ZONE_EVACUATED = (450, Level.WARNING, "An operator evacuated a zone: its runners get nothing.")
    ZONE_BACK = (451, Level.INFO, "An evacuation was taken back: the zone's runners get work.")
    EVACUATION_UNREADABLE = (452, Level.WARNING, "An entry in the store evacuates no zone.")
    RUN_BROKEN = (453, Level.WARNING, "A run ended before its end; `ended` if its runner did too.")
    CONTENT_REFUSED = (454, Level.WARNING, "Runners ended under a request: no runner gets it now.")
    CONTENT_CLEARED = (
        455,
        Level.INFO,
        "A request that no runner got may be sent to runners again.",
    )
    CRASH_RECORD_UNREADABLE = (456, Level.WARNING, "A record in the store cannot be read; unused.")
    RUNNER_LIMITED = (457, Level.WARNING, "A runner takes no more than `per_s` requests a second.")
    RUNNER_UNLIMITED = (458, Level.INFO, "A runner names no limit any more.")
    RUNNER_WORD = (
        459,
        Level.INFO,
        "A runner said beside an answer that it leaves, or how long it wants to rest.",
    )
    INSTANCE_UNREADABLE = (439, Level.WARNING, "Entries in the store name no instance; not used.")
    RUNNER_STARTED_AGAIN = (440, Level.INFO, "A runner told of a later start; all before is void.")
    RUNNER_BACK = (441, Level.INFO, "A runner's entry was missing; it is back, and it answers.")
    ENGINE_REJECTED = (443, Level.WARNING, "An engine did not run a generation; it goes elsewhere.")
    RUNNERS_SUSPECTED = (444, Level.WARNING, "These runners break what the fleet sends them.")
    RUNNER_NOT_BACK = (442, Level.INFO, "A runner's entry is back, but it does not answer for it.")
    INSTANCE_REGISTERED = (416, Level.INFO, "This instance's address stands in the store.")
    HOME_CHANGED = (417, Level.INFO, "Another instance is home now, as this one sees it.")
    DATAGRAM_UNSENT = (418, Level.WARNING, "A datagram could not be sent or received.")
    DATAGRAM_TOO_LARGE = (419, Level.ERROR, "A message does not fit a datagram; not sent.")
    HOME_SILENT = (420, Level.WARNING, "The home did not answer; placed by this instance's view.")
    PLACED = (421, Level.INFO, "A generation has a runner, and perhaps one for a backup copy.")
    PLACE_REFUSED = (422, Level.INFO, "No engine can start a generation in time.")
    SEND_ENDED = (423, Level.INFO, "A send of a request to a runner ended; `result` says how.")
    CONNECT_FAILED = (424, Level.WARNING, "A runner did not accept a connection; nothing left.")
    UPSTREAM_BROKEN = (425, Level.WARNING, "A runner's connection ended within a request.")
    ANSWER_SPOILT = (426, Level.WARNING, "An answer is not surely the runner's own; not used.")
    REQUEST_ANSWERED = (427, Level.INFO, "A runner's answer went to the client.")
    REQUEST_FAILED = (428, Level.INFO, "A request got an answer of this system's own.")
    CLIENT_LEFT = (429, Level.INFO, "A client closed while its request was in progress.")
    STREAM_ENDED = (430, Level.INFO, "A stream was passed on to its proper end.")
    STREAM_HALTED = (431, Level.INFO, "A stream's runner leaves, broke off or is silent.")
    STREAM_CONTINUED = (432, Level.INFO, "A stream goes on at another runner from its copy.")
    STREAM_NOT_CONTINUED = (433, Level.WARNING, "A stream could not go on at another runner.")
    STREAM_LOST = (434, Level.ERROR, "A stream ended before its end, and the client was told.")
    STREAM_OUT_OF_TIME = (435, Level.WARNING, "A stream was broken off at its deadline.")
    RUNNERS_SILENT = (437, Level.WARNING, "These runners do not answer the home; no new work.")
    REPORT_UNREADABLE = (438, Level.WARNING, "An engine gave no report that can be read.")
    NEWS_GAP = (445, Level.INFO, "News of the home were lost; they are asked for again.")
    RUNNER_INTRODUCED = (446, Level.INFO, "The home placed here with a runner not known here yet.")
    MOVE_ENDED = (436, Level.INFO, "A run's memory was copied to another runner, or was not.")

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
