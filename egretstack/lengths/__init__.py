"""Output lengths learned as survival curves from ended and running sessions."""

from egretstack.lengths._buckets import BUCKETS, EDGES, bucket_index
from egretstack.lengths._curve import SurvivalCurve
from egretstack.lengths._hazards import HazardCounts
from egretstack.lengths._key import LengthKey
from egretstack.lengths._messages import LengthsAnswer, LengthsAsk
from egretstack.lengths._model import MAX_SOURCES, LengthModel
from egretstack.lengths._summary import (
    MAX_SUMMARY_BYTES,
    LengthSummary,
    pack_summary,
    unpack_summary,
)

__all__ = [
    "BUCKETS",
    "EDGES",
    "MAX_SOURCES",
    "MAX_SUMMARY_BYTES",
    "HazardCounts",
    "LengthKey",
    "LengthModel",
    "LengthSummary",
    "LengthsAnswer",
    "LengthsAsk",
    "SurvivalCurve",
    "bucket_index",
    "pack_summary",
    "unpack_summary",
]
