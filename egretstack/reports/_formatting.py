"""Formats the burn report as text and as JSON."""

import json
from collections.abc import Sequence

from egretstack.reports._burn import LevelBurn, Window, WindowBurn

MINUTE_S = 60
HOUR_S = 3_600
_HEADER = f"{'account':20} {'objective':12} {'target':>18}"


def text_report(burns: Sequence[LevelBurn]) -> str:
    """Return a table of burn rates by window; `~` marks a window that is only partly covered."""
    windows = "".join(f" {window.label:>8}" for window in Window)
    lines = [f"{_HEADER}{windows} {'left':>7} alert"]
    lines.extend(_format_line(burn) for burn in burns)
    covered_by_window = {window: _min_covered_s(burns, window) for window in Window}
    partial = [
        f"{w.label} {format_duration(s)}" for w, s in covered_by_window.items() if s < w.length_s
    ]
    if partial:
        lines.append(f"~ covered by the snapshots in part: {', '.join(partial)}")
    return "\n".join(lines)


def json_report(burns: Sequence[LevelBurn]) -> str:
    """Return all figures as JSON; times in seconds, shares and burn rates as fractions."""
    return json.dumps([_make_row(burn) for burn in burns], indent=2)


def format_target(burn: LevelBurn) -> str:
    """Format a target, such as `95% in 0.63 s`."""
    share = f"{burn.target_share * 100:g}%"
    return share if burn.target_s is None else f"{share} in {burn.target_s:g} s"


def format_duration(seconds: float) -> str:
    """Format a duration in hours, minutes or seconds."""
    if seconds >= HOUR_S:
        return f"{seconds / HOUR_S:.1f} h"
    if seconds >= MINUTE_S:
        return f"{seconds / MINUTE_S:.1f} min"
    return f"{seconds:.0f} s"


def _format_line(burn: LevelBurn) -> str:
    rates = "".join(f" {_format_rate(one):>8}" for one in burn.burn_by_window.values())
    alert = "-" if burn.alert is None else burn.alert.label
    row_header = f"{burn.account:20} {burn.objective.value:12} {format_target(burn):>18}"
    return f"{row_header}{rates} {burn.budget_left:>6.0%} {alert}"


def _format_rate(burn: WindowBurn) -> str:
    if not burn.total:
        return "none"
    mark = "~" if burn.covered_s < burn.window.length_s else ""
    return f"{mark}{burn.rate:.2f}"


def _min_covered_s(burns: Sequence[LevelBurn], window: Window) -> float:
    return min((one.burn_by_window[window].covered_s for one in burns), default=window.length_s)


def _make_row(burn: LevelBurn) -> dict[str, object]:
    windows = {
        window.label: {
            "events": window_burn.total,
            "bad": window_burn.bad,
            "burn_rate": round(window_burn.rate, 4),
            "covered_s": round(window_burn.covered_s, 3),
        }
        for window, window_burn in burn.burn_by_window.items()
    }
    return {
        "account": burn.account,
        "objective": burn.objective.value,
        "target_s": burn.target_s,
        "share": burn.target_share,
        "budget_left": round(burn.budget_left, 4),
        "alert": None if burn.alert is None else burn.alert.name.lower().replace("_", "-"),
        "windows": windows,
    }
