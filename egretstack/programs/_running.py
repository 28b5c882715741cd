"""Runs daemons, and maps errors to exit codes."""

import gc
import signal
import sys
from collections.abc import Callable
from enum import IntEnum
from pathlib import Path
from typing import TypeVar

import trio

from egretstack.errors import UserError
from egretstack.events import Level, LogFormat, set_up_logs
from egretstack.kernel import Kernel, ServiceFailed, load_services
from egretstack.settings import Program, Settings, read_settings

Result = TypeVar("Result")

GC_THRESHOLD_OBJECTS = 20_000
"""Net allocations that trigger a collection of the youngest generation; Python's default is 700."""


class ExitCode(IntEnum):
    """Exit codes of the programs."""

    OK = 0
    FAILED = 1
    """A bug, or a service that failed."""
    USER_ERROR = 2
    """The settings, the arguments or a file are wrong."""
    CONFLICT = 3
    """Another operator's change was accepted first."""
    UNKNOWN = 4
    """It is not known whether the change was accepted."""
    UNAVAILABLE = 5
    """The platform or an instance does not answer; nothing was changed."""


def run_daemon(path: Path, program: Program, services: tuple[str, ...]) -> None:
    """Run the services until SIGTERM or SIGINT and the graceful shutdown that follows."""

    def start() -> Settings:
        settings = read_settings(path, program)
        form = settings.get("logs", "form", LogFormat)
        set_up_logs(form, settings.get("logs", "level", Level))
        return settings

    run_services(start, services)


def run_services(start: Callable[[], object], services: tuple[str, ...]) -> None:
    """Run services with the settings that `start` returns; `start` also sets up logging."""

    async def main() -> None:
        kernel = Kernel(start())
        load_services(kernel, services)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_drain_on_signal, kernel)
            _tune_garbage_collection()
            await kernel.run()
            nursery.cancel_scope.cancel()

    run_or_exit(lambda: trio.run(main))


def run_or_exit(function: Callable[[], Result]) -> Result:
    """Call `function`; on a user error or a failed service, print the error and exit.

    Any other exception is a bug and propagates with its traceback.
    """
    try:
        return function()
    except* UserError as group:
        for error in _leaves(group):
            print(error, file=sys.stderr)
        sys.exit(ExitCode.USER_ERROR)
    except* ServiceFailed as group:
        for error in _leaves(group):
            print(f"{error}: {_root_cause(error)}", file=sys.stderr)
        sys.exit(ExitCode.FAILED)


def _tune_garbage_collection() -> None:
    """Exclude the objects made at start-up from garbage collection, and collect less often.

    Each token of each stream allocates a few short-lived objects. At the default threshold the
    collector runs hundreds of times a second, and each full collection traverses every loaded
    module while all streams are blocked. Objects without cycles are still freed immediately.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD_OBJECTS)


async def _drain_on_signal(kernel: Kernel) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            kernel.begin_drain()


def _leaves(error: BaseException) -> list[BaseException]:
    if isinstance(error, BaseExceptionGroup):
        return [leaf for one in error.exceptions for leaf in _leaves(one)]
    return [error]


def _root_cause(error: BaseException) -> str:
    while error.__cause__ is not None:
        error = error.__cause__
    return "; ".join(repr(leaf) for leaf in _leaves(error))
