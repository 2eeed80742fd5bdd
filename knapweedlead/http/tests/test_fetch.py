"""A single request on a connection of its own."""

import asyncio

import pytest

from knapweedlead.http import BackendServerClient, FetchFailure, fetch
from standins.fleet import free_address

ANSWER = b"HTTP/1.1 201 Created\r\nx-one: 1\r\ncontent-length: 2\r\n\r\nok"


async def ask(answer, path="/a"):
    """Return the result of a request and what its server received."""
    received = []

    async def serve(reader, writer):
        received.append(await reader.readuntil(b"\r\n\r\n"))
        received.append(await reader.readexactly(4))
        writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    headers = {"x-two": "2"}
    result = await fetch(f"{host}:{port}", "PUT", path, headers, b"body", 5.0)
    server.close()
    return result, received


async def test_answer_is_returned_whole():
    result, (head, body) = await ask(ANSWER)
    assert (result.ok_value.status, result.ok_value.body) == (201, b"ok")
    assert result.ok_value.headers["x-one"] == "1"
    assert head.startswith(b"PUT /a HTTP/1.1\r\n")
    assert b"x-two: 2\r\n" in head
    assert body == b"body"


@pytest.mark.parametrize("end", [0, 10, len(ANSWER) - 1])
async def test_request_without_a_whole_answer_may_have_been_processed(end):
    result, _ = await ask(ANSWER[:end])
    assert result.err_value.was_sent


async def test_request_to_an_address_that_refuses_was_not_sent():
    result = await fetch(free_address(), "GET", "/", {}, b"", 5.0)
    assert isinstance(result.err_value, FetchFailure)
    assert not result.err_value.was_sent


async def test_connection_may_take_as_long_as_the_answer(monkeypatch):
    # Guards against a call to the store that fails with the first lost packet.
    limits = []

    async def connect(self, timeout):
        limits.append(timeout)
        raise OSError("unreachable")

    monkeypatch.setattr(BackendServerClient, "_connect", connect)
    await fetch("127.0.0.1:1", "GET", "/", {}, b"", 5.0)
    assert limits == [5.0]
