"""The runners' entries, from the store's listing and its changes."""

from collections.abc import Iterable
from dataclasses import dataclass

from egretstack.fleet import Runner
from egretstack.ids import RunnerName
from egretstack.platform._bodies import BadBody
from egretstack.platform._runners import decode_runner, without_start_time
from egretstack.platform._store import Change

NO_START_TIME = "no start time, although other runners have one"


@dataclass(frozen=True, slots=True)
class BadEntry:
    """An invalid runner entry and its error."""

    name: RunnerName
    error: str


class RunnerEntries:
    """Tracks runner entries by name; each is decoded once, when it is read."""

    def __init__(self) -> None:
        self._runner_by_name: dict[RunnerName, Runner] = {}
        self._error_by_name: dict[RunnerName, str] = {}

    def clear(self) -> None:
        """Remove all runners, before a full listing is applied.

        Errors are kept, so that an entry that is still invalid is not reported again.
        """
        self._runner_by_name = {}

    def apply(self, changes: Iterable[Change]) -> list[BadEntry]:
        """Apply changed entries; return those that became invalid, or invalid for another reason.

        An invalid entry names no runner: its last valid content is dropped as well.
        """
        bad = []
        for change in changes:
            name = RunnerName(change.object.name)
            self._runner_by_name.pop(name, None)
            last_error = self._error_by_name.pop(name, None)
            if change.deleted:
                continue
            try:
                self._runner_by_name[name] = decode_runner(change.object)
            except BadBody as error:
                self._error_by_name[name] = str(error)
                if str(error) != last_error:
                    bad.append(BadEntry(name, str(error)))
        return bad

    def runners(self) -> list[Runner]:
        """Return the runners with a valid entry."""
        runners = list(self._runner_by_name.values())
        excluded = {runner.id for runner in without_start_time(runners)}
        return [runner for runner in runners if runner.id not in excluded]

    def bad(self) -> list[BadEntry]:
        """Return the invalid entries."""
        without_start = without_start_time(list(self._runner_by_name.values()))
        bad = [BadEntry(name, error) for name, error in self._error_by_name.items()]
        return bad + [BadEntry(runner.incarnation.name, NO_START_TIME) for runner in without_start]
