"""Program that runs a daemon on the users' platform.

Start it with ``python3 -m knapweedlead.sidecard``.
"""

import signal


def main() -> None:
    """Run the daemon."""
    # A SIGHUP during the imports, which take a good part of the startup, must not end
    # the process. It can be ignored since the settings are loaded only afterwards.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from knapweedlead.sidecar.main import main as run

    run()


if __name__ == "__main__":
    main()
