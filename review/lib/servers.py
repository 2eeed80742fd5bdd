"""Stand-in for an application server, written from PROTOCOL.md."""

import asyncio
import itertools
import json
import time

from messages import BrokenError, encode, read_message, split

_numbers = itertools.count(1)


class Server:
    """Runs requests and sends heartbeats to the daemon beside it.

    Attributes
    ----------
    work : float
        Seconds that a request takes.
    respond : callable or None
        Coroutine function that writes the answer instead; takes the server, the
        request's headers and the writer.
    runs : list of dict
        Requests that the server began to work on.
    """

    def __init__(self, machine, beat_ms, record):
        self.machine = machine
        self.record = record
        self.beat = beat_ms / 1000.0
        self.id = f"i-{next(_numbers):04d}"
        self.born = int(time.time() * 1000)
        self.work = 0.1
        self.slots = 100
        self.state = "ready"
        self.respond = None
        self.answer_bytes = 400
        self.runs = []
        self._sequence = itertools.count(1)
        self._server = None
        self._beats = None
        self._writers = set()

    async def start(self):
        """Listen and begin to send heartbeats."""
        address = split(self.machine.app)
        self._server = await asyncio.start_server(self._serve, *address, limit=1 << 20)
        self._beats = asyncio.ensure_future(self._send_beats())

    async def stop(self):
        """End heartbeats and connections."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _send_beats(self):
        while True:
            try:
                await asyncio.wait_for(self.send_beat(), 1.0)
            except (OSError, TimeoutError, BrokenError):
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(self.beat)

    async def send_beat(self):
        """Send one heartbeat; return the answer's status."""
        document = {
            "address": self.machine.app,
            "born": self.born,
            "info": {
                "service": self.machine.service,
                "version": "v1",
                "zone": self.machine.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": next(self._sequence),
                "coldRemainingMs": 0,
            },
        }
        return await self.post(f"/-/Instances.Heartbeat/{self.id}", document)

    async def post(self, path, document):
        """Send a call to the daemon's control address; return the status."""
        reader, writer = await asyncio.open_connection(*split(self.machine.control))
        try:
            headers = {"host": "control", "content-type": "application/json"}
            body = json.dumps(document).encode()
            writer.write(encode(f"POST {path} HTTP/1.1", headers, body))
            message = await read_message(reader)
            return int(message[0].split()[1]) if message else 0
        finally:
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await self._run(message, writer)
        except (BrokenError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, message, writer):
        line, headers, body = message
        request_id = headers.get("knapweedlead-request-id", "")
        if headers.get("knapweedlead-expect-instance") not in (None, self.id):
            writer.write(encode("HTTP/1.1 421 Misdirected Request", {}))
            return
        run = {
            "id": request_id,
            "line": line,
            "bytes": len(body),
            "tenant": headers.get("knapweedlead-tenant", ""),
            "server": self.id,
            "service": self.machine.service,
            "at": time.monotonic(),
        }
        self.runs.append(run)
        if self.respond is not None:
            await self.respond(self, headers, writer)
            return
        await asyncio.sleep(self.work)
        answer = {
            "knapweedlead-request-id": request_id,
            "knapweedlead-response-seal": f"seal.{self.id}.{request_id}",
            "keep-alive": "timeout=10",
        }
        writer.write(encode("HTTP/1.1 200 OK", answer, b"x" * self.answer_bytes))
        await writer.drain()
