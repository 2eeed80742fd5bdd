"""Answers, failures and connection reuse of the backend server client."""

import asyncio
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweedlead.http import BackendServerClient, HttpAnswer
from knapweedlead.http._run import MAX_ANSWER_BYTES, RunProtocol
from knapweedlead.http.tests.fakes import FakeTransport
from knapweedlead.transport.tests.links import wait_until
from standins.fleet import free_address

MANY_CONNECTIONS = 4000
MAX_SECONDS = 0.1
"""Processor time for the loss of all connections of a large pool."""
OK_ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class ScriptedServer:
    """Server that sends a fixed answer and counts its connections."""

    def __init__(self, answer, closes=False, is_unresponsive=False):
        self.answer = answer
        self.closes = closes
        self.is_unresponsive = is_unresponsive
        self.connections = 0
        self.answers = {}
        self.failures = {}

    async def __aenter__(self):
        address = free_address()
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.client = BackendServerClient(
            address,
            2,
            self.answers.__setitem__,
            lambda run, was_sent, detail: self.failures.update({run: was_sent}),
        )
        return self

    async def __aexit__(self, *exception):
        self.client.close()
        self.server.close()
        await asyncio.sleep(0.01)

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if not self.is_unresponsive:
                    writer.write(self.answer)
                if self.closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    def run(self, number, method="GET", timeout=2.0):
        self.client.run(number, method, "/", {}, b"", timeout)

    async def wait_until_ended(self, number):
        await wait_until(lambda: number in self.answers or number in self.failures)


async def test_sequential_runs_share_a_connection():
    async with ScriptedServer(OK_ANSWER) as server:
        for number in range(1, 6):
            server.run(number)
            await server.wait_until_ended(number)
        assert server.connections == 1
        assert server.answers[5].body == b"ok"


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\ncut",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel",
        b"HTTP/1.1 200 OK\r\n\r\nno length at all",
        b"HTTP/1.1 200 OK\r\ncontent-le",
        b"garbage\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n",
        b"",
    ],
)
async def test_truncated_or_malformed_answer_fails_the_run_as_sent(answer):
    async with ScriptedServer(answer, closes=True) as server:
        server.run(1)
        await server.wait_until_ended(1)
        assert server.answers == {}
        assert server.failures == {1: True}


async def test_answer_above_the_size_limit_fails_the_run():
    body = b"x" * (MAX_ANSWER_BYTES + 1)
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()
    async with ScriptedServer(head + body) as server:
        server.run(1)
        await server.wait_until_ended(1)
        assert server.failures == {1: True}


async def test_bytes_after_an_answer_are_not_read_by_the_next_run():
    async with ScriptedServer(OK_ANSWER + OK_ANSWER.replace(b"ok", b"no")) as server:
        server.run(1)
        await server.wait_until_ended(1)
        server.run(2)
        await server.wait_until_ended(2)
        assert server.answers[1].body == server.answers[2].body == b"ok"
        assert server.connections == 2


async def test_interim_response_is_skipped():
    async with ScriptedServer(
        b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n" + OK_ANSWER
    ) as server:
        server.run(1)
        await server.wait_until_ended(1)
        assert server.answers[1].status == 200
        assert "link" not in server.answers[1].headers


async def test_answer_to_head_is_complete_without_a_body():
    async with ScriptedServer(
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n"
    ) as server:
        server.run(1, "HEAD")
        await server.wait_until_ended(1)
        assert server.answers[1].status == 200


async def test_run_without_an_answer_times_out_as_sent():
    async with ScriptedServer(OK_ANSWER, is_unresponsive=True) as server:
        server.run(1, timeout=0.05)
        await server.wait_until_ended(1)
        assert server.failures == {1: True}


async def test_run_cancelled_while_connecting_was_not_sent():
    async with ScriptedServer(OK_ANSWER) as server:
        server.run(1)
        server.client.cancel(1)
        await server.wait_until_ended(1)
        assert server.failures == {1: False}
        assert server.client.open_connections == 0


async def test_run_beyond_the_connection_limit_was_not_sent():
    async with ScriptedServer(OK_ANSWER, is_unresponsive=True) as server:
        for number in (1, 2, 3):
            server.run(number)
        assert server.failures == {3: False}


@given(st.lists(st.integers(1, 30), max_size=8))
def test_answer_is_parsed_when_split_at_any_byte(sizes):
    from knapweedlead.http._run import RunProtocol
    from knapweedlead.http.tests.fakes import FakeTransport

    async def run():
        answers = {}
        client = BackendServerClient("-", 1, answers.__setitem__, lambda *_: None)
        protocol = RunProtocol(client)
        protocol.connection_made(FakeTransport())
        protocol.start(1, False, b"", 1.0)
        data = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        data += b"5\r\nhello\r\n0\r\n\r\n"
        for size in sizes:
            if data:
                protocol.data_received(data[:size])
            data = data[size:]
        if data:
            protocol.data_received(data)
        return answers

    assert asyncio.run(run())[1].body == b"hello"


async def test_run_fails_immediately_if_its_connection_is_reset_while_being_opened():
    failures = {}
    client = BackendServerClient(
        "127.0.0.1:1",
        2,
        lambda run, answer: None,
        lambda run, was_sent, detail: failures.update({run: was_sent}),
    )
    protocol = RunProtocol(client)
    protocol.connection_made(FakeTransport())
    connect_task = asyncio.get_running_loop().create_future()
    connect_task.set_result(protocol)
    client._connection_count = 1
    protocol.connection_lost(ConnectionResetError())
    client._on_connected(connect_task, 7, False, b"GET / HTTP/1.1\r\n\r\n", 0.05, "")
    assert failures == {7: False}
    assert client.open_connections == 0


async def test_loss_of_all_idle_connections_does_not_occupy_the_event_loop():
    # Guards against a scan of the pool for each connection of a server that ends.
    client = BackendServerClient("-", 9999, lambda *_: None, lambda *_: None)
    protocols = [RunProtocol(client) for _ in range(MANY_CONNECTIONS)]
    for protocol in protocols:
        protocol.connection_made(FakeTransport())
        client._connection_count += 1
        client.run_finished(protocol, 0, HttpAnswer(200, {}, b""))
    started_at = time.process_time()
    for protocol in reversed(protocols):
        protocol.connection_lost(None)
    assert time.process_time() - started_at < MAX_SECONDS
    assert client.open_connections == 0


async def test_check_tells_that_nothing_listens_or_keeps_the_connection():
    refused = []
    async with ScriptedServer(OK_ANSWER) as server:
        client = server.client
        client.check_listening(lambda: refused.append("up"))
        await wait_until(lambda: client._idle)
        client.run(1, "GET", "/", {}, b"", 5.0)
        await wait_until(lambda: 1 in server.answers)
        assert client.connections_opened == 1
    client = BackendServerClient(free_address(), 4, lambda *_: None, lambda *_: None)
    client.check_listening(lambda: refused.append("down"))
    await wait_until(lambda: refused)
    assert refused == ["down"]
    assert client.open_connections == 0


async def test_loss_of_the_last_connection_is_reported_once():
    lost = []
    client = BackendServerClient(
        "-",
        8,
        lambda *_: None,
        lambda *_: None,
        on_disconnected=lambda: lost.append(client.open_connections),
    )
    protocols = [RunProtocol(client) for _ in range(3)]
    for protocol in protocols:
        protocol.connection_made(FakeTransport())
        client._connection_count += 1
    for protocol in protocols:
        assert lost == []
        protocol.connection_lost(None)
    assert lost == [0]
