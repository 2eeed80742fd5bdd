"""What daemons tell each other: how much, to whom, and what a newer version may add."""

import math

import attrs
import pytest

from knapweedlead.mesh import (
    DemandSum,
    FleetChange,
    FleetState,
    Member,
    RouteDemand,
    ServerAnswer,
    ServerState,
)
from knapweedlead.mesh.tests.harness import GuardHarness, make_report
from knapweedlead.platform.tests.fleets import Fleet
from knapweedlead.positions import StorePosition
from knapweedlead.sidecar._frame_decoders import (
    FrameError,
    decode_change,
    decode_demand,
    decode_fleet_state,
    decode_peer_state,
)
from knapweedlead.sidecar._frames import FrameConnection
from knapweedlead.sidecar._serving import AcceptedLink
from knapweedlead.sidecar._traffic import LinkTraffic
from knapweedlead.sidecar._wire import (
    FrameKind,
    PeerState,
    change_frame,
    demand_frame,
    fleet_state_frame,
)
from knapweedlead.sidecar.tests.test_reload import make_sidecar

MEMBER = Member("daemon-9", "127.0.0.1:9", "deep", "south")
DEMAND = DemandSum(
    {"deep": 2.5}, {"read": RouteDemand(0.1, {"check": 2.0})}, {"read": 3.0}
)


class Announcements:
    """A daemon that is not started, and whom it announces its state to."""

    def __init__(self):
        self.sidecar, settings = make_sidecar()
        self.settings = settings
        self.sent = []
        links = self.sidecar.links
        links.send_state_to_all = lambda: self.sent.append("all")
        links.send_state_to_data_centre = self.sent.append

    def heartbeat(self, sequence, **changes):
        """Handle a heartbeat; return whom the state was sent to."""
        self.sent.clear()
        report = make_report(
            service=self.settings.service,
            address=self.settings.server_address,
            sequence=sequence,
            **changes,
        )
        self.sidecar.handle_heartbeat(report)
        return self.sent


async def test_unchanged_heartbeat_is_announced_to_the_own_data_centre_only():
    announcements = Announcements()
    assert announcements.heartbeat(1) == ["all"]
    assert announcements.heartbeat(2) == [announcements.settings.data_centre]


async def test_change_that_matters_is_announced_to_all():
    announcements = Announcements()
    announcements.heartbeat(1)
    assert announcements.heartbeat(2, cold_remaining=3.0) == ["all"]
    assert announcements.heartbeat(3, instance="i-2", born=2000) == ["all"]


async def test_daemons_of_a_fleet_learn_the_demand_of_the_others():
    async with Fleet() as fleet:
        for sidecar in fleet.sidecars:
            sidecar.entry.shedder.local_demand_by_service = {"deep": 2.0}
            sidecar.load_tracker.update = lambda now: None
        others = 2.0 * (len(fleet.sidecars) - 1)
        await fleet.wait_until(
            lambda: all(
                s.demand_exchange.demand_of_others(s.clock()).get("deep")
                == pytest.approx(others)
                for s in fleet.sidecars
            )
        )
        traffic = [sidecar.traffic.frames for sidecar in fleet.sidecars]
        assert any(frames["demand,same"] for frames in traffic)
        assert any(frames["demand,other"] for frames in traffic)


def fail_to_receive(*args):
    raise RuntimeError("injected")


async def test_frame_that_cannot_be_decoded_costs_no_more_than_itself():
    async with Fleet() as fleet:
        first = fleet.sidecars[0]
        link = first.links.open_links()[0]
        connection = link.connection
        connection.send([FrameKind.DEMAND_REPORT.value, "daemon-0", {"deep": "x"}])
        peer = next(s for s in fleet.sidecars if s.settings.name == link.name)
        await fleet.wait_until(lambda: peer.recorder.count_by_name["bad_input", "link"])
        assert (await fleet.call(0, "GET", "/read/1")).status == 200
        assert link.connection is connection
        assert not connection.is_closed
        assert not peer.recorder.count_by_name["faults", "link"]


async def test_frame_whose_handling_fails_closes_its_link_only():
    async with Fleet() as fleet:
        first = fleet.sidecars[0]
        link = first.links.open_links()[0]
        peer = next(s for s in fleet.sidecars if s.settings.name == link.name)
        receive, peer.demand_exchange.receive_report = (
            peer.demand_exchange.receive_report,
            fail_to_receive,
        )
        link.connection.send([FrameKind.DEMAND_REPORT.value, "daemon-0", {}, {}])
        await fleet.wait_until(lambda: peer.recorder.count_by_name["faults", "link"])
        peer.demand_exchange.receive_report = receive
        await fleet.wait_until(lambda: first.links.up_count == len(fleet.sidecars) - 1)
        assert (await fleet.call(0, "GET", "/read/1")).status == 200


async def test_peer_that_only_receives_answers_learns_the_speed_of_the_server():
    sidecar, _ = make_sidecar()
    now = 100.0
    sidecar.clock = lambda: now
    kinds = []
    connection = FrameConnection(lambda *_: None, lambda *_: None)
    connection.send = lambda frame: kinds.append(frame[0])
    link = AcceptedLink(sidecar, connection)
    for number in range(60):
        ticket = GuardHarness().ticket(now, number=number)
        link.ticket_by_number[number] = ticket
        link.answered(ticket, ServerAnswer(200, {}, b""))
        now += 0.1
    assert kinds.count(FrameKind.ANSWER) == 60
    assert 4 <= kinds.count(FrameKind.STATE) <= 5


def test_traffic_is_counted_by_purpose_and_distance():
    traffic = LinkTraffic()
    traffic.by_scope(True)(FrameKind.CALL.value, 100)
    traffic.by_scope(True)(FrameKind.CANCEL.value, 10)
    traffic.by_scope(False)(FrameKind.STATE.value, 50)
    assert traffic.bytes_sent == {"call,other": 110, "state,same": 50}
    assert traffic.frames == {"call,other": 2, "state,same": 1}


def test_every_frame_kind_has_a_purpose():
    traffic = LinkTraffic()
    for kind in FrameKind:
        traffic.by_scope(False)(kind.value, 1)
    assert sum(traffic.frames.values()) == len(FrameKind)


def test_fields_that_a_later_version_appends_are_ignored():
    server = ServerState(
        "i", "deep", True, 1, 2, 10, rate_limit=5.0, born=1000, is_leaving=True
    )
    state = PeerState(1.0, -0.5, StorePosition(1, 7), True, server)
    assert decode_peer_state([*state.to_frame(), "added"]) == state
    fleet = FleetState(
        StorePosition(1, 7),
        b"{}",
        StorePosition(1, 5),
        frozenset({"north"}),
        {MEMBER.name: MEMBER},
        frozenset({MEMBER.name, "daemon-8"}),
    )
    frame = fleet_state_frame(fleet, StorePosition())
    frame[5] = [[*row, "added"] for row in frame[5]]
    assert decode_fleet_state([*frame, "added"], FleetState()) == fleet
    change = FleetChange(
        StorePosition(1, 8),
        joined=(MEMBER,),
        left=("daemon-1",),
        remembered=("daemon-9",),
        forgotten=("daemon-7",),
    )
    frame = change_frame(StorePosition(1, 5), change)
    frame[6] = [[*row, "added"] for row in frame[6]]
    assert decode_change([*frame, "added"]) == (StorePosition(1, 5), change)
    frame = demand_frame(FrameKind.DEMAND_REPORT, "daemon-1", DEMAND)
    frame[3] = {route: [*row, "added"] for route, row in frame[3].items()}
    assert decode_demand([*frame, "added"]) == ("daemon-1", DEMAND)


def test_state_of_an_earlier_version_without_rate_limit_and_start_time_is_read():
    state = PeerState(
        1.0, -0.5, StorePosition(1, 7), True, ServerState("i", "deep", True, 1, 2, 10)
    )
    fields_of_earlier_version = 14
    frame = state.to_frame()[:fields_of_earlier_version]
    position = StorePosition(0, 7)
    assert decode_peer_state(frame) == attrs.evolve(state, position=position)


@pytest.mark.parametrize("value", [math.nan, math.inf, -1.0, "much", None])
def test_absurd_demand_is_rejected(value):
    demand = attrs.evolve(DEMAND, demand_by_service={"deep": value})
    frame = demand_frame(FrameKind.DEMAND_PEER_SUM, "daemon-1", demand)
    with pytest.raises(FrameError):
        decode_demand(frame)
