"""Where generations and calls run: decisions without I/O, with the time passed in."""

from egretstack.placing._balancer import PlainBalancer
from egretstack.placing._cold_ration import ColdRation
from egretstack.placing._lengths import LengthForecast
from egretstack.placing._limit_ration import LimitRation
from egretstack.placing._links import CopyLinks, copy_time_s
from egretstack.placing._loads import EngineLoad
from egretstack.placing._move_turns import MoveTurns
from egretstack.placing._patience import longest_wait_s
from egretstack.placing._placer import Placed, Placer, PlaceRefused
from egretstack.placing._run import Placement, Run, Work, run_of, run_row, work_of, work_row
from egretstack.placing._runner_rests import RunnerRests
from egretstack.placing._send_bounds import SendBound, SendBounds, SendPart
from egretstack.placing._split import FleetSplit
from egretstack.placing._strikes import (
    AnswerCount,
    FleetStrikes,
    RecentAnswers,
    count_of,
    count_row,
)

__all__ = [
    "AnswerCount",
    "ColdRation",
    "CopyLinks",
    "EngineLoad",
    "FleetSplit",
    "FleetStrikes",
    "LengthForecast",
    "LimitRation",
    "MoveTurns",
    "PlaceRefused",
    "Placed",
    "Placement",
    "Placer",
    "PlainBalancer",
    "RecentAnswers",
    "Run",
    "RunnerRests",
    "SendBound",
    "SendBounds",
    "SendPart",
    "Work",
    "copy_time_s",
    "count_of",
    "count_row",
    "longest_wait_s",
    "run_of",
    "run_row",
    "work_of",
    "work_row",
]
