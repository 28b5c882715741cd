"""Reports on service-level burn, from Prometheus text."""

from egretstack.reports._burn import (
    BUDGET_WINDOW,
    Alert,
    LevelBurn,
    Window,
    WindowBurn,
    burns_of,
)
from egretstack.reports._forms import json_report, text_report
from egretstack.reports._samples import sessions_by_account
from egretstack.reports._snapshots import Snapshot, read_samples, read_snapshots

__all__ = [
    "BUDGET_WINDOW",
    "Alert",
    "LevelBurn",
    "Snapshot",
    "Window",
    "WindowBurn",
    "burns_of",
    "json_report",
    "read_samples",
    "read_snapshots",
    "sessions_by_account",
    "text_report",
]
