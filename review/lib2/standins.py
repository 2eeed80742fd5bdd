"""Stand-ins for clients, servers and the platform, for the cases 6 to 10.

Uses the standard library only. Everything listens on loopback addresses, and every
process that a case starts is ended by `Fleet.stop`.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REQUEST_ID = "knapweedlead-request-id"
HOST = "shop.example"
KEY = "6wsjnbanfqasnmgkcuyj"
TENANT = "tenant-a"
MEMORY_MB = 300

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run to a file and to the output."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self._started_at = time.monotonic()

    def write(self, text):
        """Write a line with the seconds since the start."""
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


class Request:
    """A request as a server received it."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the headers by lower-case name."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head[:-4].split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Return a body that has a length or is sent in chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        while (await reader.readline()).strip():
            pass
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def message(first, headers, body=b"", has_length=True):
    """Return an encoded HTTP message."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    if has_length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class HttpListener:
    """Serves connections; `handle` answers each request by writing to the writer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self._tasks = set()

    async def start(self, ip, port):
        """Listen at an address."""
        self.server = await asyncio.start_server(
            self._serve, ip, port, limit=1 << 17, backlog=512
        )

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(Request(method, target, headers, body), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            # Only `stop` cancels; the event loop would log the cancellation.
            pass
        finally:
            self._tasks.discard(asyncio.current_task())
            writer.close()

    async def stop(self):
        """Close the listener and all connections."""
        if self.server is not None:
            self.server.close()
        for task in list(self._tasks):
            task.cancel()


class Store:
    """The platform's metadata store, by its published protocol."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.events = []
        self.lease_ends = {}
        self.lease_ttl = {}
        self._leases = itertools.count(100)
        self._changed = asyncio.Event()
        self.listener = HttpListener(self._handle)

    def put(self, key, value, lease=0):
        """Write a key; `value` is encoded text."""
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self._notify(dict(self.items[key]))

    def put_document(self, key, document):
        """Write a document, as the operator does."""
        self.put(key, base64.b64encode(json.dumps(document).encode()).decode())

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._notify({"key": key, "revision": self.revision, "deleted": True})

    def _notify(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease, end in list(self.lease_ends.items()):
            if end <= now:
                self._end(lease)

    def _end(self, lease):
        del self.lease_ends[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _handle(self, request, writer):
        self._expire()
        status, document = await self._answer(request)
        reason = {200: "OK", 404: "Not Found", 412: "Precondition Failed"}
        writer.write(
            message(
                f"HTTP/1.1 {status} {reason.get(status, 'Error')}",
                {"Content-Type": "application/json"},
                json.dumps(document).encode(),
            )
        )

    async def _answer(self, request):
        parts = urlsplit(request.target)
        query = {name: v[0] for name, v in parse_qs(parts.query).items()}
        name, _, rest = parts.path.removeprefix("/-/").partition("/")
        body = json.loads(request.body) if request.body else {}
        if name == "kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self.items[k] for k in keys]
            return 200, {"items": items, "hasMore": False, "at": self.revision}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(body)
        if name == "kv-lease":
            lease = next(self._leases)
            self.lease_ttl[lease] = body["ttlMs"] / 1000.0
            self.lease_ends[lease] = time.monotonic() + self.lease_ttl[lease]
            return 200, {"lease": lease, "ttlMs": body["ttlMs"]}
        lease = int(rest)
        if lease not in self.lease_ends:
            return 404, {}
        if name == "kv-lease-end":
            self._end(lease)
        else:
            self.lease_ends[lease] = time.monotonic() + self.lease_ttl[lease]
        return 200, {"ttlMs": int(self.lease_ttl[lease] * 1000)}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000.0
        while True:
            events = [
                e
                for e in self.events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0.0:
                return 200, {"events": events, "at": max(after, self.revision)}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), min(left, 0.25))
            self._expire()

    def _transact(self, body):
        for row in body.get("expect", []):
            item = self.items.get(row["key"])
            if row["revision"] != (0 if item is None else item["revision"]):
                return 412, {"items": [] if item is None else [item]}
        leases = {put.get("lease", 0) for put in body.get("puts", [])} - {0}
        if not leases <= self.lease_ends.keys():
            return 404, {}
        for put in body.get("puts", []):
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Server:
    """An application server beside a daemon; it sends heartbeats and serves requests.

    `serve` may be replaced by a coroutine function that takes the server, the request
    and the writer, and writes the answer.
    """

    def __init__(self, machine, record, serve=None):
        self.machine = machine
        self.record = record
        self.serve = serve or answer_whole
        self.born = int(time.time() * 1000)
        self.instance = f"i-{machine.number:02d}{self.born % 1000000:06d}"
        self.state = "ready"
        self.slots = 142
        self.sequence = 0
        self.runs = []
        self.listener = HttpListener(self._handle)
        self._task = None

    async def start(self):
        """Listen, and send heartbeats."""
        await self.listener.start(self.machine.ip, self.machine.port("app"))
        self._task = asyncio.create_task(self._send_heartbeats())

    async def stop(self):
        """End the server."""
        if self._task is not None:
            self._task.cancel()
        await self.listener.stop()

    async def _send_heartbeats(self):
        while True:
            with contextlib.suppress(
                OSError, asyncio.IncompleteReadError, TimeoutError
            ):
                await self.send_heartbeat()
            await asyncio.sleep(1.5)

    async def send_heartbeat(self):
        """Send one heartbeat; return the status of the answer."""
        self.sequence += 1
        async with asyncio.timeout(1.0):
            client = await Connection.open(self.machine, "control")
            status, _, _ = await client.exchange(self.heartbeat())
            client.close()
        return status

    def heartbeat(self):
        """Return the request of a heartbeat."""
        document = {
            "address": f"{self.machine.ip}:{self.machine.port('app')}",
            "born": self.born,
            "info": {
                "service": self.machine.service,
                "version": "v1",
                "zone": self.machine.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "coldRemainingMs": 0,
            },
        }
        return message(
            f"POST /-/Instances.Heartbeat/{self.instance} HTTP/1.1",
            {"Host": "control", "Content-Type": "application/json"},
            json.dumps(document).encode(),
        )

    async def _handle(self, request, writer):
        expected = request.headers.get("knapweedlead-expect-instance", self.instance)
        if REQUEST_ID not in request.headers:
            headers = {"Knapweedlead-Not-Executed": "1"}
            writer.write(message("HTTP/1.1 400 Bad Request", headers))
        elif expected != self.instance:
            headers = {
                REQUEST_ID: request.headers[REQUEST_ID],
                "Knapweedlead-Instance-Id": self.instance,
            }
            writer.write(message("HTTP/1.1 421 Misdirected Request", headers))
        else:
            await self.serve(self, request, writer)

    def note_run(self, request):
        """Record that a request runs."""
        self.runs.append(request)

    def seal(self, request):
        """Return the headers of this server's answer to a request."""
        return {
            "Knapweedlead-Request-Id": request.headers[REQUEST_ID],
            "Knapweedlead-Response-Seal": f"seal.{request.headers[REQUEST_ID]}",
        }


async def answer_whole(server, request, writer):
    """Run a request at once, and answer with its id and the length of its body."""
    server.note_run(request)
    body = f"{request.headers[REQUEST_ID]} {len(request.body)}".encode()
    if request.method == "HEAD":
        head = server.seal(request) | {"Content-Length": str(len(body))}
        writer.write(message("HTTP/1.1 200 OK", head, has_length=False))
    else:
        writer.write(message("HTTP/1.1 200 OK", server.seal(request), body))


class Machine:
    """One machine of the deployment: its addresses and its daemon's settings."""

    def __init__(self, number, service, zone, network, ports, store_address):
        self.number = number
        self.name = f"sidecar-{zone}-{number}"
        self.service = service
        self.zone = zone
        self.ip = f"{network}.{10 + number}"
        self.ports = ports
        self.store_address = store_address
        self.process = None
        self.log = None

    def port(self, name):
        """Return the port of `outbound`, `ready`, `control`, `app` or a link."""
        return self.ports[name]

    def settings(self):
        """Return the settings file as `DEPLOY.md` shows it."""

        def address(name):
            return f"{self.ip}:{self.ports[name]}"

        return {
            "nodeName": self.name,
            "role": "knapweedleadd",
            "machineClass": "sidecar",
            "serves": ["sidecar"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region-1",
            "zones": {"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"},
            "listen": {
                "inbound": address("inbound"),
                "outbound": address("outbound"),
                "ready": address("ready"),
                "control": address("control"),
            },
            "internalPorts": [self.ports["link"], self.ports["metrics"]],
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
            "heartbeatMs": 1500,
            "contracts": ["base", "drain", "config", "retry", "recover", "tenants"],
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": {
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
            },
            "appAddr": address("app"),
            "service": self.service,
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

    async def start(self, folder):
        """Start the daemon with the command of the deploy file."""
        boot = Path(folder) / f"{self.name}.json"
        boot.write_text(json.dumps(self.settings()))
        self.log = open(Path(folder) / f"{self.name}.log", "ab")  # noqa: SIM115
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["KNAPWEEDLEAD_BOOT"] = str(boot)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        self.process = await asyncio.create_subprocess_exec(
            "python3",
            "-m",
            "knapweedlead.sidecard",
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    @property
    def is_running(self):
        """Whether the daemon has been started and has not ended."""
        return self.process is not None and self.process.returncode is None

    def send_signal(self, number):
        """Send a signal to the daemon."""
        if self.is_running:
            self.process.send_signal(number)

    def memory_mb(self, field="VmRSS"):
        """Return the memory of the daemon in MiB: `VmRSS` now, `VmHWM` at its peak."""
        with contextlib.suppress(OSError):
            for line in (
                Path(f"/proc/{self.process.pid}/status").read_text().split("\n")
            ):
                if line.startswith(field + ":"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self):
        """Ask the daemon whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                client = await Connection.open(self, "ready")
                data = message("GET /-/ready HTTP/1.1", {"Host": "ready"})
                status, _, _ = await client.exchange(data)
                client.close()
                return status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False


class Connection:
    """A client's connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, machine, port="outbound"):
        """Connect to a port of a machine."""
        reader, writer = await asyncio.open_connection(
            machine.ip, machine.port(port), limit=1 << 17
        )
        return cls(reader, writer)

    async def read_answer(self, method="GET"):
        """Return status, headers and body of the next answer."""
        first, headers = await read_head(self.reader)
        body = b"" if method == "HEAD" else await read_body(self.reader, headers)
        return int(first.split(" ")[1]), headers, body

    async def exchange(self, data, method="GET"):
        """Send a request and return its answer."""
        self.writer.write(data)
        await self.writer.drain()
        return await self.read_answer(method)

    def close(self):
        """Close the connection."""
        self.writer.close()


_request_ids = itertools.count(1)


def new_id():
    """Return the id of a new client attempt."""
    return f"r{next(_request_ids):06d}"


def request(method, path, request_id, body=b"", deadline_ms=6000, **more):
    """Return a client's request; underscores in the names of headers become hyphens."""
    headers = {
        "Host": HOST,
        "Knapweedlead-Request-Id": request_id,
        "Knapweedlead-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
    }
    headers |= {name.replace("_", "-"): value for name, value in more.items()}
    has_body = bool(body) or method in ("POST", "PUT")
    return message(f"{method} {path} HTTP/1.1", headers, body, has_length=has_body)


def route(name, service, kind, timeout_ms=6000, **more):
    """Return a route of the configuration under the prefix `/NAME/`."""
    return {
        "name": f"r-{name}",
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 1500,
        "priority": 0,
        "maxAttempts": 2,
        "public": False,
    } | more


def _free_ports(ip, count):
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


_PORTS = ("inbound", "outbound", "ready", "control", "app", "link", "metrics", "store")


class Fleet:
    """A small deployment: a store, machines with daemons and servers, an operator.

    Parameters
    ----------
    record : Record
    services : list of str
        Service of each machine.
    routes : list of dict
    """

    def __init__(self, record, services, routes):
        self.record = record
        self.services = services
        self.routes = routes
        self.version = 1
        self.tenants = [
            {"name": TENANT, "apiKeys": [KEY], "priority": 1, "ratePerS": 0, "burst": 0}
        ]
        self.store = Store()
        self.machines = []
        self.servers = []
        self._folder = tempfile.TemporaryDirectory()

    @property
    def folder(self):
        """Temporary folder of this run."""
        return self._folder.name

    def configuration(self):
        """Return the configuration that the operator writes."""
        return {
            "version": f"r{self.version}",
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
                for name in sorted(set(self.services))
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            "tenants": self.tenants,
            "virtualHosts": [{"host": HOST, "paths": self.routes}],
        }

    async def start(self, serve=None):
        """Start everything; return when all daemons are ready and know all servers."""
        network = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        ports = dict(zip(_PORTS, _free_ports(f"{network}.1", len(_PORTS)), strict=True))
        await self.store.listener.start(f"{network}.1", ports["store"])
        self.store.put_document("op/config", self.configuration())
        zones = ("zone-a", "zone-b", "zone-c")
        for number, service in enumerate(self.services):
            machine = Machine(
                number,
                service,
                zones[number % len(zones)],
                network,
                ports,
                f"{network}.1:{ports['store']}",
            )
            self.machines.append(machine)
            server = Server(machine, self.record, serve)
            self.servers.append(server)
        for machine in self.machines:
            await machine.start(self.folder)
        for machine in self.machines:
            await self.wait_ready(machine)
        for server in self.servers:
            await server.start()
        # Links, the first heartbeats, and the window after which machines are in touch.
        await asyncio.sleep(4.0)
        self.record.write(f"{len(self.machines)} daemons are ready")

    async def wait_ready(self, machine):
        """Wait until a daemon is ready."""
        async with asyncio.timeout(20.0):
            while not await machine.is_ready():
                if not machine.is_running:
                    raise RuntimeError(f"the daemon of {machine.name} has ended")
                await asyncio.sleep(0.1)

    async def stop(self):
        """End all processes that were started, and all stand-ins."""
        for machine in self.machines:
            if machine.is_running:
                machine.send_signal(signal.SIGCONT)
                machine.send_signal(signal.SIGKILL)
                await machine.process.wait()
            if machine.log is not None:
                machine.log.close()
        for server in self.servers:
            await server.stop()
        await self.store.listener.stop()
        self._folder.cleanup()

    def log_lines(self, machine, word):
        """Return the lines of a daemon's log that contain a word."""
        text = (Path(self.folder) / f"{machine.name}.log").read_text()
        return [line for line in text.split("\n") if word in line]


def run_case(folder, fleet_arguments, case, serve=None, limit=110.0):
    """Run a case and exit with its verdict: 1 broken, 0 held, 2 could not run."""
    record = Record(folder)
    record.write("with the disruption" if HAS_TROUBLE else "without the disruption")

    async def main():
        fleet = Fleet(record, **fleet_arguments)
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(limit):
                await fleet.start(serve)
                return await case(fleet, record)
        finally:
            await fleet.stop()

    try:
        verdict = asyncio.run(main())
    except Exception as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        verdict = NOT_RUN
    record.write({HELD: "held", BROKEN: "BROKEN"}.get(verdict, "not run"))
    sys.exit(verdict)
