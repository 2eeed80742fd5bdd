"""Requests in small parts."""

import tracemalloc

from knapweedlead.http import HttpLimits
from knapweedlead.http._caller import CallerProtocol
from knapweedlead.http.tests.fakes import FakeTransport, RecordingServer

HEAD = b"POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n"
SMALL_CHUNKS = b"2\r\nok\r\n" * 4000
SLACK_BYTES = 1 << 20


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
