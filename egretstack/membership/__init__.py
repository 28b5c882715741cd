"""Which instances are live and which runners are leaving: heartbeats, and the merged list."""

from egretstack.membership._choice import (
    ENTRIES_PER_ANSWER,
    MAX_REPORTS,
    NearbyReports,
    ReportChooser,
    entries_for,
    rendezvous,
)
from egretstack.membership._messages import Heartbeat, HeartbeatAnswer
from egretstack.membership._reading import ReadingPlan
from egretstack.membership._report_schedule import ReportSchedule
from egretstack.membership._rows import InstanceState, RowError
from egretstack.membership._runner_watch import RunnerWatch
from egretstack.membership._state import (
    ANSWER_TIMEOUT_S,
    HEARTBEAT_INTERVAL_S,
    TICK_S,
    HeartbeatRequest,
    MembershipState,
)
from egretstack.membership._views import InstanceView

__all__ = [
    "ANSWER_TIMEOUT_S",
    "ENTRIES_PER_ANSWER",
    "HEARTBEAT_INTERVAL_S",
    "MAX_REPORTS",
    "TICK_S",
    "Heartbeat",
    "HeartbeatAnswer",
    "HeartbeatRequest",
    "InstanceState",
    "InstanceView",
    "MembershipState",
    "NearbyReports",
    "ReadingPlan",
    "ReportChooser",
    "ReportSchedule",
    "RowError",
    "RunnerWatch",
    "entries_for",
    "rendezvous",
]
