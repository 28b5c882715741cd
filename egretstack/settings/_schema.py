"""The schema of all settings: sections, keys, allowed values and defaults."""

from enum import Enum

from egretstack.events import Level, LogFormat
from egretstack.schema import (
    Address,
    Choice,
    Key,
    Name,
    Number,
    Path,
    Schema,
    Url,
    reference_rows,
)
from egretstack.settings._operator import OPERATOR_FILE_VARIABLE, OPERATOR_KEYS


class Program(Enum):
    """A program that reads settings."""

    ENTRY = "egret-entry"
    STEWARD = "egret-steward"


_SECONDS = "seconds"

_SHARED: tuple[Key, ...] = (
    Key("instance", "id", Name(), "Name of this instance; unique in the fleet."),
    Key("instance", "zone", Name(), "Availability zone of this instance."),
    Key("instance", "operator_address", Address(), "Where metrics and status are served."),
    Key("instance", "peer_address", Address(), "Where other instances connect."),
    Key(
        "sessions",
        "key_file",
        Path(),
        "File of session keys, one a line; the first signs, all are accepted.",
    ),
    Key("platform", "object_api", Url(), "Base URL of the platform's object API."),
    Key("platform", "namespace", Name(), "Namespace of the system's objects.", "egretstack"),
    Key(
        "platform",
        "timeout_s",
        Number(0.05, 60, _SECONDS),
        "Time allowed for one call to the platform.",
        "2",
    ),
    Key(
        "platform",
        "list_period_s",
        Number(0.1, 60, _SECONDS),
        "How often the instance list is read.",
        "1",
    ),
    Key(
        "engines",
        "silence_s",
        Number(0.5, 600, _SECONDS),
        "Silence on an engine's stream after which the engine is asked over a new connection.",
        "5",
    ),
    Key("logs", "form", Choice(LogFormat), "Form of log lines.", "json"),
    Key("logs", "level", Choice(Level), "Least level that is written.", "INFO"),
)

_ENTRY: tuple[Key, ...] = (
    Key("caller", "address", Address(), "Where callers connect."),
    Key(
        "caller",
        "max_body_bytes",
        Number(1024, 16_777_216, "bytes", integer=True),
        "Largest request body.",
        "1048576",
    ),
    Key(
        "caller",
        "heartbeat_s",
        Number(0.5, 60, _SECONDS),
        "Silence after which a stream carries a comment line.",
        "5",
    ),
    Key(
        "caller",
        "send_timeout_s",
        Number(1, 3600, _SECONDS),
        "How long a caller may leave what was sent unread before its connection is closed.",
        "30",
    ),
    Key(
        "caller",
        "answer_life_s",
        Number(1, 3600, _SECONDS),
        "How long callers keep the answer of which entries to use.",
        "30",
    ),
    Key(
        "sessions",
        "resume_window_s",
        Number(0, 3600, _SECONDS),
        "How long a generation goes on after its caller's connection broke.",
        "30",
    ),
    Key(
        "engines",
        "report_period_s",
        Number(0.1, 60, _SECONDS),
        "Least time between two readings of one runner's load report.",
        "0.5",
    ),
    Key(
        "engines",
        "report_readings_per_s",
        Number(0.1, 100, "readings per second"),
        "Load reports that this process reads in all; with more runners each is read less often.",
        "2",
    ),
)

_SCHEMAS = {
    Program.ENTRY: Schema(_SHARED + _ENTRY),
    Program.STEWARD: Schema(_SHARED),
}

_PAGE_HEAD = """# Settings

Made from the schema by `egretctl reference settings`; do not edit by hand.
`egretctl check-settings FILE` checks a file.
"""

_OPERATOR_HEAD = f"""
## The operator's file of egret-platform-entry

Optional: an INI file whose path is in the environment variable `{OPERATOR_FILE_VARIABLE}`.
It is read once, at the start; a fault in it ends the process with exit code 2.
`egretctl check-operator-settings FILE` checks a file.
"""

_TABLE_HEAD = """
| section | key | allowed | default | meaning |
| --- | --- | --- | --- | --- |
"""


def schema_for(program: Program) -> Schema:
    """Return the schema of one program's settings."""
    return _SCHEMAS[program]


def settings_page() -> str:
    """Return the text of `docs/settings.md`."""
    parts = [_PAGE_HEAD]
    parts.append("\n## Both programs\n" + _TABLE_HEAD + reference_rows(_SHARED))
    parts.append(f"\n## {Program.ENTRY.value} only\n" + _TABLE_HEAD + reference_rows(_ENTRY))
    parts.append(_OPERATOR_HEAD + _TABLE_HEAD + reference_rows(OPERATOR_KEYS))
    return "".join(parts)
