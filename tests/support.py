"""Turns the test functions of a module into unittest cases.

A test module calls `load_tests = tests_of(globals())`. Functions named `test_*` become cases;
asynchronous ones run under trio's mock clock, which jumps ahead whenever all tasks wait.
"""

import inspect
import unittest
from collections.abc import Callable
from functools import partial, wraps

import trio
import trio.testing

Loader = Callable[[unittest.TestLoader, unittest.TestSuite, str | None], unittest.TestSuite]


def tests_of(namespace: dict[str, object]) -> Loader:
    """Return the `load_tests` function of a module."""

    def load_tests(
        loader: unittest.TestLoader, tests: unittest.TestSuite, pattern: str | None
    ) -> unittest.TestSuite:
        suite = unittest.TestSuite()
        for name, value in namespace.items():
            if name.startswith("test_") and callable(value):
                suite.addTest(FunctionCase(_as_sync(value), namespace["__name__"], name))
        return suite

    return load_tests


class FunctionCase(unittest.FunctionTestCase):
    """A test function as a case, named by module and function."""

    def __init__(self, function: Callable[[], None], module: str, name: str) -> None:
        super().__init__(function)
        self._name = f"{module}.{name}"

    def id(self) -> str:
        """Return the name of the test in reports and in KNOWN-RED.txt."""
        return self._name

    def __str__(self) -> str:
        return self._name


def on_mock_clock(function: Callable) -> Callable[[], None]:
    """Return a test that runs `function` on a clock that jumps ahead when every task waits."""

    @wraps(function)
    def run() -> None:
        trio.run(function, clock=trio.testing.MockClock(autojump_threshold=0))

    return run


def on_real_clock(function: Callable) -> Callable[[], None]:
    """Return a test that runs `function` on the real clock.

    Tests with real sockets need it, because a mock clock cannot skip the wait for a socket.
    """

    @wraps(function)
    def run() -> None:
        trio.run(partial(_run_with_limit, function))

    return run


REAL_CLOCK_TIMEOUT_S = 120


async def _run_with_limit(function: Callable) -> None:
    with trio.fail_after(REAL_CLOCK_TIMEOUT_S):
        await function()


def _as_sync(function: Callable) -> Callable[[], None]:
    return on_mock_clock(function) if inspect.iscoroutinefunction(function) else function


check = unittest.TestCase()
"""Provides unittest's assertion methods to test functions."""
check.maxDiff = None
