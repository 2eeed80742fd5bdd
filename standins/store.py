"""Fake of the platform's store over HTTP, with fault injection.

Serves the key-value and session API of Consul. ``PUT /faults`` sets
``{"mode": ..., "delay_s": ...}`` with a mode of ``none``, ``down``,
``lose_answers`` (writes are applied, but answered with status 500),
``silent_watches`` (a watch returns only when its wait time ends) or
``compacted_watches`` (a watch is refused with status 410). The delay applies to each
call.
``GET /calls`` returns the number of calls by operation. ``PUT /copies`` makes a copy
of all keys and leases, and ``PUT /restored`` comes back from the last one, in the next
era; all answers state the era in ``Store-Era``.
"""

import asyncio
import base64
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import fire
import uvicorn
from blacksheep import Application, Request, Response, json, text

from standins._store_state import StoreState

EXPIRY_SECONDS = 0.1
MAX_VALUE_BYTES = 1024 * 1024

Handler = Callable[[Request], Awaitable[Response]]

MODES = ("none", "down", "lose_answers", "silent_watches", "compacted_watches")


class StoreServer:
    """HTTP server of a `StoreState`."""

    def __init__(self) -> None:
        self.state = StoreState()
        self.mode = "none"
        self.delay = 0.0
        self.calls: Counter[str] = Counter()
        self._changed = asyncio.Condition()
        self.app = Application()
        route = self.app.router
        route.add_get("/v1/kv/*", _handler(self._read))
        route.add_put("/v1/kv/*", _handler(self._write))
        route.add_delete("/v1/kv/*", _handler(self._delete))
        route.add_put("/v1/session/create", _handler(self._create))
        route.add_put("/v1/session/renew/{lease}", _handler(self._renew))
        route.add_put("/v1/session/destroy/{lease}", _handler(self._destroy))
        route.add_put("/faults", _handler(self._set_faults))
        route.add_get("/calls", _handler(self._count_calls))
        route.add_put("/copies", _handler(self._copy))
        route.add_put("/restored", _handler(self._restore))
        self._copied = self.state.copy()
        self.app.middlewares.append(self._state_era)
        self.app.on_start += self._start_expiry

    async def _start_expiry(self, app: Application) -> None:
        self._expiry = asyncio.ensure_future(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_SECONDS)
            self.state.expire(time.monotonic())
            await self._notify_watches()

    async def _notify_watches(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _apply_faults(self, name: str) -> Response | None:
        self.calls[name] += 1
        if self.delay:
            await asyncio.sleep(self.delay)
        return text("unavailable", 503) if self.mode == "down" else None

    async def _answer_write(self, document: Any) -> Response:
        await self._notify_watches()
        if self.mode == "lose_answers":
            return text("lost", 500)
        return json(document)

    async def _read(self, request: Request) -> Response:
        refusal = await self._apply_faults(
            "watch" if "index" in request.query else "read"
        )
        if refusal is not None:
            return refusal
        key = _key_of(request)
        if "index" in request.query and self.mode == "compacted_watches":
            return text("compacted", 410)
        if "index" in request.query:
            await self._wait_for_change(key, request)
        if "recurse" in request.query:
            found = self.state.list_prefix(key)
        else:
            found = {k: e for k, e in self.state.list_prefix(key).items() if k == key}
        if not found:
            return json([], 404)
        return json(
            [
                {
                    "Key": name,
                    "Value": base64.b64encode(entry.value).decode(),
                    "ModifyIndex": entry.revision,
                    "Session": entry.lease,
                }
                for name, entry in found.items()
            ]
        )

    async def _wait_for_change(self, key: str, request: Request) -> None:
        after = int(request.query["index"][0])
        wait = float(request.query.get("wait", ["60s"])[0].rstrip("s"))
        deadline = time.monotonic() + wait
        while self._revision_of(key) == after or self.mode == "silent_watches":
            left = deadline - time.monotonic()
            if left <= 0:
                return
            try:
                async with asyncio.timeout(left), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                return

    def _revision_of(self, key: str) -> int:
        entry = self.state.by_key.get(key)
        return entry.revision if entry else 0

    async def _write(self, request: Request) -> Response:
        refusal = await self._apply_faults("write")
        if refusal is not None:
            return refusal
        value = await request.read() or b""
        if len(value) > MAX_VALUE_BYTES:
            return text("value too large", 413)
        expected = _expected_of(request)
        lease = request.query.get("acquire", [""])[0]
        written = self.state.compare_and_swap(_key_of(request), value, expected, lease)
        return await self._answer_write(written)

    async def _delete(self, request: Request) -> Response:
        refusal = await self._apply_faults("write")
        if refusal is not None:
            return refusal
        deleted = self.state.delete(_key_of(request), _expected_of(request))
        return await self._answer_write(deleted)

    async def _create(self, request: Request) -> Response:
        refusal = await self._apply_faults("write")
        if refusal is not None:
            return refusal
        document = await request.json()
        seconds = float(document["TTL"].rstrip("s"))
        lease = self.state.create_lease(seconds, time.monotonic())
        return await self._answer_write({"ID": lease})

    async def _renew(self, request: Request) -> Response:
        refusal = await self._apply_faults("write")
        if refusal is not None:
            return refusal
        lease = _route_value(request, "lease")
        stored = self.state.renew_lease(lease, time.monotonic())
        if stored is None:
            return json([], 404)
        return await self._answer_write([{"ID": lease, "TTL": f"{stored.seconds:g}s"}])

    async def _destroy(self, request: Request) -> Response:
        refusal = await self._apply_faults("write")
        if refusal is not None:
            return refusal
        self.state.revoke_lease(_route_value(request, "lease"))
        return await self._answer_write(True)

    async def _set_faults(self, request: Request) -> Response:
        document = await request.json()
        if document["mode"] not in MODES:
            return text(f"expected one of {MODES}", 400)
        self.mode = document["mode"]
        self.delay = float(document.get("delay_s", 0.0))
        await self._notify_watches()
        return json(True)

    async def _state_era(self, request: Request, handler: Handler) -> Response:
        response = await handler(request)
        response.headers.set(b"Store-Era", str(self.state.era).encode())
        return response

    async def _copy(self, request: Request) -> Response:
        self._copied = self.state.copy()
        return json(True)

    async def _restore(self, request: Request) -> Response:
        self.state.restore(self._copied)
        await self._notify_watches()
        return json(True)

    async def _count_calls(self, request: Request) -> Response:
        return json(dict(self.calls))


def _handler(method: Handler) -> Handler:
    """Wrap a bound method in a function, as the router sets attributes on handlers."""

    async def handle(request: Request) -> Response:
        return await method(request)

    return handle


def _key_of(request: Request) -> str:
    return _route_value(request, "tail")


def _route_value(request: Request, name: str) -> str:
    return str((request.route_values or {})[name])


def _expected_of(request: Request) -> int | None:
    values = request.query.get("cas")
    return int(values[0]) if values else None


def serve(address: str) -> None:
    """Serve the fake store at ``IP:PORT`` until stopped."""
    host, _, port = address.rpartition(":")
    uvicorn.run(
        StoreServer().app, host=host, port=int(port), log_level="warning", lifespan="on"
    )


if __name__ == "__main__":
    fire.Fire(serve)
