"""Environment of a soak run: daemon processes, store, backend servers and callers."""

import asyncio
import copy
import itertools
import json
import os
import random
import signal
import sys
from pathlib import Path

from knapweedlead.http import BackendServerClient
from knapweedlead.platform.tests.fleets import CONFIGURATION
from knapweedlead.platform.tests.soak.observations import Observations, SentRequest
from knapweedlead.platform.tests.soak.proxy import FaultyProxy
from knapweedlead.platform.tests.soak.servers import SoakServer
from knapweedlead.platform.tests.standin_server import request
from knapweedlead.platform.tests.standin_store import StandinStore

DAEMON_PLACES = tuple(itertools.product(("front", "deep"), ("north", "south", "west")))
"""Service and data centre of each daemon."""
CALLERS = 12
CALL_PERIOD = 0.1
"""Mean seconds between the calls of one caller."""
CALL_TIMEOUT = 2.0
"""Deadline of a call, in seconds."""
RESTART_PAUSE = 0.3
"""Seconds after which a daemon that has exited is restarted."""
START_TIMEOUT = 30.0
KILL_TIMEOUT = 7.0
"""Seconds after SIGTERM until a daemon is killed."""

_ROOT = Path(__file__).resolve().parents[4]


def has_default_action(pid, number):
    """Return whether a process neither ignores nor handles a signal."""
    try:
        status = Path(f"/proc/{pid}/status").read_text("ascii")
    except OSError:
        return False
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(("SigIgn:", "SigCgt:"))
    ]
    return not any(mask & 1 << (number - 1) for mask in masks)


class DaemonProcess:
    """One daemon process, restarted whenever it exits.

    A SIGHUP ends the interpreter if it arrives before the first line of the program;
    no program can prevent that, so this exit is expected.
    """

    def __init__(self, environment, index):
        self.environment = environment
        self.name = f"daemon-{index}"
        self.process = None
        self.is_exit_expected = False
        self.is_hangup_expected = False
        self._task = None

    def start(self):
        """Start the daemon and restart it from now on."""
        self._task = asyncio.ensure_future(self._supervise())

    async def _supervise(self):
        boot = self.environment.directory / f"{self.name}.json"
        variables = os.environ | {"KNAPWEEDLEAD_BOOT": str(boot)}
        with (self.environment.directory / f"{self.name}.log").open("ab") as log:
            while True:
                self.is_exit_expected = False
                self.is_hangup_expected = False
                self.process = await asyncio.create_subprocess_exec(
                    *(sys.executable, "-m", "knapweedlead.sidecard"),
                    cwd=_ROOT,
                    env=variables,
                    stdout=log,
                    stderr=log,
                )
                status = await self.process.wait()
                is_hangup = status == -signal.SIGHUP and self.is_hangup_expected
                if not self.is_exit_expected and not is_hangup:
                    self.environment.observations.exits.append(
                        f"{self.name} ended with {status}"
                    )
                await asyncio.sleep(RESTART_PAUSE)

    def send(self, number):
        """Send a signal, unless the process is being restarted."""
        if self.process is None or self.process.returncode is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.is_exit_expected = True
        now = asyncio.get_running_loop().time()
        if number == signal.SIGKILL:
            self.environment.observations.kills.append((self.name, now))
        if number == signal.SIGHUP:
            pid = self.process.pid
            self.is_hangup_expected |= has_default_action(pid, signal.SIGHUP)
        else:
            self.environment.observations.interruptions.append((self.name, now))
        self.process.send_signal(number)

    async def stop(self):
        """Stop the daemon without a restart."""
        self._task.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class SoakEnvironment:
    """All components of one soak run.

    Parameters
    ----------
    seed : int
    directory : Path
        Directory of the boot files and logs.
    network : str
        First three parts of the loopback addresses.
    """

    def __init__(self, seed, directory, network):
        self.rng = random.Random(seed)
        self.directory = directory
        self.network = network
        self.observations = Observations()
        self.store = StandinStore()
        self.version = 3
        self.keys = {"key-crew": "crew", "key-old": "crew", "key-foreman": "foreman"}
        self.observations.account_by_key = dict(self.keys)
        self.daemons = [
            DaemonProcess(self, index) for index in range(len(DAEMON_PLACES))
        ]
        self.store_proxies = []
        self.server_proxies = []
        self.servers = []
        self._clients = []
        self._futures = {}
        self._ids = itertools.count(1)
        self._tasks = []

    def address(self, index, port):
        """Return the address of a port on a daemon's machine."""
        return f"{self.network}.{10 + index}:{port}"

    async def start(self):
        """Start all components and wait until all daemons serve calls."""
        store_address = f"{self.network}.1:7001"
        await self.store.start(store_address)
        self.write_configuration()
        for index in range(len(DAEMON_PLACES)):
            store_proxy = FaultyProxy(self.address(index, 7008), store_address)
            server_proxy = FaultyProxy(
                self.address(index, 7009), self.address(index, 7005)
            )
            await store_proxy.start()
            await server_proxy.start()
            self.store_proxies.append(store_proxy)
            self.server_proxies.append(server_proxy)
            self._write_boot_file(index)
            self._clients.append(self._client(index))
            self.daemons[index].start()
        for index in range(len(DAEMON_PLACES)):
            self.servers.append(None)
            await self.start_server(index)
        async with asyncio.timeout(START_TIMEOUT):
            while not await self._is_serving():
                await asyncio.sleep(0.1)

    async def start_server(self, index):
        """Start a new backend server, which is cold at first."""
        server = SoakServer(
            self.address(index, 7005),
            self.address(index, 7009),
            self.address(index, 7003),
            DAEMON_PLACES[index],
            self.observations,
        )
        await server.start()
        self.servers[index] = server

    def _write_boot_file(self, index):
        service, zone = DAEMON_PLACES[index]
        document = {
            "nodeName": f"daemon-{index}",
            "ip": f"{self.network}.{10 + index}",
            "zone": zone,
            "region": "land",
            "service": service,
            "listen": {
                "outbound": self.address(index, 7002),
                "control": self.address(index, 7003),
                "ready": self.address(index, 7004),
            },
            "appAddr": self.address(index, 7009),
            "internalPorts": [7006, 7007],
            "platform": {"address": self.address(index, 7008), "ttlMinMs": 1000},
            "heartbeatMs": 200,
            "limits": {"memoryMb": 300},
            "bounds": {
                "graceS": 6,
                "drainMs": 2000,
                "revokeStrict": True,
                "revokeMs": 5000,
                "budgetRatio": 0.2,
                "budgetExtra": 50,
                "quotaWindowS": 5,
            },
        }
        path = self.directory / f"daemon-{index}.json"
        path.write_text(json.dumps(document))

    def write_configuration(self):
        """Write a newer version of the configuration, as an operator does."""
        self.version += self.rng.randint(1, 3)
        document = copy.deepcopy(CONFIGURATION) | {"version": f"r{self.version}"}
        document["tenants"] = [
            {
                "name": account,
                "apiKeys": [
                    key for key, owner in self.keys.items() if owner == account
                ],
                "ratePerS": 1000,
                "burst": 1000,
            }
            for account in sorted(set(self.keys.values()))
        ]
        self.store.write("op/config", json.dumps(document).encode())

    # Callers.

    def _client(self, index):
        return BackendServerClient(
            self.address(index, 7002),
            64,
            lambda run, answer: self._resolve(run, answer.status, answer.body, ""),
            lambda run, was_sent, detail: self._resolve(run, 0, b"", detail),
        )

    def _resolve(self, run, status, body, detail):
        future = self._futures.pop(run, None)
        if future is not None and not future.done():
            future.set_result((status, body, detail))

    async def call(self, index, key):
        """Send a request to a daemon and record its outcome."""
        run = next(self._ids)
        is_idempotent = self.rng.random() < 0.5
        method, route = ("GET", "read") if is_idempotent else ("POST", "file")
        loop = asyncio.get_running_loop()
        sent = SentRequest(
            request_id=f"{run:016x}",
            path=f"/{route}/{run}",
            key=key,
            daemon=self.daemons[index].name,
            is_idempotent=is_idempotent,
            sent_at=loop.time(),
        )
        self.observations.sent_by_id[sent.request_id] = sent
        headers = {
            "host": "h.example",
            "knapweedlead-request-id": sent.request_id,
            "knapweedlead-deadline-ms": str(int(CALL_TIMEOUT * 1000)),
            "authorization": f"Token {key}",
        }
        future = self._futures[run] = loop.create_future()
        data = request(method, sent.path, headers)
        self._clients[index].send(run, data, False, CALL_TIMEOUT + 0.5)
        sent.status, sent.body, sent.detail = await future
        sent.ended_at = loop.time()
        return sent

    async def _is_serving(self):
        sent = [await self.call(i, "key-crew") for i in range(len(DAEMON_PLACES))]
        return all(each.status == 200 for each in sent)

    def start_callers(self):
        """Start the callers, which send requests until `stop`."""
        for _ in range(CALLERS):
            self._tasks.append(asyncio.ensure_future(self._send_calls()))

    async def _send_calls(self):
        keys = sorted(self.observations.account_by_key)
        while True:
            await asyncio.sleep(self.rng.expovariate(1.0 / CALL_PERIOD))
            index = self.rng.randrange(len(DAEMON_PLACES))
            await self.call(index, self.rng.choice(keys))

    async def stop(self):
        """Stop all components."""
        for task in self._tasks:
            task.cancel()
        for daemon in self.daemons:
            await daemon.stop()
        for client in self._clients:
            client.close()
        for server in self.servers:
            if server is not None:
                await server.crash()
        for proxy in [*self.store_proxies, *self.server_proxies]:
            await proxy.stop()
        await self.store.stop()
