"""Duties that one steward at a time performs: leases with fencing, engine orders, fleet duties."""

from egretstack.duties._fleet import FleetDuty, FleetTask
from egretstack.duties._lease import (
    CLOCK_MARGIN_S,
    LEASE_TTL_S,
    RENEWALS_PER_TTL,
    Lease,
    LeaseRecord,
    LeaseUnreadable,
    LeaseWrite,
)
from egretstack.duties._leased import TICK_INTERVAL_S, LeasedDuty
from egretstack.duties._orders import ORDER_TIMEOUT_S, OrderPlan
from egretstack.duties._paced import CALLS_PER_S, DutyEnded, PacedObjectApi

__all__ = [
    "CALLS_PER_S",
    "CLOCK_MARGIN_S",
    "LEASE_TTL_S",
    "ORDER_TIMEOUT_S",
    "RENEWALS_PER_TTL",
    "TICK_INTERVAL_S",
    "DutyEnded",
    "FleetDuty",
    "FleetTask",
    "Lease",
    "LeaseRecord",
    "LeaseUnreadable",
    "LeaseWrite",
    "LeasedDuty",
    "OrderPlan",
    "PacedObjectApi",
]
