"""Which instances live and which runners leave: heartbeats to a few peers, and the list merged."""

from egretstack.membership._choice import (
    ENTRIES_ANSWERED,
    MAX_REPORTS,
    NearbyReports,
    ReportChooser,
    entries_for,
    rendezvous,
)
from egretstack.membership._messages import Heartbeat, HeartbeatAnswer
from egretstack.membership._reading import ReadingPlan
from egretstack.membership._report_turns import ReportTurns
from egretstack.membership._rows import InstanceState, RowError
from egretstack.membership._runner_watch import RunnerWatch
from egretstack.membership._state import (
    ANSWER_TIMEOUT_S,
    HEARTBEAT_S,
    TICK_S,
    Ask,
    MembershipState,
)
from egretstack.membership._views import InstanceView

__all__ = [
    "ANSWER_TIMEOUT_S",
    "ENTRIES_ANSWERED",
    "HEARTBEAT_S",
    "MAX_REPORTS",
    "TICK_S",
    "Ask",
    "Heartbeat",
    "HeartbeatAnswer",
    "InstanceState",
    "InstanceView",
    "MembershipState",
    "NearbyReports",
    "ReadingPlan",
    "ReportChooser",
    "ReportTurns",
    "RowError",
    "RunnerWatch",
    "entries_for",
    "rendezvous",
]
