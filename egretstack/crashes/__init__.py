"""Requests under which runners end, and when no runner gets one any more; pure."""

from egretstack.crashes._record import (
    REFUSE_WEIGHT,
    CrashRecord,
    Strike,
    record_of,
    record_row,
    strike_of,
    strike_row,
    strike_weight,
)
from egretstack.crashes._reports import CrashReports, clear_of
from egretstack.crashes._table import CrashTable

__all__ = [
    "REFUSE_WEIGHT",
    "CrashRecord",
    "CrashReports",
    "CrashTable",
    "Strike",
    "clear_of",
    "record_of",
    "record_row",
    "strike_of",
    "strike_row",
    "strike_weight",
]
