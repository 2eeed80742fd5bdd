"""Executable ``knapweedleadd``: the daemon that runs next to a backend server."""

import asyncio
import random
import secrets
import signal
import sys
import time

import fire
import uvloop
from result import Err

from knapweedlead.daemon._composition import compose
from knapweedlead.daemon._lifecycle import Lifecycle
from knapweedlead.daemon._operator_api import open_operator_api
from knapweedlead.daemon._shell import Shell
from knapweedlead.process import tune_garbage_collector
from knapweedlead.settings import DaemonSettings, load_settings
from knapweedlead.telemetry import configure_logs

EXIT_BAD_SETTINGS = 2

_NS_PER_MS = 1_000_000


def run_daemon(settings: str) -> None:
    """Run the daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : str
        Path of the settings file, JSON with comments.
    """
    loaded = load_settings(DaemonSettings, str(settings))
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS)
    configure_logs(loaded.ok_value.telemetry.log_level)
    uvloop.run(_serve(loaded.ok_value))


async def _serve(settings: DaemonSettings) -> None:
    incarnation = time.time_ns() // _NS_PER_MS
    rng = random.Random(settings.seed or secrets.randbits(64))
    shell = Shell(settings, compose(settings, incarnation, rng))
    lifecycle = Lifecycle(shell, open_operator_api(shell))
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await lifecycle.start()
    tune_garbage_collector()
    await stopped.wait()
    await lifecycle.stop()


def main() -> None:
    """Entry point of the console script."""
    fire.Fire(run_daemon)


if __name__ == "__main__":
    main()
