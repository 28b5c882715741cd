"""`egret-entry`: serves callers on one instance."""

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
    "limits",
    "accounts",
    "runners",
    "dispatching",
    "length_sharing",
    "session_host",
    "ledger_store",
    "calls",
    "caller_api",
    "operator_port",
)

app = App(name="egret-entry", version=__version__, help="Serve callers on this instance.")


@app.default
def serve(settings: Path) -> None:
    """Serve callers until SIGTERM, which starts a graceful shutdown.

    Exit codes: 0 stopped, 1 a service failed, 2 wrong settings.

    Parameters
    ----------
    settings
        The settings file.
    """
    run_daemon(settings, Program.ENTRY, SERVICES)


def main() -> None:
    """Run the program."""
    app()
