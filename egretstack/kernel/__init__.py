"""The micro-kernel: loads services by name, and starts and stops them in dependency order."""

from egretstack.kernel._kernel import Kernel
from egretstack.kernel._loading import load_services
from egretstack.kernel._service import Service, ServiceFailed
from egretstack.kernel._unforeseen import (
    MAX_FAILING_S,
    MAX_FAILURES_IN_A_ROW,
    ConfinedWork,
    RepeatedWork,
    UnforeseenErrors,
    WorkKind,
)

__all__ = [
    "MAX_FAILING_S",
    "MAX_FAILURES_IN_A_ROW",
    "ConfinedWork",
    "Kernel",
    "RepeatedWork",
    "Service",
    "ServiceFailed",
    "UnforeseenErrors",
    "WorkKind",
    "load_services",
]
