"""Requests whose head offers or asks for something beside its own request.

Whatever the head says, the bytes of the body belong to the request: they are neither
lost nor read as another request, at every split of the bytes and behind other requests.
"""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweedlead.http._caller import CallerProtocol
from knapweedlead.http.tests.fakes import FakeTransport, RecordingServer

INNER = b"POST /inner HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n"
"""Body that reads as a request."""
NEXT = b"GET /next HTTP/1.1\r\nhost: x\r\n\r\n"
OFFERS = {
    "h2c": b"connection: upgrade, http2-settings\r\nupgrade: h2c\r\n"
    b"http2-settings: AAMAAABkAAQAoAAAAAIAAAAA\r\n",
    "websocket": b"Upgrade: websocket\r\nConnection: keep-alive, Upgrade\r\n",
    "several protocols": b"connection: upgrade\r\n"
    b"upgrade: h2c, tls/1.0\r\nupgrade: x\r\n",
    "upgrade without connection": b"upgrade: h2c\r\n",
    "connection without upgrade": b"connection: upgrade\r\n",
    "continue": b"expect: 100-continue\r\n",
    "continue and h2c": b"expect: 100-continue\r\nupgrade: h2c\r\n"
    b"connection: upgrade\r\n",
    "trailers": b"te: trailers\r\ntrailer: x\r\nconnection: te\r\n",
}
METHODS = (b"POST", b"PUT", b"GET", b"DELETE", b"HEAD", b"OPTIONS")


def chunked(body):
    parts = [body[start : start + 7] for start in range(0, len(body), 7)]
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n"


def with_length(method, offer, body):
    head = b"%b /own HTTP/1.1\r\nhost: x\r\n%bcontent-length: %d\r\n\r\n"
    return head % (method, offer, len(body)) + body


def in_chunks(method, offer, body):
    head = b"%b /own HTTP/1.1\r\n%btransfer-encoding: chunked\r\nhost: x\r\n\r\n"
    return head % (method, offer) + chunked(body) + b"z: trailer\r\n\r\n"


FRAMINGS = {"length": with_length, "chunks": in_chunks}


async def connect(*parts, replies_immediately=False):
    """Return the server and the transport after a connection received some bytes."""
    server = RecordingServer(replies_immediately=replies_immediately)
    protocol, transport = CallerProtocol(server), FakeTransport()
    protocol.connection_made(transport)
    for part in parts:
        protocol.data_received(part)
    while protocol._unparsed:
        await asyncio.sleep(0)
    return server, transport


def receive(*parts):
    """Return the server, which replies at once, and the transport."""
    return asyncio.run(connect(*parts, replies_immediately=True))


def runs(server):
    return [(request.method, request.path, request.body) for request in server.requests]


@pytest.mark.parametrize("framing", sorted(FRAMINGS))
@pytest.mark.parametrize("method", METHODS)
@pytest.mark.parametrize("offer", sorted(OFFERS))
def test_body_of_a_request_with_an_offer_stays_its_own_at_every_split(
    offer, method, framing
):
    # Guards against a body that is cut from its request and runs as the next one.
    own = FRAMINGS[framing](method, OFFERS[offer], INNER)
    data = own + NEXT
    expected = [(method.decode(), "/own", INNER), ("GET", "/next", b"")]
    for split in range(1, len(data)):
        server, transport = receive(data[:split], data[split:])
        assert runs(server) == expected
        assert server.refusal_reasons == []
        assert not transport.is_closed
    server, _ = receive(*(bytes([byte]) for byte in data))
    assert runs(server) == expected


@pytest.mark.parametrize("framing", sorted(FRAMINGS))
def test_pipelined_requests_with_offers_run_in_order_with_their_bodies(framing):
    build = FRAMINGS[framing]
    requests = [
        build(b"POST", offer, INNER + b"%d" % number)
        for number, offer in enumerate(OFFERS.values())
    ]
    server, _ = receive(NEXT + b"".join(requests) + NEXT)
    bodies = [INNER + b"%d" % number for number in range(len(OFFERS))]
    assert [request.body for request in server.requests] == [b"", *bodies, b""]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(METHODS),
            st.sampled_from(sorted(OFFERS)),
            st.sampled_from(sorted(FRAMINGS)),
            st.one_of(st.binary(max_size=60), st.just(INNER)),
        ),
        min_size=1,
        max_size=6,
    ),
    st.lists(st.integers(1, 120), max_size=30),
)
def test_requests_with_offers_are_read_as_without_them(messages, sizes):
    def encode(has_offers):
        return b"".join(
            FRAMINGS[framing](method, OFFERS[offer] if has_offers else b"", body)
            for method, offer, framing, body in messages
        )

    data = encode(True)
    cuts = [0]
    for size in sizes:
        cuts.append(min(len(data), cuts[-1] + size))
    parts = [data[i:j] for i, j in zip(cuts, [*cuts[1:], len(data)], strict=True)]
    server, _ = receive(*filter(None, parts))
    assert runs(server) == runs(receive(encode(False))[0])
    assert len(server.requests) == len(messages)


def test_body_of_a_refused_offer_runs_at_no_server():
    offer = OFFERS["h2c"] + b"transfer-encoding: x\r\n"
    data = b"POST /own HTTP/1.1\r\n" + offer + b"\r\n" + INNER
    for split in range(1, len(data)):
        server, transport = receive(data[:split], data[split:])
        assert server.requests == []
        assert server.refusal_reasons == ["malformed_request"]
        assert transport.is_closed


def test_last_request_of_a_connection_keeps_its_body_if_it_offers_a_protocol():
    offer = b"upgrade: h2c\r\nconnection: upgrade, close\r\n"
    server, transport = receive(with_length(b"POST", offer, INNER) + NEXT)
    assert runs(server) == [("POST", "/own", INNER)]
    assert transport.written.count(b"HTTP/1.1 ") == 1
    assert transport.is_closed


@pytest.mark.parametrize("target", [b"shop.example:443", b"/own"])
@pytest.mark.parametrize("framing", sorted(FRAMINGS))
def test_nothing_behind_the_head_of_connect_is_read_as_a_request(framing, target):
    own = FRAMINGS[framing](b"CONNECT", b"", INNER).replace(b"/own", target, 1)
    data = NEXT + own + NEXT
    for split in range(1, len(data)):
        server, transport = receive(data[:split], data[split:])
        assert runs(server) == [("GET", "/next", b"")]
        assert server.refusal_reasons == ["malformed_request"]
        assert transport.is_closed


def test_many_offers_in_one_read_take_no_stack():
    # Guards against one level of recursion for each offer.
    offer = with_length(b"POST", OFFERS["h2c"], b"ok")
    server, _ = receive(offer * 2000)
    assert len(server.requests) == 2000
    assert {request.body for request in server.requests} == {b"ok"}


def test_upload_with_an_offer_is_limited_as_others_are():
    head = b"POST /own HTTP/1.1\r\n" + OFFERS["h2c"]
    body = b"content-length: 5000000\r\n\r\n", *[b"b" * 50_000] * 90
    server, transport = receive(head, *body)
    assert server.requests == []
    assert server.refusal_reasons == ["request_too_large"]
    assert transport.is_closed


@pytest.mark.parametrize(
    "coding", [b"gzip, chunked", b"deflate,chunked", b"x, chunked"]
)
def test_body_in_a_transfer_coding_that_is_not_removed_runs_at_no_server(coding):
    # Guards against a coded body that is passed on without the name of its coding.
    data = in_chunks(b"POST", b"", INNER).replace(b"chunked", coding, 1) + NEXT
    for split in range(1, len(data)):
        server, transport = receive(data[:split], data[split:])
        assert server.requests == []
        assert server.refusal_reasons == ["malformed_request"]
        assert transport.is_closed


@pytest.mark.parametrize("coding", [b"chunked", b"Chunked", b"CHUNKED "])
def test_body_in_chunks_is_read_however_the_coding_is_written(coding):
    data = in_chunks(b"POST", b"", INNER).replace(b"chunked", coding, 1) + NEXT
    server, _ = receive(data)
    assert runs(server) == [("POST", "/own", INNER), ("GET", "/next", b"")]


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
EXPECTING = b"POST /own HTTP/1.1\r\nexpect: 100-continue\r\ncontent-length: 2\r\n\r\n"


@pytest.mark.parametrize("count", [1, 2, 3])
async def test_continue_is_sent_once_the_requests_before_are_answered(count):
    # Guards against a pipelined request whose client waits for it in vain.
    server, transport = await connect(NEXT * count + EXPECTING)
    for number in range(count):
        assert CONTINUE not in transport.written
        server.reply(server.requests[number].exchange, 200, {}, b"")
    assert transport.written.count(CONTINUE) == 1
    assert transport.written.endswith(CONTINUE)


async def test_continue_is_not_sent_behind_a_body_that_has_arrived():
    server, transport = await connect(NEXT + EXPECTING + b"ok")
    for number in range(2):
        server.reply(server.requests[number].exchange, 200, {}, b"")
    assert CONTINUE not in transport.written
    assert server.requests[1].body == b"ok"


async def test_continue_is_not_sent_to_a_client_without_interim_responses():
    _, transport = await connect(EXPECTING.replace(b"HTTP/1.1", b"HTTP/1.0"))
    assert transport.written == b""
