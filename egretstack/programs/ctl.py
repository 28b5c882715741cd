"""`egretctl`: what operators do from a shell."""

import json
import sys
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

import httpx
import trio
from cyclopts import App, Parameter

from egretstack import __version__
from egretstack.configuration import ApplyConflict, ApplyUnknown, ConfigurationStore, PartKind
from egretstack.contracts import contract_page, service_page
from egretstack.errors import UserError
from egretstack.events import catalogue_page
from egretstack.operators import (
    apply_file,
    check_file,
    diff_text,
    drain_instance,
    fleet_status,
    new_account_key,
    new_session_key,
    read_part_file,
    shown,
)
from egretstack.operators._changes import sections_diff
from egretstack.platform import ENTRY_SERVICE, HttpInstanceList, HttpObjectApi, PlatformError
from egretstack.programs._replay import add_replay_command
from egretstack.programs._running import ExitCode, exit_with
from egretstack.settings import Program, read_settings, settings_page

TIMEOUT_S = 5.0
_PAGES = {
    "contracts": contract_page,
    "events": catalogue_page,
    "services": service_page,
    "settings": settings_page,
}

PlatformUrl = Annotated[str, Parameter(name="--platform", env_var="EGRET_PLATFORM")]
Namespace = Annotated[str, Parameter(name="--namespace", env_var="EGRET_NAMESPACE")]

app = App(name="egretctl", version=__version__, help="Operate egretstack.")
contract = App(name="contract", help="Contracts of client accounts.")
service = App(name="service", help="Descriptions of upstream services.")
app.command(contract)
app.command(service)
add_replay_command(app)


@asynccontextmanager
async def _platform(url: str, namespace: str):
    async with httpx.AsyncClient(timeout=TIMEOUT_S, trust_env=False) as client:
        yield client, HttpObjectApi(client, url, namespace), HttpInstanceList(
            client, url, namespace
        )


def _run(work: Callable[[], Awaitable[None]]) -> None:
    """Run an asynchronous command and turn its errors into words and exit codes."""

    async def guarded() -> None:
        try:
            await work()
        except ApplyConflict as error:
            print(f"conflict: {error}; in force now:", file=sys.stderr)
            print(json.dumps(error.theirs, indent=2), file=sys.stderr)
            sys.exit(ExitCode.CONFLICT)
        except ApplyUnknown as error:
            print(f"outcome unknown: {error}", file=sys.stderr)
            print(f"settle it with: egretctl settle {error.change_id}", file=sys.stderr)
            sys.exit(ExitCode.UNKNOWN)
        except (PlatformError, httpx.HTTPError) as error:
            print(f"no answer, nothing was changed: {error}", file=sys.stderr)
            sys.exit(ExitCode.AWAY)

    exit_with(lambda: trio.run(guarded))


@app.command
def check_settings(file: Path, program: Program = Program.ENTRY) -> None:
    """Check a settings file; every fault is named by file, section and key.

    Parameters
    ----------
    file
        The settings file.
    program
        The program that will read it.
    """
    exit_with(lambda: read_settings(file, program))
    print(f"{file}: good settings for {program.value}")


@app.command
def make_key(*, json_output: Annotated[bool, Parameter(name="--json")] = False) -> None:
    """Make a key for a client account and the digest its contract holds."""
    key, digest = new_account_key()
    if json_output:
        print(json.dumps({"key": key, "key_sha256": digest}))
        return
    print(f"key         {key}")
    print(f"key_sha256  {digest}")


@app.command
def make_session_key() -> None:
    """Make a line for the session key file, which every instance has to share."""
    print(new_session_key())


@app.command
def reference(page: str) -> None:
    """Print a reference page: contracts, events, services or settings."""
    if page not in _PAGES:
        exit_with(lambda: _no_page(page))
    print(_PAGES[page](), end="")


def _no_page(page: str) -> None:
    raise UserError(f"no page named {page}; known: {', '.join(sorted(_PAGES))}")


@app.command
def status(
    *,
    platform: PlatformUrl,
    namespace: Namespace = "egretstack",
    json_output: Annotated[bool, Parameter(name="--json")] = False,
) -> None:
    """Show the revision in force on every instance, and the lowest of them."""

    async def work() -> None:
        async with _platform(platform, namespace) as (client, _, listed):
            rows = await fleet_status(client, listed)
        answered = [row.revision for row in rows if row.revision is not None]
        lowest = min(answered, default=None)
        silent = len(rows) - len(answered)
        if json_output:
            rows_out = [asdict(row) for row in rows]
            print(json.dumps({"lowest": lowest, "silent": silent, "instances": rows_out}))
            return
        for row in rows:
            state = "draining" if row.draining else "serving"
            revision = "no answer" if row.revision is None else f"revision {row.revision}"
            print(f"{row.instance:20} {row.port:18} {revision:16} {state}")
        print(f"lowest revision in force: {lowest}; without an answer: {silent}")

    _run(work)


@app.command
def settle(change_id: str, *, platform: PlatformUrl, namespace: Namespace = "egretstack") -> None:
    """Tell whether a change whose outcome was unknown is among the latest accepted."""

    async def work() -> None:
        async with _platform(platform, namespace) as (_, api, _listed):
            accepted = await ConfigurationStore(api).settle(change_id)
        if accepted is None:
            print(f"change {change_id} is not among the latest changes accepted")
            sys.exit(ExitCode.UNKNOWN)
        print(f"change {change_id} was accepted as revision {accepted.revision}")

    _run(work)


@app.command
def drain(instance: str, *, platform: PlatformUrl, namespace: Namespace = "egretstack") -> None:
    """Ask the entry of an instance to shut down gracefully."""

    async def work() -> None:
        async with _platform(platform, namespace) as (client, _, listed):
            members = [one for one in await listed.members() if one.service == ENTRY_SERVICE]
            found = [one for one in members if one.id == instance]
            if not found:
                raise UserError(f"no instance named {instance} is listed")
            await drain_instance(client, found[0])
        print(f"{instance} is draining")

    _run(work)


def _add_part_commands(group: App, kind: PartKind) -> None:
    @group.command
    def check(file: Path) -> None:
        """Check a file without asking the platform."""
        exit_with(lambda: print(f"{file}: a good {kind.value} of {check_file(file, kind)}"))

    @group.command
    def show(name: str, *, platform: PlatformUrl, namespace: Namespace = "egretstack") -> None:
        """Show what is in force, as JSON."""

        async def work() -> None:
            async with _platform(platform, namespace) as (_, api, _listed):
                sections = await shown(ConfigurationStore(api), kind, name)
            if sections is None:
                raise UserError(f"no {kind.value} of {name} is in force")
            print(json.dumps(sections, indent=2))

        _run(work)

    @group.command
    def diff(file: Path, *, platform: PlatformUrl, namespace: Namespace = "egretstack") -> None:
        """Show what applying a file would change."""

        async def work() -> None:
            async with _platform(platform, namespace) as (_, api, _listed):
                print(await diff_text(ConfigurationStore(api), read_part_file(file, kind)))

        _run(work)

    @group.command
    def apply(
        file: Path,
        *,
        platform: PlatformUrl,
        namespace: Namespace = "egretstack",
        base: str | None = None,
    ) -> None:
        """Put a file in force everywhere.

        Exit codes: 0 accepted, 2 the file is wrong, 3 conflict, 4 outcome unknown, 5 no answer.

        Parameters
        ----------
        file
            The file.
        platform
            Base URL of the platform's object API.
        namespace
            Namespace of the system's objects.
        base
            Digest of the version you started from; a newer one in force is then a conflict.
        """

        async def work() -> None:
            part = read_part_file(file, kind)
            async with _platform(platform, namespace) as (_, api, _listed):
                store = ConfigurationStore(api)
                try:
                    accepted = await apply_file(store, part, base)
                except ApplyConflict as error:
                    print(sections_diff(error.theirs, part.sections, "in force", str(file)))
                    raise
            print(
                f"{part.part}: accepted as revision {accepted.revision},"
                f" change {accepted.change_id}"
            )

        _run(work)


_add_part_commands(contract, PartKind.CONTRACT)
_add_part_commands(service, PartKind.SERVICE)


def main() -> None:
    """Run the program."""
    app()
