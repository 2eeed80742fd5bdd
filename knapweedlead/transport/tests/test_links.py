"""Promises of the links between daemons."""

import asyncio

import pytest

from knapweedlead.errors import CodecError, LinkError
from knapweedlead.messages import CallCancel
from knapweedlead.transport import _link_connection, _links
from knapweedlead.transport.tests.links import Side, sides, until
from standins.fleet import free_address

LIVE: set[_link_connection.LinkConnection] = set()


@pytest.fixture(autouse=True)
def _live(monkeypatch):
    """Keep the set of connections that are not closed."""
    made = _link_connection.LinkConnection.connection_made
    closed = _link_connection.LinkConnection.closed

    def connection_made(self, transport):
        LIVE.add(self)
        made(self, transport)

    def connection_closed(self):
        LIVE.discard(self)
        closed(self)

    monkeypatch.setattr(
        _link_connection.LinkConnection, "connection_made", connection_made
    )
    monkeypatch.setattr(_link_connection.LinkConnection, "closed", connection_closed)
    yield
    LIVE.clear()


def cancel(number):
    return CallCancel(b"r" * 16, number, 1)


def numbers(side):
    return [message.call_id for _, message in side.messages]


async def test_one_link_carries_messages_both_ways():
    async with sides(2) as (a, b):
        a.table.send(b.address, cancel(1))
        await until(lambda: b.messages)
        b.table.send(a.address, cancel(2))
        await until(lambda: a.messages)
        assert b.messages == [(a.address, cancel(1))]
        assert a.messages == [(b.address, cancel(2))]
        assert len(a.ups) == len(b.ups) == 1
        assert a.table.open_links == b.table.open_links == 1


@pytest.mark.parametrize("seed", range(5))
async def test_both_sides_opening_at_once_lose_and_repeat_no_message(seed):
    async with sides(2) as (a, b):
        for number in range(100):
            a.table.send(b.address, cancel(number))
            b.table.send(a.address, cancel(number))
            if number % 10 == seed:
                await asyncio.sleep(0)
        await until(lambda: len(a.messages) == len(b.messages) == 100)
        assert sorted(numbers(a)) == sorted(numbers(b)) == list(range(100))
        await until(lambda: connections(a) == connections(b) == 1)
        assert a.downs == b.downs == a.send_failed == b.send_failed == []


def connections(side):
    """Return how many connections the side still holds, also closing ones."""
    return sum(connection.owner is side.table for connection in LIVE)


async def test_wrong_secret_opens_no_link_and_delivers_no_message():
    async with sides(2, ("right-secret-of-tests", "wrong-secret-of-tests")) as (a, b):
        b.table.send(a.address, cancel(1))
        await until(lambda: b.downs)
        assert a.messages == a.ups == b.ups == []
        assert b.send_failed == [cancel(1)]
        assert "wrong proof" in a.errors[0].detail


async def test_refused_address_gives_every_message_back_and_says_refused():
    async with sides(1) as (a,):
        nobody = free_address()
        a.table.send(nobody, cancel(1))
        a.table.send(nobody, cancel(2))
        await until(lambda: a.downs)
        assert a.send_failed == [cancel(1), cancel(2)]
        assert a.downs == [(nobody, True)]


async def test_lost_link_is_reported_and_a_written_message_is_not_called_unsent():
    async with sides(2) as (a, b):
        a.table.send(b.address, cancel(1))
        await until(lambda: b.messages)
        a.table.send(b.address, cancel(2))
        b.table.close(a.address)
        await until(lambda: a.downs and b.downs)
        assert a.downs == [(b.address, False)]
        assert a.send_failed == []


async def test_restarted_peer_replaces_its_former_link():
    async with sides(2) as (a, b):
        a.table.send(b.address, cancel(1))
        await until(lambda: b.messages)
        restarted = Side(a.address).build(incarnation=2)
        restarted.table.send(b.address, cancel(2))
        await until(lambda: len(b.messages) == 2)
        assert b.ups == [(a.address, 1), (a.address, 2)]
        assert b.downs == [(a.address, False)]
        await restarted.table.stop()


async def test_older_start_identity_does_not_replace_a_newer_one():
    async with sides(2) as (a, b):
        newer = Side(a.address).build(incarnation=2)
        newer.table.send(b.address, cancel(1))
        await until(lambda: b.messages)
        a.table.send(b.address, cancel(2))
        await until(lambda: a.downs)
        newer.table.send(b.address, cancel(3))
        await until(lambda: len(b.messages) == 2)
        assert numbers(b) == [1, 3]
        assert b.downs == []
        await newer.table.stop()


async def test_frozen_peer_holds_bounded_messages_and_stalls_no_other(monkeypatch):
    monkeypatch.setattr(_links, "MAX_WAITING_MESSAGES", 50)
    async with sides(3) as (a, b, c):
        a.table.send(b.address, cancel(0))
        await until(lambda: b.messages)
        b.table._link_by_peer[a.address].current.transport.pause_reading()
        body = CallCancel(b"x" * 200_000, 1, 1)
        for _ in range(300):
            a.table.send(b.address, body)
            await asyncio.sleep(0)
        assert a.send_failed
        assert a.table.waiting_messages <= 50
        a.table.send(c.address, cancel(7))
        await until(lambda: c.messages)
        failed = len(a.send_failed)
        b.table._link_by_peer[a.address].current.transport.resume_reading()
        await until(lambda: len(b.messages) == 1 + 300 - failed)


async def test_message_that_no_one_knows_closes_the_link_with_an_error():
    async with sides(2) as (a, b):
        a.table.send(b.address, cancel(1))
        await until(lambda: b.messages)
        a.table._link_by_peer[b.address].current.send(b"\x81\x19\x03\xe7")
        await until(lambda: a.downs)
        assert any(isinstance(error, CodecError) for error in b.errors)
        a.table.send(b.address, cancel(2))
        await until(lambda: len(b.messages) == 2)


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
async def test_frame_out_of_protocol_closes_only_its_own_link(frame):
    async with sides(3) as (a, b, c):
        a.table.send(b.address, cancel(1))
        c.table.send(b.address, cancel(2))
        await until(lambda: len(b.messages) == 2)
        a.table._link_by_peer[b.address].current.transport.write(frame)
        await until(lambda: b.errors and a.downs)
        assert isinstance(b.errors[0], LinkError)
        assert b.errors[0].step == "link.read"
        c.table.send(b.address, cancel(3))
        await until(lambda: len(b.messages) == 3)
        assert b.downs == [(a.address, False)]


async def test_silent_connection_is_dropped_after_the_handshake_timeout(monkeypatch):
    monkeypatch.setattr(_link_connection, "OPEN_TIMEOUT", 0.05)
    async with sides(1) as (a,):
        host, _, port = a.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        assert await reader.read() == b""
        writer.close()
        await until(lambda: a.errors)
        assert a.errors[0].detail == "handshake timeout"


async def test_connections_without_a_proof_are_bounded(monkeypatch):
    monkeypatch.setattr(_links, "MAX_UNPROVED_CONNECTIONS", 3)
    async with sides(2) as (a, b):
        host, _, port = a.address.rpartition(":")
        opened = [await asyncio.open_connection(host, int(port)) for _ in range(6)]
        await until(lambda: len(a.errors) >= 3)
        assert all("too many" in error.detail for error in a.errors)
        for _, writer in opened:
            writer.close()
        await until(lambda: not a.table._accepted)
        b.table.send(a.address, cancel(1))
        await until(lambda: a.messages)
