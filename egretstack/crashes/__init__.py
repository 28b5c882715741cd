"""Detects requests and parts of prompts that crash their runners, and when to refuse them.

Does no I/O.
"""

from egretstack.crashes._part_record import (
    PartRecord,
    part_record_from_row,
    part_record_row,
)
from egretstack.crashes._part_reports import PartReports
from egretstack.crashes._part_strikes import (
    PartStrike,
    StruckParts,
    chain,
    part_strikes_from_row,
    part_strikes_row,
    proof_from_row,
    proof_row,
)
from egretstack.crashes._part_table import PartTable
from egretstack.crashes._part_verdict import RecentRuns, SuspectPart, find_guilty, refused_parts
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
    "PartRecord",
    "PartReports",
    "PartStrike",
    "PartTable",
    "Strike",
    "StruckParts",
    "RecentRuns",
    "SuspectPart",
    "chain",
    "clear_from_row",
    "find_guilty",
    "part_record_from_row",
    "part_record_row",
    "part_strikes_from_row",
    "part_strikes_row",
    "proof_from_row",
    "proof_row",
    "record_from_row",
    "record_row",
    "refused_parts",
    "strike_from_row",
    "strike_row",
    "strike_weight",
]
