"""Calls in flight at a peer that is silent for some seconds."""

import asyncio

from knapweedlead.http.tests.fakes import FakeTransport
from knapweedlead.mesh import Member, ServerState, Target
from knapweedlead.mesh._link_monitor import LOST_AFTER, PROBE_PERIOD
from knapweedlead.mesh.tests.harness import (
    RecordingReplies,
    make_call,
    make_configuration,
    make_route,
)
from knapweedlead.sidecar._frames import FrameConnection
from knapweedlead.sidecar._outgoing_link import OutgoingLink
from knapweedlead.sidecar._wire import FrameKind
from knapweedlead.sidecar.tests.test_reload import make_sidecar

MEMBER = Member("daemon-9", "127.0.0.1:9", "lines", "north")
TIMEOUT = 8.0
"""Seconds until the deadline of a call."""


class LinkTransport(FakeTransport):
    """Transport of a link."""

    def __init__(self, connection):
        super().__init__()
        self.connection = connection

    def abort(self):
        self.close()
        asyncio.get_running_loop().call_soon(self.connection.connection_lost, None)

    def get_write_buffer_size(self):
        return 0


class SilentPeer:
    """A link to a peer, and a call that was sent on it, under a hand-driven clock."""

    def __init__(self, is_idempotent):
        self.now = 100.0
        self.sidecar, _ = make_sidecar()
        self.sidecar.clock = lambda: self.now
        self.replies = RecordingReplies()
        self.link = OutgoingLink(self.sidecar, MEMBER)
        self.link.target = Target(
            MEMBER.name, MEMBER.data_centre, MEMBER.service, self.link, True
        )
        state = ServerState("i", "lines", True, limit=10, service_time=0.05)
        self.link.target.apply_state(state)
        entry = self.sidecar.entry
        entry.replies = self.replies
        entry.targets_by_service = {"lines": [self.link.target]}
        route = make_route(is_idempotent=is_idempotent, timeout=TIMEOUT)
        entry.configuration = make_configuration(route)
        self.connection = self.open()
        entry.accept("x", make_call(caller_timeout=TIMEOUT), self.now)

    def open(self):
        """Open a connection of the link."""
        link = self.link
        connection = FrameConnection(link._on_frame, link._on_lost, link._on_open)
        connection.connection_made(LinkTransport(connection))
        return connection

    async def pass_time(self, seconds):
        """Let time pass in which the peer sends nothing."""
        end = self.now + seconds
        while self.now < end:
            self.now += PROBE_PERIOD
            self.sidecar.entry.expire(self.now)
            self.link.tick(1, self.now)
            await asyncio.sleep(0)

    def answer(self):
        """Send the answer of the first call on the first connection."""
        frame = [FrameKind.ANSWER.value, 1, 200, {}, b"late", 0, 0, 0.0, 0.0]
        self.connection.on_frame(self.connection, frame)


async def test_call_at_a_peer_that_is_silent_for_a_while_is_given_up():
    peer = SilentPeer(is_idempotent=False)
    await peer.pass_time(LOST_AFTER + 2.0)
    assert not peer.replies.refusal_by_exchange
    assert peer.link.connection is None
    peer.answer()
    assert peer.replies.answer_by_exchange["x"].body == b"late"
    await peer.pass_time(PROBE_PERIOD)
    assert peer.connection.transport.is_closed


async def test_call_at_a_silent_peer_is_given_up_with_the_next_connection():
    peer = SilentPeer(is_idempotent=False)
    await peer.pass_time(LOST_AFTER + 1.0)
    peer.open().connection_lost(None)
    assert not peer.replies.refusal_by_exchange
    peer.answer()
    assert peer.replies.answer_by_exchange["x"].body == b"late"


async def test_call_whose_silent_connection_is_lost_waits_for_its_deadline():
    peer = SilentPeer(is_idempotent=False)
    await peer.pass_time(LOST_AFTER + 1.0)
    peer.connection.connection_lost(None)
    assert peer.replies.refusal_by_exchange["x"][0] == 502


async def test_call_hangs_after_a_malformed_answer_on_a_silent_connection():
    peer = SilentPeer(is_idempotent=False)
    await peer.pass_time(LOST_AFTER + 1.0)
    peer.connection.on_frame(peer.connection, [FrameKind.ANSWER.value, 1, 200])
    await asyncio.sleep(0.01)
    assert peer.replies.refusal_by_exchange["x"][0] == 502
    assert peer.connection.transport.is_closed


async def test_silent_connection_outlives_the_deadline_of_its_calls():
    peer = SilentPeer(is_idempotent=False)
    await peer.pass_time(TIMEOUT + 2 * PROBE_PERIOD)
    assert peer.replies.refusal_by_exchange["x"][0] == 504
    assert peer.connection.transport.is_closed


async def test_link_to_a_silent_peer_is_removed_while_an_answer_is_awaited():
    peer = SilentPeer(is_idempotent=False)
    links = peer.sidecar.links
    links.outgoing_by_name[MEMBER.name] = peer.link
    await peer.pass_time(LOST_AFTER + 1.0)
    links.set_members({})
    assert not peer.connection.transport.is_closed
    peer.answer()
    await peer.pass_time(3 * PROBE_PERIOD)
    links.set_members({})
    assert not links.outgoing_by_name


async def test_connection_without_awaited_answers_stays_open():
    peer = SilentPeer(is_idempotent=True)
    await peer.pass_time(LOST_AFTER + 1.0)
    assert peer.connection.transport.is_closed
