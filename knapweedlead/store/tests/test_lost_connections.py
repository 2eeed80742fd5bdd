"""Store calls whose connection is closed before the answer."""

import asyncio

import pytest
from result import Err

from knapweedlead.errors import StoreFault
from knapweedlead.store import ABSENT, CompareAndSwap, Get, HttpStore

TIMEOUT = 5.0


class ClosingStore:
    """Reads each request completely, then closes the connection without an answer."""

    def __init__(self):
        self.requests = 0

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        length = [
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length")
        ]
        await reader.readexactly(sum(length))
        self.requests += 1
        writer.close()


async def call(operation):
    closing = ClosingStore()
    server = await asyncio.start_server(closing.serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    store = HttpStore(f"{host}:{port}", TIMEOUT)
    result = await store.call(operation)
    server.close()
    return result, closing.requests


async def test_write_with_lost_answer_is_sent_once_and_has_an_unknown_outcome():
    result, requests = await call(CompareAndSwap("key", b"value", ABSENT))
    assert isinstance(result, Err)
    assert result.err_value.fault is StoreFault.UNKNOWN_OUTCOME
    assert requests == 1


@pytest.mark.parametrize("operation", [Get("key")])
async def test_read_is_retried_a_bounded_number_of_times(operation):
    result, requests = await call(operation)
    assert isinstance(result, Err)
    assert 1 < requests <= 4
