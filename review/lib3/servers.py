"""Stand-in for the application server of one machine."""

import asyncio
import itertools
import json
import time

from wire import BrokenMessageError, answer_bytes, exchange, read_message, request_bytes

HEARTBEAT = 1.5


class Server:
    """Runs requests, sends heartbeats to the daemon beside it, and leaves.

    Attributes
    ----------
    runs : list of dict
        What the server began to work on.
    work : float
        Seconds that a request takes.
    extra : dict
        Headers that are added to all answers.
    body : bytes
        Body of all answers; empty for one that names the request.
    pace : float
        Bytes of request bodies that are read in a second; 0.0 for no limit.
    """

    def __init__(self, name, service, zone, address, control, slots=100):
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.control = control
        self.slots = slots
        self.instance = f"i-{name}"
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.cold_until = 0.0
        self.work = 0.02
        self.extra = {}
        self.body = b""
        self.pace = 0.0
        self.runs = []
        self.holds_beats = False
        self.held = []
        self.acknowledged = []
        self._sequence = itertools.count(1)
        self._running = 0
        self._server = None
        self._writers = set()
        self._task = None

    async def start(self):
        """Listen and send heartbeats."""
        self._server = await asyncio.start_server(self._serve, *self.address)
        self._task = asyncio.ensure_future(self._beat())

    def close(self):
        """End at once."""
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def heartbeat(self):
        """Return the bytes of the next heartbeat."""
        cold = max(0, int((self.cold_until - time.monotonic()) * 1000))
        document = {
            "address": "{}:{}".format(*self.address),
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": next(self._sequence),
                "coldRemainingMs": cold,
            },
        }
        return self._post(
            f"/-/Instances.Heartbeat/{self.instance}", json.dumps(document).encode()
        )

    def _post(self, path, body=b""):
        named = {"Host": "daemon", "Content-Type": "application/json"}
        return request_bytes("POST", path, named, body)

    async def send(self, data):
        """Send a call to the daemon; return its status, 0 for none."""
        answer, _ = await exchange(self.control, data, 1.0)
        return 0 if answer is None else answer[0]

    async def deregister(self):
        """Say that the server leaves; return the status of the answer."""
        return await self.send(self._post(f"/-/Instances.Deregister/{self.instance}"))

    async def beat_once(self):
        """Send a heartbeat now; return the status of the answer."""
        return await self.send(self.heartbeat())

    def stop_beats(self):
        """Send no more heartbeats."""
        self._task.cancel()

    async def _beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader, self.pace)
                if message is None:
                    return
                await self._answer(writer, *message)
        except (OSError, BrokenMessageError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, writer, line, headers, body):
        method, path, _ = line.split(" ")
        request_id = headers.get("knapweedlead-request-id", "")
        echo = {"Knapweedlead-Request-Id": request_id}
        if headers.get("knapweedlead-expect-instance") not in (None, self.instance):
            writer.write(
                answer_bytes(421, echo | {"Knapweedlead-Instance-Id": self.instance})
            )
            return
        if self._running >= self.slots:
            declined = {"Knapweedlead-Not-Executed": "1"}
            writer.write(answer_bytes(503, echo | declined | self.extra))
            return
        self._running += 1
        self.runs.append(
            {
                "id": request_id,
                "path": path,
                "method": method,
                "at": time.monotonic(),
                "server": self.instance,
                "tenant": headers.get("knapweedlead-tenant", ""),
                "deadline": headers.get("knapweedlead-deadline-ms", ""),
            }
        )
        try:
            await asyncio.sleep(self.work)
        finally:
            self._running -= 1
        seal = {"Knapweedlead-Response-Seal": f"seal.{self.instance}.{request_id}"}
        text = f"{self.instance} {method} {path} {len(body)}".encode()
        named = echo | seal | self.extra
        writer.write(answer_bytes(200, named, self.body or text))
        await writer.drain()
