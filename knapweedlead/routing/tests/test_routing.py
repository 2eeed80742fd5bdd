"""Routing relies on what the entry observes."""

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from knapweedlead.configuration import parse_catalogue
from knapweedlead.membership import Member
from knapweedlead.messages import LoadReport
from knapweedlead.node import Identity
from knapweedlead.requests import RefusalReason
from knapweedlead.routing import BALANCERS, EJECTORS, Router, Wanted, ejected_of
from standins.chains import catalogue, route

IDLE = LoadReport(20, 0, 0, 10, False, False)


def member(name, data_centre="dc1", state="alive", **fields):
    values = {
        "name": name,
        "incarnation": 1,
        "version": 1,
        "link_address": "127.0.0.1:10000",
        "caller_address": "",
        "region": "region1",
        "data_centre": data_centre,
        "service": "wear",
        "instance": name,
        "slots": 20,
        "cold_slots": 2,
        "connections": 50,
        "state": state,
    }
    return Member(**{**values, **fields})


class Members:
    """Stands in for the membership role."""

    def __init__(self, members):
        self.members = list(members)

    def members_of(self, service):
        return [one for one in self.members if one.service == service]


class Bench:
    """A router with servers that answer as the test says."""

    def __init__(self, members, balancer="two_choices", ejector="outlier", **kinds):
        identity = Identity("edge", 1, "", "", "region1", "dc1", "edge", "i")
        self.members = Members(members)
        self.router = Router(
            identity, self.members, balancer, ejector, random.Random(1)
        )
        self.catalogue = parse_catalogue(catalogue([route("wear")], **kinds)).ok_value
        self.now = 100.0

    def choose(self, priority=1, may_repeat=True, tried=()):
        wanted = Wanted("wear", priority, may_repeat, tried)
        return self.router.choose(wanted, self.catalogue, self.now)

    def call(self, is_failing=lambda name: False, latency=0.01, load=IDLE, **wanted):
        """Send one call and end it; return the name of its server."""
        chosen = self.choose(**wanted)
        if chosen.is_err():
            return chosen.err_value
        server = chosen.ok_value
        self.router.note_sent(server, wanted.get("priority", 1), self.now)
        name = server.member.name
        self.now += 0.002
        if is_failing(name):
            reason = RefusalReason.BACKEND_SERVER_FAILED
            self.router.note_refusal(server, 0.0005, reason, IDLE, self.now)
        else:
            self.router.note_answer(server, latency, False, load, self.now)
        return name

    def calls(self, count, **kwargs):
        return Counter(self.call(**kwargs) for _ in range(count))


THREE = [member(f"wear-{n}") for n in range(3)]


def test_server_that_fails_fast_and_reports_idle_draws_no_traffic():
    def share(balancer, ejector):
        bench = Bench(THREE, balancer, ejector)
        return bench.calls(2000, is_failing=lambda n: n == "wear-0")["wear-0"] / 2000

    assert share("least_latency", "none") > 0.95
    assert share("random", "none") > 0.25
    assert share("two_choices", "outlier") < 0.02


def test_ejected_server_comes_back_through_probes_with_real_calls():
    bench = Bench(THREE, "random")
    bench.calls(500, is_failing=lambda n: n == "wear-0")
    assert [s.member.name for s in ejected_of(bench.router.by_name.values())] == [
        "wear-0"
    ]
    bench.now += 60.0
    counts = bench.calls(600)
    assert not ejected_of(bench.router.by_name.values())
    assert counts["wear-0"] > 100


def test_server_that_failed_a_few_calls_is_used_again_without_an_ejection():
    bench = Bench(THREE)
    bench.calls(100, is_failing=lambda n: n == "wear-0")
    assert not ejected_of(bench.router.by_name.values())
    bench.now += 60.0
    assert bench.calls(600, latency=0.01)["wear-0"] > 100


def test_call_that_must_not_be_repeated_is_no_probe_at_first():
    bench = Bench(THREE, "random")
    bench.calls(500, is_failing=lambda n: n == "wear-0")
    server = bench.router.by_name["wear-0"]
    bench.now = server.ejected_until + 0.1
    assert bench.call(may_repeat=False) != "wear-0"
    assert bench.call(may_repeat=True) == "wear-0"


@settings(max_examples=30, deadline=None)
@given(
    size=st.integers(1, 9),
    seed=st.integers(0, 2**32),
    failing=st.sets(st.integers(0, 8)),
    flips=st.integers(1, 4),
)
def test_no_more_than_half_of_a_service_is_ever_ejected(size, seed, failing, flips):
    bench = Bench([member(f"wear-{n}") for n in range(size)])
    bench.router.rng.seed(seed)
    for flip in range(flips):
        names = {f"wear-{(n + flip) % size}" for n in failing}
        for _ in range(150):
            name = bench.call(is_failing=names.__contains__)
            assert isinstance(name, str)
            assert 2 * len(ejected_of(bench.router.by_name.values())) <= size


def test_service_whose_servers_all_fail_keeps_them_all():
    bench = Bench(THREE)
    counts = bench.calls(600, is_failing=lambda name: True)
    assert not ejected_of(bench.router.by_name.values())
    assert min(counts.values()) > 100


def test_same_data_centre_is_preferred_until_it_is_saturated():
    bench = Bench([member("near-1"), member("far-1", "dc2"), member("far-2", "dc2")])
    assert set(bench.calls(100)) == {"near-1"}
    near = bench.router.by_name["near-1"]
    near.in_flight = 25
    assert set(bench.calls(20)) <= {"far-1", "far-2"}


@pytest.mark.parametrize(
    "kinds",
    [
        {"data_centres": [{"name": "dc1", "in_service": False}]},
        {
            "backend_servers": [
                {"name": f"wear-{n}", "in_service": False} for n in range(3)
            ]
        },
    ],
)
def test_server_or_data_centre_out_of_service_gets_no_new_work(kinds):
    bench = Bench([*THREE, member("far-1", "dc2")], **kinds)
    assert set(bench.calls(50)) == {"far-1"}
    alone = Bench(THREE, **kinds)
    assert alone.choose().err_value is RefusalReason.OUT_OF_SERVICE


def test_member_that_left_or_is_suspect_is_avoided():
    bench = Bench([*THREE, member("wear-3", state="suspect")])
    assert "wear-3" not in bench.calls(200)
    bench.members.members = [member("wear-3", state="suspect")]
    bench.router.refresh(["wear-0", "wear-1", "wear-2"])
    assert set(bench.calls(5)) == {"wear-3"}
    bench.members.members = []
    bench.router.refresh(["wear-3"])
    assert bench.choose().err_value is RefusalReason.NO_BACKEND_SERVER


def test_priority_that_is_being_refused_is_held_back_but_never_the_first():
    bench = Bench([member("wear-0")])
    refusing = LoadReport(20, 20, 9, 2, False, False)
    bench.call(load=refusing)
    assert bench.choose(priority=2).err_value is RefusalReason.OVERLOADED
    assert bench.choose(priority=1).is_ok()
    everything = LoadReport(20, 20, 9, 0, False, False)
    bench.call(load=everything)
    assert bench.choose(priority=1).is_err()
    assert bench.choose(priority=0).is_ok()


def test_held_priority_is_tested_again_by_one_call_at_a_time():
    bench = Bench([member("wear-0")])
    bench.call(load=LoadReport(20, 20, 9, 2, False, False))
    bench.now += 0.2
    chosen = bench.choose(priority=3).ok_value
    bench.router.note_sent(chosen, 3, bench.now)
    assert bench.choose(priority=3).is_err()
    bench.router.note_answer(chosen, 0.01, False, IDLE, bench.now)
    assert bench.choose(priority=3).is_ok()


def test_draining_server_is_avoided():
    bench = Bench(THREE)
    draining = LoadReport(20, 1, 0, 10, False, True)
    bench.call(load=draining)
    (drained,) = [s for s in bench.router.by_name.values() if s.report is draining]
    assert drained.member.name not in bench.calls(200)


def test_cold_server_is_sent_no_more_at_once_than_it_reports():
    bench = Bench([member("wear-0")])
    bench.call(load=LoadReport(3, 0, 0, 10, True, False))
    for _ in range(3):
        bench.router.note_sent(bench.choose().ok_value, 1, bench.now)
    assert bench.choose().err_value is RefusalReason.COLD


def test_connection_limit_of_a_server_is_kept():
    bench = Bench([member("wear-0", connections=5)])
    for _ in range(5):
        bench.router.note_sent(bench.choose().ok_value, 1, bench.now)
    assert bench.choose().is_err()


def test_member_newly_seen_starts_slowly():
    bench = Bench(THREE)
    bench.calls(600)
    bench.now += 20.0
    bench.members.members.append(member("wear-3"))
    bench.router.refresh()
    sent = Counter()
    for _ in range(30):
        server = bench.choose().ok_value
        bench.router.note_sent(server, 1, bench.now)
        sent[server.member.name] += 1
    assert sent["wear-3"] <= 2


def test_restarted_member_is_observed_afresh():
    bench = Bench(THREE)
    bench.calls(500, is_failing=lambda n: n == "wear-0")
    bench.members.members = [member("wear-0", incarnation=2), *THREE[1:]]
    bench.router.refresh()
    bench.call()
    assert not ejected_of(bench.router.by_name.values())


def test_settings_offer_exactly_the_registered_policies():
    from knapweedlead.retries import BACKOFFS, CREDIT_POLICIES, RETRY_BUDGETS
    from knapweedlead.settings import RoutingSettings

    registries = {
        "balancer": BALANCERS,
        "ejector": EJECTORS,
        "credit_policy": CREDIT_POLICIES,
        "backoff": BACKOFFS,
        "retry_budget": RETRY_BUDGETS,
    }
    constraints = RoutingSettings.parameter_constraints
    assert {name: tuple(sorted(r.by_name)) for name, r in registries.items()} == {
        name: choice.values for name, choice in constraints.items()
    }
