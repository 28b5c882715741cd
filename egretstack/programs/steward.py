"""`egret-steward`: runs the leased duties and the configuration watch of one instance."""

from pathlib import Path

from cyclopts import App

from egretstack import __version__
from egretstack.programs._running import run_daemon
from egretstack.settings import Program

SERVICES = (
    "platform_access",
    "instances",
    "peer_port",
    "membership",
    "configuration",
    "configuration_watch",
    "configuration_news",
    "ledger_pruning",
    "duties",
    "operator_port",
)

app = App(name="egret-steward", version=__version__, help="Run the duties of this instance.")


@app.default
def serve(settings: Path) -> None:
    """Run duties until SIGTERM, which starts a graceful shutdown.

    Exit codes: 0 stopped, 1 a service failed, 2 wrong settings.

    Parameters
    ----------
    settings
        The settings file.
    """
    run_daemon(settings, Program.STEWARD, SERVICES)


def main() -> None:
    """Run the program."""
    app()
