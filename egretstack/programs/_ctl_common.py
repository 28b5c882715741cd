"""Shared by the commands of `egretctl`: connecting to the platform, errors and exit codes."""

import json
import sys
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Annotated

import httpx
import trio
from cyclopts import Parameter

from egretstack.configuration import ApplyConflict, ApplyUnknown
from egretstack.objectapi import (
    HttpInstanceList,
    HttpObjectApi,
    PlatformError,
    PlatformOutcomeUnknown,
)
from egretstack.programs._running import ExitCode, run_or_exit

TIMEOUT_S = 5.0

PlatformUrl = Annotated[str, Parameter(name="--platform", env_var="EGRET_PLATFORM")]
Namespace = Annotated[str, Parameter(name="--namespace", env_var="EGRET_NAMESPACE")]


@asynccontextmanager
async def open_platform(url: str, namespace: str):
    """Yield an HTTP client, the object API and the instance list."""
    async with httpx.AsyncClient(timeout=TIMEOUT_S, trust_env=False) as client:
        yield client, HttpObjectApi(client, url, namespace), HttpInstanceList(
            client, url, namespace
        )


def run_command(command: Callable[[], Awaitable[None]]) -> None:
    """Run an asynchronous command; report its errors on stderr and as exit codes."""

    async def guarded() -> None:
        try:
            await command()
        except ApplyConflict as error:
            print(f"conflict: {error}; in force now:", file=sys.stderr)
            print(json.dumps(error.current_sections, indent=2), file=sys.stderr)
            sys.exit(ExitCode.CONFLICT)
        except ApplyUnknown as error:
            print(f"outcome unknown: {error}", file=sys.stderr)
            print(f"settle it with: egretctl settle {error.change_id}", file=sys.stderr)
            sys.exit(ExitCode.UNKNOWN)
        except PlatformOutcomeUnknown as error:
            print(f"outcome unknown, run the command again: {error}", file=sys.stderr)
            sys.exit(ExitCode.UNKNOWN)
        except (PlatformError, httpx.HTTPError) as error:
            print(f"no answer, nothing was changed: {error}", file=sys.stderr)
            sys.exit(ExitCode.UNAVAILABLE)

    run_or_exit(lambda: trio.run(guarded))
