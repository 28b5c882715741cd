"""The runners' entries, as the store's list and its changes tell of them."""

from collections.abc import Iterable
from dataclasses import dataclass

from egretstack.fleet import Runner
from egretstack.ids import RunnerName
from egretstack.platform._bodies import BadBody
from egretstack.platform._runners import decode_runner, without_start_time
from egretstack.platform._store import Change

NO_START_TIME = "no time of birth, which the others have"


@dataclass(frozen=True, slots=True)
class BadEntry:
    """An entry that names no runner, and why."""

    name: RunnerName
    error: str


class RunnerEntries:
    """The entries by name; each is decoded once, when it is read."""

    def __init__(self) -> None:
        self._runner_by_name: dict[RunnerName, Runner] = {}
        self._error_by_name: dict[RunnerName, str] = {}

    def clear(self) -> None:
        """Forget all, before a whole list is taken; what was bad is known until it changes."""
        self._runner_by_name = {}

    def apply(self, changes: Iterable[Change]) -> list[BadEntry]:
        """Take changed entries; give those that became bad, or bad in another way.

        A bad entry names no runner: what it said before does not stand for it either.
        """
        bad = []
        for change in changes:
            name = RunnerName(change.object.name)
            self._runner_by_name.pop(name, None)
            before = self._error_by_name.pop(name, None)
            if change.deleted:
                continue
            try:
                self._runner_by_name[name] = decode_runner(change.object)
            except BadBody as error:
                self._error_by_name[name] = str(error)
                if str(error) != before:
                    bad.append(BadEntry(name, str(error)))
        return bad

    def runners(self) -> list[Runner]:
        """Give the runners that the entries name."""
        runners = list(self._runner_by_name.values())
        unborn = {runner.id for runner in without_start_time(runners)}
        return [runner for runner in runners if runner.id not in unborn]

    def bad(self) -> list[BadEntry]:
        """Give the entries that name no runner."""
        unborn = without_start_time(list(self._runner_by_name.values()))
        bad = [BadEntry(name, error) for name, error in self._error_by_name.items()]
        return bad + [BadEntry(runner.incarnation.name, NO_START_TIME) for runner in unborn]
