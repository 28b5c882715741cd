"""The closed catalogue of log events; `docs/events.md` is generated from it."""

from enum import Enum

from egretstack.events._level import Level

_PAGE_HEAD = """# Log events

Made from the catalogue by `egretctl reference events`; do not edit by hand. The number of an event
never changes and is never used again.

| number | name | level | meaning and what to do |
| --- | --- | --- | --- |
"""


class Event(Enum):
    """A kind of log line: its number, level, and meaning for the operator."""

    STARTED = (100, Level.INFO, "All services of the process have started.")
    DRAIN_BEGUN = (101, Level.INFO, "A graceful shutdown has begun; no request in progress is cut.")
    STOPPED = (102, Level.INFO, "The process has no request in progress and exits.")
    SERVICE_FAILED = (103, Level.ERROR, "A service stopped with an error; the process exits.")
    ERROR_CONFINED = (
        104,
        Level.ERROR,
        "A connection, datagram, row, exchange or pass of a loop (`work`) met a bug and was given "
        "up; all else goes on. Report it with this line.",
    )
    REQUEST_REFUSED = (200, Level.INFO, "A request was answered with an error.")
    REQUEST_BUG = (201, Level.ERROR, "A request hit a bug; report it with this line.")
    SESSION_STARTED = (210, Level.DEBUG, "An engine accepted a session's generation.")
    SESSION_FINISHED = (211, Level.DEBUG, "A session's last token was delivered.")
    SESSION_RERUN = (212, Level.WARNING, "An engine failed before delivery; the session is rerun.")
    SESSION_RESUMED = (213, Level.INFO, "A session continues over a new connection.")
    SESSION_LOST = (214, Level.ERROR, "A generation was lost in part; the caller was notified.")
    SESSION_ABANDONED = (215, Level.INFO, "The caller disconnected and did not return; cancelled.")
    SESSION_RELEASED = (216, Level.INFO, "Another entry took the session over; released here.")
    SESSION_HOLDER_UNTOLD = (
        217,
        Level.WARNING,
        "An entry that may serve a session taken over here did not answer; if it is alive it "
        "cancels the generation at the end of its resume window.",
    )
    SESSION_SILENT = (
        218,
        Level.WARNING,
        "A stream stopped sending; the engine was queried over a new connection, with the "
        "outcome in `answer`.",
    )
    CALL_UNKNOWN = (220, Level.ERROR, "A call that may not be repeated has no known outcome.")
    INTENT_ABANDONED = (
        221,
        Level.WARNING,
        "The store did not confirm an intent in time; the call was refused and is never sent.",
    )
    INTENT_TOO_OLD = (
        222,
        Level.WARNING,
        "This process was paused after it wrote an intent; the call was not sent.",
    )
    CALL_TAKEN_OVER = (
        223,
        Level.WARNING,
        "A repeat took a key over from an attempt that was abandoned or is fenced off.",
    )
    CALL_LOOKED_UP = (224, Level.INFO, "A service was asked whether a call ran.")
    LEDGER_PRUNED = (225, Level.INFO, "Old segments of the ledger were deleted.")
    LIMITS_HOME_AWAY = (
        230,
        Level.WARNING,
        "The limits home of some accounts does not answer; this instance uses a share of them.",
    )
    LIMITS_HOME_THAWED = (
        231,
        Level.WARNING,
        "This process was paused; it dropped the limits it had granted and waits before it grants.",
    )
    CONFIG_APPLIED = (300, Level.INFO, "A configuration revision is in force on this instance.")
    CONFIG_REFUSED_OLDER = (
        301,
        Level.ERROR,
        "The store has an older configuration than is in force; was it restored from a backup?",
    )
    CONFIG_FORKED = (
        303,
        Level.ERROR,
        "Another history of changes was received; the one in force is kept. Compare both stores.",
    )
    CONFIG_BAD = (302, Level.ERROR, "A part of the configuration is invalid.")
    PLATFORM_AWAY = (310, Level.WARNING, "The platform's object API does not answer.")
    PLATFORM_BACK = (311, Level.INFO, "The platform's object API answers again.")
    PLATFORM_BREAKER_OPEN = (312, Level.WARNING, "Calls to the platform fail immediately for now.")
    PLATFORM_BREAKER_CLOSED = (
        313,
        Level.INFO,
        "The platform answered a probe; calls are sent again.",
    )
    PLATFORM_WATCH_SILENT = (314, Level.WARNING, "A watch sent no bookmark; it is reopened.")
    PEER_REFUSED = (320, Level.WARNING, "A peer connection was refused; check keys and version.")
    INSTANCE_LIVE = (321, Level.INFO, "An instance accepts requests.")
    INSTANCE_LEAVING = (322, Level.INFO, "An instance is leaving; callers are sent elsewhere.")
    INSTANCE_SUSPECT = (
        323,
        Level.WARNING,
        "An instance does not answer heartbeats; it is still used for some seconds.",
    )
    INSTANCE_GONE = (
        324,
        Level.WARNING,
        "An instance stopped, or did not answer after it was suspected; no caller is sent there.",
    )
    INSTANCE_ID_TWICE = (
        325,
        Level.ERROR,
        "Another process uses this instance's id; stop one of them, or change its id.",
    )
    RUNNER_JOINED = (330, Level.INFO, "A runner is known and gets requests.")
    RUNNER_LEFT = (331, Level.INFO, "A runner gets no new requests.")
    RUNNER_SILENT = (
        332,
        Level.WARNING,
        "A runner's load report cannot be read; it gets no new requests from this instance.",
    )
    RUNNER_NOTICED = (
        333,
        Level.INFO,
        "A runner announced that it leaves or returns, or was ordered to.",
    )
    DUTY_TAKEN = (350, Level.INFO, "This steward acquired a duty.")
    DUTY_LOST = (351, Level.WARNING, "This steward's lease on a duty ended; it gives no orders.")
    DUTY_UNREADABLE = (352, Level.ERROR, "The object of a lease is invalid; delete it.")
    ORDER_SENT = (353, Level.INFO, "An engine was ordered to serve the configured models.")
    ORDER_REFUSED = (354, Level.WARNING, "An engine has seen a newer holder; this one stops.")
    ORDER_FAILED = (355, Level.WARNING, "An engine could not be queried or sent an order.")
    DUTY_ROUND_FAILED = (
        356,
        Level.WARNING,
        "A round of a fleet duty was not finished; the next period starts another.",
    )
    RELAY_STARTED = (400, Level.INFO, "The settings were read; the services are starting.")
    SETTINGS_READ_AGAIN = (
        401,
        Level.INFO,
        "The settings file was reread; `changed` says if it differs.",
    )
    SETTINGS_BAD = (402, Level.ERROR, "The changed settings file is invalid; the old one applies.")
    CONFIG_IN_FORCE = (410, Level.INFO, "A configuration from `source` is now in force.")
    CONFIG_NOT_FETCHED = (411, Level.WARNING, "A peer did not send its newer configuration.")
    STORE_AWAY = (412, Level.WARNING, "The store does not answer; cached data stays in use.")
    STORE_BACK = (413, Level.INFO, "The store answers again.")
    RUNNER_LEAVES = (414, Level.INFO, "A runner is leaving or missing; it gets no new requests.")
    RUNNER_UNREADABLE = (415, Level.WARNING, "An invalid runner entry in the store is ignored.")
    ZONE_EVACUATED = (
        450,
        Level.WARNING,
        "An operator evacuated a zone; its runners get no requests.",
    )
    ZONE_BACK = (451, Level.INFO, "An evacuation was revoked; the zone's runners get requests.")
    EVACUATION_UNREADABLE = (452, Level.WARNING, "An evacuation entry in the store is invalid.")
    RUN_BROKEN = (
        453,
        Level.WARNING,
        "A run broke off. `ended`: whether its runner ended as well; `parts`: what its prompt may "
        "share with others; `wrote_ms`: the time since its stream's first event.",
    )
    RUNNER_PROBED = (
        484,
        Level.INFO,
        "The health of a runner whose runs broke off was requested; `result` says what it showed.",
    )
    CONTENT_REFUSED = (
        454,
        Level.WARNING,
        "Runners ended while running a request; it is not sent to any runner now.",
    )
    CONTENT_CLEARED = (
        455,
        Level.INFO,
        "A request that was withheld from runners may be sent to them again.",
    )
    CRASH_RECORD_UNREADABLE = (456, Level.WARNING, "A record in the store cannot be read; ignored.")
    RUNNER_LIMITED = (457, Level.WARNING, "A runner accepts at most `per_s` requests per second.")
    RUNNER_UNLIMITED = (458, Level.INFO, "A runner no longer reports a limit.")
    RUNNER_WORD = (
        459,
        Level.INFO,
        "An answer's headers say that its runner leaves, or asks for a backoff of some time.",
    )
    INSTANCE_UNREADABLE = (
        439,
        Level.WARNING,
        "Invalid instance entries in the store are ignored.",
    )
    RUNNER_STARTED_AGAIN = (
        440,
        Level.INFO,
        "A runner reported a later start; older state is dropped.",
    )
    RUNNER_BACK = (441, Level.INFO, "A runner's missing entry is back, and the runner answers.")
    ENGINE_REJECTED = (
        443,
        Level.WARNING,
        "An engine rejected a generation; it is placed elsewhere.",
    )
    RUNNERS_SUSPECTED = (
        444,
        Level.WARNING,
        "Too many requests to these runners break off; an empty list if there are none now.",
    )
    RUNNER_NOT_BACK = (
        442,
        Level.INFO,
        "A runner's entry is back, but the runner does not confirm it.",
    )
    PLACING_VIEW_FAILED = (
        486,
        Level.WARNING,
        "The page `/placing` could not be made; requests are not affected.",
    )
    INSTANCE_REGISTERED = (416, Level.INFO, "This instance's address is in the store.")
    HOME_CHANGED = (417, Level.INFO, "In this instance's view another instance is the home now.")
    DATAGRAM_UNSENT = (418, Level.WARNING, "A datagram could not be sent or received.")
    DATAGRAM_TOO_LARGE = (419, Level.ERROR, "A message does not fit a datagram; not sent.")
    HOME_SILENT = (
        420,
        Level.WARNING,
        "The home did not answer; placed by this instance's own view.",
    )
    PLACED = (421, Level.INFO, "A generation was placed, maybe with a runner for a backup.")
    PLACED_BY_FORECAST = (
        470,
        Level.DEBUG,
        "Engines differ in speed; where this one was placed, all targets are likely to be kept.",
    )
    PLACED_BEYOND_TARGET = (
        471,
        Level.INFO,
        "No engine with room was likely to keep all targets; this was the best. If it is frequent, "
        "the fast engines are full.",
    )
    PLACE_REFUSED = (422, Level.INFO, "No engine can start a generation in time.")
    SEND_ENDED = (423, Level.INFO, "Sending a request to a runner ended with `result`.")
    CONNECT_FAILED = (424, Level.WARNING, "A runner did not accept a connection; nothing was sent.")
    UPSTREAM_BROKEN = (425, Level.WARNING, "A runner's connection broke during a request.")
    ANSWER_SPOILT = (426, Level.WARNING, "An answer may not be the runner's own; discarded.")
    REQUEST_ANSWERED = (427, Level.INFO, "A runner's answer was sent to the client.")
    REQUEST_FAILED = (428, Level.INFO, "A request was answered with an error of this system.")
    CLIENT_LEFT = (429, Level.INFO, "A client disconnected while its request was in progress.")
    STREAM_ENDED = (430, Level.INFO, "A stream was forwarded to its regular end.")
    STREAM_HALTED = (431, Level.INFO, "A stream's runner leaves, broke off or does not respond.")
    STREAM_CONTINUED = (432, Level.INFO, "A stream continues at another runner from its copy.")
    STREAM_NOT_CONTINUED = (433, Level.WARNING, "A stream could not continue at another runner.")
    STREAM_LOST = (434, Level.ERROR, "A stream broke off, and the client was notified.")
    RUN_KEPT = (506, Level.INFO, "A run stays where it is: its runners may still be at work on it.")
    RUNNER_ASKED = (
        507,
        Level.INFO,
        "A silent runner was asked whether it answers, before a run leaves it.",
    )
    STREAM_OUT_OF_TIME = (435, Level.WARNING, "A stream was aborted at its deadline.")
    STREAM_RETURNED = (
        460,
        Level.INFO,
        "A client returned for the rest of a resumable stream, after its event `after`.",
    )
    STREAM_SENT_AGAIN = (
        461,
        Level.INFO,
        "A resumable stream without an event was given up at its runner; another one gets it.",
    )
    STREAM_RESUMED = (
        462,
        Level.INFO,
        "A new run at another runner continues a resumable stream after its event `after`.",
    )
    STREAM_NOT_RESUMED = (
        463,
        Level.WARNING,
        "No other runner continued a resumable stream within its time and limits.",
    )
    RUNNERS_SILENT = (
        437,
        Level.WARNING,
        "These runners do not answer the home; they get no new requests.",
    )
    REPORT_UNREADABLE = (438, Level.WARNING, "An engine sent no readable load report.")
    NEWS_GAP = (445, Level.INFO, "Updates from the home were lost; they are requested again.")
    HOME_ROWS_TAKEN_OVER = (
        497,
        Level.INFO,
        "This instance, the home since a moment, lacked what an earlier home had learned, such as "
        "the speeds of engines; another instance sent it.",
    )
    RUNNER_INTRODUCED = (
        446,
        Level.INFO,
        "The home chose a runner that was unknown here; it was added.",
    )
    ENGINE_SPEED_LEARNED = (
        465,
        Level.INFO,
        "An engine's measured speed differs from the typical engine's; percent of its times.",
    )
    ENGINE_SPEED_CHANGED = (466, Level.INFO, "The known speed of an engine has changed.")
    ENGINE_SPEED_TYPICAL = (467, Level.INFO, "An engine is as fast as the typical one again.")
    ENGINE_TIMINGS_INVALID = (468, Level.WARNING, "Some timings of a peer are invalid; ignored.")
    ENGINE_SPEEDS_INVALID = (469, Level.WARNING, "Some speeds from the home are invalid; ignored.")
    SHARE_EXCEEDED = (
        473,
        Level.INFO,
        "A client account exceeds its share in `what`: its requests go last, or are refused.",
    )
    SHARE_KEPT = (474, Level.INFO, "A client account above its share is within it again.")
    SHARES_REBUILT = (
        475,
        Level.INFO,
        "This instance places for the fleet; it takes the accounts' shares from the runs.",
    )
    HEADROOM_BEGUN = (
        476,
        Level.INFO,
        "Memory and slots are left free for the more urgent requests of a service.",
    )
    HEADROOM_ENDED = (477, Level.INFO, "No memory is left free for urgent requests any more.")
    REFUSED_EARLY = (
        478,
        Level.INFO,
        "The home refused a generation before its longest wait; `reason` and the inputs say why.",
    )
    RETURN_GIVEN = (479, Level.INFO, "A refused caller was given a time at which it may return.")
    RETURN_KEPT = (480, Level.INFO, "A caller returned at the time that it was given.")
    RETURN_EARLY = (481, Level.INFO, "A caller returned before its time; it was told the rest.")
    RETURN_MISSED = (482, Level.INFO, "A caller did not return at the time that it was given.")
    REFUSED_ALONE = (
        483,
        Level.INFO,
        "Without an answer of the home this instance saw no place in time for a generation.",
    )
    STREAMS_LIMITED = (
        487,
        Level.WARNING,
        "Most streams of a service were late on slow engines; `limit` may be in progress here.",
    )
    STREAMS_UNLIMITED = (488, Level.INFO, "The streams of a service are no longer limited here.")
    RUNNERS_UNREACHED = (
        489,
        Level.WARNING,
        "No runner that was tried accepts a connection of this instance.",
    )
    RUNNERS_REACHED = (490, Level.INFO, "This instance can connect to runners again.")
    TUNNEL_REFUSED = (
        491,
        Level.WARNING,
        "Another instance opened no connection to a runner for this one; `reason` says why.",
    )
    TUNNEL_ENDED = (492, Level.INFO, "A connection to a runner for another instance has ended.")
    STORE_RETURNED = (493, Level.WARNING, "The store says that it came back from an older copy.")
    READING_IGNORED = (
        494,
        Level.INFO,
        "A reading of the runners is older than what is known; logged for the first of a row.",
    )
    RUNNER_BRITTLE = (
        495,
        Level.WARNING,
        "A runner falls over if it has to reject more than `per_s` requests a second.",
    )
    PART_REFUSED = (
        501,
        Level.WARNING,
        "Runners ended as they began to answer on a part of prompts; requests with it, and with "
        "all of `tied_with`, are not sent to any runner now.",
    )
    PART_CLEARED = (
        498,
        Level.INFO,
        "Requests with a part of prompts that were withheld from runners may be sent again.",
    )
    PART_TRIED = (
        485,
        Level.INFO,
        "One request with a part of prompts that is withheld is let through, to make sure.",
    )
    PART_RECORD_UNREADABLE = (499, Level.WARNING, "A part's record in the store is invalid.")
    MESSAGE_UNENCODABLE = (
        502,
        Level.ERROR,
        "A message to another instance holds what cannot be encoded; it was not sent.",
    )
    HOME_ROW_UNSENDABLE = (
        503,
        Level.ERROR,
        "The home cannot send a row, which the others could not read; the other rows are sent.",
    )
    HOME_ROWS_INVALID = (
        504,
        Level.WARNING,
        "Rows of the home cannot be read here and are left out; the other rows are used.",
    )
    STOP_CUTS_STREAMS = (
        505,
        Level.WARNING,
        "The grace period is over; the streams that are still in progress here break off.",
    )
    RUNNER_NOT_BRITTLE = (496, Level.INFO, "A runner no longer says that it is brittle.")
    MOVE_ENDED = (436, Level.INFO, "Copying a run's memory to another runner succeeded or failed.")

    def __init__(self, number: int, level: Level, meaning: str) -> None:
        self.number = number
        self.level = level
        self.meaning = meaning


def catalogue_page() -> str:
    """Return the text of `docs/events.md`."""
    rows = [
        f"| {event.number} | {event.name.lower()} | {event.level.value} | {event.meaning} |"
        for event in sorted(Event, key=lambda event: event.number)
    ]
    return _PAGE_HEAD + "\n".join(rows) + "\n"
