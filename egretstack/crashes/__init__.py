"""Detects requests that crash their runners, and when to refuse them. Does no I/O."""

from egretstack.crashes._record import (
    REFUSE_WEIGHT,
    CrashRecord,
    Strike,
    record_from_row,
    record_row,
    strike_from_row,
    strike_row,
    strike_weight,
)
from egretstack.crashes._reports import CrashReports, clear_from_row
from egretstack.crashes._table import CrashTable

__all__ = [
    "REFUSE_WEIGHT",
    "CrashRecord",
    "CrashReports",
    "CrashTable",
    "Strike",
    "clear_from_row",
    "record_from_row",
    "record_row",
    "strike_from_row",
    "strike_row",
    "strike_weight",
]
