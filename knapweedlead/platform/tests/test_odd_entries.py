"""One odd entry of another writer, at each reader of the store and of peers.

The entry is deeply nested, holds a number that is too large, a port out of range, or
text that cannot be encoded. It must cost no more than itself: daemons run on, stay in
the fleet, and follow later changes.
"""

import asyncio
import base64
import itertools
import json

import attrs
import pytest

from knapweedlead.mesh import Member, ServerState
from knapweedlead.platform._keys import decode_changes, encode_member
from knapweedlead.platform.tests.fleets import CONFIGURATION, Fleet
from knapweedlead.platform.tests.standin_server import request
from knapweedlead.positions import StorePosition
from knapweedlead.sidecar._wire import FrameKind

DEPTH = 100_000
MEMBER = Member("odd", "127.0.0.1:7006", "front", "north")


def member_value(**changes):
    """Return the value of a member's entry, with changed fields."""
    return json.dumps(attrs.asdict(MEMBER) | changes).encode()


def nested_member(field):
    """Return a member's value with a deeply nested list in a field."""
    nested = b"[" * DEPTH + b"]" * DEPTH
    return member_value(**{field: "NESTED"}).replace(b'"NESTED"', nested)


ODD_VALUES = {
    "nested lists": b"[" * DEPTH,
    "nested objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "nested field": nested_member("service"),
    "nested address": nested_member("link_address"),
    "unknown nested field": nested_member("added"),
    "integer of 5000 digits": member_value(service=7).replace(b"7", b"7" * 5000),
    "infinite number": member_value(service=7).replace(b": 7", b": 1e999"),
    "number as a name": member_value(name=10**400),
    "port above the range": member_value(link_address="127.0.0.1:70000"),
    "port far above the range": member_value(link_address=f"127.0.0.1:{10**30}"),
    "port 0": member_value(link_address="127.0.0.1:0"),
    "negative port": member_value(link_address="127.0.0.1:-1"),
    "port of 5000 digits": member_value(link_address="127.0.0.1:" + "7" * 5000),
    "port in words": member_value(link_address="127.0.0.1:http"),
    "port in other digits": member_value(link_address="127.0.0.1:\u0667\u0660\u0660"),
    "no port": member_value(link_address="127.0.0.1"),
    "empty address": member_value(link_address=""),
    "host name": member_value(link_address="odd.example:7006"),
    "address of no host": member_value(link_address="0.0.0.0:7006"),
    "empty service": member_value(service=""),
    "surrogate in the service": member_value(service="\ud800"),
    "surrogate in the data centre": member_value(data_centre="\ud800"),
    "control characters": member_value(service="a\r\nb\x00"),
    "long text": member_value(service="x" * 500_000),
    "no value": b"",
    "bytes": bytes(range(256)),
}
ODD_KEYS = {
    "surrogate in the name": ("members/\ud800", member_value(name="\ud800")),
    "empty name": ("members/", member_value(name="")),
    "control characters in the name": (
        "members/a\nb",
        member_value(name="a\nb"),
    ),
    "odd evacuation": ("op/evacuate/\ud800", b"{}"),
    "evacuation without a name": ("op/evacuate/", b"{}"),
    "odd key": ("\ud800", b""),
    "nested value of another key": ("servers/odd", b"[" * DEPTH),
}


def faults(fleet):
    """Return the unexpected exceptions counted by all daemons."""
    return {
        (sidecar.settings.name, label): count
        for sidecar in fleet.sidecars
        for (name, label), count in sidecar.recorder.count_by_name.items()
        if name == "faults"
    }


async def follows_changes(fleet, version):
    """Wait until all daemons have applied a new version; fail if one does not."""
    document = CONFIGURATION | {"version": f"r{version}"}
    fleet.store.write("op/config", json.dumps(document).encode())
    await fleet.wait_until(
        lambda: all(
            s.entry.configuration and s.entry.configuration.version == version
            for s in fleet.sidecars
        ),
        6.0,
    )


async def check_whole(fleet, version):
    """Check that all daemons serve, follow changes, and know their live peers."""
    await follows_changes(fleet, version)
    await fleet.wait_until(lambda: all(fleet.is_ready(s) for s in fleet.sidecars), 6.0)
    for index in range(len(fleet.sidecars)):
        answer = await fleet.call(index, "GET", "/read/1", request_id=f"r{version}")
        assert answer.status == 200
    assert fleet.registered_count() >= len(fleet.sidecars)


def odd_names(fleet):
    """Return the members that daemons take from the odd entry."""
    known = {name for s in fleet.sidecars for name in s.fleet.state.member_by_name}
    return known - {s.settings.name for s in fleet.sidecars}


@pytest.mark.parametrize("name", sorted(ODD_VALUES))
def test_odd_entry_names_no_member(name):
    entry = {
        "key": "members/odd",
        "value": base64.b64encode(ODD_VALUES[name]).decode(),
        "revision": 5,
    }
    valid = encode_member(attrs.evolve(MEMBER, name="valid"), 7) | {"revision": 6}
    change = decode_changes([entry, valid], StorePosition(1, 6))
    assert [member.name for member in change.joined] == ["valid"]


async def test_odd_entries_in_the_store_cost_no_more_than_themselves():
    # Guards against daemons that stop following the store, lose their links or fail at
    # each message to a peer, for one entry of another writer.
    async with Fleet() as fleet:
        for number, value in enumerate(ODD_VALUES.values()):
            key = f"members/odd-{number}"
            fleet.store.write(key, value.replace(b'"odd"', b'"odd-%d"' % number))
        for key, value in ODD_KEYS.values():
            fleet.store.write(key, value)
        await check_whole(fleet, 9)
        fleet.store.compact()
        await check_whole(fleet, 10)
        await fleet.restart(1)
        await check_whole(fleet, 11)
        assert not odd_names(fleet)
        assert not faults(fleet)


async def test_odd_entry_in_place_of_its_own_removes_no_daemon():
    async with Fleet() as fleet:
        for value in ODD_VALUES.values():
            value = value.replace(b'"odd"', b'"daemon-3"')
            fleet.store.write("members/daemon-3", value)
            await asyncio.sleep(0.02)
        await check_whole(fleet, 9)
        assert not faults(fleet)


def heartbeat(server, **changes):
    """Return the body of a heartbeat for the address of a server, with changes."""
    document = {
        "address": server.announced_address,
        "born": server.born,
        "info": {
            "service": server.service,
            "version": "v1",
            "zone": server.data_centre,
            "slots": server.slots,
        },
        "status": {"state": "ready", "sequence": 7, "coldRemainingMs": 0},
    }
    for path, value in changes.items():
        part, _, field = path.rpartition("__")
        (document[part] if part else document)[field] = value
    return json.dumps(document).encode()


NESTED = b"[" * DEPTH + b"]" * DEPTH
ODD_FIELDS = {
    "slots too large": {"info__slots": 10**400},
    "slots far too many": {"info__slots": 10**15},
    "born too large": {"born": 10**400},
    "born in the far future": {"born": 10**15},
    "sequence too large": {"status__sequence": 10**400},
    "cold for ever": {"status__coldRemainingMs": 10**400},
    "cold for an infinite time": {"status__coldRemainingMs": float("inf")},
    "cold for no number": {"status__coldRemainingMs": float("nan")},
    "cold for years": {"status__coldRemainingMs": 1e15},
    "negative slots": {"info__slots": -1},
    "surrogate": {"info__version": "\ud800"},
    "nested": {"info__version": "NESTED"},
    "nested in an unknown field": {"added": "NESTED"},
}


async def test_odd_heartbeats_cost_no_more_than_themselves():
    # Guards against a heartbeat of another writer that ends its handler, shuts out the
    # server, or whose numbers make peers fail.
    async with Fleet() as fleet:
        server = fleet.servers[0]
        sidecar = fleet.sidecars[0]
        guard = sidecar.guard
        for name, changes in ODD_FIELDS.items():
            body = heartbeat(server, **changes).replace(b'"NESTED"', NESTED)
            for instance in ("i-odd", server.instance):
                path = f"/-/Instances.Heartbeat/{instance}"
                data = request("POST", path, {}, body)
                answer = await fleet.send(sidecar.settings.report_address, data)
                assert answer.status in (200, 400), name
                assert guard.monitor.server.report.instance == server.instance, name
                assert guard.limit == server.slots, name
                assert not guard.is_cold(sidecar.clock()), name
        await check_whole(fleet, 9)
        assert not faults(fleet)


HUGE = 10**400
ODD_NUMBERS = [HUGE, -1, float("inf"), float("nan"), "x", None, [], {}]


def state_frames():
    """Return frames with the state of a daemon, each with one odd field."""
    server = ServerState("i-odd", "deep", True, 0, 0, 10, 0.05)
    frame = [FrameKind.STATE.value, 0.0, 0.0, 1, False, *attrs.astuple(server)]
    return [
        [*frame[:index], value, *frame[index + 1 :]]
        for index in range(1, len(frame))
        for value in ODD_NUMBERS
    ]


def fleet_frames():
    """Return frames about the members and the configuration, each with an odd part."""
    rows = [
        list(attrs.astuple(attrs.evolve(MEMBER, **changes)))
        for changes in (
            {"link_address": "127.0.0.1:70000"},
            {"link_address": "odd.example:7006"},
            {"link_address": HUGE},
            {"name": 7},
            {"service": [[]]},
        )
    ]
    states = [[FrameKind.FLEET_STATE.value, 10**6, 5, b"", [], [row]] for row in rows]
    states += [
        [FrameKind.FLEET_STATE.value, revision, 5, b"", [], []]
        for revision in (HUGE, -1, "x", None, [])
    ]
    states += [
        [FrameKind.FLEET_STATE.value, 10**6, 10**6, configuration, [], []]
        for configuration in (b"", b"x", "x", None)
    ]
    states += [[FrameKind.FLEET_STATE.value, 10**6, 5, b"", 7, []]]
    changes = [
        [FrameKind.FLEET_CHANGE.value, 0, 1, 0, [], [], [row], []] for row in rows
    ]
    changes += [
        [FrameKind.FLEET_CHANGE.value, base, revision, 0, [], [], [], left]
        for base, revision, left in (
            (HUGE, HUGE, []),
            ("x", 10**6, []),
            (0, "x", []),
            (0, 10**6, 7),
            (0, 10**6, [[]]),
        )
    ]
    return [*states, *changes]


def demand_frames():
    """Return frames about demand, each with an odd part."""
    rows = [{"read": [0.1, {"check": value}, 1.0]} for value in ODD_NUMBERS]
    rows += [{"read": [value, {}, 1.0]} for value in ODD_NUMBERS]
    rows += [{"read": value} for value in ODD_NUMBERS]
    rows += [{7: [0.1, {}, 1.0]}, {"read": [0.1, {7: 1.0}, 1.0]}]
    demands = [{"deep": value} for value in ODD_NUMBERS] + [{7: 1.0}, 7]
    kinds = (
        FrameKind.DEMAND_REPORT,
        FrameKind.DEMAND_PEER_SUM,
        FrameKind.DEMAND_FLEET_SUM,
    )
    return [
        [kind.value, "daemon-1", demand, row]
        for kind in kinds
        for demand, row in (
            *((demand, {}) for demand in demands),
            *(({}, row) for row in rows),
        )
    ]


def token_frames():
    """Return frames about tokens, each with an odd part."""
    kind = FrameKind.TOKEN_GRANT.value
    grants = [[kind, "crew", value, True, 0.0] for value in ODD_NUMBERS]
    grants += [[kind, "crew", 1, True, value] for value in ODD_NUMBERS]
    grants += [[kind, value, 1, True, 0.0] for value in ODD_NUMBERS]
    kind = FrameKind.TOKEN_REQUEST.value
    requests = [[kind, "crew", value, True] for value in ODD_NUMBERS]
    requests += [[kind, value, 1, True] for value in ODD_NUMBERS]
    return [*grants, *requests]


def other_frames():
    """Return frames of the other kinds that carry no call, each with an odd part."""
    probes = [[FrameKind.PROBE.value, value] for value in ODD_NUMBERS]
    probes += [[FrameKind.PROBE.value, 1.0, value, "north"] for value in ODD_NUMBERS]
    probes += [[FrameKind.PROBE.value, 1.0, "odd", value] for value in ODD_NUMBERS]
    wanted = [[FrameKind.FLEET_STATE_REQUEST.value, value] for value in ODD_NUMBERS]
    departures = [
        [FrameKind.SERVER_DEPARTED.value, *fields]
        for value in ODD_NUMBERS
        for fields in ((value, 1), ("i", value))
    ]
    runs = [
        [FrameKind.SERVER_ENDED.value, "i", 1, [row]]
        for value in ODD_NUMBERS
        for row in (
            [value, 0.1, 0.0, False],
            [b"12345678", value, 0.0, False],
            [b"12345678", 0.1, value, False],
            [b"12345678", 0.1, 0.0, value],
        )
    ]
    runs += [[FrameKind.SERVER_ENDED.value, "i", 1, value] for value in ODD_NUMBERS]
    kinds = (FrameKind.REQUESTS_COMPLETED, FrameKind.REQUESTS_QUARANTINED)
    requests = [[kind.value, [value]] for kind in kinds for value in ODD_NUMBERS]
    requests += [[kind.value, value] for kind in kinds for value in ODD_NUMBERS]
    departures += [*runs, *requests]
    short = [[kind.value] for kind in FrameKind]
    unknown = [[kind] for kind in (99, HUGE, -1, None, [], {}, "x", 1.5)]
    return [*probes, *wanted, *departures, *short, *unknown]


FRAMES = {
    "state": state_frames,
    "fleet": fleet_frames,
    "demand": demand_frames,
    "tokens": token_frames,
    "others": other_frames,
}


@pytest.mark.parametrize("name", sorted(FRAMES))
async def test_odd_message_of_a_peer_costs_no_more_than_itself(name):
    # Guards against a daemon that loses its links, or what it knows, for one message.
    async with Fleet() as fleet:
        first = fleet.sidecars[0]
        name_of_peer = fleet.sidecars[1].settings.name
        link = first.links.outgoing_by_name[name_of_peer]
        accepted = next(
            connection
            for connection, each in first.links.accepted.items()
            if each.peer_name == name_of_peer
        )
        for frame in FRAMES[name]():
            first.links.outgoing_by_name[name_of_peer]._on_frame(
                link.connection, list(frame)
            )
            first.links._on_frame(accepted, list(frame))
            assert link.connection is not None, frame
            assert not link.connection.is_closed, frame
            assert accepted in first.links.accepted, frame
        await check_whole(fleet, 9)
        assert not odd_names(fleet)
        assert not faults(fleet)


CALL = [
    *(FrameKind.CALL.value, 77, "r-odd", "front", "read", "crew", 2),
    *(True, 1.0, b"GET /read/1 HTTP/1.1\r\n", b"", False),
]


async def test_odd_calls_of_a_peer_are_refused_as_not_run():
    async with Fleet() as fleet:
        first = fleet.sidecars[0]
        accepted = next(iter(first.links.accepted))
        sent = []
        accepted.send = sent.append
        for index, value in itertools.product(range(2, len(CALL)), ODD_NUMBERS):
            frame = [*CALL[:index], value, *CALL[index + 1 :]]
            first.links._on_frame(accepted, frame)
            assert accepted in first.links.accepted, frame
        outcomes = [frame for frame in sent if frame[0] == FrameKind.FAILURE]
        assert len(outcomes) > len(CALL)
        for _, number, reason, may_have_run, was_sent, *_ in outcomes:
            assert number == 77
            assert not may_have_run or was_sent, reason
        assert not faults(fleet)


async def test_odd_answer_of_a_peer_ends_its_call_only():
    async with Fleet() as fleet:
        for server in fleet.servers:
            server.service_time = 0.3
        first = fleet.sidecars[0]
        calls = [
            asyncio.ensure_future(fleet.call(0, "GET", "/lookup/1", request_id=f"r{n}"))
            for n in range(4)
        ]
        await fleet.wait_until(lambda: len(first.entry.call_by_number) == 4)
        number, call = next(iter(first.entry.call_by_number.items()))
        link = call.target.channel
        for headers in (7, None, "x"):
            frame = [FrameKind.ANSWER.value, number, 200, headers, b"", 0, 0, 0.0, 0.0]
            link._on_frame(link.connection, frame)
        answers = await asyncio.gather(*calls)
        assert all(answer.status == 200 for answer in answers)
        assert link.connection is not None
        assert not faults(fleet)
