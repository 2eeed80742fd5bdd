"""Odd records of members, in the store and from peers.

Another writer may have left a record that is deeply nested, or holds a number that is
too large, a port out of range or text that cannot be encoded.
"""

import json

import attrs
import pytest

from knapweedlead.membership import Member
from knapweedlead.membership._messages import Ack, Ping, SyncReply, SyncRequest
from knapweedlead.membership._seeds import SEEDS_PREFIX, parse_seeds
from knapweedlead.node import MessageReceived
from knapweedlead.positions import StorePosition
from knapweedlead.store import Entry, Listing
from standins.control_cores import ControlCores

DEPTH = 100_000
VALID = Member(
    name="m9",
    incarnation=10**18,
    version=1,
    link_address="10.9.9.9:7000",
    caller_address="10.9.9.9:7001",
    region="region0",
    data_centre="dc0",
    service="front",
    instance="i-9",
    slots=4,
    cold_slots=1,
    connections=8,
    state="alive",
)
HUGE = 10**400
ODD_FIELDS: list[dict] = [
    {"link_address": "10.9.9.9:70000"},
    {"link_address": "10.9.9.9:0"},
    {"link_address": "10.9.9.9"},
    {"link_address": ""},
    {"link_address": "odd.example:7000"},
    {"caller_address": "10.9.9.9:70000"},
    {"name": ""},
    {"name": "\ud800"},
    {"name": "a\nb"},
    {"service": "\ud800"},
    {"data_centre": "\ud800"},
    {"region": "x" * 10_000},
    {"state": "resting"},
    {"incarnation": HUGE},
    {"incarnation": -1},
    {"version": HUGE},
    {"slots": HUGE},
    {"slots": -1},
    {"cold_slots": HUGE},
    {"connections": HUGE},
]
ODD_TYPES: list[dict] = [
    {"name": 7},
    {"incarnation": "first"},
    {"incarnation": 1.5},
    {"version": None},
    {"link_address": 7},
    {"slots": [4]},
    {"state": ["alive"]},
]
ODD_VALUES = [
    b"[" * DEPTH,
    b'{"a":' * DEPTH,
    b"7" * 5000,
    b"1e999",
    b"null",
    b"[]",
    b"\xff\xfe",
    b"",
    json.dumps(attrs.asdict(VALID) | {"name": "NESTED"})
    .encode()
    .replace(b'"NESTED"', b"[" * DEPTH + b"]" * DEPTH),
    *(json.dumps(attrs.asdict(VALID) | f).encode() for f in ODD_FIELDS + ODD_TYPES),
]


def listing(*values):
    return Listing(
        tuple(
            Entry(f"{SEEDS_PREFIX}dc0/{number}", value, StorePosition(0, number + 1))
            for number, value in enumerate(values)
        )
    )


@pytest.mark.parametrize("number", range(len(ODD_VALUES)))
def test_odd_seed_hides_no_other_seed(number):
    # Guards against a daemon that never joins, since reading the seeds fails.
    valid = json.dumps(attrs.asdict(VALID)).encode()
    seeds = list(parse_seeds(listing(ODD_VALUES[number], valid)))
    assert seeds == [VALID]


def test_fields_of_a_later_version_are_ignored():
    value = json.dumps(attrs.asdict(VALID) | {"added": [1]}).encode()
    assert list(parse_seeds(listing(value))) == [VALID]


def messages(member):
    """Return all messages that carry records of members, with an odd one."""
    ping = Ping(1, 1, 1, 0, 0, (member,))
    return [ping, Ack(1, 0, 0, (member,)), SyncReply((member,), (), ())] + [
        SyncRequest(member, ())
    ]


@pytest.mark.parametrize("number", range(len(ODD_FIELDS)))
def test_odd_record_of_a_peer_is_not_taken_and_hides_nothing(number):
    # Guards against probes that are not answered, after which a daemon counts as dead.
    odd = attrs.evolve(VALID, **ODD_FIELDS[number])
    cores = ControlCores(seed=1)
    for name in ("m0", "m1", "m2"):
        cores.add(name, "front", "dc0", "region0")
    cores.run_for(6.0)
    core = cores.by_name["m0"]
    node = core.composition.node
    peer = cores.by_name["m1"].composition.membership.local_member.link_address
    replies = []
    for message in messages(odd):
        replies += node.handle(MessageReceived(peer, message), cores.now)
    assert any(isinstance(getattr(e, "message", None), Ack) for e in replies)
    table = core.composition.membership.table
    assert odd.name not in table.by_name
    cores.run_for(10.0)
    assert set(table.by_name) == {"m0", "m1", "m2"}
