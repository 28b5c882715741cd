"""The fleet as each instance sees it: the instances, and the runners that they send requests to."""

from egretstack.fleet._configuration_link import fetch_text, pack_text, send_packed, unpack_text
from egretstack.fleet._evacuations import EvacuationChange, Evacuations
from egretstack.fleet._fleet import REPORT_PERIOD_S, Fleet
from egretstack.fleet._former_rows import FormerRows, held_rows_messages, unpack_held_rows
from egretstack.fleet._instance import Instance, InstanceState, KnownInstance, StoreReachability
from egretstack.fleet._messages import (
    BackupAnswer,
    BackupAsk,
    EngineTimings,
    FleetLoads,
    FleetNews,
    FleetView,
    HeldRows,
    InstanceReport,
    MoveAsk,
    MoveDone,
    MoveTurn,
    PlaceAnswer,
    PlaceAsk,
    PlaceDrop,
    broadcast_instance_row,
    instance_from_row,
    instance_row,
    parse_rows,
    runner_from_row,
    runner_row,
)
from egretstack.fleet._nearest import nearest
from egretstack.fleet._news import (
    MAX_KEYS,
    REPEAT_AFTER_S,
    ApplyResult,
    HeldVersion,
    UpdateFollower,
    UpdatePart,
    UpdatePublisher,
    UpdateReplica,
)
from egretstack.fleet._runner import Incarnation, Runner, RunnerState
from egretstack.fleet._runner_limits import RunnerLimits, checked_limit, limit_from_row
from egretstack.fleet._runner_table import RunnerTable
from egretstack.fleet._store_revision import era_of, number_of, store_revision
from egretstack.fleet._store_watch import StoreWatch
from egretstack.fleet._unanswered import UnansweredQueries
from egretstack.fleet._versioned_rows import VersionedRows

__all__ = [
    "MAX_KEYS",
    "REPEAT_AFTER_S",
    "REPORT_PERIOD_S",
    "ApplyResult",
    "BackupAnswer",
    "BackupAsk",
    "EvacuationChange",
    "Evacuations",
    "Fleet",
    "EngineTimings",
    "FleetLoads",
    "FleetNews",
    "FleetView",
    "FormerRows",
    "HeldRows",
    "HeldVersion",
    "Incarnation",
    "Instance",
    "InstanceReport",
    "InstanceState",
    "KnownInstance",
    "MoveAsk",
    "MoveDone",
    "MoveTurn",
    "PlaceAnswer",
    "PlaceAsk",
    "PlaceDrop",
    "Runner",
    "RunnerLimits",
    "RunnerState",
    "RunnerTable",
    "StoreReachability",
    "StoreWatch",
    "UnansweredQueries",
    "UpdateFollower",
    "UpdatePart",
    "UpdatePublisher",
    "UpdateReplica",
    "VersionedRows",
    "broadcast_instance_row",
    "checked_limit",
    "era_of",
    "fetch_text",
    "held_rows_messages",
    "instance_from_row",
    "instance_row",
    "limit_from_row",
    "nearest",
    "number_of",
    "pack_text",
    "parse_rows",
    "runner_from_row",
    "runner_row",
    "send_packed",
    "store_revision",
    "unpack_held_rows",
    "unpack_text",
]
