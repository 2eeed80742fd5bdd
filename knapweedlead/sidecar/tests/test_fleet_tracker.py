"""Distribution of the fleet state, and the number of messages sent for it."""

import json
import random
import zlib

import attrs
import pytest

from knapweedlead.mesh import FleetChange, FleetState, Member, Reason, ServerState
from knapweedlead.mesh.tests.harness import RecordingReplies, make_call
from knapweedlead.platform.tests.fleets import CONFIGURATION, Fleet
from knapweedlead.sidecar import Sidecar
from knapweedlead.sidecar._frame_decoders import (
    MAX_CONFIGURATION_BYTES,
    FrameError,
    decode_change,
    decode_fleet_state,
)
from knapweedlead.sidecar._wire import PeerState, change_frame, fleet_state_frame

MEMBER = Member("daemon-9", "127.0.0.1:9", "deep", "south")


class Tracker:
    """The fleet tracker of a daemon that is not started, with a manual clock."""

    def __init__(self):
        settings = Fleet().settings(0, "front", "north")
        sidecar = Sidecar(settings, random.Random(1))
        self.now = 100.0
        self.fleet = sidecar.fleet
        self.fleet.clock = lambda: self.now
        self.sent = []
        self.fleet.links.broadcast = self.sent.append
        state = FleetState(
            revision=5,
            configuration=json.dumps(CONFIGURATION).encode(),
            configuration_revision=4,
        )
        self.fleet.apply_state(state, "store")

    def receive_revision(self, revision):
        """Handle a peer's revision; return whether to request its fleet state."""
        state = PeerState(0.0, 0.0, revision, False, ServerState())
        return self.fleet.handle_peer_state(state)


@pytest.fixture
def tracker(monkeypatch):
    tracker = Tracker()
    monkeypatch.setattr(tracker.fleet.links, "set_members", lambda members: None)
    return tracker


def test_newer_state_is_requested_from_one_peer_at_a_time(tracker):
    assert [tracker.receive_revision(6) for _ in range(50)].count(True) == 1
    tracker.now += 0.5
    assert tracker.receive_revision(6)


def test_store_change_is_broadcast_once_without_the_configuration(tracker):
    configuration = json.dumps(CONFIGURATION | {"version": "r9"}).encode()
    change = FleetChange(7, configuration, 7, joined=(MEMBER,))
    tracker.fleet.apply_store_change(5, change)
    tracker.fleet.apply_store_change(5, change)
    (frame,) = tracker.sent
    assert decode_change(frame) == (5, attrs.evolve(change, configuration=None))


def test_contiguous_peer_change_is_applied(tracker):
    change = FleetChange(8, joined=(MEMBER,), evacuated=("south",))
    assert not tracker.fleet.apply_peer_change(5, change, "daemon-1")
    assert tracker.fleet.state.revision == 8
    assert tracker.fleet.state.member_by_name == {MEMBER.name: MEMBER}
    assert tracker.fleet.state.evacuated == {"south"}
    assert tracker.sent == []


def test_overlapping_peer_change_is_applied(tracker):
    tracker.fleet.apply_peer_change(5, FleetChange(6, joined=(MEMBER,)), "daemon-1")
    change = FleetChange(8, left=(MEMBER.name,))
    assert not tracker.fleet.apply_peer_change(5, change, "daemon-2")
    assert tracker.fleet.state.member_by_name == {}


def test_state_is_requested_after_a_gap_and_for_a_new_configuration(tracker):
    assert tracker.fleet.apply_peer_change(7, FleetChange(8), "daemon-1")
    assert tracker.fleet.state.revision == 5
    tracker.now += 1.0
    change = FleetChange(9, configuration_revision=9)
    assert tracker.fleet.apply_peer_change(5, change, "daemon-1")
    assert tracker.fleet.state.revision == 5


def test_outdated_change_is_ignored(tracker):
    change = FleetChange(5, left=("daemon-0",))
    assert not tracker.fleet.apply_peer_change(3, change, "daemon-1")
    assert tracker.fleet.state.revision == 5


def test_fleet_state_frame_round_trips_with_and_without_the_configuration(tracker):
    tracker.fleet.apply_peer_change(5, FleetChange(6, joined=(MEMBER,)), "daemon-1")
    state = tracker.fleet.state
    assert decode_fleet_state(fleet_state_frame(state, 0), FleetState()) == state
    short = fleet_state_frame(state, state.configuration_revision)
    assert decode_fleet_state(short, state) == state
    assert decode_change(change_frame(5, FleetChange(6)))[1] == FleetChange(6)


def test_unreadable_configuration_leaves_the_last_one_in_force_without_keys(tracker):
    entry = tracker.fleet.entry
    in_force = entry.configuration
    state = FleetState(revision=6, configuration=b"{}", configuration_revision=6)
    tracker.fleet.apply_state(state, "store")
    assert entry.configuration is in_force
    assert entry.unreadable_since == entry.freshness.confirmed_at
    document = json.dumps(CONFIGURATION | {"version": "r9"}).encode()
    state = FleetState(revision=7, configuration=document, configuration_revision=7)
    tracker.fleet.apply_state(state, "store")
    assert entry.configuration.version == 9
    assert entry.unreadable_since is None


def test_damaged_entries_are_logged_and_counted(tracker):
    document = CONFIGURATION | {"version": "r9", "services": [7, 8]}
    value = json.dumps(document).encode()
    state = FleetState(revision=6, configuration=value, configuration_revision=6)
    tracker.fleet.apply_state(state, "store")
    count = tracker.fleet.recorder.count_by_name
    assert count["bad_input", "configuration_entry"] == 4
    assert tracker.fleet.entry.configuration.version == 9


@pytest.mark.parametrize(
    ("lead", "is_accepted"), [(-10.0, False), (-4.1, False), (-1.0, True), (5.0, True)]
)
def test_withdrawn_key_is_accepted_after_a_restart_on_the_word_of_a_peer_behind(
    tracker, lead, is_accepted
):
    entry = tracker.fleet.entry
    entry.replies = RecordingReplies()
    requested_at = tracker.now - 0.01
    state = PeerState(requested_at, lead, 5, False, ServerState())
    tracker.fleet.handle_peer_state(state)
    call = attrs.evolve(make_call("/read/1", "key-crew"), host="h.example")
    entry.accept("x", call, tracker.now)
    status, reason, _ = entry.replies.refusal_by_exchange["x"]
    assert status in (429, 503)
    assert (reason is not Reason.STALE_CONFIGURATION) == is_accepted


def test_state_of_a_peer_behind_replaces_a_newer_one(tracker):
    tracker.fleet.apply_state(FleetState(revision=4, configuration_revision=4), "peer")
    assert tracker.fleet.state.revision == 5
    assert tracker.fleet.entry.configuration.account_by_name


def test_fleet_state_without_a_configuration_that_is_no_longer_known_is_outdated():
    # Guards against a link that is closed, since a newer configuration became known
    # while the peer's answer to an earlier request was on its way.
    older = FleetState(7, b"{}", 5, frozenset(), {MEMBER.name: MEMBER})
    frame = fleet_state_frame(older, 5)
    newer = attrs.evolve(older, revision=9, configuration=b"[]")
    newer = attrs.evolve(newer, configuration_revision=8)
    assert decode_fleet_state(frame, newer) is None


def test_configuration_that_expands_without_end_is_rejected():
    frame = fleet_state_frame(FleetState(7, b"{}", 5), 0)
    frame[3] = zlib.compress(bytes(2 * MAX_CONFIGURATION_BYTES))
    with pytest.raises(FrameError, match="at most"):
        decode_fleet_state(frame, FleetState())
