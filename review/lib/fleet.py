"""A small deployment on loopback: daemons as the deploy file runs them, stand-ins."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import time
import tomllib
from pathlib import Path

from messages import BrokenError, encode, read_message, split
from servers import Server
from store import Store

ROOT = Path(__file__).resolve().parents[2]
BEAT_MS = 1500
MEMORY_MB = 300
STABLE_S = 3.0
RESTART_S = 0.5
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
CONTRACTS = (
    "base drain config cost retry recover pressure tenants quota places platform"
)


class CannotRunError(Exception):
    """The case can't run here."""


class Machine:
    """One machine: a daemon process and a server, at an address of its own."""

    def __init__(self, name, ip, port, zone, service):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        names = ("inbound", "outbound", "ready", "control", "app")
        for offset, field in enumerate(names):
            setattr(self, field, f"{ip}:{port + offset}")
        self.internal = [port + 5, port + 8]
        self.server = None
        self.process = None
        self.started_at = 0.0
        self.ends = []
        self.peak = 0
        self.is_stopped = False


class Fleet:
    """Store, daemons and servers; ends the processes that it started.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings and logs.
    record : callable
        Writes a line to the record.
    places : list of tuple of (str, str)
        Zone and service of each machine.
    """

    def __init__(self, folder, record, places):
        self.folder = folder
        self.record = record
        self.store = Store()
        rng = random.Random()
        network = f"127.{rng.randrange(20, 250)}.{rng.randrange(1, 250)}"
        port = _free_port(rng, network, len(places))
        self.store_address = f"{network}.250:{port}"
        self.machines = [
            Machine(f"sidecar-{i}", f"{network}.{10 + i}", port, zone, service)
            for i, (zone, service) in enumerate(places)
        ]
        self._tasks = []

    async def start(self, configuration):
        """Start all parts, and wait until every machine is ready."""
        await self.store.start(self.store_address)
        self.store.write("op/config", json.dumps(configuration).encode())
        run = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = next(iter(run["roles"].values()))["run"].split()
        for machine in self.machines:
            self._write_settings(machine)
            self._tasks.append(asyncio.ensure_future(self._keep_up(machine, words)))
        self._tasks.append(asyncio.ensure_future(self._watch_memory()))
        for machine in self.machines:
            machine.server = Server(machine, BEAT_MS, self.record)
            await machine.server.start()
        end = time.monotonic() + 25.0
        while not all([await self.is_ready(machine) for machine in self.machines]):
            if time.monotonic() > end:
                raise CannotRunError("the machines aren't ready")
            await asyncio.sleep(0.2)
        await asyncio.sleep(STABLE_S + 1.0)

    def _write_settings(self, machine):
        zones = sorted({each.zone for each in self.machines})
        document = {
            "nodeName": machine.name,
            "role": "knapweedleadd",
            "machineClass": "sidecar",
            "serves": ["sidecar"],
            "ip": machine.ip,
            "zone": machine.zone,
            "region": "land",
            "zones": dict.fromkeys(zones, "land"),
            "listen": {
                "inbound": machine.inbound,
                "outbound": machine.outbound,
                "ready": machine.ready,
                "control": machine.control,
            },
            "internalPorts": machine.internal,
            "seeds": [],
            "bootstrap": True,
            "lossCounts": False,
            "limits": {
                "cpuShare": 0.86,
                "cores": 2,
                "memoryMb": MEMORY_MB,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "static",
            "entry": "static",
            "heartbeatMs": BEAT_MS,
            "contracts": CONTRACTS.split(),
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "appAddr": machine.app,
            "service": machine.service,
            "platform": {
                "address": self.store_address,
                "form": "kv",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "ttlMinMs": 1000,
            },
        }
        (self.folder / f"{machine.name}.json").write_text(json.dumps(document))

    async def _keep_up(self, machine, words):
        """Run the daemon; start it again after it has ended."""
        names = ("PATH", "HOME", "LANG")
        variables = {name: os.environ[name] for name in names if name in os.environ}
        variables["KNAPWEEDLEAD_BOOT"] = str(self.folder / f"{machine.name}.json")
        variables["PYTHONPATH"] = str(ROOT / "target/deps")
        program = sys.executable if words[0].startswith("python") else words[0]
        with (self.folder / f"{machine.name}.log").open("ab") as log:
            while not machine.is_stopped:
                machine.process = await asyncio.create_subprocess_exec(
                    program, *words[1:], cwd=ROOT, env=variables, stdout=log, stderr=log
                )
                machine.started_at = time.monotonic()
                status = await machine.process.wait()
                if not machine.is_stopped:
                    machine.ends.append((time.monotonic(), status))
                    self.record(f"{machine.name}: process ended with {status}")
                    await asyncio.sleep(RESTART_S)

    async def _watch_memory(self):
        """Kill a process that exceeds its memory, as the platform does."""
        while True:
            await asyncio.sleep(0.01)
            for machine in self.machines:
                process = machine.process
                if process is None or process.returncode is not None:
                    continue
                used = _private_bytes(process.pid)
                machine.peak = max(machine.peak, used)
                if used > MEMORY_MB * (1 << 20):
                    self.record(
                        f"{machine.name}: holds {used >> 20} MB of {MEMORY_MB} MB, "
                        "killed by the platform"
                    )
                    self.send(machine, signal.SIGKILL)
                    await asyncio.sleep(0.05)

    def send(self, machine, number):
        """Send a signal to a machine's daemon."""
        if machine.process is not None and machine.process.returncode is None:
            machine.process.send_signal(number)

    async def is_ready(self, machine):
        """Ask a daemon whether it is ready."""
        try:
            return await asyncio.wait_for(_ask(machine.ready), 1.0) == 200
        except (OSError, TimeoutError, BrokenError):
            return False

    async def stop(self):
        """End all processes and connections."""
        for machine in self.machines:
            machine.is_stopped = True
            self.send(machine, signal.SIGKILL)
            if machine.process is not None:
                await machine.process.wait()
            if machine.server is not None:
                await machine.server.stop()
        for task in self._tasks:
            task.cancel()
        await self.store.stop()

    def runs(self):
        """Return all runs by request id."""
        by_id = {}
        for machine in self.machines:
            for run in machine.server.runs:
                by_id.setdefault(run["id"], []).append(run)
        return by_id


async def _ask(address):
    reader, writer = await asyncio.open_connection(*split(address))
    try:
        writer.write(encode("GET /-/ready HTTP/1.1", {"host": "ready"}))
        message = await read_message(reader)
        return int(message[0].split()[1]) if message else 0
    finally:
        writer.close()


def _private_bytes(pid):
    """Return the bytes of memory that a process doesn't share with files."""
    try:
        text = Path(f"/proc/{pid}/status").read_text("ascii")
    except OSError:
        return 0
    for line in text.splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) << 10
    return 0


def _free_port(rng, network, count):
    """Return a port from which ten are free on all machines."""
    for _ in range(50):
        port = rng.randrange(20_000, 30_000)
        hosts = [f"{network}.{10 + i}" for i in range(count)] + [f"{network}.250"]
        if all(_is_free(host, port + i) for host in hosts for i in range(10)):
            return port
    raise CannotRunError("no free ports")


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def configuration(services, routes, tenants=None, version="r3"):
    """Return a configuration with one host and the given routes."""
    return {
        "version": version,
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 1174,
                "protocol": "h1",
                "tls": False,
                "coldStartS": 3.0,
                "coldPerS": 40.0,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [tenant("crew", ["key-crew"])] if tenants is None else tenants,
        "baseVersion": "r1",
        "virtualHosts": [{"host": "app.example", "paths": routes}],
    }


def tenant(name, keys):
    """Return a tenant."""
    return {
        "name": name,
        "apiKeys": keys,
        "priority": 1,
        "ratePerS": 1000,
        "burst": 1000,
    }


def route(name, kind, service, timeout_ms=5000, target_ms=1200, priority=2):
    """Return a route."""
    return {
        "name": f"r-{name}",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": priority,
        "service": service,
        "maxAttempts": 2,
        "public": False,
    }
