"""Distribution of the fleet state, and the number of messages sent for it."""

import importlib
import json
import pkgutil
import random
import zlib

import attrs
import pytest

from knapweedlead.mesh import FleetChange, FleetState, Member, Reason, ServerState
from knapweedlead.mesh.tests.harness import RecordingReplies, make_call
from knapweedlead.platform.tests.fleets import CONFIGURATION, Fleet
from knapweedlead.positions import StorePosition
from knapweedlead.sidecar import Sidecar
from knapweedlead.sidecar._frame_decoders import (
    MAX_CONFIGURATION_BYTES,
    FrameError,
    decode_change,
    decode_fleet_state,
)
from knapweedlead.sidecar._wire import PeerState, change_frame, fleet_state_frame

ERA = 1
MEMBER = Member("daemon-9", "127.0.0.1:9", "deep", "south")


def at(revision, era=ERA):
    """Return a position in the store's history."""
    return StorePosition(era, revision)


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
            position=at(5),
            configuration=json.dumps(CONFIGURATION).encode(),
            configuration_position=at(4),
        )
        self.fleet.apply_state(state, "store")

    def receive_revision(self, revision):
        """Handle a peer's revision; return whether to request its fleet state."""
        state = PeerState(0.0, 0.0, at(revision), False, ServerState())
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
    change = FleetChange(at(7), configuration, at(7), joined=(MEMBER,))
    tracker.fleet.apply_store_change(at(5), change)
    tracker.fleet.apply_store_change(at(5), change)
    (frame,) = tracker.sent
    assert decode_change(frame) == (at(5), attrs.evolve(change, configuration=None))


def test_contiguous_peer_change_is_applied(tracker):
    change = FleetChange(at(8), joined=(MEMBER,), evacuated=("south",))
    assert not tracker.fleet.apply_peer_change(at(5), change, "daemon-1")
    assert tracker.fleet.state.position == at(8)
    assert tracker.fleet.state.member_by_name == {MEMBER.name: MEMBER}
    assert tracker.fleet.state.evacuated == {"south"}
    assert tracker.sent == []


def test_overlapping_peer_change_is_applied(tracker):
    tracker.fleet.apply_peer_change(
        at(5), FleetChange(at(6), joined=(MEMBER,)), "daemon-1"
    )
    change = FleetChange(at(8), left=(MEMBER.name,))
    assert not tracker.fleet.apply_peer_change(at(5), change, "daemon-2")
    assert tracker.fleet.state.member_by_name == {}


def test_state_is_requested_after_a_gap_and_for_a_new_configuration(tracker):
    assert tracker.fleet.apply_peer_change(at(7), FleetChange(at(8)), "daemon-1")
    assert tracker.fleet.state.position == at(5)
    tracker.now += 1.0
    change = FleetChange(at(9), configuration_position=at(9))
    assert tracker.fleet.apply_peer_change(at(5), change, "daemon-1")
    assert tracker.fleet.state.position == at(5)


def test_outdated_change_is_ignored(tracker):
    change = FleetChange(at(5), left=("daemon-0",))
    assert not tracker.fleet.apply_peer_change(at(3), change, "daemon-1")
    assert tracker.fleet.state.position == at(5)


def test_fleet_state_frame_round_trips_with_and_without_the_configuration(tracker):
    change = FleetChange(at(6), joined=(MEMBER,), remembered=(MEMBER.name, "daemon-8"))
    tracker.fleet.apply_peer_change(at(5), change, "daemon-1")
    state = tracker.fleet.state
    assert (
        decode_fleet_state(fleet_state_frame(state, StorePosition()), FleetState())
        == state
    )
    short = fleet_state_frame(state, state.configuration_position)
    assert decode_fleet_state(short, state) == state
    assert decode_change(change_frame(at(5), FleetChange(at(6))))[1] == FleetChange(
        at(6)
    )


def test_unreadable_configuration_leaves_the_last_one_in_force_without_keys(tracker):
    entry = tracker.fleet.entry
    in_force = entry.configuration
    state = FleetState(
        position=at(6), configuration=b"{}", configuration_position=at(6)
    )
    tracker.fleet.apply_state(state, "store")
    assert entry.configuration is in_force
    assert entry.unreadable_since == entry.freshness.confirmed_at
    document = json.dumps(CONFIGURATION | {"version": "r9"}).encode()
    state = FleetState(
        position=at(7), configuration=document, configuration_position=at(7)
    )
    tracker.fleet.apply_state(state, "store")
    assert entry.configuration.version == 9
    assert entry.unreadable_since is None


def test_damaged_entries_are_logged_and_counted(tracker):
    document = CONFIGURATION | {"version": "r9", "services": [7, 8]}
    value = json.dumps(document).encode()
    state = FleetState(
        position=at(6), configuration=value, configuration_position=at(6)
    )
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
    state = PeerState(requested_at, lead, at(5), False, ServerState())
    tracker.fleet.handle_peer_state(state)
    call = attrs.evolve(make_call("/read/1", "key-crew"), host="h.example")
    entry.accept("x", call, tracker.now)
    status, reason, _ = entry.replies.refusal_by_exchange["x"]
    assert status in (429, 503)
    assert (reason is not Reason.STALE_CONFIGURATION) == is_accepted


def test_state_of_a_peer_behind_replaces_a_newer_one(tracker):
    tracker.fleet.apply_state(
        FleetState(position=at(4), configuration_position=at(4)), "peer"
    )
    assert tracker.fleet.state.position == at(5)
    assert tracker.fleet.entry.configuration.account_by_name


def test_fleet_state_without_a_configuration_that_is_no_longer_known_is_outdated():
    # Guards against a link that is closed, since a newer configuration became known
    # while the peer's answer to an earlier request was on its way.
    older = FleetState(at(7), b"{}", at(5), frozenset(), {MEMBER.name: MEMBER})
    frame = fleet_state_frame(older, at(5))
    newer = attrs.evolve(older, position=at(9), configuration=b"[]")
    newer = attrs.evolve(newer, configuration_position=at(8))
    assert decode_fleet_state(frame, newer) is None


def test_configuration_that_expands_without_end_is_rejected():
    frame = fleet_state_frame(FleetState(at(7), b"{}", at(5)), StorePosition())
    frame[3] = zlib.compress(bytes(2 * MAX_CONFIGURATION_BYTES))
    with pytest.raises(FrameError, match="at most"):
        decode_fleet_state(frame, FleetState())


def test_state_that_was_not_applied_confirms_nothing(tracker):
    # Guards against an old configuration that is confirmed by reads of a store whose
    # state is dropped.
    freshness = tracker.fleet.freshness
    tracker.fleet.confirm(101.0, at(9))
    tracker.fleet.confirm(102.0, at(5, era=ERA + 1))
    tracker.fleet.confirm(103.0, at(9, era=ERA - 1))
    assert freshness.confirmed_at < 101.0
    tracker.fleet.confirm(104.0, at(5))
    assert freshness.confirmed_at == 104.0


def test_peer_of_another_era_confirms_nothing(tracker):
    for era in (ERA - 1, ERA + 1):
        state = PeerState(99.0, 0.0, at(5, era), False, ServerState())
        assert tracker.fleet.handle_peer_state(state) == (era > ERA)
    assert tracker.fleet.freshness.confirmed_at < 99.0


def test_change_of_an_older_era_that_arrives_late_is_ignored(tracker):
    tracker.fleet.apply_state(FleetState(at(2, ERA + 1)), "store")
    change = FleetChange(at(9), evacuated=("south",))
    tracker.fleet.apply_store_change(at(5), change)
    assert not tracker.fleet.apply_peer_change(at(5), change, "daemon-1")
    assert tracker.fleet.state.evacuated == frozenset()
    assert tracker.sent == []


def test_change_after_a_base_of_an_older_era_leads_to_a_whole_read(tracker):
    change = FleetChange(at(9, ERA + 1), evacuated=("south",))
    assert tracker.fleet.apply_peer_change(at(5), change, "daemon-1")
    assert tracker.fleet.state.evacuated == frozenset()


def test_peer_with_the_same_position_and_a_later_version_is_asked(tracker):
    # Guards against a daemon that started with the copy's configuration and keeps it.
    state = PeerState(99.0, 0.0, at(5), False, ServerState(), 9)
    assert tracker.fleet.handle_peer_state(state)
    assert tracker.fleet.freshness.confirmed_at < 99.0
    value = json.dumps(CONFIGURATION | {"version": "r9"}).encode()
    tracker.fleet.apply_state(FleetState(at(5), value, at(9, 0)), "daemon-1")
    assert tracker.fleet.entry.configuration.version == 9
    assert tracker.fleet.state.configuration == value
    assert tracker.fleet.state.position == at(5)
    assert not tracker.fleet.handle_peer_state(state)


PACKAGES = ("mesh", "ownership", "platform", "sidecar", "store")


@pytest.mark.parametrize("package", PACKAGES)
def test_no_type_has_a_revision_without_its_era(package):
    # Guards against comparisons of revisions of different eras.
    modules = pkgutil.iter_modules(
        importlib.import_module(f"knapweedlead.{package}").__path__
    )
    names = [f"knapweedlead.{package}.{module.name}" for module in modules]
    types = [
        value
        for name in names
        for value in vars(importlib.import_module(name)).values()
        if isinstance(value, type) and attrs.has(value) and value is not StorePosition
    ]
    bare = [
        (value.__name__, field.name)
        for value in types
        for field in attrs.fields(value)
        if "revision" in field.name
    ]
    assert bare == []
