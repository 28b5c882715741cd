"""Duties that one steward at a time carries out: leases with fencing, and orders to engines."""

from egretstack.duties._lease import (
    CLOCK_MARGIN_S,
    LEASE_LIFE_S,
    RENEWALS_IN_LIFE,
    Lease,
    LeaseRecord,
    LeaseUnreadable,
    LeaseWrite,
)
from egretstack.duties._orders import ORDER_TIMEOUT_S, OrderPlan

__all__ = [
    "CLOCK_MARGIN_S",
    "LEASE_LIFE_S",
    "ORDER_TIMEOUT_S",
    "RENEWALS_IN_LIFE",
    "Lease",
    "LeaseRecord",
    "LeaseUnreadable",
    "LeaseWrite",
    "OrderPlan",
]
