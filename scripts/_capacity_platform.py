"""Computes the capacity page's lines for the users' platform from the stored slopes."""

from egretstack.fleet import REPORT_PERIOD_S
from scripts._sheet import Line, Resource, Slopes, format_amount
from scripts._target import TARGET

CURRENT_ENGINES = 24
"""Engines of the larger of the users' two deployments after it has grown."""


def placing_home_lines(slopes: Slopes) -> list[Line]:
    """Return the costs of the single placing home of the users' platform at the target size."""
    reports = TARGET.nodes / REPORT_PERIOD_S
    sessions = TARGET.open_sessions
    return [
        Line(
            "reports of all instances",
            Resource.CPU,
            ("fleet.home_report_cpu",),
            f"{reports:,.0f} reports/s",
            reports * slopes.value_at("fleet.home_report_cpu", TARGET.nodes),
            "one home for the fleet",
        ),
        Line(
            "places for all generations",
            Resource.CPU,
            ("fleet.place_cpu",),
            f"{TARGET.requests:,} a second over {TARGET.runners:,} engines",
            TARGET.requests * slopes.value_at("fleet.place_cpu", TARGET.runners),
            "one home for the fleet",
        ),
        Line(
            "an instance's report of its runs, to two",
            Resource.TRAFFIC,
            ("fleet.report_wire",),
            f"{sessions:.0f} runs, {2 / REPORT_PERIOD_S:.0f} reports/s",
            2 / REPORT_PERIOD_S * slopes.value_at("fleet.report_wire", sessions),
            "whole reports, so that a new home knows everything at once",
        ),
    ]


def platform_prose_figures(slopes: Slopes) -> dict[str, str]:
    """Return the figures that the prose on the platform refers to."""
    return {
        "whole_news": format_amount(
            slopes.value_at("fleet.instance_news_wire", TARGET.nodes)
            + slopes.value_at("fleet.runner_news_wire", TARGET.runners),
            "bytes",
        ),
        "quiet_news": format_amount(
            slopes.value_at("fleet.quiet_news_wire", TARGET.nodes), "bytes"
        ),
        "place_ms": f"{slopes.value_at('fleet.place_cpu', TARGET.runners) / 1000:.0f}",
        "place_small_ms": f"{slopes.value_at('fleet.place_cpu', CURRENT_ENGINES) / 1000:.2g}",
    }
