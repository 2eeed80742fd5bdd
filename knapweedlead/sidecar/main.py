"""Entry point of the daemon's process on the users' platform."""

import asyncio
import random
import secrets
import signal
import sys
from pathlib import Path

import uvloop
from result import Err

from knapweedlead.mesh import MeshSettings
from knapweedlead.platform import boot_path, load_boot_file
from knapweedlead.process import tune_garbage_collector
from knapweedlead.sidecar._sidecar import Sidecar

EXIT_BAD_SETTINGS = 2


def main() -> None:
    """Run the daemon until SIGTERM."""
    path = boot_path()
    if path is None:
        print("expected the path of a boot file in the environment", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS)
    loaded = load_boot_file(path)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS)
    uvloop.run(_serve(loaded.ok_value, path))


async def _serve(settings: MeshSettings, path: Path) -> None:
    sidecar = Sidecar(settings, random.Random(secrets.randbits(64)))
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(sidecar.handle_loop_exception)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, sidecar, path)
    await sidecar.start()
    tune_garbage_collector()
    await stopped.wait()
    await sidecar.stop()
    # Removing the handler restores the default action, with which a late SIGHUP would
    # end the process; the signal is therefore ignored.
    loop.remove_signal_handler(signal.SIGHUP)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _reload(sidecar: Sidecar, path: Path) -> None:
    """Load the boot file again; an invalid file is logged and changes nothing."""
    loaded = load_boot_file(path)
    if isinstance(loaded, Err):
        sidecar.recorder.log("reload", outcome="refused", detail=str(loaded.err_value))
    else:
        sidecar.reload(loaded.ok_value)
