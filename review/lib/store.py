"""Stand-in for the platform's metadata store, written from PROTOCOL.md."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from messages import BrokenError, encode, read_message, split

REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 412: "Precondition Failed"}


class Store:
    """Keys with revisions, leases that end, and watches."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.events = []
        self.lease_ends = {}
        self.lease_times = {}
        self._leases = 100
        self._changed = asyncio.Event()
        self._server = None
        self._writers = set()

    async def start(self, address):
        """Listen."""
        self._server = await asyncio.start_server(self._serve, *split(address))

    async def stop(self):
        """Close the listener and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def write(self, key, value, lease=0):
        """Write a key; the operator's writes are acknowledged when this returns."""
        self.revision += 1
        known = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": base64.b64encode(value).decode("ascii"),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self._notify(dict(self.items[key]))

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._notify({"key": key, "revision": self.revision, "deleted": True})

    def _notify(self, event):
        self.events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _end_lease(self, lease):
        self.lease_ends.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def _expire(self):
        now = asyncio.get_running_loop().time()
        for lease in [n for n, end in self.lease_ends.items() if end < now]:
            self._end_lease(lease)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                line, _, body = message
                method, target, _ = line.split(" ", 2)
                status, document = await self._answer(method, target, body)
                headers = {"content-type": "application/json"}
                start = f"HTTP/1.1 {status} {REASONS.get(status, '')}"
                writer.write(encode(start, headers, json.dumps(document).encode()))
                await writer.drain()
        except (BrokenError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        self._expire()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        name, _, rest = parts.path.removeprefix("/-/").partition("/")
        document = json.loads(body) if body else {}
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (200, item | {"at": self.revision}) if item else (404, {})
        if name == "kv-range":
            return self._range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(document)
        now = asyncio.get_running_loop().time()
        if name == "kv-lease":
            self._leases += 1
            self.lease_times[self._leases] = document["ttlMs"]
            self.lease_ends[self._leases] = now + document["ttlMs"] / 1000.0
            return 200, {"lease": self._leases, "ttlMs": document["ttlMs"]}
        lease = int(rest)
        if lease not in self.lease_ends:
            return 404, {}
        if name == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        self.lease_ends[lease] = now + self.lease_times[lease] / 1000.0
        return 200, {"ttlMs": self.lease_times[lease]}

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key] for key in keys[:500]]
        has_more = len(keys) > len(page)
        return 200, {"items": page, "hasMore": has_more, "at": self.revision}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query["waitMs"]) / 1000.0
        while True:
            self._expire()
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "at": max(after, self.revision)}
            try:
                await asyncio.wait_for(self._changed.wait(), min(left, 0.25))
            except TimeoutError:
                continue

    def _transact(self, document):
        for row in document.get("expect", []):
            item = self.items.get(row["key"])
            if row["revision"] != (item["revision"] if item else 0):
                return 412, {"items": []}
        puts = document.get("puts", [])
        if any(
            put.get("lease") and put["lease"] not in self.lease_ends for put in puts
        ):
            return 404, {}
        for put in puts:
            self.write(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in document.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
