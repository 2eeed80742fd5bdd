"""Answers that a backend server sends for another request, or only in part."""

import asyncio
import time

import pytest

from knapweedlead.http._run import _STATUS_LINE, RunProtocol
from knapweedlead.http.tests.fakes import FakeTransport
from knapweedlead.mesh.tests.harness import GuardHarness
from knapweedlead.sidecar._frame_decoders import FrameError, decode_answer
from knapweedlead.sidecar._runner import ServerRunner
from knapweedlead.sidecar._wire import FrameKind
from standins.fleet import free_address

SEAL = b"knapweedlead-response-seal: s\r\n"


def answer(status, request_id, body=b"whole", extra=b""):
    """Return an encoded answer; without a request ID if it is None."""
    named = b"" if request_id is None else b"knapweedlead-request-id: %s\r\n"
    lines = named % request_id if named else b""
    return b"HTTP/1.1 %d x\r\n%s%scontent-length: %d\r\n\r\n%s" % (
        status,
        lines,
        extra,
        len(body),
        body,
    )


def refusal(request_id, status=503):
    """Return a server's statement that it did not run a request."""
    return answer(status, request_id, b"", b"knapweedlead-not-executed: 1\r\n")


class Outcomes:
    """Guard that records how runs end."""

    has_lost_runs = False

    def __init__(self):
        self.ends = []

    def answered(self, ticket, answer, now, notice):
        self.ends.append((ticket.request_id, "answered", answer.body))

    def rejected(self, ticket, retry_after, now, notice):
        self.ends.append((ticket.request_id, "not run"))

    def misdirected(self, ticket, now):
        self.ends.append((ticket.request_id, "not run"))

    def failed(self, ticket, failure, now):
        kind = "may have run" if failure.may_have_run else "not run"
        self.ends.append((ticket.request_id, kind))


class ScriptedServer:
    """Sends prepared bytes for each request; an empty script closes the connection."""

    def __init__(self, *script):
        self.script = list(script)
        self.connections = 0
        self.outcomes = Outcomes()

    async def __aenter__(self):
        address = free_address()
        host, _, port = address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.runner = ServerRunner(address, time.monotonic)
        self.runner.guard = self.outcomes
        return self

    async def __aexit__(self, *exc_info):
        self.runner.client.close()
        self.server.close()
        await asyncio.sleep(0.01)

    async def _serve(self, reader, writer):
        self.connections += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                data = self.script.pop(0) if self.script else b""
                if data.endswith(CLOSE) or not data:
                    writer.write(data.removesuffix(CLOSE))
                    break
                writer.write(data)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def run(self, request_id):
        """Run one request; return how it ended."""
        ticket = GuardHarness().ticket(time.monotonic(), request_id=request_id)
        ticket.run = len(self.outcomes.ends) + 1
        ticket.head = b"GET / HTTP/1.1\r\nhost: h\r\n"
        self.runner.run(ticket, "i-1", 0.5)
        async with asyncio.timeout(2.0):
            while len(self.outcomes.ends) < ticket.run:
                await asyncio.sleep(0.005)
        return self.outcomes.ends[-1][1:]


CLOSE = b"<close>"
"""Marks the end of bytes after which the scripted server closes the connection."""


@pytest.mark.parametrize("status", [503, 429, 421])
async def test_stale_refusal_is_not_taken_for_the_refusal_of_a_later_request(status):
    stale = refusal(b"first", status)
    own = answer(200, b"second", extra=SEAL)
    async with ScriptedServer(stale, stale + own) as server:
        assert await server.run("first") == ("not run",)
        assert await server.run("second") == ("answered", b"whole")


@pytest.mark.parametrize("status", [503, 429, 421])
async def test_stale_refusal_without_a_request_id_promises_nothing(status):
    first = answer(200, b"first", extra=SEAL)
    async with ScriptedServer(first, refusal(None, status)) as server:
        assert await server.run("first") == ("answered", b"whole")
        assert await server.run("second") == ("may have run",)


async def test_stale_answer_without_a_request_id_is_not_passed_on():
    first = answer(200, b"first", extra=SEAL)
    stale = answer(200, None, b"stale", extra=SEAL)
    async with ScriptedServer(first, stale) as server:
        assert await server.run("first") == ("answered", b"whole")
        assert await server.run("second") == ("may have run",)


async def test_refusal_of_the_first_request_on_a_connection_needs_no_request_id():
    async with ScriptedServer(refusal(None)) as server:
        assert await server.run("first") == ("not run",)


async def test_connection_of_a_server_that_names_no_request_ids_is_not_kept():
    unnamed = answer(200, None, extra=SEAL)
    async with ScriptedServer(unnamed, unnamed) as server:
        assert await server.run("first") == ("answered", b"whole")
        assert await server.run("second") == ("answered", b"whole")
        assert server.connections == 2


async def test_stale_refusal_followed_by_a_close_promises_nothing():
    stale = refusal(b"first")
    async with ScriptedServer(stale, stale + CLOSE) as server:
        assert await server.run("first") == ("not run",)
        assert await server.run("second") == ("may have run",)


@pytest.mark.parametrize("is_kept", [False, True])
async def test_head_that_is_cut_short_is_never_passed_on(is_kept):
    whole = answer(200, b"first", extra=SEAL)
    cut = answer(200, b"second", extra=SEAL)
    for end in range(1, cut.index(b"\r\n\r\n") + 4, 9):
        script = [whole, cut[:end] + CLOSE] if is_kept else [cut[:end] + CLOSE]
        async with ScriptedServer(*script) as server:
            if is_kept:
                assert await server.run("first") == ("answered", b"whole")
            assert await server.run("second") == ("may have run",)


OWN = answer(200, b"second", extra=SEAL + b"x-note: kept\r\n")
OTHERS = {
    "refusal": refusal(None),
    "refusal of an earlier request": refusal(b"first"),
    "refusal of another start": refusal(None, 421),
    "answer": answer(200, None, b"stale", extra=SEAL),
    "answer to an earlier request": answer(200, b"first", b"stale", extra=SEAL),
    "failure": answer(500, b"first", b"stale", extra=SEAL),
    "interim response": b"HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n",
}


class KeptConnection:
    """A runner with one open connection, whose input the test gives."""

    def __init__(self):
        self.outcomes = Outcomes()
        self.runner = ServerRunner("-", time.monotonic)
        self.runner.guard = self.outcomes
        self.client = self.runner.client
        self.protocol = RunProtocol(self.client)
        self.protocol.connection_made(FakeTransport())
        self.client._connection_count += 1
        self.protocol.idle_since = asyncio.get_running_loop().time()
        self.client._idle[self.protocol] = None

    def run(self, request_id, data, size):
        """Run a request whose answer arrives in parts; return how it ended."""
        ticket = GuardHarness().ticket(time.monotonic(), request_id=request_id)
        ticket.run = len(self.outcomes.ends) + 1
        ticket.head = b"GET / HTTP/1.1\r\nhost: h\r\n"
        self.runner.run(ticket, "i-1", 0.5)
        for start in range(0, len(data), size):
            if not self.protocol.is_closed:
                self.protocol.data_received(data[start : start + size])
        if len(self.outcomes.ends) < ticket.run:
            self.protocol.connection_lost(None)
        return self.outcomes.ends[-1][1:]


@pytest.mark.parametrize("size", [1, 40, 10**6])
@pytest.mark.parametrize("name", sorted(OTHERS))
async def test_answer_behind_part_of_another_one_is_passed_on_unchanged_or_unknown(
    name, size
):
    # Guards against a request that ran and is taken as not run, and so runs twice,
    # since its answer joined with bytes that belong to no request.
    first = answer(200, b"first", extra=SEAL)
    other = OTHERS[name]
    for end in range(len(other) + 1):
        kept = KeptConnection()
        assert kept.run("first", first, 10**6) == ("answered", b"whole")
        outcome = kept.run("second", other[:end] + OWN, size)
        assert outcome in (("answered", b"whole"), ("may have run",)), other[:end]


async def test_status_of_a_joined_answer_is_never_passed_on():
    # Guards against the status of one answer with the seal of another one.
    for other in (b"HTTP/1.1 500 x", b"HTTP/1.1 404 x\r\na: b", b"HTTP/1.1 200 "):
        async with ScriptedServer(OWN, other + OWN) as server:
            await server.run("second")
            assert await server.run("second") == ("may have run",)


def test_header_that_merely_names_a_protocol_is_accepted():
    # Guards against sound answers that are taken for joined ones.
    for value in (b"1.1 HTTP/1.1", b"HTTP/2.0, HTTP/1.1", b"HTTP/1.1 gateway"):
        assert _STATUS_LINE.search(value) is None


@pytest.mark.parametrize("status", [0, 99, 100, 199, 600, 999, True, "200"])
def test_answer_of_a_peer_with_an_undefined_status_is_not_decoded(status):
    frame = [FrameKind.ANSWER.value, 1, status, {}, b"", 0, 0, 0.0, 0.0]
    with pytest.raises(FrameError):
        decode_answer(frame)


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"0200"])
async def test_undefined_status_of_a_server_promises_nothing(status):
    odd = answer(200, b"first", extra=SEAL + b"knapweedlead-not-executed: 1\r\n")
    async with ScriptedServer(odd.replace(b"200", status, 1)) as server:
        assert await server.run("first") == ("may have run",)
