"""The HTTP interface for callers."""

from egretstack.callers._app import CallerDependencies, CallerLimits, make_caller_app
from egretstack.callers._counter import AsgiApp, RequestCounter
from egretstack.callers._generations import GenerationHandlers, SessionOperations
from egretstack.callers._requests import GenerationBody
from egretstack.callers._scheduling_requests import new_request, picked_up_request

__all__ = [
    "AsgiApp",
    "CallerDependencies",
    "CallerLimits",
    "GenerationBody",
    "GenerationHandlers",
    "RequestCounter",
    "SessionOperations",
    "make_caller_app",
    "new_request",
    "picked_up_request",
]
