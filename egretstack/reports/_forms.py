"""The burn report as text and as JSON."""

import json
from collections.abc import Sequence

from egretstack.reports._burn import LevelBurn, Window, WindowBurn

MINUTE_S = 60
HOUR_S = 3_600
_HEAD = f"{'account':20} {'objective':12} {'target':>18}"


def text_report(burns: Sequence[LevelBurn]) -> str:
    """Give a table with the burn rate of each window; `~` marks a window covered in part."""
    windows = "".join(f" {window.label:>8}" for window in Window)
    lines = [f"{_HEAD}{windows} {'left':>7} alert"]
    lines.extend(_line(burn) for burn in burns)
    covered = {window: _least_covered(burns, window) for window in Window}
    parts = [f"{w.label} {format_duration(s)}" for w, s in covered.items() if s < w.length_s]
    if parts:
        lines.append(f"~ covered by the snapshots in part: {', '.join(parts)}")
    return "\n".join(lines)


def json_report(burns: Sequence[LevelBurn]) -> str:
    """Give all figures as JSON; times in seconds, shares and burn rates as fractions."""
    return json.dumps([_row(burn) for burn in burns], indent=2)


def format_target(burn: LevelBurn) -> str:
    """Write a target, such as `95% in 0.63 s`."""
    share = f"{burn.share * 100:g}%"
    return share if burn.target_s is None else f"{share} in {burn.target_s:g} s"


def format_duration(seconds: float) -> str:
    """Write a length of time in the largest unit that suits."""
    if seconds >= HOUR_S:
        return f"{seconds / HOUR_S:.1f} h"
    if seconds >= MINUTE_S:
        return f"{seconds / MINUTE_S:.1f} min"
    return f"{seconds:.0f} s"


def _line(burn: LevelBurn) -> str:
    rates = "".join(f" {_rate(one):>8}" for one in burn.burn_by_window.values())
    alert = "-" if burn.alert is None else burn.alert.label
    head = f"{burn.account:20} {burn.objective.value:12} {format_target(burn):>18}"
    return f"{head}{rates} {burn.budget_left:>6.0%} {alert}"


def _rate(one: WindowBurn) -> str:
    if not one.total:
        return "none"
    mark = "~" if one.covered_s < one.window.length_s else ""
    return f"{mark}{one.rate:.2f}"


def _least_covered(burns: Sequence[LevelBurn], window: Window) -> float:
    return min((one.burn_by_window[window].covered_s for one in burns), default=window.length_s)


def _row(burn: LevelBurn) -> dict[str, object]:
    windows = {
        window.label: {
            "events": one.total,
            "bad": one.bad,
            "burn_rate": round(one.rate, 4),
            "covered_s": round(one.covered_s, 3),
        }
        for window, one in burn.burn_by_window.items()
    }
    return {
        "account": burn.account,
        "objective": burn.objective.value,
        "target_s": burn.target_s,
        "share": burn.share,
        "budget_left": round(burn.budget_left, 4),
        "alert": None if burn.alert is None else burn.alert.name.lower().replace("_", "-"),
        "windows": windows,
    }
