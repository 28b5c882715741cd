"""Reports on service-level burn from saved metrics, and on single requests from saved logs."""

from egretstack.reports._burn import (
    BUDGET_WINDOW,
    Alert,
    LevelBurn,
    Window,
    WindowBurn,
    compute_burns,
)
from egretstack.reports._explain import Explanation, LogLine, explain, read_log
from egretstack.reports._formatting import json_report, text_report
from egretstack.reports._samples import sessions_by_account
from egretstack.reports._snapshots import Snapshot, read_samples, read_snapshots

__all__ = [
    "BUDGET_WINDOW",
    "Alert",
    "Explanation",
    "LevelBurn",
    "LogLine",
    "Snapshot",
    "Window",
    "WindowBurn",
    "compute_burns",
    "explain",
    "json_report",
    "read_log",
    "read_samples",
    "read_snapshots",
    "sessions_by_account",
    "text_report",
]
