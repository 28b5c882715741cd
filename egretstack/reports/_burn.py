"""Burn rates of service-level error budgets over several windows.

The burn rate is the share of bad events in a window, divided by the share that may be bad: at 1
the budget lasts exactly as long as the period it is meant for. Alerts need a long window, so that
a few bad events raise none, and a short one, so that they stop soon after the cause has ended
(Beyer and others, "The Site Reliability Workbook", chapter 5, "Alerting on SLOs").
"""

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from egretstack.ids import AccountId, InstanceId
from egretstack.metrics import Objective, Tally
from egretstack.reports._snapshots import LevelKey, Snapshot


class Window(Enum):
    """A time window that ends with the newest snapshot: its label and its length in seconds."""

    FIVE_MINUTES = ("5m", 300.0)
    HALF_HOUR = ("30m", 1_800.0)
    HOUR = ("1h", 3_600.0)
    SIX_HOURS = ("6h", 21_600.0)
    THREE_DAYS = ("3d", 259_200.0)

    def __init__(self, label: str, length_s: float) -> None:
        self.label = label
        self.length_s = length_s


BUDGET_WINDOW = Window.THREE_DAYS
"""Window over which the remaining budget is computed."""


class Alert(Enum):
    """An alert: label, burn rate from which it is raised, long window and short window."""

    PAGE_FAST = ("page", 14.4, Window.HOUR, Window.FIVE_MINUTES)
    PAGE_SLOW = ("page", 6.0, Window.SIX_HOURS, Window.HALF_HOUR)
    TICKET = ("ticket", 1.0, Window.THREE_DAYS, Window.SIX_HOURS)

    def __init__(self, label: str, rate: float, long: Window, short: Window) -> None:
        self.label = label
        self.rate = rate
        self.long = long
        self.short = short


@dataclass(frozen=True)
class WindowBurn:
    """The events of one window; the snapshots cover `covered_s` seconds of it."""

    window: Window
    total: int
    good: int
    target_share: float
    covered_s: float

    @property
    def bad(self) -> int:
        """Return the number of events that missed the target."""
        return self.total - self.good

    @property
    def rate(self) -> float:
        """Return the burn rate; 0 without events."""
        return self.bad / self.total / (1 - self.target_share) if self.total else 0.0


@dataclass(frozen=True)
class LevelBurn:
    """One account's burn of one objective. `target_s` is None if its target is not a time."""

    account: AccountId
    objective: Objective
    target_s: float | None
    target_share: float
    burn_by_window: dict[Window, WindowBurn]

    @property
    def rates(self) -> tuple[float, ...]:
        """Return the burn rate of each window."""
        return tuple(burn.rate for burn in self.burn_by_window.values())

    @property
    def budget_left(self) -> float:
        """Return the share of the budget that is left; negative when it is overspent."""
        return 1 - self.burn_by_window[BUDGET_WINDOW].rate

    @property
    def alert(self) -> Alert | None:
        """Return the most urgent alert whose burn rate is reached in both of its windows."""
        for alert in Alert:
            burns = (self.burn_by_window[alert.long], self.burn_by_window[alert.short])
            if all(burn.rate >= alert.rate for burn in burns):
                return alert
        return None


def compute_burns(snapshots: Sequence[Snapshot]) -> list[LevelBurn]:
    """Compute the burn of every account and objective at the time of the newest snapshot."""
    end_s = max(one.at_s for one in snapshots)
    histories = _group_by_instance(snapshots)
    newest_by_key = {key: one for one in snapshots for key in one.share_by_level}
    level_burns = []
    for key, snapshot in sorted(newest_by_key.items(), key=lambda item: _sort_key(item[0])):
        share = snapshot.share_by_level[key]
        burns = {
            window: _compute_window_burn(histories, key, share, window, end_s) for window in Window
        }
        level_burns.append(LevelBurn(*key, snapshot.target_s_by_level.get(key), share, burns))
    return level_burns


def _sort_key(key: LevelKey) -> tuple[str, int]:
    return key[0], list(Objective).index(key[1])


def _group_by_instance(snapshots: Sequence[Snapshot]) -> dict[InstanceId, list[Snapshot]]:
    by_instance: dict[InstanceId, list[Snapshot]] = {}
    for snapshot in sorted(snapshots, key=lambda one: one.at_s):
        by_instance.setdefault(snapshot.instance, []).append(snapshot)
    return by_instance


def _compute_window_burn(
    histories: dict[InstanceId, list[Snapshot]],
    key: LevelKey,
    share: float,
    window: Window,
    end_s: float,
) -> WindowBurn:
    begin_s = end_s - window.length_s
    tally = Tally()
    covered_s = window.length_s
    for history in histories.values():
        first_index, from_s = _find_window_start(history, begin_s)
        covered_s = min(covered_s, end_s - from_s)
        growth = _compute_growth(
            history[first_index:],
            key,
            from_zero=first_index == 0 and _started_within(history, begin_s),
        )
        tally.total += growth.total
        tally.good += growth.good
    return WindowBurn(window, tally.total, tally.good, share, max(0.0, covered_s))


def _started_within(history: list[Snapshot], begin_s: float) -> bool:
    """Return whether the process of the first snapshot started within the window."""
    return history[0].started_s >= begin_s


def _find_window_start(history: list[Snapshot], begin_s: float) -> tuple[int, float]:
    """Return the index of a window's first snapshot, and the time from which it is covered."""
    index = bisect_right([one.at_s for one in history], begin_s) - 1
    if index >= 0:
        return index, begin_s
    return 0, begin_s if _started_within(history, begin_s) else history[0].at_s


def _compute_growth(history: list[Snapshot], key: LevelKey, *, from_zero: bool) -> Tally:
    """Sum the growth of the counters; a process that restarted counts from 0 again."""
    growth = Tally()
    if from_zero:
        _add_difference(growth, _tally_of(history[0], key), Tally())
    for earlier, later in zip(history, history[1:], strict=False):
        old = _tally_of(earlier, key)
        new = _tally_of(later, key)
        has_restarted = later.started_s != earlier.started_s or new.total < old.total
        _add_difference(growth, new, Tally() if has_restarted else old)
    return growth


def _add_difference(growth: Tally, new: Tally, old: Tally) -> None:
    growth.total += new.total - old.total
    growth.good += max(0, min(new.good - old.good, new.total - old.total))


def _tally_of(snapshot: Snapshot, key: LevelKey) -> Tally:
    return snapshot.tally_by_level.get(key, Tally())
