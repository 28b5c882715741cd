"""The commands of `egretctl` for parts of the configuration."""

import json
from pathlib import Path

from cyclopts import App

from egretstack.configuration import Accepted, ApplyConflict, ConfigurationStore, PartKind
from egretstack.errors import UserError
from egretstack.operators import (
    apply_file,
    check_file,
    diff_text,
    part_in_force,
    read_part_file,
    refuse_older_store,
    remove_part,
    sections_diff,
)
from egretstack.programs._ctl_common import Namespace, PlatformUrl, open_platform, run_command
from egretstack.programs._running import run_or_exit


def add_part_commands(group: App, kind: PartKind) -> None:
    """Add check, show, diff, apply and remove for one kind of part."""
    _add_reading_commands(group, kind)
    _add_changing_commands(group, kind)


def _add_reading_commands(group: App, kind: PartKind) -> None:

    @group.command
    def check(file: Path) -> None:
        """Check a file without asking the platform."""
        run_or_exit(lambda: print(f"{file}: a good {kind.value} of {check_file(file, kind)}"))

    @group.command
    def show(name: str, *, platform: PlatformUrl, namespace: Namespace = "egretstack") -> None:
        """Show what is in force, as JSON."""

        async def command() -> None:
            async with open_platform(platform, namespace) as (_, api, _listed):
                sections = await part_in_force(ConfigurationStore(api), kind, name)
            if sections is None:
                raise UserError(f"no {kind.value} of {name} is in force")
            print(json.dumps(sections, indent=2))

        run_command(command)

    @group.command
    def diff(file: Path, *, platform: PlatformUrl, namespace: Namespace = "egretstack") -> None:
        """Show what applying a file would change."""

        async def command() -> None:
            async with open_platform(platform, namespace) as (_, api, _listed):
                print(await diff_text(ConfigurationStore(api), read_part_file(file, kind)))

        run_command(command)


def _add_changing_commands(group: App, kind: PartKind) -> None:
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

        async def command() -> None:
            part = read_part_file(file, kind)
            async with open_platform(platform, namespace) as (client, api, listed):
                store = ConfigurationStore(api)
                await refuse_older_store(client, listed, store)
                try:
                    accepted = await apply_file(store, part, base)
                except ApplyConflict as error:
                    print(
                        sections_diff(error.current_sections, part.sections, "in force", str(file))
                    )
                    raise
            print(f"{part.part}: {_describe_accepted(accepted)}")

        run_command(command)

    @group.command
    def remove(name: str, *, platform: PlatformUrl, namespace: Namespace = "egretstack") -> None:
        """Take a part out of the configuration everywhere; exit codes as for `apply`."""

        async def command() -> None:
            async with open_platform(platform, namespace) as (client, api, listed):
                store = ConfigurationStore(api)
                await refuse_older_store(client, listed, store)
                accepted = await remove_part(store, kind, name)
            print(f"{kind.value}.{name}: removed, {_describe_accepted(accepted)}")

        run_command(command)


def _describe_accepted(accepted: Accepted) -> str:
    return f"accepted as revision {accepted.revision}, change {accepted.change_id}"
