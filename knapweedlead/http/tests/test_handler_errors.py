"""Exceptions in the handlers of requests and in the check of timeouts."""

import asyncio

import pytest

from knapweedlead.http import _server
from knapweedlead.http._caller import CallerProtocol
from knapweedlead.http.tests.fakes import FakeTransport, RecordingServer

GET = b"GET /%s HTTP/1.1\r\nhost: x\r\n\r\n"


class FailingServer(RecordingServer):
    """Server whose handler raises an exception for the path ``/fail``."""

    def _record_request(self, request):
        super()._record_request(request)
        if request.path == "/fail":
            raise RuntimeError("injected")


@pytest.fixture
async def faults():
    """Exceptions that reach the exception handler of the event loop."""
    loop = asyncio.get_running_loop()
    found = []
    loop.set_exception_handler(lambda _, context: found.append(context["exception"]))
    yield found
    loop.set_exception_handler(None)


def connect(server):
    """Return an open connection of a server and its transport."""
    protocol = CallerProtocol(server)
    transport = FakeTransport()
    protocol.connection_made(transport)
    return protocol, transport


async def test_request_hangs_if_its_handler_raises(faults):
    server = FailingServer()
    protocol, transport = connect(server)
    protocol.data_received(GET % b"fail")
    assert transport.written.startswith(b"HTTP/1.1 502 ")
    assert server.abandoned_exchanges == [1]
    protocol.data_received(GET % b"next")
    server.reply(2, 200, {}, b"own")
    assert transport.written.endswith(b"own")
    assert len(faults) == 1


async def test_reply_fails_if_the_handler_of_the_next_request_raises(faults):
    server = FailingServer()
    protocol, transport = connect(server)
    protocol.data_received(GET % b"first" + GET % b"fail" + GET % b"last")
    server.reply(1, 200, {}, b"own")
    server.reply(3, 200, {}, b"last")
    assert transport.written.count(b"HTTP/1.1 200 ") == 2
    assert transport.written.count(b"HTTP/1.1 502 ") == 1
    assert len(faults) == 1


async def test_caller_hangs_if_its_reply_cannot_be_written(faults, monkeypatch):
    server = RecordingServer()
    protocol, transport = connect(server)
    protocol.data_received(GET % b"first")
    monkeypatch.setattr(transport, "write", lambda data: 1 / 0)
    server.reply(1, 200, {}, b"own")
    assert transport.is_closed
    assert len(faults) == 1


async def test_timeouts_are_not_enforced_after_an_exception(faults, monkeypatch):
    monkeypatch.setattr(_server, "_SWEEP_SECONDS", 0.01)
    server = RecordingServer()
    failing, _ = connect(server)
    connect(server)
    checks = []

    def check_timeouts(protocol, now):
        if protocol is failing:
            raise ZeroDivisionError
        checks.append(now)

    monkeypatch.setattr(CallerProtocol, "check_timeouts", check_timeouts)
    server._sweep()
    await asyncio.sleep(0.1)
    server._sweep_timer.cancel()
    assert len(checks) > 2
    assert faults


@pytest.mark.parametrize("status", [-1, 0, 99, 100, 199, 600, 1000, True, None, "200"])
async def test_undefined_or_interim_status_is_reported_and_not_written(status, faults):
    # Guards against a server's status of 000 that reaches a caller.
    server = RecordingServer()
    protocol, transport = connect(server)
    protocol.data_received(GET % b"a")
    server.reply(server.requests[0].exchange, status, {"seal": "s"}, b"body")
    assert [type(fault) for fault in faults] == [ValueError]
    assert transport.written.startswith(b"HTTP/1.1 %d" % _server.FAULT_STATUS)
    assert b"seal" not in transport.written
    assert b"body" not in transport.written
