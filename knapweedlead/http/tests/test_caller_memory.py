"""Memory that the requests and responses of all callers take together."""

import random
import tracemalloc

import pytest

from knapweedlead.http._caller import CallerProtocol
from knapweedlead.http.tests.fakes import FakeTransport, RecordingServer

MIB = 1 << 20
PART = b"x" * (64 * 1024)
LIMIT = 8 * MIB
SLACK_BYTES = MIB


def head(length):
    return f"POST /a HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n".encode()


def connect(server):
    protocol = CallerProtocol(server)
    protocol.connection_made(FakeTransport())
    return protocol


def upload(protocol, length, sent=None):
    """Send a request with a body, of which only `sent` bytes arrive."""
    protocol.data_received(head(length))
    for start in range(0, length if sent is None else sent, len(PART)):
        protocol.data_received(PART[: length - start])


async def test_answered_upload_is_not_kept_while_its_connection_is_idle():
    # Guards against a daemon that ends since idle connections keep the last body.
    server = RecordingServer()
    tracemalloc.start()
    protocols = [connect(server) for _ in range(40)]
    for protocol in protocols:
        upload(protocol, MIB)
        server.reply(server.requests.pop().exchange, 200, {}, b"")
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert not any(protocol.transport.is_closed for protocol in protocols)
    assert held < MIB + SLACK_BYTES


async def test_unfinished_uploads_of_many_callers_are_limited_together():
    # Guards against a daemon that ends though each upload alone is within its limit.
    server = RecordingServer(max_request_memory=LIMIT)
    tracemalloc.start()
    protocols = [connect(server) for _ in range(40)]
    for protocol in protocols:
        upload(protocol, MIB, MIB // 2)
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert held < 1.25 * LIMIT + SLACK_BYTES
    refused = [p for p in protocols if p.transport.is_closed]
    assert len(refused) == 40 - 15
    assert server.refusal_reasons == ["overloaded"] * len(refused)
    assert server.requests == []
    answered = 0
    for protocol in protocols:
        if not protocol.transport.is_closed:
            protocol.data_received(PART * 8)
        while server.requests:
            server.reply(server.requests.pop().exchange, 200, {}, b"")
            answered += 1
    assert answered >= 14


async def test_largest_upload_is_refused_and_not_the_one_that_needs_a_few_bytes():
    server = RecordingServer(max_request_memory=LIMIT)
    large, small = connect(server), connect(server)
    upload(large, 4 * LIMIT, LIMIT - 4096)
    upload(small, len(PART))
    assert large.transport.is_closed
    assert [len(request.body) for request in server.requests] == [len(PART)]


async def test_bodies_in_flight_count_until_they_are_answered():
    # Guards against bodies that are no longer limited once they have been passed on.
    server = RecordingServer(max_request_memory=LIMIT)
    for _ in range(7):
        upload(connect(server), MIB)
    refused = connect(server)
    upload(refused, 2 * MIB)
    assert refused.transport.is_closed
    assert len(server.requests) == 7
    server.reply(server.requests[0].exchange, 200, {}, b"")
    server.abandon_exchange(server.requests[1].exchange)
    upload(connect(server), 2 * MIB)
    assert len(server.requests) == 8


async def test_request_that_arrives_at_once_is_limited_too():
    server = RecordingServer(max_connections=1000, max_request_memory=LIMIT)
    for _ in range(200):
        connect(server).data_received(head(len(PART)) + PART)
    assert len(server.requests) < LIMIT / len(PART)
    assert len(server.requests) + len(server.refusal_reasons) == 200


async def test_heads_of_many_short_headers_count_as_objects():
    # Guards against a limit that counts two bytes for what takes a hundred.
    server = RecordingServer(max_connections=1000, max_request_memory=LIMIT)
    lines = "".join(f"{n}:\r\n" for n in range(4000)).encode()
    tracemalloc.start()
    for _ in range(100):
        connect(server).data_received(b"GET /a HTTP/1.1\r\n" + lines + b"\r\n")
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert server.refusal_reasons
    assert held < 1.25 * LIMIT + SLACK_BYTES


async def test_pipelined_uploads_are_refused_and_the_one_in_flight_is_answered():
    server = RecordingServer(max_request_memory=LIMIT)
    protocol = connect(server)
    for _ in range(12):
        upload(protocol, MIB)
    assert not protocol.transport.is_closed
    server.reply(server.requests[0].exchange, 200, {}, b"first")
    assert b"first" in protocol.transport.written
    assert protocol.transport.is_closed
    assert len(server.requests) == 1
    assert server.refusal_reasons == ["overloaded"]


async def test_caller_with_the_most_unread_bytes_is_disconnected():
    # Guards against callers that read nothing and together exceed the memory.
    gone = []
    server = RecordingServer(max_response_memory=LIMIT, on_unread_response=gone.append)
    protocols = [connect(server) for _ in range(5)]
    for protocol, unread in zip(protocols, (1, 5, 1, 1, 3), strict=True):
        protocol.transport.unread = unread * MIB
        protocol.pause_writing()
    assert [p.transport.is_closed for p in protocols] == [False, True] + [False] * 3
    assert len(gone) == 1
    protocols[4].transport.unread = 0
    protocols[4].resume_writing()
    assert server.response_memory.used == 3 * MIB


async def test_responses_read_meanwhile_do_not_count():
    server = RecordingServer(max_response_memory=LIMIT)
    protocols = [connect(server) for _ in range(20)]
    for protocol in protocols:
        protocol.transport.unread = MIB
        protocol.pause_writing()
        protocol.transport.unread = MIB // 4
    assert not any(protocol.transport.is_closed for protocol in protocols)


@pytest.mark.parametrize("seed", range(20))
async def test_all_memory_is_given_back_however_requests_end(seed):
    rng = random.Random(seed)
    server = RecordingServer(max_connections=1000, max_request_memory=LIMIT)
    protocols = []
    for _ in range(300):
        action = rng.randrange(5)
        if action == 0 or not protocols:
            protocols.append(connect(server))
        elif action < 3:
            length = rng.choice((0, 10, len(PART), MIB))
            upload(rng.choice(protocols), length, rng.choice((length, length // 2)))
        elif action == 3 and server.requests:
            request = server.requests.pop(rng.randrange(len(server.requests)))
            server.reply(request.exchange, 200, {}, b"")
        else:
            protocol = protocols.pop(rng.randrange(len(protocols)))
            protocol.transport.close()
            protocol.connection_lost(None)
        assert server.request_memory.used + server.request_memory.reserved <= LIMIT
    for protocol in protocols:
        protocol.connection_lost(None)
    assert (server.request_memory.used, server.request_memory.reserved) == (0, 0)
