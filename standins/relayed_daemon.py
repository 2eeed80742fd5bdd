"""The daemon, with its links to some peers led through relays.

Announcements keep the true link addresses; only the address that is dialled
differs.
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
        Settings file.
    dial : str
        JSON object from link address to the address that is dialled instead.
    """
    relay_by_peer = json.loads(dial) if isinstance(dial, str) else dial

    def dialled(address: str) -> tuple[str, int]:
        return split_address(relay_by_peer.get(address, address))

    _links.split_address = dialled  # type: ignore[attr-defined]
    run_daemon(settings)


if __name__ == "__main__":
    fire.Fire(run)
