"""Delivery, authentication, limits and failure reports of the links."""

import asyncio

import pytest

from knapweedlead.errors import CodecError, LinkError
from knapweedlead.messages import CallCancel
from knapweedlead.transport import _link_connection, _links
from knapweedlead.transport.tests.links import Endpoint, open_endpoints, wait_until
from standins.fleet import free_address

OPEN_CONNECTIONS: set[_link_connection.LinkConnection] = set()


@pytest.fixture(autouse=True)
def track_connections(monkeypatch):
    """Record all connections until they are closed."""
    original_made = _link_connection.LinkConnection.connection_made
    original_on_close = _link_connection.LinkConnection.on_close

    def connection_made(self, transport):
        OPEN_CONNECTIONS.add(self)
        original_made(self, transport)

    def on_close(self):
        OPEN_CONNECTIONS.discard(self)
        original_on_close(self)

    monkeypatch.setattr(
        _link_connection.LinkConnection, "connection_made", connection_made
    )
    monkeypatch.setattr(_link_connection.LinkConnection, "on_close", on_close)
    yield
    OPEN_CONNECTIONS.clear()


def make_cancel(number):
    return CallCancel(b"r" * 16, number, 1)


def received_call_ids(endpoint):
    return [message.call_id for _, message in endpoint.messages]


async def test_one_link_carries_messages_both_ways():
    async with open_endpoints(2) as (a, b):
        a.table.send(b.address, make_cancel(1))
        await wait_until(lambda: b.messages)
        b.table.send(a.address, make_cancel(2))
        await wait_until(lambda: a.messages)
        assert b.messages == [(a.address, make_cancel(1))]
        assert a.messages == [(b.address, make_cancel(2))]
        assert len(a.opened_links) == len(b.opened_links) == 1
        assert a.table.open_links == b.table.open_links == 1


@pytest.mark.parametrize("address", ["127.0.0.1:70000", "127.0.0.1", "", "x:y"])
async def test_message_to_an_address_that_is_none_is_reported_as_unsent(address):
    # Guards against a link that stays for ever, with all messages queued on it, for one
    # odd address in the store.
    async with open_endpoints(1) as (a,):
        a.table.send(address, make_cancel(1))
        await wait_until(lambda: a.unsent_messages)
        assert a.unsent_messages == [make_cancel(1)]
        assert a.lost_links == [(address, False)]
        assert [error.peer for error in a.errors] == [address]
        assert not a.table._link_by_peer


@pytest.mark.parametrize("seed", range(5))
async def test_simultaneous_opening_neither_loses_nor_duplicates_messages(seed):
    async with open_endpoints(2) as (a, b):
        for number in range(100):
            a.table.send(b.address, make_cancel(number))
            b.table.send(a.address, make_cancel(number))
            if number % 10 == seed:
                await asyncio.sleep(0)
        await wait_until(lambda: len(a.messages) == len(b.messages) == 100)
        assert (
            sorted(received_call_ids(a))
            == sorted(received_call_ids(b))
            == list(range(100))
        )
        await wait_until(lambda: count_connections(a) == count_connections(b) == 1)
        assert (
            a.lost_links == b.lost_links == a.unsent_messages == b.unsent_messages == []
        )


def count_connections(endpoint):
    """Return the number of connections of an endpoint that are open or closing."""
    return sum(connection.owner is endpoint.table for connection in OPEN_CONNECTIONS)


async def test_wrong_secret_is_rejected_before_any_message_is_delivered():
    async with open_endpoints(
        2, ("right-secret-of-tests", "wrong-secret-of-tests")
    ) as (a, b):
        b.table.send(a.address, make_cancel(1))
        await wait_until(lambda: b.lost_links)
        assert a.messages == a.opened_links == b.opened_links == []
        assert b.unsent_messages == [make_cancel(1)]
        assert "wrong proof" in a.errors[0].detail


async def test_refused_connection_is_reported_and_returns_every_message():
    async with open_endpoints(1) as (a,):
        unused = free_address()
        a.table.send(unused, make_cancel(1))
        a.table.send(unused, make_cancel(2))
        await wait_until(lambda: a.lost_links)
        assert a.unsent_messages == [make_cancel(1), make_cancel(2)]
        assert a.lost_links == [(unused, True)]


async def test_lost_link_is_reported_without_returning_a_written_message():
    async with open_endpoints(2) as (a, b):
        a.table.send(b.address, make_cancel(1))
        await wait_until(lambda: b.messages)
        a.table.send(b.address, make_cancel(2))
        b.table.close(a.address)
        await wait_until(lambda: a.lost_links and b.lost_links)
        assert a.lost_links == [(b.address, False)]
        assert a.unsent_messages == []


async def test_connection_of_a_restarted_peer_replaces_the_previous_one():
    async with open_endpoints(2) as (a, b):
        a.table.send(b.address, make_cancel(1))
        await wait_until(lambda: b.messages)
        restarted = Endpoint(a.address).build(incarnation=2)
        restarted.table.send(b.address, make_cancel(2))
        await wait_until(lambda: len(b.messages) == 2)
        assert b.opened_links == [(a.address, 1), (a.address, 2)]
        assert b.lost_links == [(a.address, False)]
        await restarted.table.stop()


async def test_older_incarnation_does_not_replace_a_newer_one():
    async with open_endpoints(2) as (a, b):
        newer = Endpoint(a.address).build(incarnation=2)
        newer.table.send(b.address, make_cancel(1))
        await wait_until(lambda: b.messages)
        a.table.send(b.address, make_cancel(2))
        await wait_until(lambda: a.lost_links)
        newer.table.send(b.address, make_cancel(3))
        await wait_until(lambda: len(b.messages) == 2)
        assert received_call_ids(b) == [1, 3]
        assert b.lost_links == []
        await newer.table.stop()


async def test_peer_that_stops_reading_has_a_bounded_queue_and_blocks_no_other_link(
    monkeypatch,
):
    monkeypatch.setattr(_links, "MAX_QUEUED_MESSAGES", 50)
    async with open_endpoints(3) as (a, b, c):
        a.table.send(b.address, make_cancel(0))
        await wait_until(lambda: b.messages)
        b.table._link_by_peer[a.address].current.transport.pause_reading()
        body = CallCancel(b"x" * 200_000, 1, 1)
        for _ in range(300):
            a.table.send(b.address, body)
            await asyncio.sleep(0)
        assert a.unsent_messages
        assert a.table.queued_messages <= 50
        a.table.send(c.address, make_cancel(7))
        await wait_until(lambda: c.messages)
        failed = len(a.unsent_messages)
        b.table._link_by_peer[a.address].current.transport.resume_reading()
        await wait_until(lambda: len(b.messages) == 1 + 300 - failed)


async def test_unknown_message_code_closes_the_link_with_an_error():
    async with open_endpoints(2) as (a, b):
        a.table.send(b.address, make_cancel(1))
        await wait_until(lambda: b.messages)
        a.table._link_by_peer[b.address].current.send(b"\x81\x19\x03\xe7")
        await wait_until(lambda: a.lost_links)
        assert any(isinstance(error, CodecError) for error in b.errors)
        a.table.send(b.address, make_cancel(2))
        await wait_until(lambda: len(b.messages) == 2)


@pytest.mark.parametrize(
    "frame",
    [
        b"\x81\x82\x00\x00\x00\x00hi",  # text
        b"\x02\x82\x00\x00\x00\x00hi",  # first fragment
        b"\x82\x02hi",  # not masked
        b"\x8f\x80\x00\x00\x00\x00",  # unknown opcode
        b"\x82\xff\x00\x00\x00\x00\x7f\x00\x00\x00\x00\x00\x00\x00",  # too long
    ],
)
async def test_invalid_frame_closes_only_its_own_link(frame):
    async with open_endpoints(3) as (a, b, c):
        a.table.send(b.address, make_cancel(1))
        c.table.send(b.address, make_cancel(2))
        await wait_until(lambda: len(b.messages) == 2)
        a.table._link_by_peer[b.address].current.transport.write(frame)
        await wait_until(lambda: b.errors and a.lost_links)
        assert isinstance(b.errors[0], LinkError)
        assert b.errors[0].step == "link.read"
        c.table.send(b.address, make_cancel(3))
        await wait_until(lambda: len(b.messages) == 3)
        assert b.lost_links == [(a.address, False)]


async def test_idle_connection_is_closed_after_the_handshake_timeout(monkeypatch):
    monkeypatch.setattr(_link_connection, "OPEN_TIMEOUT", 0.05)
    async with open_endpoints(1) as (a,):
        host, _, port = a.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        assert await reader.read() == b""
        writer.close()
        await wait_until(lambda: a.errors)
        assert a.errors[0].detail == "handshake timeout"


async def test_unauthenticated_connections_are_bounded(monkeypatch):
    monkeypatch.setattr(_links, "MAX_UNAUTHENTICATED_CONNECTIONS", 3)
    async with open_endpoints(2) as (a, b):
        host, _, port = a.address.rpartition(":")
        opened = [await asyncio.open_connection(host, int(port)) for _ in range(6)]
        await wait_until(lambda: len(a.errors) >= 3)
        assert all("too many" in error.detail for error in a.errors)
        for _, writer in opened:
            writer.close()
        await wait_until(lambda: not a.table._unauthenticated)
        b.table.send(a.address, make_cancel(1))
        await wait_until(lambda: a.messages)


async def test_message_sent_while_the_peer_closes_is_reported_as_unsent():
    async with open_endpoints(2) as (a, b):
        a.table.send(b.address, make_cancel(1))
        await wait_until(lambda: b.messages)
        connection = a.table._link_by_peer[b.address].current
        peer = b.table._link_by_peer[a.address].current
        # The close frame has been received, and the connection is not yet lost.
        peer.sans_io.send_close(1000, "stopped")
        connection.sans_io.receive_data(b"".join(peer.sans_io.data_to_send()))
        a.table.send(b.address, make_cancel(2))
        connection.abort("closed")
        await wait_until(lambda: a.unsent_messages or len(b.messages) > 1)
        assert len(a.unsent_messages) + len(b.messages) - 1 == 1
