"""`egret-report`: service-level burn, from the metrics of the entries."""

import sys
from datetime import UTC, datetime
from enum import Enum
from pathlib import Path

from cyclopts import App

from egretstack import __version__
from egretstack.errors import UserError
from egretstack.programs._running import run_or_exit
from egretstack.reports import (
    compute_burns,
    json_report,
    read_samples,
    read_snapshots,
    sessions_by_account,
    text_report,
)

app = App(name="egret-report", version=__version__, help="Report on service-level burn.")


class Form(Enum):
    """Output format of the report."""

    TEXT = "text"
    JSON = "json"
    HTML = "html"


@app.default
def report(*files: Path, form: Form = Form.TEXT, out: Path | None = None) -> None:
    """Tell how fast each account's service-level budgets burn, and what is left of them.

    Exit codes: 0 written, 2 a file is wrong.

    Parameters
    ----------
    files
        Metrics of entries, each saved from the operator port of one entry at one time. Several
        of the same entry, taken at different times, fill the windows.
    form
        How the report is written; html is one page with plots.
    out
        Where it is written; standard output by default.
    """
    run_or_exit(lambda: _write(_make_report(files, form), out))


@app.command
def sessions(*files: Path) -> None:
    """Print sessions by account and outcome, summed over metric files of the entries.

    Parameters
    ----------
    files
        Metrics of entries, one file for each entry.
    """

    def print_totals() -> None:
        totals = sessions_by_account(read_samples(files))
        for (account, outcome), count in sorted(totals.items()):
            print(f"{account:24} {outcome:24} {count:8.0f}")

    run_or_exit(print_totals)


def _make_report(files: tuple[Path, ...], form: Form) -> str:
    snapshots = read_snapshots(files)
    burns = compute_burns(snapshots)
    if form is Form.TEXT:
        return text_report(burns) + "\n"
    if form is Form.JSON:
        return json_report(burns) + "\n"
    # Imported here because loading the plot library takes longer than a whole text report.
    from egretstack.reports._page import html_report

    taken = datetime.fromtimestamp(snapshots[-1].at_s, UTC)
    return html_report(burns, f"{taken:%Y-%m-%d %H:%M:%S} UTC")


def _write(text: str, out: Path | None) -> None:
    if out is None:
        sys.stdout.write(text)
        return
    try:
        out.write_text(text, encoding="utf-8")
    except OSError as error:
        raise UserError(f"{out}: cannot be written: {error.strerror}") from error


def main() -> None:
    """Run the program."""
    app()
