"""The callers' HTTP interface."""

from egretstack.callers._app import CallerLimits, CallerLinks, make_caller_app
from egretstack.callers._counter import AsgiApp, RequestCounter
from egretstack.callers._generations import Generations, SessionDoor
from egretstack.callers._requests import GenerationBody
from egretstack.callers._work import new_work, picked_up_work

__all__ = [
    "AsgiApp",
    "CallerLimits",
    "CallerLinks",
    "GenerationBody",
    "Generations",
    "RequestCounter",
    "SessionDoor",
    "make_caller_app",
    "new_work",
    "picked_up_work",
]
