"""Pipelining, limits, timeouts and malformed input of the caller server."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweedlead.http import HttpLimits
from knapweedlead.http._caller import CallerProtocol
from knapweedlead.http.tests.fakes import FakeTransport, RecordingServer

GET = b"GET /a HTTP/1.1\r\nhost: x\r\n\r\n"


def connect(server):
    protocol = CallerProtocol(server)
    transport = FakeTransport()
    protocol.connection_made(transport)
    return protocol, transport


async def test_pipelined_requests_are_answered_in_order():
    server = RecordingServer()
    protocol, transport = connect(server)
    protocol.data_received(GET + GET.replace(b"/a", b"/b"))
    assert [request.path for request in server.requests] == ["/a"]
    server.reply(server.requests[0].exchange, 200, {}, b"first")
    server.reply(server.requests[1].exchange, 200, {}, b"second")
    assert transport.written.index(b"first") < transport.written.index(b"second")
    assert not transport.is_closed


async def test_long_pipeline_pauses_reading_and_resumes_after_replies():
    server = RecordingServer()
    protocol, transport = connect(server)
    protocol.data_received(GET * 40)
    assert not transport.is_reading
    for number in range(40):
        server.reply(server.requests[number].exchange, 200, {}, b"")
    assert transport.is_reading
    assert len(server.requests) == 40


async def test_malformed_pipelined_request_is_refused_after_the_pending_reply():
    server = RecordingServer()
    protocol, transport = connect(server)
    protocol.data_received(GET + b"NOT HTTP\r\n\r\n")
    assert transport.written == b""
    server.reply(server.requests[0].exchange, 200, {}, b"whole")
    assert transport.written.startswith(b"HTTP/1.1 200")
    assert transport.written.count(b"HTTP/1.1 400") == 1
    assert transport.is_closed


@pytest.mark.parametrize(
    "head",
    [
        b"NOT HTTP AT ALL\r\n\r\n",
        b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
        b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\n",
        b"POST / HTTP/1.1\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        b"GET / HTTP/1.1\r\nbad header\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"GET /\x00 HTTP/1.1\r\n\r\n",
    ],
)
async def test_malformed_request_is_refused_without_being_started(head):
    server = RecordingServer()
    protocol, transport = connect(server)
    protocol.data_received(head)
    assert server.requests == []
    assert server.refusal_reasons == ["malformed_request"]
    assert transport.is_closed


@pytest.mark.parametrize(
    "parts",
    [
        [b"GET /" + b"a" * 40_000 + b" HTTP/1.1\r\n\r\n"],
        [b"GET / HTTP/1.1\r\n", *[b"x: " + b"v" * 5000 + b"\r\n"] * 8],
        [b"GET / HTTP/1.1\r\nx: ", *[b"v" * 5000] * 20],
        [b"GET ", *[b"/" * 5000] * 20],
        [b"POST / HTTP/1.1\r\ncontent-length: 5000000\r\n\r\n", *[b"b" * 50_000] * 90],
    ],
)
async def test_request_above_the_size_limits_is_refused_while_it_arrives(parts):
    server = RecordingServer()
    protocol, transport = connect(server)
    for part in parts:
        protocol.data_received(part)
    assert server.requests == []
    assert server.refusal_reasons == ["request_too_large"]
    assert transport.is_closed


async def test_stalled_request_is_refused_and_idle_connection_is_closed():
    server = RecordingServer()
    stalled, stalled_transport = connect(server)
    idle, idle_transport = connect(server)
    stalled.data_received(GET[:10])
    now = asyncio.get_running_loop().time()
    stalled.check_timeouts(now + HttpLimits().request_timeout + 1)
    idle.check_timeouts(now + HttpLimits().request_timeout + 1)
    assert server.refusal_reasons == ["malformed_request"]
    assert stalled_transport.is_closed
    assert not idle_transport.is_closed
    idle.check_timeouts(now + HttpLimits().idle_timeout + 1)
    assert idle_transport.is_closed


async def test_idle_timeout_does_not_close_a_connection_with_a_request_in_flight():
    server = RecordingServer()
    protocol, transport = connect(server)
    protocol.data_received(GET)
    now = asyncio.get_running_loop().time()
    protocol.check_timeouts(now + HttpLimits().idle_timeout + 1)
    assert not transport.is_closed


async def test_disconnected_caller_is_reported_once_and_its_reply_is_discarded():
    server = RecordingServer()
    protocol, transport = connect(server)
    protocol.data_received(GET)
    protocol.connection_lost(None)
    exchange = server.requests[0].exchange
    assert server.abandoned_exchanges == [exchange]
    server.reply(exchange, 200, {}, b"late")
    assert transport.written == b""


async def test_connection_above_the_limit_is_refused_as_overloaded():
    server = RecordingServer(max_connections=1)
    connect(server)
    _, transport = connect(server)
    assert server.refusal_reasons == ["overloaded"]
    assert transport.is_closed


async def test_no_request_is_started_while_the_caller_does_not_read():
    server = RecordingServer(replies_immediately=True)
    protocol, transport = connect(server)
    protocol.pause_writing()
    protocol.data_received(GET * 3)
    assert server.requests == []
    assert not transport.is_reading
    protocol.resume_writing()
    assert len(server.requests) == 3


async def test_upgrade_header_is_ignored_and_the_request_is_served():
    server = RecordingServer(replies_immediately=True)
    protocol, transport = connect(server)
    offer = b"GET /u HTTP/1.1\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n"
    protocol.data_received(offer + GET)
    assert [request.path for request in server.requests] == ["/u", "/a"]
    assert transport.written.count(b"HTTP/1.1 200") == 2


async def test_trailers_do_not_become_headers():
    server = RecordingServer()
    protocol, _ = connect(server)
    protocol.data_received(
        b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n"
        b"2\r\nhi\r\n0\r\nauthorization: Bearer x\r\n\r\n"
    )
    assert server.requests[0].body == b"hi"
    assert "authorization" not in server.requests[0].headers


async def test_repeated_header_is_joined_so_that_no_value_takes_precedence():
    server = RecordingServer()
    protocol, _ = connect(server)
    protocol.data_received(
        b"GET / HTTP/1.1\r\nauthorization: Bearer a\r\nAuthorization: Bearer b\r\n\r\n"
    )
    assert server.requests[0].headers["authorization"] == "Bearer a, Bearer b"


async def test_response_to_head_has_no_body():
    server = RecordingServer(replies_immediately=True)
    protocol, transport = connect(server)
    protocol.data_received(GET.replace(b"GET", b"HEAD"))
    assert transport.written.endswith(b"\r\n\r\n")


async def test_connection_closes_after_replies_to_running_and_pipelined_requests():
    server = RecordingServer()
    protocol, transport = connect(server)
    protocol.data_received(GET + GET)
    protocol.close_when_idle()
    server.reply(server.requests[0].exchange, 200, {}, b"")
    assert not transport.is_closed
    server.reply(server.requests[1].exchange, 200, {}, b"")
    assert transport.written.count(b"HTTP/1.1 200") == 2
    assert b"connection: close" in transport.written
    assert transport.is_closed


def run_connection(feed):
    async def run():
        server = RecordingServer(replies_immediately=True)
        protocol, transport = connect(server)
        feed(protocol, transport)
        return server, transport

    return asyncio.run(run())


POST = b"POST /p HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\n\r\nhello"


@given(st.lists(st.integers(1, 20), max_size=20))
def test_requests_are_parsed_when_split_at_any_byte(sizes):
    def feed(protocol, transport):
        data = (POST + GET) * 2
        for size in sizes:
            protocol.data_received(data[:size])
            data = data[size:]
        if data:
            protocol.data_received(data)

    server, _ = run_connection(feed)
    bodies = [(request.method, request.body) for request in server.requests]
    assert bodies == [("POST", b"hello"), ("GET", b"")] * 2
    assert server.refusal_reasons == []


@given(st.lists(st.one_of(st.binary(max_size=60), st.just(GET), st.just(POST))))
def test_arbitrary_bytes_never_raise_and_are_refused_at_most_once(parts):
    def feed(protocol, transport):
        for part in parts:
            if not transport.is_closed:
                protocol.data_received(part)

    server, transport = run_connection(feed)
    assert len(server.refusal_reasons) <= 1
    assert transport.written.count(b"HTTP/1.1 200") == len(server.requests)
