"""Case 5: callers that read slowly end a daemon."""

import asyncio
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from callers import Caller, close_all, keep_calling  # noqa: E402
from case import main, report_lost  # noqa: E402
from fleet import Fleet, configuration, route  # noqa: E402
from messages import encode, split  # noqa: E402

ZONES = ("north", "south", "west")
PLACES = [(zone, service) for service in ("wearlog", "desk") for zone in ZONES]
ROUTES = [
    route("history", "safe", "wearlog"),
    route("ticket", "unsafe", "desk", target_ms=1500, priority=0),
]
STEADY_CALLERS = 24
SLOW_CALLERS = 120
ANSWER_BYTES = 5_000_000
RECEIVE_BUFFER = 65536
READ_BYTES = 100_000
"""Bytes that a slow caller reads a second."""
DEADLINE_S = 5.0


class SlowCaller:
    """Reads its answer slowly, and leaves at its deadline."""

    def __init__(self, machine, number, record, is_slow):
        self.machine = machine
        self.number = number
        self.record = record
        self.is_slow = is_slow
        self.read = 0

    async def call(self):
        """Send one request."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        started = time.monotonic()
        try:
            await loop.sock_connect(sock, split(self.machine.outbound))
            headers = {
                "host": "app.example",
                "knapweedlead-request-id": f"slow{self.number:012x}",
                "knapweedlead-deadline-ms": str(int(DEADLINE_S * 1000)),
                "authorization": "Token key-crew",
            }
            target = f"GET /history/large{self.number} HTTP/1.1"
            await loop.sock_sendall(sock, encode(target, headers))
            async with asyncio.timeout(DEADLINE_S):
                while self.read < ANSWER_BYTES:
                    data = await loop.sock_recv(sock, READ_BYTES // 10)
                    if not data:
                        break
                    self.read += len(data)
                    if self.is_slow:
                        await asyncio.sleep(0.1)
        except (OSError, TimeoutError):
            pass
        finally:
            sock.close()
        took = time.monotonic() - started
        self.record(f"slow caller {self.number}: read {self.read} in {took:.2f} s")


async def respond(server, headers, writer):
    """Send a large answer to the slow callers, and a small one to others."""
    request_id = headers["knapweedlead-request-id"]
    size = ANSWER_BYTES if request_id.startswith("slow") else 400
    await asyncio.sleep(server.work)
    answer = {
        "knapweedlead-request-id": request_id,
        "knapweedlead-response-seal": f"seal.{server.id}.{request_id}",
    }
    writer.write(encode("HTTP/1.1 200 OK", answer, b"x" * size))
    await writer.drain()


async def play(folder, record, has_trouble):
    """Play the case; return whether the rule is broken."""
    fleet = Fleet(folder, record, PLACES)
    callers = []
    try:
        await fleet.start(configuration(("wearlog", "desk"), ROUTES))
        for machine in fleet.machines:
            machine.server.work = 0.6
            machine.server.respond = respond
        record("all machines are in touch")
        end = time.monotonic() + 14.0
        entry = fleet.machines[3]
        steady = []
        for _ in range(STEADY_CALLERS):
            callers.append(Caller(entry))
            path = f"/history/{len(callers)}"
            steady.append(keep_calling(callers[-1], "GET", path, end))
        tasks = [asyncio.ensure_future(each) for each in steady]
        await asyncio.sleep(2.0)
        for number in range(SLOW_CALLERS):
            slow = SlowCaller(entry, number, record, has_trouble)
            tasks.append(asyncio.ensure_future(slow.call()))
            await asyncio.sleep(0.03)
        await asyncio.gather(*tasks)
        return report_lost(fleet, callers, record)
    finally:
        close_all(callers)
        await fleet.stop()


if __name__ == "__main__":
    main(play)
