"""Confines unforeseen errors to the piece of work that met them.

Without this, an error that nobody handles ends the nursery of its task, and so the service and the
process, with all other requests. An error in work that is repeated is confined a few times in a
row only: a loop that always fails must not stay dead in an instance that looks ready.
"""

import traceback
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from types import TracebackType

import trio

from egretstack.events import Event, log

MAX_TRACEBACK_CHARS = 4_000
"""Limit on the logged traceback; its last lines are kept."""
LOG_PERIOD_S = 10.0
"""Errors from the same line of code are logged once in this time, with the number of the others."""
MAX_PLACES = 64
"""Limit on the lines of code that are remembered for this."""
MAX_FAILURES_IN_A_ROW = 20
MAX_FAILING_S = 5.0
"""Repeated work whose passes have all failed for this time, and so many of them, ends the process
with its last error."""
_NEVER_CONFINED = (MemoryError, trio.TrioInternalError)
"""After these the state of the process cannot be relied upon."""


class WorkKind(Enum):
    """The kinds of work to which an error can be confined."""

    CONNECTION = "connection"
    DATAGRAM = "datagram"
    ROW = "row"
    EXCHANGE = "exchange"
    """One request of this instance to a runner or to another instance."""
    ROUND = "round"
    """One pass of a loop."""


@dataclass(slots=True)
class _Place:
    """The errors that one line of code has raised."""

    logged_s: float
    omitted: int = 0


class UnforeseenErrors:
    """Logs and counts the errors of one process that were confined."""

    def __init__(self) -> None:
        self._listeners: list[Callable[[WorkKind], None]] = []
        self._place_by_line: dict[tuple[WorkKind, str], _Place] = {}

    def on_error(self, listener: Callable[[WorkKind], None]) -> None:
        """Call `listener` for each error, also for those that are not logged."""
        self._listeners.append(listener)

    def confined(self, kind: WorkKind, /, **fields: object) -> "ConfinedWork":
        """Return a context that stops unforeseen errors; `fields` are logged with them."""
        return ConfinedWork(self, kind, fields)

    def repeated(self, kind: WorkKind, /, **fields: object) -> "RepeatedWork":
        """Return the contexts of work that is repeated."""
        return RepeatedWork(self, kind, fields)

    def record(self, kind: WorkKind, error: BaseException, fields: dict[str, object]) -> None:
        """Count an error, and log it unless the same line of code raised one a moment ago."""
        for listener in self._listeners:
            listener(kind)
        place = self._place(kind, error)
        if place is None:
            return
        text = "".join(traceback.format_exception(error))
        log(
            Event.ERROR_CONFINED,
            work=kind.value,
            error=type(_first_leaf(error)).__name__,
            traceback=text[-MAX_TRACEBACK_CHARS:],
            omitted=place.omitted,
            **fields,
        )
        place.omitted = 0

    def _place(self, kind: WorkKind, error: BaseException) -> _Place | None:
        """Return where an error was raised; None if it is not to be logged now."""
        now_s = trio.current_time()
        key = (kind, _raising_line(error))
        place = self._place_by_line.get(key)
        if place is not None and now_s - place.logged_s < LOG_PERIOD_S:
            place.omitted += 1
            return None
        if place is None:
            if len(self._place_by_line) >= MAX_PLACES:
                del self._place_by_line[next(iter(self._place_by_line))]
            place = self._place_by_line[key] = _Place(now_s)
        place.logged_s = now_s
        return place


class ConfinedWork:
    """A context that stops unforeseen errors; cancellation passes through it."""

    def __init__(self, errors: UnforeseenErrors, kind: WorkKind, fields: dict[str, object]) -> None:
        self.failed = False
        """Whether an error was stopped."""
        self._errors = errors
        self._kind = kind
        self._fields = fields

    def __enter__(self) -> "ConfinedWork":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        unforeseen, others = _split(error)
        if unforeseen is None:
            return False
        self.failed = True
        self._errors.record(self._kind, unforeseen, self._fields)
        if others is not None:
            raise others from None
        return True


class RepeatedWork:
    """Confines the errors of a loop's passes until too many in a row have failed."""

    def __init__(self, errors: UnforeseenErrors, kind: WorkKind, fields: dict[str, object]) -> None:
        self._errors = errors
        self._kind = kind
        self._fields = fields
        self._failures = 0
        self._failing_since_s = 0.0
        self._failed_s = float("-inf")

    def attempt(self) -> ConfinedWork:
        """Return the context of one pass."""
        return _Attempt(self, self._errors, self._kind, self._fields)

    def record_result(self, *, failed: bool) -> bool:
        """Record the result of a pass; return whether the next one may be tried."""
        if not failed:
            self._failures = 0
            return True
        now_s = trio.current_time()
        if not self._failures or now_s - self._failed_s > MAX_FAILING_S:
            self._failing_since_s, self._failures = now_s, 0
        self._failures, self._failed_s = self._failures + 1, now_s
        lasts = now_s - self._failing_since_s >= MAX_FAILING_S
        return self._failures < MAX_FAILURES_IN_A_ROW or not lasts


class _Attempt(ConfinedWork):
    """The context of one pass."""

    def __init__(
        self,
        work: RepeatedWork,
        errors: UnforeseenErrors,
        kind: WorkKind,
        fields: dict[str, object],
    ) -> None:
        super().__init__(errors, kind, fields)
        self._work = work

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        stopped = super().__exit__(kind, error, trace)
        return self._work.record_result(failed=self.failed) and stopped


def _split(error: BaseException | None) -> tuple[BaseException | None, BaseException | None]:
    """Return what is confined of an error, and what is not, such as a cancellation beside it."""
    if error is None:
        return None, None
    if not isinstance(error, BaseExceptionGroup):
        is_confined = isinstance(error, Exception) and not isinstance(error, _NEVER_CONFINED)
        return (error, None) if is_confined else (None, error)
    if error.subgroup(_NEVER_CONFINED) is not None:
        return None, error
    return error.split(lambda one: isinstance(one, Exception))


def _first_leaf(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _raising_line(error: BaseException) -> str:
    """Return the type of an error, and the file and line that raised it."""
    leaf = _first_leaf(error)
    frames = traceback.extract_tb(leaf.__traceback__, limit=-1)
    where = f"{frames[0].filename}:{frames[0].lineno}" if frames else ""
    return f"{type(leaf).__name__} {where}"
