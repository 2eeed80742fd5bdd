"""A server at the store's address whose answers do not end."""

import asyncio

import pytest

from knapweedlead.errors import StoreFault
from knapweedlead.store import ABSENT, CompareAndSwap, Get, HttpStore, List
from knapweedlead.store._http_store import MAX_ANSWER_BYTES

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
BLOCK = b"x" * 65536
ENDLESS = {
    "length": (HEAD + b"content-length: 900000000000\r\n\r\n", BLOCK),
    "chunks": (
        HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"10000\r\n%b\r\n" % BLOCK,
    ),
    "no length": (HEAD + b"\r\n", BLOCK),
    "head": (HEAD, b"a: b\r\n" * 10000),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "no answer": (b"", BLOCK),
}
SLACK_BYTES = 16 * 1024 * 1024
"""Bytes that the sockets and the server's transport may hold."""
MAX_SENT_BYTES = 8 * MAX_ANSWER_BYTES
"""Bytes after which the server of the test gives up."""
TIMEOUT = 60.0


class EndlessStore:
    """Sends bytes until its caller closes; counts those of the last connection."""

    def __init__(self, first, rest):
        self.first = first
        self.rest = rest
        self.sent = 0

    async def serve(self, reader, writer):
        self.sent = 0
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.first)
            while self.sent < MAX_SENT_BYTES:
                writer.write(self.rest)
                self.sent += len(self.rest)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()


@pytest.mark.parametrize(
    "operation",
    [Get("key"), List("prefix"), CompareAndSwap("key", b"value", ABSENT)],
    ids=lambda operation: type(operation).__name__,
)
@pytest.mark.parametrize("name", sorted(ENDLESS))
async def test_answer_without_end_is_cut_at_its_limit(name, operation):
    # Guards against an answer that is kept as long as the server sends.
    endless = EndlessStore(*ENDLESS[name])
    server = await asyncio.start_server(endless.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    result = await HttpStore(f"{host}:{port}", TIMEOUT).call(operation)
    assert result.err_value.fault is StoreFault.UNKNOWN_OUTCOME
    assert endless.sent < MAX_ANSWER_BYTES + SLACK_BYTES
    server.close()
