"""`egret-report`: service-level burn, from the metrics of the entries."""

from pathlib import Path

from cyclopts import App

from egretstack import __version__
from egretstack.programs._running import exit_with
from egretstack.reports import read_samples, sessions_by_account

app = App(name="egret-report", version=__version__, help="Report on service-level burn.")


@app.default
def report(*files: Path) -> None:
    """Print sessions by account and outcome, summed over metric files of the entries.

    Parameters
    ----------
    files
        Files of Prometheus text, as saved from the operator ports.
    """

    def work() -> None:
        totals = sessions_by_account(read_samples(files))
        for (account, outcome), count in sorted(totals.items()):
            print(f"{account:24} {outcome:24} {count:8.0f}")

    exit_with(work)


def main() -> None:
    """Run the program."""
    app()
