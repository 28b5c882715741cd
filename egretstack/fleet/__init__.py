"""The instances of one fleet and the runners before them, as each instance knows them."""

from egretstack.fleet._configuration_link import fetch_text, give_packed, pack_text, unpack_text
from egretstack.fleet._evacuations import EvacuationChange, Evacuations
from egretstack.fleet._fleet import REPORT_PERIOD_S, Fleet
from egretstack.fleet._instance import Instance, InstanceState, KnownInstance, StoreSight
from egretstack.fleet._messages import (
    BackupAnswer,
    BackupAsk,
    FleetLoads,
    FleetNews,
    FleetView,
    InstanceReport,
    MoveAsk,
    MoveDone,
    MoveTurn,
    PlaceAnswer,
    PlaceAsk,
    PlaceDrop,
    instance_of,
    instance_row,
    rows_of,
    runner_of,
    runner_row,
    told_instance_row,
)
from egretstack.fleet._nearest import nearest
from egretstack.fleet._news import (
    REPEAT_AFTER_S,
    HeldNews,
    NewsFollower,
    NewsKeeper,
    NewsPart,
    NewsTeller,
    Taken,
)
from egretstack.fleet._runner import Incarnation, Runner, RunnerState
from egretstack.fleet._runner_limits import RunnerLimits, checked_limit, limit_of
from egretstack.fleet._runner_table import RunnerTable
from egretstack.fleet._silence import Silence
from egretstack.fleet._store_watch import StoreWatch
from egretstack.fleet._versioned_rows import VersionedRows

__all__ = [
    "REPEAT_AFTER_S",
    "REPORT_PERIOD_S",
    "BackupAnswer",
    "BackupAsk",
    "EvacuationChange",
    "Evacuations",
    "Fleet",
    "FleetLoads",
    "FleetNews",
    "FleetView",
    "HeldNews",
    "Incarnation",
    "Instance",
    "InstanceReport",
    "InstanceState",
    "KnownInstance",
    "MoveAsk",
    "MoveDone",
    "MoveTurn",
    "NewsFollower",
    "NewsKeeper",
    "NewsPart",
    "NewsTeller",
    "PlaceAnswer",
    "PlaceAsk",
    "PlaceDrop",
    "Runner",
    "RunnerLimits",
    "RunnerState",
    "RunnerTable",
    "Silence",
    "StoreSight",
    "StoreWatch",
    "Taken",
    "VersionedRows",
    "checked_limit",
    "fetch_text",
    "give_packed",
    "instance_of",
    "instance_row",
    "limit_of",
    "nearest",
    "pack_text",
    "rows_of",
    "runner_of",
    "runner_row",
    "told_instance_row",
    "unpack_text",
]
