"""Limits of client accounts, lent by an account's home to the entries that serve it."""

from egretstack.limits._entry import EntrySide, HomeAsk
from egretstack.limits._held import Mode
from egretstack.limits._home import HomeSide
from egretstack.limits._homes import Homes
from egretstack.limits._messages import (
    AskRow,
    Grant,
    LimitsAnswer,
    LimitsAsk,
    Standing,
    make_answer,
    make_ask,
)
from egretstack.limits._share import Share, whole_of
from egretstack.limits._timing import (
    ASK_TIMEOUT_S,
    BEAT_S,
    FREEZE_S,
    LIFE_S,
    READY_WAIT_S,
    RENEW_S,
    VIEW_LAG_S,
    WARM_UP_S,
)

__all__ = [
    "ASK_TIMEOUT_S",
    "AskRow",
    "BEAT_S",
    "EntrySide",
    "FREEZE_S",
    "Grant",
    "HomeAsk",
    "HomeSide",
    "Homes",
    "LIFE_S",
    "LimitsAnswer",
    "LimitsAsk",
    "Mode",
    "READY_WAIT_S",
    "RENEW_S",
    "Share",
    "Standing",
    "VIEW_LAG_S",
    "WARM_UP_S",
    "make_answer",
    "make_ask",
    "whole_of",
]
