"""Three paths to one backend server: direct, bare relays and daemons."""

import hashlib
import json
import time
from typing import Any, Self

from benchmarks.cost._load import Target
from standins.fleet import Fleet, FleetServer, call, free_address, wait_until_listening

KEY = "key-of-the-cost-benchmark"
PATH = "/back/wear"

CATALOGUE = {
    "revision": 1,
    "resources": {
        "client_accounts": [
            {"name": "crew", "rate_per_s": 100_000, "burst": 100_000},
        ],
        "keys": [
            {
                "name": "crew-1",
                "client_account": "crew",
                "sha256": hashlib.sha256(KEY.encode()).hexdigest(),
            }
        ],
        "routes": [
            {
                "name": "back",
                "path_prefix": "/back",
                "service": "back",
                "priority": 1,
                "is_idempotent": True,
            }
        ],
        "services": [{"name": "front"}, {"name": "back"}],
        "data_centres": [{"name": "dc1"}, {"name": "dc2"}],
    },
}

_SERVE_SECONDS = 20.0
_POLL_SECONDS = 0.1


class CostFleet(Fleet):
    """A fleet whose backend servers answer without delay."""

    def start_backend_server(self, server: FleetServer) -> None:
        """Start the benchmark's backend server instead of the stand-in."""
        server.backend_server = self._start(
            f"{server.name}-backend",
            "benchmarks.cost.backend",
            server.backend_server_address,
        )
        wait_until_listening(server.backend_server_address, server.backend_server)


class Paths:
    """Context manager that runs the processes of all three paths."""

    def __init__(self) -> None:
        self.fleet = CostFleet()
        self.relay_pids: list[int] = []

    def __enter__(self) -> Self:
        """Start all processes and wait until the daemons answer calls."""
        fleet = self.fleet.__enter__()
        try:
            self._start(fleet)
        except BaseException:
            self.fleet.__exit__()
            raise
        return self

    def __exit__(self, *exception: object) -> None:
        """Stop all processes."""
        self.fleet.__exit__(*exception)

    def _start(self, fleet: Fleet) -> None:
        body = json.dumps(CATALOGUE).encode()
        url = "/v1/kv/knapweedlead/catalogue?cas=0"
        call(fleet.store_address, url, "PUT", body=body)
        self.entry = fleet.add("front-1", "front", "dc1", slots=64)
        self.guard = fleet.add("back-1", "back", "dc2", slots=64)
        second = self._start_relay("relay-2", self.guard.backend_server_address)
        self.relay_address = self._start_relay("relay-1", second)
        self._wait_until_served()

    def _start_relay(self, name: str, target: str) -> str:
        address = free_address()
        process = self.fleet._start(name, "benchmarks.cost.relay", address, target)
        wait_until_listening(address, process)
        self.relay_pids.append(process.pid)
        return address

    def _wait_until_served(self) -> None:
        deadline = time.monotonic() + _SERVE_SECONDS
        answer: Any = None
        while time.monotonic() < deadline:
            status, answer = call(
                self.entry.caller_address,
                PATH,
                headers={"Authorization": f"Bearer {KEY}"},
            )
            if status == 200:
                return
            time.sleep(_POLL_SECONDS)
        raise TimeoutError(f"{answer}\n{self.fleet.log_of('front-1')}")

    @property
    def daemon_pids(self) -> list[int]:
        """Process ids of the entry daemon and the guard daemon, in this order."""
        daemons = [self.entry.daemon, self.guard.daemon]
        return [daemon.pid for daemon in daemons if daemon is not None]

    def targets(self) -> list[Target]:
        """Return the targets of the direct, relay and daemon paths, in this order."""
        headers = {"authorization": f"Bearer {KEY}"}
        addresses = (
            self.guard.backend_server_address,
            self.relay_address,
            self.entry.caller_address,
        )
        return [Target(address, PATH, headers) for address in addresses]
