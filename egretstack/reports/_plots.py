"""Plots of the burn report."""

from collections.abc import Sequence
from io import BytesIO, StringIO

from matplotlib import rc_context
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from egretstack.reports._burn import Alert, LevelBurn, Window

WIDTH_INCHES = 8.0
ROW_INCHES = 0.34
HEADER_INCHES = 1.3
BAR_HEIGHT = 0.16
X_AXIS_MARGIN = 1.3
SVG_SALT = "egretstack"
PNG_DPI = 90


def burn_figure(burns: Sequence[LevelBurn]) -> Figure:
    """Plot the burn rate of every window and the budget left, with one row for each objective."""
    height = HEADER_INCHES + ROW_INCHES * 2 * max(1, len(burns))
    figure = Figure(figsize=(WIDTH_INCHES, height), layout="constrained")
    rates, left = figure.subplots(1, 2, sharey=True, width_ratios=(3, 1))
    names = [f"{burn.account}\n{burn.objective.value}" for burn in burns]
    rates.set_yticks(range(len(burns)), names)
    rates.invert_yaxis()
    _draw_rates(rates, burns)
    _draw_budget_left(left, burns)
    return figure


def render_svg(figure: Figure) -> str:
    """Return a figure as an SVG element without XML header; equal figures give equal text."""
    out = StringIO()
    with rc_context({"svg.hashsalt": SVG_SALT}):
        figure.savefig(out, format="svg", metadata={"Date": None, "Creator": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def render_png(figure: Figure) -> bytes:
    """Return a figure as a PNG image."""
    out = BytesIO()
    figure.savefig(out, format="png", dpi=PNG_DPI, metadata={"Software": None})
    return out.getvalue()


def _draw_rates(axes: Axes, burns: Sequence[LevelBurn]) -> None:
    for position, window in enumerate(Window):
        offset = (position - (len(Window) - 1) / 2) * BAR_HEIGHT
        values = [burn.burn_by_window[window].rate for burn in burns]
        rows = [row + offset for row in range(len(burns))]
        axes.barh(rows, values, height=BAR_HEIGHT, label=window.label)
    for alert in Alert:
        axes.axvline(alert.rate, color="0.6", linewidth=0.8, linestyle="--")
    axes.set_xscale("symlog", linthresh=1.0)
    max_rate = (
        max(Alert.PAGE_FAST.rate, *(rate for burn in burns for rate in burn.rates)) * X_AXIS_MARGIN
    )
    axes.set_xlim(0, max_rate)
    ticks = (0.0, 0.5, *sorted(alert.rate for alert in Alert))
    axes.set_xticks(ticks, [f"{mark:g}" for mark in ticks])
    axes.set_xticks([], minor=True)
    axes.set_xlabel("burn rate (dashed: where alerts begin)")
    axes.legend(title="window", fontsize="small")


def _draw_budget_left(axes: Axes, burns: Sequence[LevelBurn]) -> None:
    values = [max(0.0, burn.budget_left) * 100 for burn in burns]
    colours = ["tab:red" if burn.budget_left <= 0 else "tab:green" for burn in burns]
    axes.barh(range(len(burns)), values, color=colours, height=0.5)
    axes.set_xlim(0, 100)
    axes.set_xlabel("budget left, %")
