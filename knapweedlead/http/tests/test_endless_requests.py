"""Requests in small parts, and requests whose framing has no end."""

import time
import tracemalloc

import pytest

from knapweedlead.http import HttpLimits
from knapweedlead.http._caller import CallerProtocol
from knapweedlead.http.tests.fakes import FakeTransport, RecordingServer

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
