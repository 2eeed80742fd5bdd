"""Operator API: resources over HTTP, with ETags and watches.

Paths are ``/v1/{kind}``, ``/v1/{kind}/{name}``, ``/v1/status`` and ``/metrics``.
Every request must carry the operator credential as a bearer token.
"""

import asyncio
import contextlib
import hmac
import itertools
import json
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from typing import Any

import uvicorn
from blacksheep import Application, Content, Request, Response, StreamedContent

from knapweedlead.configuration import (
    KINDS,
    ApplyResource,
    DeleteResource,
    GetResource,
    GetStatus,
    ListResources,
    OperatorReply,
)
from knapweedlead.http import split_address
from knapweedlead.operators._changes import ChangeFeed
from knapweedlead.operators._problems import OperatorProblemError, problem

REPLY_TIMEOUT_SECONDS = 15.0
"""Seconds without a reply from the node after which a request fails with 504."""
HEARTBEAT_SECONDS = 5.0
"""Seconds without a change after which a watch sends a heartbeat line."""
MAX_BODY_BYTES = 256 * 1024

CHANGE_ID = b"Change-Id"

_JSON = b"application/json"
_JSON_LINES = b"application/jsonl"
_TEXT = b"text/plain; version=0.0.4"

_Handler = Callable[[Request], Awaitable[Response]]


class _Server(uvicorn.Server):
    """Server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class OperatorApi:
    """HTTP server that forwards the requests of operators to the node.

    Parameters
    ----------
    credential : str
        Bearer token required of every request.
    submit : callable
        Called with an exchange number and an operator request; the response is
        delivered through `reply`.
    render_metrics : callable
        Returns the metrics in the Prometheus text format.
    count_refusal : callable
        Called with the reason when the server refuses a request itself, or the node
        does not answer in time.
    """

    def __init__(
        self,
        credential: str,
        submit: Callable[[int, Any], None],
        render_metrics: Callable[[], bytes],
        count_refusal: Callable[[str], None],
    ) -> None:
        self.credential = credential
        self.submit = submit
        self.render_metrics = render_metrics
        self.count_refusal = count_refusal
        self.feed = ChangeFeed()
        self._exchange_ids = itertools.count(1)
        self._pending_by_exchange: dict[int, asyncio.Future[OperatorReply]] = {}
        self._server: _Server | None = None
        self._task: asyncio.Task[None] | None = None
        self.app = Application()
        self._add_routes()

    def _add_routes(self) -> None:
        router = self.app.router
        router.add_get("/metrics", self._authenticated(self._get_metrics))
        router.add_get("/v1/status", self._authenticated(self._get_status))
        router.add_get("/v1/{kind}", self._authenticated(self._list))
        router.add_get("/v1/{kind}/{name}", self._authenticated(self._get))
        router.add_put("/v1/{kind}/{name}", self._authenticated(self._put))
        router.add_delete("/v1/{kind}/{name}", self._authenticated(self._delete))

    async def start(self, address: str) -> None:
        """Listen at ``IP:PORT``."""
        host, port = split_address(address)
        config = uvicorn.Config(
            self.app,
            host=host,
            port=port,
            log_config=None,
            lifespan="on",
            timeout_graceful_shutdown=1,
        )
        self._server = _Server(config)
        self._task = asyncio.ensure_future(self._server.serve())
        while not self._server.started and not self._task.done():
            await asyncio.sleep(0.01)

    async def stop(self) -> None:
        """Close the listener and the watches."""
        if self._server is not None and self._task is not None:
            self._server.should_exit = True
            await self._task

    def reply(self, exchange: int, reply: OperatorReply) -> None:
        """Complete a request; does nothing if the request has already timed out."""
        pending = self._pending_by_exchange.pop(exchange, None)
        if pending is not None and not pending.done():
            pending.set_result(reply)

    def _authenticated(self, handler: _Handler) -> _Handler:
        """Wrap a handler: check the credential, turn errors into problem documents."""

        async def handle(request: Request) -> Response:
            try:
                self._check_credential(request)
                return await handler(request)
            except OperatorProblemError as error:
                self.count_refusal(error.reason)
                return _json_response(error.status, error.document)

        return handle

    def _check_credential(self, request: Request) -> None:
        header = request.get_first_header(b"Authorization") or b""
        expected = f"Bearer {self.credential}".encode()
        if not hmac.compare_digest(header, expected):
            raise problem(
                401, "missing_credential", "operator credential missing or wrong"
            )

    async def _submit(self, operation: Any) -> OperatorReply:
        exchange = next(self._exchange_ids)
        pending = asyncio.get_running_loop().create_future()
        self._pending_by_exchange[exchange] = pending
        self.submit(exchange, operation)
        try:
            return await asyncio.wait_for(pending, REPLY_TIMEOUT_SECONDS)
        except TimeoutError as error:
            detail = "no reply in time; read the resource to see whether it changed"
            raise problem(504, "timeout", detail) from error
        finally:
            self._pending_by_exchange.pop(exchange, None)

    async def _respond(self, operation: Any) -> Response:
        reply = await self._submit(operation)
        response = _json_response(reply.status, reply.document)
        if reply.version is not None:
            response.add_header(b"ETag", f'"{reply.version}"'.encode())
        return response

    async def _get_metrics(self, request: Request) -> Response:
        return Response(200, content=Content(_TEXT, self.render_metrics()))

    async def _get_status(self, request: Request) -> Response:
        return await self._respond(GetStatus())

    async def _list(self, request: Request) -> Response:
        kind = _parse_kind(request)
        if request.query.get("watch", ["false"])[0] == "true":
            return self._watch(request, kind)
        return await self._respond(ListResources(kind))

    async def _get(self, request: Request) -> Response:
        return await self._respond(
            GetResource(_parse_kind(request), _parse_name(request))
        )

    async def _put(self, request: Request) -> Response:
        kind, name = _parse_kind(request), _parse_name(request)
        document = await _read_document(request)
        expected = _parse_expected_version(request)
        change_id = _parse_change_id(request)
        return await self._respond(
            ApplyResource(kind, name, document, expected, change_id)
        )

    async def _delete(self, request: Request) -> Response:
        kind, name = _parse_kind(request), _parse_name(request)
        expected = _parse_expected_version(request)
        change_id = _parse_change_id(request)
        return await self._respond(DeleteResource(kind, name, expected, change_id))

    def _watch(self, request: Request, kind: str) -> Response:
        start = self._parse_start_revision(request)

        async def lines() -> AsyncIterator[bytes]:
            async for records in self.feed.watch(start, kind, HEARTBEAT_SECONDS):
                if records:
                    yield b"".join(_encode_line(r.to_document()) for r in records)
                else:
                    yield _encode_line(
                        {"change": "heartbeat", "revision": self.feed.revision}
                    )

        return Response(200, content=StreamedContent(_JSON_LINES, lines))

    def _parse_start_revision(self, request: Request) -> int:
        text = request.query.get("from", [str(self.feed.revision)])[0]
        if not text.isdecimal() or int(text) > self.feed.revision:
            detail = f"expected a revision up to {self.feed.revision}, found {text!r}"
            raise problem(400, "wrong_revision", detail)
        if int(text) < self.feed.oldest_revision:
            detail = f"changes before {self.feed.oldest_revision} are gone; list again"
            raise problem(410, "compacted_revision", detail)
        return int(text)


def _parse_kind(request: Request) -> str:
    kind = str((request.route_values or {})["kind"])
    if kind not in KINDS:
        detail = f"expected one of {', '.join(KINDS)}, found {kind!r}"
        raise problem(404, "unknown_kind", detail)
    return kind


def _parse_name(request: Request) -> str:
    return str((request.route_values or {})["name"])


async def _read_document(request: Request) -> Any:
    length = request.get_first_header(b"Content-Length") or b"0"
    if not length.isdigit() or int(length) > MAX_BODY_BYTES:
        raise problem(413, "too_large", f"expected at most {MAX_BODY_BYTES} bytes")
    try:
        return json.loads(await request.read() or b"")
    except ValueError as error:
        raise problem(400, "malformed_json", f"not JSON: {error}") from error


def _parse_expected_version(request: Request) -> int | None:
    if request.get_first_header(b"If-None-Match") == b"*":
        return 0
    header = request.get_first_header(b"If-Match")
    if header is None or header == b"*":
        return None
    text = header.decode("latin-1").strip('"')
    if not text.isdecimal():
        detail = f"If-Match: expected a quoted version, found {text!r}"
        raise problem(400, "wrong_revision", detail)
    return int(text)


def _parse_change_id(request: Request) -> str:
    header = request.get_first_header(CHANGE_ID)
    return header.decode("latin-1") if header else secrets.token_hex(8)


def _encode_line(document: dict[str, Any]) -> bytes:
    return json.dumps(document, separators=(",", ":")).encode() + b"\n"


def _json_response(status: int, document: Any) -> Response:
    return Response(status, content=Content(_JSON, json.dumps(document).encode()))
