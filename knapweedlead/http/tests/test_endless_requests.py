"""Requests in small parts, and requests whose framing has no end."""

import asyncio
import math
import time
import tracemalloc

import pytest

from knapweedlead.http import HttpLimits
from knapweedlead.http._caller import CallerProtocol
from knapweedlead.http._steps import MAX_STEP_EVENTS
from knapweedlead.http.tests.fakes import (
    MAX_PART_EVENTS,
    FakeTransport,
    RecordingServer,
    count_events,
)
from knapweedlead.http.tests.test_http_server import GET

HEAD = b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
SMALL_CHUNKS = b"2\r\nok\r\n" * 4000
ENDLESS_FRAMING = {
    "chunk extension": (b"5;", b"x" * 4096),
    "trailer": (b"0\r\nx: ", b"y" * 4096),
    "trailers": (b"0\r\n", b"x: y\r\n" * 600),
}
SLACK_BYTES = 1 << 20
MAX_SECONDS = 0.1
"""Processor time until framing without end is refused."""


def open_connection(**limits):
    server = RecordingServer()
    server.limits = HttpLimits(**limits)
    protocol = CallerProtocol(server)
    protocol.connection_made(FakeTransport())
    return server, protocol


async def test_body_in_small_chunks_takes_no_more_memory_than_its_bytes():
    # Guards against uploads in chunks of a few bytes, of which each became an object.
    server, protocol = open_connection()
    protocol.data_received(HEAD)
    tracemalloc.start()
    received = 0
    for _ in range(40):
        protocol.data_received(SMALL_CHUNKS)
        received += len(SMALL_CHUNKS)
    traced, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    protocol.data_received(b"0\r\n\r\n")
    (request,) = server.requests
    assert request.body == b"ok" * 4000 * 40
    assert traced < 1.25 * received + SLACK_BYTES


@pytest.mark.parametrize("name", sorted(ENDLESS_FRAMING))
async def test_framing_without_end_is_refused_after_a_few_kilobytes(name):
    # Guards against a trailer whose value grows, and is copied, with each part.
    server, protocol = open_connection(max_header_bytes=16384)
    first, rest = ENDLESS_FRAMING[name]
    protocol.data_received(HEAD + first)
    started_at = time.process_time()
    parts = 0
    while not protocol.transport.is_closed:
        protocol.data_received(rest)
        parts += 1
        assert parts * len(rest) < 3 * 16384
    assert time.process_time() - started_at < MAX_SECONDS
    assert server.refusal_reasons == ["request_too_large"]
    assert server.requests == []


@pytest.mark.parametrize("size", [1, 7, 100, 5000])
async def test_trailers_within_the_limit_are_accepted_however_they_are_split(size):
    server, protocol = open_connection(max_header_bytes=16384)
    data = HEAD + b"3\r\nabc\r\n0\r\n" + b"x: y\r\n" * 1000 + b"\r\n"
    for start in range(0, len(data), size):
        protocol.data_received(data[start : start + size])
    (request,) = server.requests
    assert request.body == b"abc"


MANY_EVENTS = {
    "one-byte chunks": HEAD + b"1\r\nx\r\n" * 40000,
    "short headers": b"GET /a HTTP/1.1\r\n" + b"a:\r\n" * 8000,
    "short requests": b"GET /a HTTP/1.1\r\n\r\n" * 8000,
    "short offers": b"GET /a HTTP/1.1\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n"
    * 4000,
}


@pytest.mark.parametrize("name", sorted(MANY_EVENTS))
async def test_work_of_one_step_is_bounded_however_small_the_parts(name, monkeypatch):
    # Guards against an upload in one-byte chunks that occupies the event loop.
    server, protocol = open_connection(max_header_bytes=1 << 20)
    counts = count_events(monkeypatch)
    protocol.data_received(MANY_EVENTS[name])
    assert not protocol.transport.is_reading
    other_work = 0
    while protocol._unparsed:
        await asyncio.sleep(0)
        other_work += 1
    assert max(counts) <= MAX_STEP_EVENTS + MAX_PART_EVENTS
    assert other_work >= sum(counts) // (MAX_STEP_EVENTS + MAX_PART_EVENTS)
    assert not server.refusal_reasons


async def test_upload_in_small_chunks_over_several_steps_is_whole():
    server, protocol = open_connection()
    protocol.data_received(HEAD + b"2\r\nok\r\n" * 20000 + b"0\r\n\r\n" + GET)
    assert not server.requests
    while protocol._unparsed:
        await asyncio.sleep(0)
    assert server.requests[0].body == b"ok" * 20000
    assert protocol.transport.is_reading
    server.reply(server.requests[0].exchange, 200, {}, b"")
    assert [request.method for request in server.requests] == ["POST", "GET"]


async def test_connection_with_input_for_a_later_step_is_not_idle():
    # Guards against requests that are read in a planned stop and get no answer.
    server, protocol = open_connection(request_timeout=math.inf)
    server.replies_immediately = True
    protocol.data_received(GET * 2000)
    answered = len(server.requests)
    assert answered < 2000
    protocol.close_when_idle()
    assert not protocol.transport.is_closed
    protocol.check_timeouts(protocol._last_active_at + 2 * HttpLimits().idle_timeout)
    assert not protocol.transport.is_closed
    while not protocol.transport.is_closed:
        await asyncio.sleep(0)
    assert len(server.requests) > answered
    replies = protocol.transport.written.count(b"HTTP/1.1 200")
    assert replies == len(server.requests)


async def test_lost_or_shed_connection_parses_no_further():
    server, protocol = open_connection()
    protocol.data_received(MANY_EVENTS["one-byte chunks"])
    protocol.shed()
    assert not protocol._unparsed
    assert server.refusal_reasons == ["overloaded"]
    _, protocol = open_connection()
    protocol.data_received(MANY_EVENTS["one-byte chunks"])
    protocol.connection_lost(None)
    await asyncio.sleep(0)
    assert not protocol._unparsed
    assert not protocol.server.requests
    assert protocol.server.request_memory.used == 0
