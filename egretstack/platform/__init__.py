"""Adapter to the users' platform: its names, wire formats and calls, without any decision logic.

All external input is decoded here, once, into the types of the system.
"""

from egretstack.platform._bodies import BadBody, parse_object
from egretstack.platform._configuration import decode_configuration, read_configuration
from egretstack.platform._entry_wire import (
    decode_request,
    directory_answer,
    is_directory_request,
    is_readiness_request,
    json_answer,
    requested_host,
    requested_region,
)
from egretstack.platform._evacuations import BadEvacuation, EvacuationEntries
from egretstack.platform._node_settings import (
    SETTINGS_VARIABLE,
    Bounds,
    NodeSettings,
    read_node_settings,
)
from egretstack.platform._runner_entries import BadEntry, RunnerEntries
from egretstack.platform._runner_wire import (
    client_head,
    free_copy_request,
    health_request,
    move_answer,
    move_request,
    report_request,
    runner_answer,
    runner_health,
    runner_report,
    runner_request,
)
from egretstack.platform._runners import decode_runner
from egretstack.platform._store import (
    CONFIGURATION_NAME,
    Change,
    Changes,
    HistoryGone,
    Listing,
    ObjectKind,
    RevisionConflict,
    Store,
    StoreAway,
    StoredObject,
    StoreOutcomeUnknown,
)

__all__ = [
    "CONFIGURATION_NAME",
    "SETTINGS_VARIABLE",
    "BadBody",
    "BadEntry",
    "BadEvacuation",
    "Bounds",
    "Change",
    "Changes",
    "EvacuationEntries",
    "HistoryGone",
    "Listing",
    "NodeSettings",
    "ObjectKind",
    "RevisionConflict",
    "RunnerEntries",
    "Store",
    "StoreAway",
    "StoreOutcomeUnknown",
    "StoredObject",
    "requested_host",
    "requested_region",
    "client_head",
    "decode_configuration",
    "decode_request",
    "decode_runner",
    "directory_answer",
    "free_copy_request",
    "health_request",
    "is_directory_request",
    "is_readiness_request",
    "json_answer",
    "move_answer",
    "move_request",
    "parse_object",
    "read_configuration",
    "read_node_settings",
    "report_request",
    "runner_answer",
    "runner_health",
    "runner_report",
    "runner_request",
]
