"""Formats the burn report as one self-contained HTML page."""

from collections.abc import Sequence
from html import escape

from egretstack.reports._burn import LevelBurn, Window
from egretstack.reports._formatting import format_duration, format_target
from egretstack.reports._plots import burn_figure, render_svg

_STYLE = """body { font: 15px sans-serif; margin: 2em; max-width: 70em; }
table { border-collapse: collapse; }
th, td { padding: 0.3em 0.8em; border-bottom: 1px solid #ccc; text-align: right; }
th:first-child, td:first-child, th:nth-child(2), td:nth-child(2) { text-align: left; }
.page { background: #f7c6c5; } .ticket { background: #fdebc8; }
svg { max-width: 100%; height: auto; }"""


def html_report(burns: Sequence[LevelBurn], taken: str) -> str:
    """Return the page; `taken` is the time of the newest snapshot, as text."""
    heads = ["account", "objective", "target", *[w.label for w in Window], "budget left", "alert"]
    cells = "".join(f"<th>{escape(head)}</th>" for head in heads)
    rows = "\n".join(_make_row(burn) for burn in burns)
    return f"""<!DOCTYPE html>
<html lang="en">
<head><meta charset="utf-8"><title>Service-level burn</title><style>{_STYLE}</style></head>
<body>
<h1>Service-level burn</h1>
<p>As of {escape(taken)}. A burn rate of 1 spends the budget exactly over its period; a window that
the snapshots cover in part is marked with what they cover.</p>
{render_svg(burn_figure(burns))}
<table>
<tr>{cells}</tr>
{rows}
</table>
</body>
</html>
"""


def _make_row(burn: LevelBurn) -> str:
    cells = [burn.account, burn.objective.value, format_target(burn)]
    for window, window_burn in burn.burn_by_window.items():
        coverage = (
            ""
            if window_burn.covered_s >= window.length_s
            else f" ({format_duration(window_burn.covered_s)})"
        )
        cells.append(
            f"{window_burn.rate:.2f} of {window_burn.total:,}{coverage}"
            if window_burn.total
            else "no events"
        )
    cells.append(f"{burn.budget_left:.0%}")
    label = "" if burn.alert is None else burn.alert.label
    cells.append(label)
    tags = "".join(f"<td>{escape(cell)}</td>" for cell in cells)
    return f'<tr class="{label}">{tags}</tr>'
