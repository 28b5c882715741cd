"""`egret-platform-entry`: serves clients on one instance of the users' platform."""

import signal


def main() -> None:
    """Serve until SIGTERM, with the settings file that the platform specifies.

    Exit codes: 0 stopped, 1 a service failed, 2 wrong settings.
    """
    # By default SIGHUP ends the process. Until the service that reads the settings again is up,
    # they are read for the first time, and loading the program takes most of that time.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

    from egretstack.programs._platform_entry import serve

    serve()


if __name__ == "__main__":
    main()
