"""A small deployment on loopback: daemons, servers, a store, clients, a record."""

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from servers import Server
from store import Store
from wire import exchange, request_bytes

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
KEY = "6wsjnbanfqasnmgkcuyj"
OTHER_KEY = "8pjbvk9m68k7b2ex5wa5"
RESTART_PAUSE = 0.3
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "revokeStrict": True,
    "revokeMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 50,
    "quotaWindowS": 5,
    "quotaOver": 0.1,
    "quotaSlack": 20,
    "coldOver": 1.5,
    "coldSlack": 5,
    "evacMs": 5000,
    "recoverS": 15,
}


class NotPlayedError(Exception):
    """The case could not be played."""


def route(name, prefix, service, kind="safe", timeout=6000, attempts=2):
    """Return a route of a configuration."""
    return {
        "name": name,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": timeout,
        "targetLatencyMs": 1500,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "public": False,
    }


def configuration(version, routes, services, keys=(KEY, OTHER_KEY), rate=0, burst=0):
    """Return a configuration with one host and one tenant."""
    return {
        "version": f"r{version}",
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 952,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 3.0,
                "coldPerS": 27.0,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "pulo780",
                "apiKeys": list(keys),
                "priority": 1,
                "ratePerS": rate,
                "burst": burst,
            }
        ],
        "virtualHosts": [{"host": "hulo84.example", "paths": routes}],
    }


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = path.open("w", encoding="utf-8")
        self.started = time.monotonic()

    def write(self, text):
        """Write a line."""
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")


def resident_mb(pid):
    """Return the memory of a process in MB; 0.0 if it has ended."""
    try:
        pages = int(Path(f"/proc/{pid}/statm").read_text("ascii").split()[1])
    except (OSError, IndexError):
        return 0.0
    return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)


class Daemon:
    """One daemon process, which is started again whenever it ends."""

    def __init__(self, fleet, index, name):
        self.fleet = fleet
        self.index = index
        self.name = name
        self.process = None
        self.is_wanted = True
        self.unexpected_ends = []
        self.peak_mb = 0.0
        self._is_end_expected = False
        self._task = None

    def start(self):
        """Start the process and keep it running."""
        self._task = asyncio.ensure_future(self._keep())

    async def _keep(self):
        boot = self.fleet.folder / f"{self.name}.json"
        variables = {
            "PATH": os.environ["PATH"],
            "HOME": str(self.fleet.folder),
            "LANG": "C.UTF-8",
            "KNAPWEEDLEAD_BOOT": str(boot),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self.fleet.folder / f"{self.name}.log").open("ab") as log:
            while True:
                self._is_end_expected = False
                self.process = subprocess.Popen(
                    ["python3", "-m", "knapweedlead.sidecard"],
                    cwd=ROOT,
                    env=variables,
                    stdout=log,
                    stderr=log,
                    stdin=subprocess.DEVNULL,
                )
                self.fleet.record.write(f"daemon {self.name} starts")
                while self.process.poll() is None:
                    self._check_memory()
                    await asyncio.sleep(0.02)
                code = self.process.returncode
                self.fleet.record.write(f"daemon {self.name} ends with {code}")
                if not self._is_end_expected:
                    self.unexpected_ends.append(time.monotonic())
                await asyncio.sleep(RESTART_PAUSE)

    def _check_memory(self):
        """Kill the process if it takes more memory than its limit."""
        limit = self.fleet.memory_mb
        if not limit:
            return
        used = resident_mb(self.process.pid)
        self.peak_mb = max(self.peak_mb, used)
        if used > limit:
            self.fleet.record.write(
                f"daemon {self.name} takes {used:.0f} MB and is killed"
            )
            self.process.kill()
            self.process.wait()

    def send(self, number):
        """Send a signal to the process."""
        if self.process is None or self.process.poll() is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._is_end_expected = True
        self.fleet.record.write(
            f"daemon {self.name} gets {signal.Signals(number).name}"
        )
        self.process.send_signal(number)

    def close(self):
        """End the process for good."""
        if self._task is not None:
            self._task.cancel()
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Fleet:
    """All parts of a deployment; `places` are pairs of service and zone.

    Attributes
    ----------
    memory_mb : int
        Memory over which the platform kills a daemon; 0 for no limit.
    """

    def __init__(self, folder, record, places, names=None):
        self.folder = folder
        self.record = record
        self.places = places
        self.store = Store(record)
        names = names or [f"sidecar-{zone}-{i}" for i, (_, zone) in enumerate(places)]
        self.daemons = [Daemon(self, i, name) for i, name in enumerate(names)]
        self.servers = []
        self.sent = []
        self.memory_mb = 0
        self.network = ""
        self.port = 0
        self._ids = random.Random()

    def host(self, index):
        """Return the address of a machine."""
        return f"{self.network}.{10 + index}"

    def at(self, index, offset):
        """Return host and port of a listener on a machine."""
        return self.host(index), self.port + offset

    async def start(self, document):
        """Start the store, the servers and the daemons; wait until all are ready."""
        self._choose_addresses()
        for index in range(len(self.places)):
            await self.store.listen(index, *self.at(index, 1))
        self.store.write("op/config", document)
        for index, (service, zone) in enumerate(self.places):
            self._write_boot_file(index, service, zone)
            self.servers.append(self._server(index, service, zone))
        for index, daemon in enumerate(self.daemons):
            daemon.start()
            await self.servers[index].start()
        await self.wait_ready(range(len(self.places)), 40.0)

    def _server(self, index, service, zone):
        name = f"{service}-{index}"
        return Server(name, service, zone, self.at(index, 5), self.at(index, 2))

    def _choose_addresses(self):
        rng = random.Random()
        for _ in range(50):
            self.network = f"127.{rng.randrange(20, 250)}.{rng.randrange(250)}"
            self.port = rng.randrange(21000, 30000)
            if all(
                self._is_free(self.host(i), self.port + offset)
                for i in range(len(self.places))
                for offset in range(24)
            ):
                return
        raise NotPlayedError("no free ports")

    @staticmethod
    def _is_free(host, port):
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
        return True

    def _write_boot_file(self, index, service, zone):
        def address(offset):
            return "{}:{}".format(*self.at(index, offset))

        document = {
            "nodeName": self.daemons[index].name,
            "role": "knapweedleadd",
            "machineClass": "sidecar",
            "serves": ["sidecar"],
            "ip": self.host(index),
            "zone": zone,
            "region": "tt-south",
            "zones": {z: "tt-south" for _, z in self.places},
            "listen": {
                "inbound": address(6),
                "outbound": address(3),
                "ready": address(4),
                "control": address(2),
            },
            "internalPorts": [self.port + 7, self.port + 22],
            "seeds": [],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.86,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "static",
            "entry": "static",
            "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "appAddr": address(5),
            "service": service,
            "platform": {
                "address": address(1),
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
        path = self.folder / f"{self.daemons[index].name}.json"
        path.write_text(json.dumps(document), encoding="utf-8")

    async def is_ready(self, index):
        """Return whether a daemon answers its ready question with 200."""
        data = request_bytes("GET", "/-/ready", {"Host": "daemon"})
        answer, _ = await exchange(self.at(index, 4), data, 1.0)
        return answer is not None and answer[0] == 200

    async def wait_ready(self, indices, seconds):
        """Wait until daemons are ready."""
        end = time.monotonic() + seconds
        for index in indices:
            while not await self.is_ready(index):
                if time.monotonic() > end:
                    raise NotPlayedError(f"daemon {index} isn't ready")
                await asyncio.sleep(0.05)

    async def call(
        self, index, path, key=KEY, method="GET", deadline=3.0, body=b"", label=""
    ):
        """Send a request of a client on a new connection; return its entry."""
        entry = {
            "id": f"{self._ids.getrandbits(64):016x}",
            "machine": index,
            "path": path,
            "method": method,
            "key": key,
            "sent": time.monotonic(),
            "label": label,
        }
        self.sent.append(entry)
        headers = {
            "Host": "hulo84.example",
            "Knapweedlead-Request-Id": entry["id"],
            "Knapweedlead-Deadline-Ms": str(int(deadline * 1000)),
        }
        if key:
            headers["Authorization"] = f"Token {key}"
        data = request_bytes(method, path, headers, body)
        answer, entry["detail"] = await exchange(self.at(index, 3), data, deadline)
        entry["status"] = 0 if answer is None else answer[0]
        entry["answer"] = answer
        entry["ended"] = time.monotonic()
        return entry

    def runs(self):
        """Return all that the servers began to work on."""
        return [run for server in self.servers for run in server.runs]

    def write_record(self):
        """Write all requests, answers and runs."""
        start = self.record.started
        lines = [
            (
                e["sent"],
                f"client {e['id']} {e['method']} {e['path']} at machine {e['machine']}"
                f" key {e['key']} {e['label']} -> {e.get('status')} {e.get('detail')}"
                f" after {e.get('ended', e['sent']) - e['sent']:.3f} s",
            )
            for e in self.sent
        ]
        lines += [
            (r["at"], f"server {r['server']} runs {r['id']} {r['method']} {r['path']}")
            for r in self.runs()
        ]
        self.record.file.write("\nrequests and runs, by time:\n")
        for at, text in sorted(lines):
            self.record.file.write(f"{at - start:8.3f} {text}\n")

    def close(self):
        """End all that was started."""
        for daemon in self.daemons:
            daemon.close()
        for server in self.servers:
            server.close()
        self.store.close()


def play(case, folder, limit=115.0):
    """Play a case; `case` is called with folder, record and whether to disturb."""
    is_disturbed = os.environ.get("TROUBLE", "1") != "0"
    record = Record(Path(folder) / "record.txt")
    record.write(f"disruption: {'yes' if is_disturbed else 'no'}")
    code = COULD_NOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            code = asyncio.run(
                asyncio.wait_for(case(Path(temporary), record, is_disturbed), limit)
            )
    except (NotPlayedError, TimeoutError, OSError) as error:
        record.write(f"could not run: {type(error).__name__} {error}")
    record.write(f"exit {code}")
    record.file.close()
    print(f"exit {code}")
    sys.exit(code)
