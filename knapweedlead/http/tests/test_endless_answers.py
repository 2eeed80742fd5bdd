"""Servers that send bytes without end, or answers that nobody waits for.

The client's memory and time stay bounded, the run fails truthfully, and the next run
gets its own answer on a fresh connection.
"""

import asyncio
import itertools
import tracemalloc

import pytest

from knapweedlead.http import BackendServerClient
from knapweedlead.http._client import MAX_BUFFERED_BYTES
from knapweedlead.http._run import (
    MAX_ANSWER_BYTES,
    MAX_DISCARDED_ANSWERS,
    MAX_HEAD_BYTES,
    RunProtocol,
)
from knapweedlead.http._steps import MAX_STEP_EVENTS
from knapweedlead.http.tests.fakes import MAX_PART_EVENTS, FakeTransport, count_events
from knapweedlead.transport.tests.links import wait_until
from standins.fleet import free_address

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
ENDLESS_HEADS = {
    "status line": (b"HTTP/1.1 200 ", b"x" * 500),
    "header name": (HEAD, b"x" * 500),
    "header value": (HEAD + b"a: ", b"x" * 500),
    "headers": (HEAD, b"a: b\r\n" * 80),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 20),
}
ENDLESS_BODIES = {
    "body without a length": (HEAD + b"\r\n", b"x" * 65536),
    "chunks": (CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    "chunk extension": (CHUNKED + b"5;", b"x" * 65536),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n" * 10000),
}
SMALL_CHUNKS = CHUNKED, b"2\r\nok\r\n" * 4000
SLACK_BYTES = 1 << 20
"""Memory of a few protocols and of the test itself."""
NO_ANSWERS = {
    "zeros": b"\0" * 4096,
    "text": b"not an answer at all\r\n" * 100,
    "line ends": b"\r\n" * 4096,
}


class Run:
    """One run on a protocol whose input the test gives."""

    def __init__(self, client=None, request_id=""):
        self.outcomes = []
        self.client = client or BackendServerClient(
            "-",
            8,
            lambda run, answer: self.outcomes.append(answer),
            lambda run, was_sent, detail: self.outcomes.append(was_sent),
            request_id_header="id",
            accepts_close_delimited=True,
        )
        self.protocol = RunProtocol(self.client)
        self.client._connection_count += 1
        self.protocol.connection_made(FakeTransport())
        self.protocol.start(1, False, b"", 5.0, request_id)

    def feed(self, first, rest, limit):
        """Feed `first` and then `rest` again and again; return the bytes accepted."""
        accepted = 0
        for data in itertools.chain((first,), itertools.repeat(rest)):
            if self.protocol.is_closed:
                self.protocol.connection_lost(None)
                return accepted
            assert accepted <= limit, "the connection is still open"
            if data:
                self.protocol.data_received(data)
            accepted += len(data)


@pytest.mark.parametrize("name", sorted(ENDLESS_HEADS))
async def test_endless_head_is_cut_after_a_few_kilobytes(name):
    run = Run()
    run.feed(*ENDLESS_HEADS[name], limit=2 * MAX_HEAD_BYTES)
    assert run.outcomes == [True]


@pytest.mark.parametrize("size", [1, 7, 100])
@pytest.mark.parametrize("name", sorted(ENDLESS_HEADS))
async def test_endless_head_is_cut_however_it_is_split(name, size):
    run = Run()
    first, rest = ENDLESS_HEADS[name]
    data = first + rest * (2 * MAX_HEAD_BYTES // len(rest))
    for start in range(0, len(data), size):
        if run.protocol.is_closed:
            break
        run.protocol.data_received(data[start : start + size])
    assert run.protocol.is_closed


@pytest.mark.parametrize("name", sorted(ENDLESS_BODIES))
async def test_endless_body_is_cut_at_the_limit_of_an_answer(name):
    run = Run()
    run.feed(*ENDLESS_BODIES[name], limit=MAX_ANSWER_BYTES + (1 << 20))
    assert run.outcomes == [True]
    assert run.client.buffered_bytes == 0


@pytest.mark.parametrize("name", sorted(NO_ANSWERS))
async def test_bytes_that_are_no_answer_close_the_connection(name):
    run = Run()
    run.feed(b"", NO_ANSWERS[name], limit=2 * MAX_HEAD_BYTES)
    assert run.outcomes == [True]


async def test_late_copies_without_end_are_cut():
    run = Run(request_id="mine")
    copy = HEAD + b"id: other\r\ncontent-length: 2\r\n\r\nno"
    run.feed(b"", copy, limit=len(copy) * (MAX_DISCARDED_ANSWERS + 2))
    assert run.outcomes == [True]


async def test_answer_after_a_late_copy_is_its_own_at_every_split():
    copy = HEAD + b"id: other\r\ncontent-length: 2\r\n\r\nno"
    own = HEAD + b"id: mine\r\ncontent-length: 3\r\n\r\nyes"
    data = copy + own
    for split in range(1, len(data)):
        run = Run(request_id="mine")
        run.protocol.data_received(data[:split])
        if split < len(data):
            run.protocol.data_received(data[split:])
        (answer,) = run.outcomes
        assert answer.body == b"yes"


LATE_COPIES = {
    "length": HEAD + b"id: other\r\ncontent-length: 2\r\n\r\nno",
    "empty": HEAD + b"id: other\r\ncontent-length: 0\r\n\r\n",
    "chunks": CHUNKED.replace(b"\r\n", b"\r\nid: other\r\n", 1)
    + b"2\r\nno\r\n0\r\n\r\n",
    "failure": b"HTTP/1.1 500 x\r\nid: other\r\ncontent-length: 2\r\n\r\nno",
    "refusal": b"HTTP/1.1 503 x\r\nid: other\r\ncontent-length: 0\r\n\r\n",
    "without a body": b"HTTP/1.1 204 x\r\nid: other\r\n\r\n",
}


@pytest.mark.parametrize("count", [1, 2])
@pytest.mark.parametrize("name", sorted(LATE_COPIES))
async def test_answer_to_head_behind_a_late_copy_is_its_own_at_every_split(name, count):
    # Guards against a request with HEAD that is answered with another one's answer.
    own = b"HTTP/1.1 203 own\r\nid: mine\r\ncontent-length: 3\r\n\r\n"
    data = LATE_COPIES[name] * count + own
    for split in range(1, len(data)):
        run = Run(request_id="mine")
        run.protocol._is_head = True
        run.protocol.data_received(data[:split])
        run.protocol.data_received(data[split:])
        (answer,) = run.outcomes
        assert (answer.status, answer.headers["id"], answer.body) == (203, "mine", b"")


async def test_many_endless_bodies_share_one_limit():
    first = Run()
    runs = [first, *(Run(first.client) for _ in range(9))]
    for run in runs:
        run.protocol.data_received(HEAD + b"\r\n")
    block = b"x" * (1 << 20)
    for _ in range(MAX_ANSWER_BYTES // len(block) - 1):
        for run in runs:
            if not run.protocol.is_closed:
                run.protocol.data_received(block)
            assert first.client.buffered_bytes <= MAX_BUFFERED_BYTES + len(block)
    assert any(run.protocol.is_closed for run in runs)
    for run in runs:
        run.protocol.connection_lost(None)
    assert first.client.buffered_bytes == 0


@pytest.fixture
def traced():
    """Return a function that tells the bytes allocated since the start of the test."""
    tracemalloc.start()
    yield lambda: tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()


async def test_small_chunks_take_no_more_memory_than_their_bytes(traced):
    # Guards against bodies in chunks of a few bytes, of which each became an object.
    runs = [Run()]
    runs += [Run(runs[0].client) for _ in range(3)]
    first, rest = SMALL_CHUNKS
    received = 0
    for run in runs:
        run.protocol.data_received(first)
    for _ in range(40):
        for run in runs:
            run.protocol.data_received(rest)
            received += len(rest)
    assert not any(run.protocol.is_closed for run in runs)
    assert traced() < 1.25 * received + SLACK_BYTES


async def test_many_bodies_in_small_chunks_share_one_limit(traced):
    # Guards against a limit that counts bytes, not the memory that they take.
    first, rest = SMALL_CHUNKS
    runs = [Run()]
    runs[0].client.budget.limit = 2 * SLACK_BYTES
    runs += [Run(runs[0].client) for _ in range(15)]
    for run in runs:
        run.protocol.data_received(first)
    for _ in range(20):
        for run in runs:
            if not run.protocol.is_closed:
                run.protocol.data_received(rest)
    assert any(run.protocol.is_closed for run in runs)
    assert traced() < 1.25 * runs[0].client.budget.limit + SLACK_BYTES


async def test_unfinished_heads_count_with_the_memory_of_their_headers(traced):
    # Guards against heads of many short headers, of which each is an object.
    runs = [Run()]
    client = runs[0].client
    client.budget.limit = 4 * SLACK_BYTES
    runs += [Run(client) for _ in range(29)]
    head = HEAD + b"".join(b"%x:\r\n" % number for number in range(0x1000, 0x3000))
    for run in runs:
        run.protocol.data_received(head)
    assert any(run.protocol.is_closed for run in runs)
    assert traced() < 1.25 * client.budget.limit + 2 * SLACK_BYTES


async def test_largest_answer_is_cut_if_all_take_too_much():
    # Guards against a sound answer that is cut for what another connection holds.
    sound, endless = Run(request_id="mine"), None
    endless = Run(sound.client)
    sound.client.budget.limit = SLACK_BYTES
    endless.protocol.data_received(HEAD + b"\r\n" + b"x" * SLACK_BYTES)
    sound.protocol.data_received(HEAD + b"id: mine\r\ncontent-length: 3\r\n\r\ny")
    assert endless.protocol.is_closed
    sound.protocol.data_received(b"es")
    (answer,) = sound.outcomes
    assert answer.body == b"yes"


@pytest.mark.parametrize("name", ["chunk extension", "trailers"])
async def test_framing_without_end_is_cut_after_a_few_kilobytes(name):
    # Guards against a trailer whose value grows, and is copied, with each part.
    run = Run()
    first, rest = ENDLESS_BODIES[name]
    run.feed(first, rest, limit=2 * MAX_HEAD_BYTES + len(rest))
    assert run.outcomes == [True]


async def test_own_answer_behind_a_large_late_copy_is_accepted():
    run = Run(request_id="mine")
    late = HEAD + b"id: other\r\ncontent-length: 200000\r\n\r\n" + b"n" * 200000
    own = HEAD + b"id: mine\r\ncontent-length: 3\r\n\r\nyes"
    run.protocol.data_received(late + own[:20])
    run.protocol.data_received(own[20:])
    (answer,) = run.outcomes
    assert answer.body == b"yes"


MANY_EVENTS = {
    "one-byte chunks": (CHUNKED, b"1\r\nx\r\n" * 40000),
    "short headers": (HEAD, b"a:\r\n" * 16000),
    "trailers": (CHUNKED + b"0\r\n", b"a:\r\n" * 16000),
    "interim responses": (b"", b"HTTP/1.1 100\r\n\r\n" * 4000),
}


@pytest.mark.parametrize("name", sorted(MANY_EVENTS))
async def test_work_of_one_step_is_bounded_however_small_the_parts(name, monkeypatch):
    # Guards against a body of one-byte chunks that occupies the event loop.
    run = Run()
    counts = count_events(monkeypatch)
    first, rest = MANY_EVENTS[name]
    run.protocol.data_received(first + rest)
    transport = run.protocol.transport
    assert not transport.is_reading
    other_work = 0
    while not (transport.is_reading or run.protocol.is_closed):
        await asyncio.sleep(0)
        other_work += 1
    assert max(counts) <= MAX_STEP_EVENTS + MAX_PART_EVENTS
    assert other_work >= sum(counts) // (MAX_STEP_EVENTS + MAX_PART_EVENTS)


async def test_answer_in_small_chunks_over_several_steps_is_whole():
    run = Run(request_id="mine")
    head = CHUNKED.replace(b"\r\n", b"\r\nid: mine\r\n", 1)
    run.protocol.data_received(head + b"2\r\nok\r\n" * 20000 + b"0\r\n\r\n")
    assert not run.outcomes
    while not run.outcomes:
        await asyncio.sleep(0)
    assert run.outcomes[0].body == b"ok" * 20000
    assert not run.protocol.is_closed
    assert run.protocol.transport.is_reading
    assert run.client.buffered_bytes == 0


@pytest.mark.parametrize("size", [1, 2000, 8000, 8100, 8192, 9000, 60_000])
async def test_answer_behind_a_late_copy_is_its_own_whatever_their_sizes(size):
    late = CHUNKED.replace(b"\r\n", b"\r\nid: other\r\n", 1)
    late += b"1\r\nn\r\n" * size + b"0\r\n\r\n"
    own = HEAD + b"id: mine\r\ncontent-length: %d\r\n\r\n" % size + b"y" * size
    run = Run(request_id="mine")
    run.protocol.data_received(late + own)
    while not run.outcomes:
        await asyncio.sleep(0)
    (answer,) = run.outcomes
    assert answer.body == b"y" * size
    assert not run.protocol.is_closed
    assert run.client.buffered_bytes == 0


async def test_bytes_behind_an_answer_wait_for_no_later_run():
    # Guards against input of one run that is parsed after the next one has begun.
    run = Run(request_id="mine")
    own = HEAD + b"id: mine\r\ncontent-length: 3\r\n\r\nyes"
    run.protocol.data_received(own + b"x" * 100_000)
    (answer,) = run.outcomes
    assert answer.body == b"yes"
    assert run.protocol.is_closed
    assert run.client._acquire_idle() is None


async def test_run_that_ends_between_two_steps_parses_no_further(monkeypatch):
    run = Run()
    counts = count_events(monkeypatch)
    first, rest = MANY_EVENTS["one-byte chunks"]
    run.protocol.data_received(first + rest)
    run.protocol.abort("timeout")
    run.protocol.connection_lost(None)
    for _ in range(5):
        await asyncio.sleep(0)
    assert sum(counts[1:]) == 0
    assert run.outcomes == [True]
    assert run.client.buffered_bytes == 0


@pytest.mark.parametrize(
    "name", ["body without a length", "headers", "chunks", "header value"]
)
async def test_next_run_gets_its_answer_on_a_fresh_connection(name):
    first, rest = (ENDLESS_HEADS | ENDLESS_BODIES)[name]
    connections = 0
    unfinished = 0

    async def serve(reader, writer):
        nonlocal connections, unfinished
        connections += 1
        is_endless = connections == 1
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(first if is_endless else HEAD + b"content-length: 2\r\n\r\nok")
            unfinished += is_endless
            while is_endless:
                writer.write(rest)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        unfinished -= is_endless
        writer.close()

    address = free_address()
    host, _, port = address.rpartition(":")
    server = await asyncio.start_server(serve, host, int(port))
    answers, failures = {}, {}
    client = BackendServerClient(
        address,
        4,
        answers.__setitem__,
        lambda run, was_sent, detail: failures.update({run: was_sent}),
        accepts_close_delimited=True,
    )
    client.run(1, "GET", "/", {}, b"", 20.0)
    await wait_until(lambda: 1 in failures)
    await wait_until(lambda: not unfinished)
    client.run(2, "GET", "/", {}, b"", 5.0)
    await wait_until(lambda: 2 in answers)
    assert failures == {1: True}
    assert answers[2].body == b"ok"
    client.close()
    server.close()
    await asyncio.sleep(0.01)
