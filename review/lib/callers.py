"""Stand-in for clients, written from PROTOCOL.md."""

import asyncio
import itertools
import random
import time

from messages import BrokenError, encode, read_message, split

_numbers = itertools.count(1)


class Caller:
    """One client, with one connection that it keeps.

    Attributes
    ----------
    sent : list of dict
        Its requests, with what came back.
    """

    def __init__(self, machine, key="key-crew"):
        self.machine = machine
        self.key = key
        self.sent = []
        self._reader = None
        self._writer = None
        self._served = 0

    async def call(self, method, path, body=b"", deadline=5.0, key=None, once=False):
        """Send a request on the kept connection; return its record.

        With `once`, the connection is closed after the answer. An empty key isn't sent.
        """
        number = next(_numbers)
        entry = {
            "id": f"{number:016x}",
            "machine": self.machine.name,
            "method": method,
            "path": path,
            "bytes": len(body),
            "sent": time.monotonic(),
            "kept": self._writer is not None and self._served > 0,
            "status": 0,
            "seal": "",
            "outcome": "",
        }
        self.sent.append(entry)
        headers = {
            "host": "app.example",
            "knapweedlead-request-id": entry["id"],
            "knapweedlead-deadline-ms": str(int(deadline * 1000)),
        }
        sent_key = self.key if key is None else key
        if sent_key:
            headers["authorization"] = f"Token {sent_key}"
        try:
            await asyncio.wait_for(
                self._exchange(entry, method, path, headers, body), deadline + 0.5
            )
        except TimeoutError:
            entry["outcome"] = "no answer by the deadline"
            self.close()
        except (BrokenError, OSError) as error:
            entry["outcome"] = f"cut: {error}"
            self.close()
        entry["ended"] = time.monotonic()
        if once:
            self.close()
        return entry

    async def _exchange(self, entry, method, path, headers, body):
        if self._writer is None:
            self._served = 0
            address = split(self.machine.outbound)
            self._reader, self._writer = await asyncio.wait_for(
                asyncio.open_connection(*address, limit=1 << 20), 1.0
            )
        self._writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
        await self._writer.drain()
        message = await read_message(self._reader)
        if message is None:
            raise BrokenError("connection ended without an answer")
        line, answer, _ = message
        self._served += 1
        entry["status"] = int(line.split()[1])
        entry["seal"] = answer.get("knapweedlead-response-seal", "")
        entry["outcome"] = "answered"
        entry["retry_after"] = float(answer.get("retry-after", "0"))
        if answer.get("connection", "").lower() == "close":
            self.close()

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def close_all(callers):
    """Close the connections of all callers."""
    for caller in callers:
        caller.close()


async def keep_calling(caller, method, path, end):
    """Send a request after the other until a time of the steady clock.

    The first one is sent within a second, so that callers don't move in step.
    """
    await asyncio.sleep(random.random())
    while time.monotonic() < end:
        entry = await caller.call(method, path)
        await asyncio.sleep(max(0.02, entry.get("retry_after", 0.0)))
