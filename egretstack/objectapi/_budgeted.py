"""The client of the object API with metrics, rate limits, timeouts and retries of reads."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random
from typing import TypeVar

import trio

from egretstack.events import Event, log
from egretstack.metrics import Metrics
from egretstack.objectapi._breaker import Breaker, BreakerState
from egretstack.objectapi._budget import CLASS_BY_KIND, CallBudget
from egretstack.objectapi._object_api import (
    DEFAULT_WATCH_DURATION_S,
    Conflict,
    ObjectApi,
    ObjectKind,
    PlatformAway,
    PlatformError,
    PlatformOutcomeUnknown,
    Spec,
    StoredObject,
    WatchChange,
    WatchLost,
)

READ_ATTEMPTS = 3
RETRY_BASE_S = 0.05
MAX_BUDGET_WAIT_S = 1.0
WATCH_GRACE_S = 0.5
"""Seconds after the scheduled end of a watch within which its last bookmark has to arrive."""

T = TypeVar("T")


class BudgetedObjectApi(ObjectApi):
    """Wraps an object API; all services of a process share one.

    A call waits a bounded time for the budget of its class. While the breaker is open it fails
    fast with a PlatformAway that carries the time to retry after. Reads are retried with jitter.
    A write is sent once: after a timeout it may have taken effect, and only its caller can find
    out whether it did.
    """

    def __init__(
        self, inner: ObjectApi, timeout_s: float, metrics: Metrics, rng: Random, now_s: float
    ) -> None:
        self.budget = CallBudget(now_s)
        self.breaker = Breaker(rng)
        self._inner = inner
        self._timeout_s = timeout_s
        self._metrics = metrics
        self._rng = rng

    async def get(self, kind: ObjectKind, name: str) -> StoredObject | None:
        """Read one object; None if there is none. Raises PlatformAway."""
        return await self._read("get", kind, lambda: self._inner.get(kind, name))

    async def list(self, kind: ObjectKind) -> list[StoredObject]:
        """Read all objects of a kind. Raises PlatformAway."""
        return await self._read("list", kind, lambda: self._inner.list(kind))

    async def create(self, kind: ObjectKind, name: str, spec: Spec) -> StoredObject:
        """Create an object; raises what `ObjectApi.create` raises."""
        return await self._write("create", kind, lambda: self._inner.create(kind, name, spec))

    async def replace(self, kind: ObjectKind, name: str, spec: Spec, version: str) -> StoredObject:
        """Replace an object; raises what `ObjectApi.replace` raises."""
        return await self._write(
            "replace", kind, lambda: self._inner.replace(kind, name, spec, version)
        )

    async def delete(self, kind: ObjectKind, name: str, version: str) -> None:
        """Delete an object; raises what `ObjectApi.delete` raises."""
        await self._write("delete", kind, lambda: self._inner.delete(kind, name, version))

    @asynccontextmanager
    async def watch(
        self, kind: ObjectKind, since: str | None, duration_s: float = DEFAULT_WATCH_DURATION_S
    ) -> AsyncIterator[AsyncIterator[WatchChange]]:
        """Follow changes for `duration_s`, with a timeout. Raises PlatformAway, WatchLost."""
        async with AsyncExitStack() as stack:

            async def enter() -> AsyncIterator[WatchChange]:
                return await stack.enter_async_context(self._inner.watch(kind, since, duration_s))

            deadline_s = trio.current_time() + duration_s + WATCH_GRACE_S
            changes = await self._call("watch", kind, enter, PlatformAway)
            gauge = self._metrics.platform_watches.labels(CLASS_BY_KIND[kind].value)
            gauge.inc()
            try:
                yield _BoundedChanges(changes, deadline_s)
            finally:
                gauge.dec()

    async def _read(self, verb: str, kind: ObjectKind, call: Callable[[], Awaitable[T]]) -> T:
        for attempt in range(READ_ATTEMPTS):
            try:
                return await self._call(verb, kind, call, PlatformAway)
            except PlatformAway as error:
                # An error with a retry time comes from this client itself: fail fast, don't wait.
                if error.retry_after_s is not None or attempt == READ_ATTEMPTS - 1:
                    raise
            await trio.sleep(RETRY_BASE_S * 2**attempt * (0.5 + self._rng.random()))
        raise AssertionError("unreachable")

    async def _write(self, verb: str, kind: ObjectKind, call: Callable[[], Awaitable[T]]) -> T:
        return await self._call(verb, kind, call, PlatformOutcomeUnknown)

    async def _call(
        self,
        verb: str,
        kind: ObjectKind,
        call: Callable[[], Awaitable[T]],
        on_timeout: type[PlatformError],
    ) -> T:
        await self._admit(kind)
        outcome = "given_up"
        self.breaker.record_call(trio.current_time())
        try:
            result = await self._with_timeout(call, on_timeout)
            outcome = "answered"
            return result
        except (Conflict, WatchLost):
            outcome = "answered"
            raise
        except (PlatformAway, PlatformOutcomeUnknown):
            outcome = "failed"
            raise
        finally:
            self._record_outcome(verb, kind, outcome)

    async def _with_timeout(
        self, call: Callable[[], Awaitable[T]], on_timeout: type[PlatformError]
    ) -> T:
        with trio.move_on_after(self._timeout_s):
            return await call()
        raise on_timeout("no answer in time")

    async def _admit(self, kind: ObjectKind) -> None:
        call_class = CLASS_BY_KIND[kind]
        now_s = trio.current_time()
        breaker_wait_s = self.breaker.wait_s(now_s)
        if breaker_wait_s > 0:
            raise PlatformAway("the platform has been failing", breaker_wait_s)
        budget_wait_s = self.budget.wait_s(call_class, now_s)
        if budget_wait_s > MAX_BUDGET_WAIT_S:
            raise PlatformAway(f"the budget for {call_class.value} is spent", budget_wait_s)
        self.budget.spend(call_class, now_s)
        if budget_wait_s > 0:
            await trio.sleep(budget_wait_s)
            breaker_wait_s = self.breaker.wait_s(trio.current_time())
            if breaker_wait_s > 0:
                raise PlatformAway("the platform has been failing", breaker_wait_s)

    def _record_outcome(self, verb: str, kind: ObjectKind, outcome: str) -> None:
        before = self.breaker.state
        if outcome == "answered":
            self.breaker.record_success()
        elif outcome == "failed":
            self.breaker.record_failure(trio.current_time())
        else:
            self.breaker.record_cancelled()
        labels = (CLASS_BY_KIND[kind].value, verb, outcome)
        self._metrics.platform_calls.labels(*labels).inc()
        after = self.breaker.state
        if before is BreakerState.CLOSED and after is BreakerState.OPEN:
            log(Event.PLATFORM_BREAKER_OPEN)
        if before is not BreakerState.CLOSED and after is BreakerState.CLOSED:
            log(Event.PLATFORM_BREAKER_CLOSED)


class _BoundedChanges:
    """The events of a watch; raises WatchLost if the bookmark that ends it does not arrive in time.

    A connection whose state a device on the path has dropped stays open without any data. Without
    the deadline its reader would wait forever and miss every change.
    """

    def __init__(self, changes: AsyncIterator[WatchChange], deadline_s: float) -> None:
        self._changes = changes
        self._deadline_s = deadline_s

    def __aiter__(self) -> "_BoundedChanges":
        return self

    async def __anext__(self) -> WatchChange:
        with trio.move_on_at(self._deadline_s):
            return await anext(self._changes)
        log(Event.PLATFORM_WATCH_SILENT)
        raise WatchLost("silent past the time of its bookmark")
