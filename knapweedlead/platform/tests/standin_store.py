"""Stand-in for the platform's store, written from its published protocol."""

import asyncio
import base64
import copy
import json
from urllib.parse import parse_qs, urlsplit

import attrs

from knapweedlead.http import CallerServer

MAX_ENTRIES = 32


@attrs.define
class StoredItem:
    """A key's value, as the store returns it."""

    value: str
    revision: int
    created: int
    lease: int

    def document(self, key):
        """Return the item as it is sent over the wire."""
        return {"key": key} | attrs.asdict(self)


class StandinStore:
    """Keys with revisions, leases and watches, and faults of the real store.

    Attributes
    ----------
    fault : str
        Empty, ``"busy"`` (status 503), ``"many"`` (status 429), ``"silent"`` (neither
        executed nor answered) or ``"lost"`` (writes are executed, but not answered).
    write_delay_by_key : dict of str to float
        Seconds by which transactions that write a key are executed late.
    era : int or str or None
        Value of the header that states the era; None for a store without eras.
    """

    def __init__(self):
        self.fault = ""
        self.malformed_answer = b"[]"
        self.calls = []
        self.write_delay_by_key = {}
        self.era = 1
        self.revision = 10
        self.oldest = 0
        self.item_by_key = {}
        self.events = []
        self.end_by_lease = {}
        self._leases = 100
        self._changed = asyncio.Event()
        self.server = CallerServer(
            self._on_request, lambda exchange: None, _reject_bad_input
        )

    async def start(self, address):
        """Listen at ``IP:PORT``."""
        await self.server.start(address)

    async def stop(self):
        """Close the listener."""
        await self.server.stop()

    def write(self, key, value, lease=0):
        """Write a key, as an operator does."""
        self.revision += 1
        known = self.item_by_key.get(key)
        created = self.revision if known is None else known.created
        encoded = base64.b64encode(value).decode()
        self.item_by_key[key] = StoredItem(encoded, self.revision, created, lease)
        self._append_event(self.item_by_key[key].document(key))

    def remove(self, key):
        """Remove a key."""
        if self.item_by_key.pop(key, None) is not None:
            self.revision += 1
            self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def copy(self):
        """Return a copy of all that the store holds."""
        return copy.deepcopy(
            (self.revision, self.item_by_key, self.events, self.end_by_lease)
        )

    def restore(self, saved, next_lease=None):
        """Come back from a copy; lease numbers are given out again from `next_lease`.

        Leases of the copy run on; watches are answered with status 410.
        """
        saved = copy.deepcopy(saved)
        self.revision, self.item_by_key, self.events, self.end_by_lease = saved
        if next_lease is not None:
            self._leases = next_lease
        if self.era is not None:
            self.era += 1
        self._notify_watchers()

    def compact(self):
        """Compact the whole history; older watches get status 410."""
        self.events.clear()
        self.oldest = self.revision
        self._notify_watchers()

    def expire_leases(self):
        """Let all leases expire, which removes their keys."""
        for lease in list(self.end_by_lease):
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.end_by_lease.pop(lease, None)
        for key, item in list(self.item_by_key.items()):
            if item.lease == lease:
                self.remove(key)

    def _append_event(self, event):
        self.events.append(event)
        self._notify_watchers()

    def _notify_watchers(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self):
        now = asyncio.get_running_loop().time()
        for lease, end in list(self.end_by_lease.items()):
            if end < now:
                self._end_lease(lease)

    def _on_request(self, request):
        asyncio.ensure_future(self._serve(request))

    async def _serve(self, request):
        self.calls.append((request.method, request.path))
        if self.fault == "silent":
            return
        if self.fault in ("busy", "many"):
            status = 503 if self.fault == "busy" else 429
            self.server.reply(request.exchange, status, self._headers(), b"")
            return
        if self.fault == "malformed":
            headers = self._headers()
            self.server.reply(request.exchange, 200, headers, self.malformed_answer)
            return
        self._expire()
        status, document = await self._handle(request)
        if self.fault == "lost" and request.method != "GET":
            return
        body = json.dumps(document).encode()
        self.server.reply(request.exchange, status, self._headers(), body)

    def _headers(self):
        return {} if self.era is None else {"store-era": str(self.era)}

    async def _handle(self, request):
        parts = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        name, _, rest = parts.path.removeprefix("/-/").partition("/")
        body = json.loads(request.body) if request.body else {}
        if name == "kv-range":
            return self._range(query)
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            delays = [self.write_delay_by_key.get(p["key"], 0.0) for p in body["puts"]]
            if any(delays):
                await asyncio.sleep(max(delays))
            return self._transact(body)
        if name == "kv-lease":
            return self._grant(body)
        return self._lease_call(name, int(rest))

    def _range(self, query):
        keys = sorted(k for k in self.item_by_key if k > query.get("after", ""))
        prefix = query.get("prefix", "")
        items = [self.item_by_key[k].document(k) for k in keys if k.startswith(prefix)]
        return 200, {"items": items, "hasMore": False, "at": self.revision}

    async def _watch(self, query):
        after = int(query["after"])
        prefix = query.get("prefix", "")
        loop = asyncio.get_running_loop()
        end = loop.time() + int(query["waitMs"]) / 1000.0
        era = self.era
        while True:
            if after < self.oldest or after > self.revision or era != self.era:
                return 410, {}
            events = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - loop.time()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue

    def _transact(self, body):
        assert len(body["puts"]) + len(body["remove"]) <= MAX_ENTRIES
        for row in body["expect"]:
            item = self.item_by_key.get(row["key"])
            if row["revision"] != (0 if item is None else item.revision):
                return 412, {"items": []}
        leases = {put["lease"] for put in body["puts"]} - {0}
        if not leases <= set(self.end_by_lease):
            return 404, {}
        for put in body["puts"]:
            self.write(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in body["remove"]:
            self.remove(key)
        return 200, {"revision": self.revision}

    def _grant(self, body):
        self._leases += 1
        now = asyncio.get_running_loop().time()
        self.end_by_lease[self._leases] = now + body["ttlMs"] / 1000.0
        return 200, {"lease": self._leases, "ttlMs": body["ttlMs"]}

    def _lease_call(self, name, lease):
        if lease not in self.end_by_lease:
            return 404, {}
        if name == "kv-lease-end":
            self._end_lease(lease)
            return 200, {}
        now = asyncio.get_running_loop().time()
        self.end_by_lease[lease] = now + 6.0
        return 200, {"ttlMs": 6000}


def _reject_bad_input(reason):
    return 400, {}, b""
