"""The operators' client with several daemons."""

import asyncio
import json

import pytest
from result import Err, Ok

from knapweedlead.http import CallerServer
from knapweedlead.operators._client import MAX_RESPONSE_BYTES, OperatorClient
from standins.fleet import free_address

RECORDS = [{"revision": 1}, {"revision": 2}]


class StreamingDaemon:
    """Answers a watch with two records, or with a refusal."""

    def __init__(self, status=200):
        self.status = status
        self.paths = []
        self.address = free_address()
        self.server = CallerServer(
            self._on_request, lambda exchange: None, lambda reason: (400, {}, b"")
        )

    def _on_request(self, request):
        self.paths.append(request.path)
        body = b"".join(json.dumps(record).encode() + b"\n" for record in RECORDS)
        if self.status != 200:
            body = b'{"reason": "wrong_revision"}'
        self.server.reply(request.exchange, self.status, {}, body)

    async def __aenter__(self):
        await self.server.start(self.address)
        return self

    async def __aexit__(self, *exc_info):
        await self.server.stop()


async def watch(*addresses):
    """Return all results of a watch."""
    client = OperatorClient(list(addresses), "credential")
    return [result async for result in client.watch("services", "1")]


async def test_watch_fails_if_the_first_daemon_is_gone():
    async with StreamingDaemon() as daemon:
        results = await watch(free_address(), daemon.address)
        assert results == [Ok(record) for record in RECORDS]
        assert daemon.paths == ["/v1/services?watch=true&from=1"]


async def test_watch_is_repeated_at_another_daemon_after_a_refusal():
    async with StreamingDaemon(400) as first, StreamingDaemon() as second:
        (result,) = await watch(first.address, second.address)
        assert result.err_value.reason == "wrong_revision"
        assert not second.paths


@pytest.mark.parametrize("count", [0, 2])
async def test_watch_without_a_reachable_daemon_raises(count):
    addresses = [free_address() for _ in range(count)]
    (result,) = await watch(*addresses)
    assert isinstance(result, Err)
    assert result.err_value.step == "operators.watch"


ENDLESS = {
    "length": b"content-length: 900000000000\r\n\r\n",
    "no length": b"\r\n",
}


@pytest.mark.parametrize("status", [200, 503])
@pytest.mark.parametrize("is_watch", [False, True])
@pytest.mark.parametrize("name", sorted(ENDLESS))
async def test_response_without_end_is_cut_at_its_limit(name, is_watch, status):
    # Guards against a response that is kept as long as a daemon sends.
    sent = 0

    async def serve(reader, writer):
        nonlocal sent
        sent = 0
        head = b"HTTP/1.1 %d x\r\ncontent-type: application/json\r\n" % status
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + ENDLESS[name])
            while sent < 8 * MAX_RESPONSE_BYTES:
                writer.write(b"x" * 65536)
                sent += 65536
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    if is_watch:
        (result,) = await watch(f"{host}:{port}")
    else:
        client = OperatorClient([f"{host}:{port}"], "credential")
        result = await client.request("GET", "/v1/services")
    assert isinstance(result, Err)
    assert sent < 2 * MAX_RESPONSE_BYTES
    server.close()
