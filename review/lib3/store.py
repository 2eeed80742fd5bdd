"""Stand-in for the platform's store: keys, revisions, leases, watches, a drill."""

import asyncio
import base64
import copy
import json
import time
from urllib.parse import parse_qs, urlsplit

from wire import BrokenMessageError, answer_bytes, read_message

PAGE = 500


class Store:
    """One store with an address for each machine, so that a machine can be cut off.

    Attributes
    ----------
    mode_by_machine : dict of int to str
        ``""`` (reached) or ``"silent"`` (nothing passes in either direction).
    is_down : bool
        Whether connections are closed without an answer.
    """

    def __init__(self, record):
        self.record = record
        self.mode_by_machine = {}
        self.is_down = False
        self.era = 1
        self.revision = 10
        self.oldest = 0
        self.item_by_key = {}
        self.events = []
        self.end_by_lease = {}
        self.ttl_by_lease = {}
        self.watching = {}
        self._leases = 100
        self._changed = asyncio.Event()
        self._servers = []
        self._writers = set()
        self._tasks = []

    async def listen(self, machine, host, port):
        """Listen at the address that one machine is given."""
        handle = lambda r, w: self._serve(machine, r, w)  # noqa: E731
        self._servers.append(await asyncio.start_server(handle, host, port))
        if len(self._servers) == 1:
            self._tasks.append(asyncio.ensure_future(self._expire_leases()))

    def close(self):
        """Close all listeners and connections."""
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        self.drop_connections()

    def drop_connections(self):
        """Close all connections at once."""
        for writer in list(self._writers):
            writer.transport.abort()

    # The operator.

    def write(self, key, document, lease=0):
        """Write a key, as the operator does; return the time of the acknowledgement."""
        self._put(key, base64.b64encode(json.dumps(document).encode()).decode(), lease)
        return time.monotonic()

    def remove(self, key):
        """Remove a key."""
        if self.item_by_key.pop(key, None) is not None:
            self.revision += 1
            self._append({"key": key, "revision": self.revision, "deleted": True})

    # The drill.

    def copy(self):
        """Return a copy of all that the store holds."""
        return copy.deepcopy(
            (
                self.revision,
                self.oldest,
                self.item_by_key,
                self.events,
                self.ttl_by_lease,
                self._leases,
            )
        )

    def restore(self, saved):
        """Come back from a copy."""
        (
            self.revision,
            self.oldest,
            self.item_by_key,
            self.events,
            self.ttl_by_lease,
            self._leases,
        ) = copy.deepcopy(saved)
        now = time.monotonic()
        self.end_by_lease = {
            lease: now + ttl for lease, ttl in self.ttl_by_lease.items()
        }
        self.era += 1
        self._notify()

    # Calls.

    def _put(self, key, value, lease):
        self.revision += 1
        known = self.item_by_key.get(key)
        self.item_by_key[key] = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": self.revision if known is None else known["created"],
            "lease": lease,
        }
        self._append(dict(self.item_by_key[key]))

    def _append(self, event):
        self.events.append(event)
        self._notify()

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire_leases(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, end in list(self.end_by_lease.items()):
                if end < now and not self.is_down:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.end_by_lease.pop(lease, None)
        self.ttl_by_lease.pop(lease, None)
        for key, item in list(self.item_by_key.items()):
            if item["lease"] == lease:
                self.remove(key)

    async def _serve(self, machine, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None or self.is_down:
                    return
                if self.mode_by_machine.get(machine) == "silent":
                    await asyncio.sleep(3600)
                status, document = await self._handle(machine, *message)
                if self.is_down:
                    return
                if self.mode_by_machine.get(machine) == "silent":
                    await asyncio.sleep(3600)
                body = json.dumps(document).encode()
                named = {
                    "Content-Type": "application/json",
                    "Store-Era": str(self.era),
                }
                writer.write(answer_bytes(status, named, body))
                await writer.drain()
        except (OSError, BrokenMessageError, asyncio.CancelledError):
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _handle(self, machine, line, headers, body):
        method, target, _ = line.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        name, _, rest = parts.path.removeprefix("/-/").partition("/")
        document = json.loads(body) if body else {}
        if name == "kv-key":
            item = self.item_by_key.get(query["key"])
            return (404, {}) if item is None else (200, item | {"at": self.revision})
        if name == "kv-range":
            return self._range(query)
        if name == "kv-watch":
            return await self._watch(machine, query)
        if name == "kv-txn":
            return self._transact(document)
        if name == "kv-lease":
            self._leases += 1
            self.ttl_by_lease[self._leases] = document["ttlMs"] / 1000.0
            self.end_by_lease[self._leases] = (
                time.monotonic() + document["ttlMs"] / 1000.0
            )
            return 200, {"lease": self._leases, "ttlMs": document["ttlMs"]}
        lease = int(rest)
        if lease not in self.end_by_lease:
            return 404, {}
        if name == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        ttl = self.ttl_by_lease[lease]
        self.end_by_lease[lease] = time.monotonic() + ttl
        return 200, {"ttlMs": int(ttl * 1000)}

    def _range(self, query):
        after, prefix = query.get("after", ""), query.get("prefix", "")
        keys = sorted(k for k in self.item_by_key if k > after and k.startswith(prefix))
        items = [self.item_by_key[key] for key in keys[:PAGE]]
        more = len(keys) > PAGE
        return 200, {"items": items, "hasMore": more, "at": self.revision}

    async def _watch(self, machine, query):
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = time.monotonic() + int(query["waitMs"]) / 1000.0
        self.watching[machine] = time.monotonic()
        era = self.era
        while True:
            if after < self.oldest or after > self.revision or era != self.era:
                return 410, {}
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, document):
        rows = document.get("expect", [])
        for row in rows:
            item = self.item_by_key.get(row["key"])
            if row["revision"] != (0 if item is None else item["revision"]):
                items = [self.item_by_key.get(r["key"]) for r in rows]
                return 412, {"items": [i for i in items if i is not None]}
        puts = document.get("puts", [])
        keys = [put["key"] for put in puts] + document.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        leases = {put.get("lease", 0) for put in puts} - {0}
        if not leases <= set(self.end_by_lease):
            return 404, {}
        for put in puts:
            self._put(put["key"], put["value"], put.get("lease", 0))
        for key in document.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}
