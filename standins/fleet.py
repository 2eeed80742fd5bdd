"""Fleet of daemon and backend server processes on loopback, for demos and tests."""

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.request
from collections import deque
from pathlib import Path
from typing import Any, Self

import attrs

FLEET_SECRET = "fleet-secret-of-the-standins"
OPERATOR_CREDENTIAL = "operator-credential-of-the-standins"

_ROOT = str(Path(__file__).resolve().parent.parent)

PORTS_PER_BLOCK = 2000
_LOWEST_PORT = 10_000
_BLOCKS = 11

_worker = os.environ.get("PYTEST_XDIST_WORKER", "gw10").removeprefix("gw")
_FIRST_PORT = _LOWEST_PORT + int(_worker) % _BLOCKS * PORTS_PER_BLOCK
_offsets = itertools.count(os.getpid() % PORTS_PER_BLOCK)

MAX_RESERVED = 400
"""Ports reserved against other test runs; far more than one test uses."""
_reserved: deque[socket.socket] = deque(maxlen=MAX_RESERVED)

START_TIMEOUT = 20.0
"""Limit, in seconds, for a process to start listening."""
_POLL_SECONDS = 0.05


def free_address() -> str:
    """Return a free ``IP:PORT`` on loopback.

    Ports lie below the ephemeral range of the system, and each worker of a parallel
    test run has its own block. A UDP socket bound to the same number reserves the port,
    so that a concurrent test run does not use it before the listening process starts.
    """
    for _ in range(PORTS_PER_BLOCK):
        address = ("127.0.0.1", _FIRST_PORT + next(_offsets) % PORTS_PER_BLOCK)
        reservation = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            reservation.bind(address)
            with socket.socket() as probe:
                probe.bind(address)
        except OSError:
            reservation.close()
            continue
        if len(_reserved) == MAX_RESERVED:
            _reserved.popleft().close()
        _reserved.append(reservation)
        return f"127.0.0.1:{address[1]}"
    raise RuntimeError("no free port")


def wait_until_listening(address: str, process: subprocess.Popen[bytes]) -> None:
    """Wait until a process accepts connections at an address.

    Raises
    ------
    RuntimeError
        If the process exits.
    TimeoutError
        If the process does not listen within `START_TIMEOUT`.
    """
    host, _, port = address.rpartition(":")
    deadline = time.monotonic() + START_TIMEOUT
    while time.monotonic() < deadline:
        if process.poll() is not None:
            raise RuntimeError(f"process exited with {process.returncode}")
        try:
            socket.create_connection((host, int(port)), timeout=1).close()
        except OSError:
            time.sleep(_POLL_SECONDS)
        else:
            return
    raise TimeoutError(f"no process listens at {address}")


@attrs.define
class FleetServer:
    """A fake backend server and its local daemon."""

    name: str
    settings: dict[str, Any]
    behaviour: dict[str, Any]
    backend_server: subprocess.Popen[bytes] | None = None
    daemon: subprocess.Popen[bytes] | None = None

    @property
    def caller_address(self) -> str:
        """``IP:PORT`` of the daemon's caller listener."""
        return str(self.settings["caller_address"])

    @property
    def operator_address(self) -> str:
        """``IP:PORT`` of the daemon's operator listener."""
        return str(self.settings["operator_address"])

    @property
    def backend_server_address(self) -> str:
        """``IP:PORT`` of the fake backend server."""
        return str(self.settings["backend_server"]["address"])


class Fleet:
    """Processes of a fake store, backend servers and daemons; a context manager.

    Parameters
    ----------
    directory : str
        Directory of settings and logs; a new temporary one if empty.
    """

    def __init__(self, directory: str = "") -> None:
        self.directory = Path(directory or tempfile.mkdtemp(prefix="knapweedlead-"))
        self.store_address = free_address()
        self.operator_credential = OPERATOR_CREDENTIAL
        self.by_name: dict[str, FleetServer] = {}
        self._processes: list[subprocess.Popen[bytes]] = []

    def __enter__(self) -> Self:
        """Start the store."""
        store = self._start("store", "standins.store", self.store_address)
        wait_until_listening(self.store_address, store)
        return self

    def __exit__(self, *exception: object) -> None:
        """Kill every process that this fleet started, including suspended ones."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait()

    def add(
        self,
        name: str,
        service: str,
        data_centre: str,
        region: str = "region-1",
        connections: int = 1000,
        **behaviour: Any,
    ) -> FleetServer:
        """Start a fake backend server and its local daemon.

        Parameters
        ----------
        name, service, data_centre, region : str
            Identity and location of the server.
        connections : int
            Limit of connections to the backend server in the daemon's settings.
        **behaviour
            Fields of `standins.backend_server.Behaviour`.
        """
        server = self.prepare(
            name, service, data_centre, region, connections, **behaviour
        )
        self.start_backend_server(server)
        self.start_daemon(server)
        self.wait_for(server)
        return server

    def prepare(
        self,
        name: str,
        service: str,
        data_centre: str,
        region: str,
        connections: int,
        **behaviour: Any,
    ) -> FleetServer:
        """Create a server's settings without starting it; parameters as in `add`."""
        settings = {
            "name": name,
            "instance": f"instance-{name}",
            "region": region,
            "data_centre": data_centre,
            "service": service,
            "link_address": free_address(),
            "caller_address": free_address(),
            "operator_address": free_address(),
            "fleet_secret": FLEET_SECRET,
            "operator_credential": OPERATOR_CREDENTIAL,
            "backend_server": {
                "address": free_address(),
                "slots": behaviour.get("slots", 16),
                "cold_slots": behaviour.get("cold_slots", 4),
                "cold_start_s": behaviour.get("cold_s", 0.0),
                "connections": connections,
            },
            "store": {"address": self.store_address},
        }
        server = FleetServer(name, settings, behaviour)
        self.by_name[name] = server
        return server

    def wait_for(self, server: FleetServer) -> None:
        """Wait until the backend server and its daemon listen."""
        assert server.backend_server is not None
        assert server.daemon is not None
        wait_until_listening(server.backend_server_address, server.backend_server)
        wait_until_listening(server.caller_address, server.daemon)

    def start_backend_server(self, server: FleetServer) -> None:
        """Start the fake backend server of a server."""
        server.backend_server = self._start(
            f"{server.name}-backend",
            "standins.backend_server",
            server.backend_server_address,
            server.caller_address,
            server.name,
            f"--behaviour={json.dumps(server.behaviour)}",
        )

    def start_daemon(
        self, server: FleetServer, dial: dict[str, str] | None = None
    ) -> None:
        """Start the daemon of a server.

        Parameters
        ----------
        server : FleetServer
            Server whose settings are written and used.
        dial : dict of str to str, optional
            Address to connect to, by link address; runs `standins.relayed_daemon`.
        """
        path = self.directory / f"{server.name}.json"
        path.write_text(json.dumps(server.settings, indent=2), "utf-8")
        module, arguments = "knapweedlead.daemon.main", [f"--settings={path}"]
        if dial:
            module = "standins.relayed_daemon"
            arguments.append(f"--dial={json.dumps(dial)}")
        server.daemon = self._start(server.name, module, *arguments)

    def run_operator_command(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run ``knapweedleadctl`` against all daemons; return the finished process."""
        addresses = ",".join(s.operator_address for s in self.by_name.values())
        return subprocess.run(
            [sys.executable, "-m", "knapweedlead.operators.main", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            cwd=_ROOT,
            env={
                **os.environ,
                "PYTHONPATH": _ROOT,
                "KNAPWEEDLEAD_OPERATOR_ADDRESS": addresses,
                "KNAPWEEDLEAD_OPERATOR_CREDENTIAL": OPERATOR_CREDENTIAL,
            },
        )

    def log_of(self, name: str) -> str:
        """Return the output of a process, by its name."""
        return (self.directory / f"{name}.log").read_text("utf-8")

    def _start(self, name: str, module: str, *arguments: str) -> Any:
        log = (self.directory / f"{name}.log").open("ab")
        process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=log,
            stderr=log,
            cwd=_ROOT,
            env={**os.environ, "PYTHONPATH": _ROOT},
        )
        log.close()
        self._processes.append(process)
        return process


def call(
    address: str,
    path: str,
    method: str = "GET",
    headers: dict[str, str] | None = None,
    body: bytes | None = None,
    timeout: float = 10.0,
) -> tuple[int, Any]:
    """Send an HTTP request and return the status and the decoded JSON body."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, headers=headers or {}, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, json.loads(response.read() or b"null")
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read() or b"null")
