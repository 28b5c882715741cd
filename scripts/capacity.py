"""Makes `docs/CAPACITY.md` from its text and the kept slopes.

In the text, `{{table NAME}}` stands for a table and `{{NAME}}` for a figure, both worked out by
`scripts/_capacity_lines.py`, so that no figure on the page can differ from the run it quotes.
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
    """Return the text of the page; a place that names nothing known is a KeyError."""
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
