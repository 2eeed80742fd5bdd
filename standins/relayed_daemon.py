"""Daemon that connects to some peers through relays.

Only the address of the outgoing connection differs; membership still announces the
original link addresses.
"""

import json

import fire

from knapweedlead.daemon.main import run_daemon
from knapweedlead.http import split_address
from knapweedlead.transport import _links


def run(settings: str, dial: str) -> None:
    """Run the daemon until SIGTERM.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    dial : str
        JSON object from a link address to the address to connect to instead.
    """
    relay_by_peer = json.loads(dial) if isinstance(dial, str) else dial

    def dialled(address: str) -> tuple[str, int]:
        return split_address(relay_by_peer.get(address, address))

    _links.split_address = dialled  # type: ignore[attr-defined]
    run_daemon(settings)


if __name__ == "__main__":
    fire.Fire(run)
