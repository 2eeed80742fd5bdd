"""Connections that are established but not accepted yet when the listener closes."""

import asyncio
import socket

import pytest
import uvloop

from knapweedlead.http import split_address
from knapweedlead.http.tests.fakes import RecordingServer
from standins.fleet import free_address

GET = b"GET /a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
CONNECTIONS = 20


async def stop_with_queued_requests(address):
    """Send requests and close the listener before the event loop accepts any.

    Returns what each caller has received when its connection ends.
    """
    server = RecordingServer(replies_immediately=True)
    await server.start(address)
    callers = [
        socket.create_connection(split_address(address)) for _ in range(CONNECTIONS)
    ]
    for caller in callers:
        caller.sendall(GET)
    server.stop_listening()
    answers = [await receive_all(caller) for caller in callers]
    await server.stop()
    return answers


async def receive_all(caller):
    reader, writer = await asyncio.open_connection(sock=caller)
    try:
        return await asyncio.wait_for(reader.read(), 5.0)
    except ConnectionError:
        return b"reset"
    finally:
        writer.close()


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_requests_in_the_listen_queue_are_reset_in_a_planned_stop(run):
    answers = run(stop_with_queued_requests(free_address()))
    assert [answer[:15] for answer in answers] == [b"HTTP/1.1 200 OK"] * CONNECTIONS


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_closed_listener_accepts_no_connections(run):
    address = free_address()

    async def connect_after_stop():
        server = RecordingServer(replies_immediately=True)
        await server.start(address)
        server.stop_listening()
        await asyncio.sleep(0.05)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(split_address(address))

    run(connect_after_stop())
