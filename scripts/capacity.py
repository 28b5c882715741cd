"""Generates `docs/CAPACITY.md` from a template and the stored slopes.

In the template, `{{table NAME}}` stands for a table and `{{NAME}}` for a figure, both computed by
`scripts/_capacity_lines.py`, so that every figure on the page agrees with the run it comes from.
"""

import re
from pathlib import Path

from scripts._capacity_lines import LINES_BY_TABLE, fit_runs, prose_figures
from scripts._sheet import Slopes, format_table

ROOT = Path(__file__).parent.parent
TEMPLATE = Path(__file__).with_name("capacity.md")
PAGE = ROOT / "docs" / "CAPACITY.md"
_PLACEHOLDER = re.compile(r"\{\{(table )?([a-z_]+)\}\}")


def capacity_page(slopes: Slopes) -> str:
    """Return the text of the page; raise KeyError for an unknown placeholder."""
    fit_runs(slopes)
    figures = prose_figures(slopes)

    def replace(match: re.Match) -> str:
        if match.group(1):
            return format_table(LINES_BY_TABLE[match.group(2)](slopes), slopes)
        return figures[match.group(2)]

    return _PLACEHOLDER.sub(replace, TEMPLATE.read_text())


def main() -> None:
    """Write the page."""
    PAGE.write_text(capacity_page(Slopes()))


if __name__ == "__main__":
    main()
