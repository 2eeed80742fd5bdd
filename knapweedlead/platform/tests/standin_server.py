"""Stand-in for a backend server of the platform: heartbeats, answers, child calls."""

import asyncio
import itertools
import json

import attrs

from knapweedlead.http import BackendServerClient, CallerServer

_born = itertools.count(1_700_000_000_000)


def request(method, path, headers, body=b""):
    """Return a complete request, encoded as a caller sends it."""
    named = {"host": "daemon", "content-length": str(len(body))} | headers
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in named.items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


@attrs.define
class ReceivedRequest:
    """A request that the server received."""

    path: str
    headers: dict
    body: bytes
    at: float = 0.0


class StandinServer:
    """Answers calls with its address, their path and their body; sends heartbeats.

    Parameters
    ----------
    address : str
        ``IP:PORT``.
    report_address : str
        ``IP:PORT`` that receives the heartbeats.
    service, data_centre : str
    child : tuple of (str, str, str) or None
        Address, host and path of a call that each run makes before it answers.

    Attributes
    ----------
    behaviour : str
        ``"answer"``, ``"decline"`` (not executed) or ``"cut"`` (connection closed).
    deadly_path : str
        Path of a request under which the server ends, with all of its connections.
    ends : int
        Number of times that the server has ended.
    notices : dict
        Headers that are added to all answers.
    received : list of ReceivedRequest
        Requests so far; ``at`` is the event loop's time.
    """

    def __init__(self, address, report_address, service, data_centre, child=None):
        self.address = address
        self.announced_address = address
        self.slots = 4
        self.service = service
        self.data_centre = data_centre
        self.child = child
        self.instance = f"i-{address}"
        self.born = next(_born)
        self.state = "ready"
        self.cold_ms = 0
        self.service_time = 0.0
        self.received = []
        self.behaviour = "answer"
        self.deadly_path = ""
        self.ends = 0
        self.notices = {}
        self._sequence = itertools.count(1)
        self._runs = itertools.count(1)
        self._futures = {}
        self.server = CallerServer(
            self._on_request, lambda exchange: None, _reject_bad_input
        )
        self._reports = self._client(report_address)
        self._calls = self._client(child[0]) if child else None
        self._task = None

    def _client(self, address):
        return BackendServerClient(
            address,
            64,
            lambda run, answer: self._resolve(run, answer.status),
            lambda run, was_sent, detail: self._resolve(run, 0),
        )

    def _resolve(self, run, status):
        future = self._futures.pop(run)
        if not future.done():
            future.set_result(status)

    async def start(self):
        """Listen and start sending heartbeats."""
        await self.server.start(self.address)
        self._task = asyncio.ensure_future(self._send_heartbeats())

    def end(self):
        """End as a process does that crashes; `start` begins a new start."""
        self.ends += 1
        self._task.cancel()
        self.server.stop_listening()
        for protocol in list(self.server._protocols):
            protocol.transport.abort()
        self.server = CallerServer(
            self._on_request, lambda exchange: None, _reject_bad_input
        )
        self.instance = f"{self.instance}+"
        self.born = next(_born)
        self._sequence = itertools.count(1)

    async def stop(self):
        """Stop heartbeats, the listener and all clients."""
        self._task.cancel()
        await self.server.stop()
        self._reports.close()
        if self._calls is not None:
            self._calls.close()

    async def _send_heartbeats(self):
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(0.2)

    async def send_heartbeat(self):
        """Send one heartbeat; return the HTTP status of the answer."""
        document = {
            "address": self.announced_address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.data_centre,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": next(self._sequence),
                "coldRemainingMs": self.cold_ms,
            },
        }
        path = f"/-/Instances.Heartbeat/{self.instance}"
        return await self.post(self._reports, path, json.dumps(document).encode())

    async def post(self, client, path, body=b""):
        """Send a request and return the status of its answer."""
        return await self._send(client, "POST", path, {}, body)

    async def _send(self, client, method, path, headers, body=b""):
        run = next(self._runs)
        future = asyncio.get_running_loop().create_future()
        self._futures[run] = future
        client.send(run, request(method, path, headers, body), False, 2.0)
        return await future

    def _on_request(self, request):
        self.received.append(
            ReceivedRequest(
                request.path,
                request.headers,
                request.body,
                asyncio.get_running_loop().time(),
            )
        )
        asyncio.ensure_future(self._serve(request))

    async def _serve(self, request):
        echo = {"knapweedlead-request-id": request.headers["knapweedlead-request-id"]}
        seal = {"knapweedlead-response-seal": f"seal-{self.address}"}
        headers = echo | seal | self.notices
        expected = request.headers.get("knapweedlead-expect-instance")
        if expected not in (None, self.instance):
            self.server.reply(request.exchange, 421, echo, b"")
            return
        if self.behaviour == "decline":
            declined = echo | {"knapweedlead-not-executed": "1"}
            self.server.reply(request.exchange, 503, declined, b"")
            return
        if self.behaviour == "cut":
            request.connection.transport.abort()
            return
        server = self.server
        await asyncio.sleep(self.service_time)
        if request.path == self.deadly_path and server is self.server:
            self.end()
        if server is not self.server:
            return
        if self.child is not None:
            _, host, path = self.child
            child_headers = {
                "host": host,
                "knapweedlead-request-id": f"c{next(self._runs)}",
                "knapweedlead-deadline-ms": "1000",
            }
            status = await self._send(self._calls, "GET", path, child_headers)
            if status != 200:
                self.server.reply(request.exchange, 500, headers, b"")
                return
        body = f"{self.address} {request.path} ".encode() + request.body
        self.server.reply(request.exchange, 200, headers, body)


def _reject_bad_input(reason):
    return 400, {}, b""
