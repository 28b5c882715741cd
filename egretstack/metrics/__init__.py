"""Prometheus metrics of a process, served on the operator port."""

from egretstack.metrics._levels import (
    OUTCOME_SHARE,
    AccountLevels,
    LevelTargets,
    Objective,
    ServiceLevels,
    Tally,
)
from egretstack.metrics._metrics import Metrics
from egretstack.metrics._names import (
    EVENTS,
    GOOD,
    INSTANCE_LABEL,
    SNAPSHOT,
    STARTED,
    TARGET_SECONDS,
    TARGET_SHARE,
)
from egretstack.metrics._pace import DeliveryPace

__all__ = [
    "EVENTS",
    "GOOD",
    "INSTANCE_LABEL",
    "OUTCOME_SHARE",
    "SNAPSHOT",
    "STARTED",
    "TARGET_SECONDS",
    "TARGET_SHARE",
    "AccountLevels",
    "DeliveryPace",
    "LevelTargets",
    "Metrics",
    "Objective",
    "ServiceLevels",
    "Tally",
]
