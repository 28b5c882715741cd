"""The closed list of error kinds, the answer for each kind, and the exceptions."""

from egretstack.errors._exceptions import EgretError, NotRunProof, UserError
from egretstack.errors._kinds import ErrorKind
from egretstack.errors._table import ANSWERS, Answer, RunState, problem_document, run_state

__all__ = [
    "ANSWERS",
    "Answer",
    "EgretError",
    "ErrorKind",
    "NotRunProof",
    "RunState",
    "UserError",
    "problem_document",
    "run_state",
]
