"""The callers' HTTP interface."""

from egretstack.callers._app import CallerLimits, CallerLinks, make_caller_app
from egretstack.callers._counter import AsgiApp, RequestCounter
from egretstack.callers._generations import Generations, SessionDoor
from egretstack.callers._requests import GenerationBody

__all__ = [
    "AsgiApp",
    "CallerLimits",
    "CallerLinks",
    "GenerationBody",
    "Generations",
    "RequestCounter",
    "SessionDoor",
    "make_caller_app",
]
