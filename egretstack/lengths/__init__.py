"""Output lengths learned as survival curves, from sessions that ended and that still run."""

from egretstack.lengths._buckets import BUCKETS, EDGES, bucket_of
from egretstack.lengths._curve import Curve
from egretstack.lengths._hazards import Hazards
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
    "Curve",
    "Hazards",
    "LengthKey",
    "LengthModel",
    "LengthSummary",
    "LengthsAnswer",
    "LengthsAsk",
    "bucket_of",
    "pack_summary",
    "unpack_summary",
]
