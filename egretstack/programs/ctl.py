"""`egretctl`: the command-line tool for operators."""

import json
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from egretstack import __version__
from egretstack.configuration import ConfigurationStore, PartKind
from egretstack.contracts import contract_page, service_page
from egretstack.errors import UserError
from egretstack.events import catalogue_page
from egretstack.operators import (
    drain_instance,
    find_instance,
    fleet_status,
    new_account_key,
    new_session_key,
    snapshot_in_force,
)
from egretstack.platform import read_configuration, read_node_settings
from egretstack.programs._ctl_common import Namespace, PlatformUrl, open_platform, run_command
from egretstack.programs._ctl_parts import add_part_commands
from egretstack.programs._explain import add_explain_command
from egretstack.programs._placing import add_placing_command
from egretstack.programs._replay import add_replay_command
from egretstack.programs._running import ExitCode, run_or_exit
from egretstack.settings import (
    Program,
    read_operator_settings,
    read_settings,
    settings_page,
)

_PAGES = {
    "contracts": contract_page,
    "events": catalogue_page,
    "services": service_page,
    "settings": settings_page,
}

app = App(name="egretctl", version=__version__, help="Operate egretstack.")
contract = App(name="contract", help="Contracts of client accounts.")
service = App(name="service", help="Descriptions of upstream services.")
app.command(contract)
app.command(service)
add_explain_command(app)
add_placing_command(app)
add_replay_command(app)


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
    run_or_exit(lambda: read_settings(file, program))
    print(f"{file}: good settings for {program.value}")


@app.command
def check_node(file: Path) -> None:
    """Check a settings file that the users' platform wrote for an instance.

    Example: `egretctl check-node /etc/egretstack/node.conf`

    Parameters
    ----------
    file
        The settings file.
    """
    run_or_exit(lambda: read_node_settings(file))
    print(f"{file}: good settings for an instance of the platform")


@app.command
def check_operator_settings(file: Path) -> None:
    """Check an operator's file for instances of the users' platform.

    Example: `egretctl check-operator-settings operator.ini`

    Parameters
    ----------
    file
        The file that EGRETSTACK_OPERATOR_FILE names.
    """
    settings = run_or_exit(lambda: read_operator_settings(file))
    print(f"{file}: good operator's settings: share_capacity {settings.share_capacity.value}")


@app.command
def check_configuration(
    file: Path, *, json_output: Annotated[bool, Parameter(name="--json")] = False
) -> None:
    """Check a configuration as the users' platform stores it; a fault is named by its field.

    Example: `egretctl check-configuration main.json`

    Parameters
    ----------
    file
        The stored object as JSON, or its `spec` alone.
    json_output
        Print what it holds as JSON.
    """
    configuration = run_or_exit(lambda: read_configuration(file))
    counts = {
        "version": configuration.version,
        "routes": len(configuration.routes),
        "services": len(configuration.service_by_name),
        "accounts": len({one.name for one in configuration.account_by_key_digest.values()}),
    }
    if json_output:
        print(json.dumps(counts))
        return
    summary = ", ".join(f"{name} {count}" for name, count in counts.items())
    print(f"{file}: good configuration: {summary}")


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
        run_or_exit(lambda: _raise_unknown_page(page))
    print(_PAGES[page](), end="")


def _raise_unknown_page(page: str) -> None:
    raise UserError(f"no page named {page}; known: {', '.join(sorted(_PAGES))}")


@app.command
def status(
    *,
    platform: PlatformUrl,
    namespace: Namespace = "egretstack",
    json_output: Annotated[bool, Parameter(name="--json")] = False,
) -> None:
    """Show the revision in force on every instance, and the lowest of them."""

    async def command() -> None:
        async with open_platform(platform, namespace) as (client, _, listed):
            rows = await fleet_status(client, listed)
        answered = [row.revision for row in rows if row.revision is not None]
        lowest = min(answered, default=None)
        unanswered = len(rows) - len(answered)
        if json_output:
            instance_rows = [asdict(row) for row in rows]
            print(json.dumps({"lowest": lowest, "silent": unanswered, "instances": instance_rows}))
            return
        for row in rows:
            state = "draining" if row.draining else "serving"
            revision = "no answer" if row.revision is None else f"revision {row.revision}"
            print(f"{row.instance:20} {row.port:18} {revision:16} {state}")
        print(f"lowest revision in force: {lowest}; without an answer: {unanswered}")

    run_command(command)


@app.command
def settle(change_id: str, *, platform: PlatformUrl, namespace: Namespace = "egretstack") -> None:
    """Tell whether a change whose outcome was unknown is among the latest accepted."""

    async def command() -> None:
        async with open_platform(platform, namespace) as (_, api, _listed):
            accepted = await ConfigurationStore(api).find_accepted(change_id)
        if accepted is None:
            print(f"change {change_id} is not among the latest changes accepted")
            sys.exit(ExitCode.UNKNOWN)
        print(f"change {change_id} was accepted as revision {accepted.revision}")

    run_command(command)


@app.command
def recover(instance: str, *, platform: PlatformUrl, namespace: Namespace = "egretstack") -> None:
    """Put the configuration that an instance has in force back into a store restored from a copy.

    Changes that the store accepted since the restore, and no instance took, are given up.
    """

    async def command() -> None:
        async with open_platform(platform, namespace) as (client, api, listed):
            snapshot = await snapshot_in_force(client, await find_instance(listed, instance))
            given_up = await ConfigurationStore(api).recover(snapshot)
        head = snapshot.head
        print(f"revision {head.revision}, change {head.change_id}, is back in the store")
        print(f"changes given up: {', '.join(given_up) or 'none'}")

    run_command(command)


@app.command
def drain(instance: str, *, platform: PlatformUrl, namespace: Namespace = "egretstack") -> None:
    """Ask the entry of an instance to shut down gracefully."""

    async def command() -> None:
        async with open_platform(platform, namespace) as (client, _, listed):
            await drain_instance(client, await find_instance(listed, instance))
        print(f"{instance} is draining")

    run_command(command)


add_part_commands(contract, PartKind.CONTRACT)
add_part_commands(service, PartKind.SERVICE)


def main() -> None:
    """Run the program."""
    app()
