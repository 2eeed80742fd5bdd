"""Routing by the observations of an entry: choice, ejection, throttling."""

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
from knapweedlead.routing import (
    BALANCERS,
    EJECTORS,
    Router,
    RoutingCriteria,
    ejected_servers,
)
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


class FakeMembership:
    """Replaces the membership role by a given list of members."""

    def __init__(self, members):
        self.members = list(members)

    def members_of(self, service):
        return [member for member in self.members if member.service == service]


class RoutingHarness:
    """A router whose servers answer or fail as the test specifies."""

    def __init__(self, members, balancer="two_choices", ejector="outlier", **kinds):
        identity = Identity("edge", 1, "", "", "region1", "dc1", "edge", "i")
        self.members = FakeMembership(members)
        self.router = Router(
            identity, self.members, balancer, ejector, random.Random(1)
        )
        self.catalogue = parse_catalogue(catalogue([route("wear")], **kinds)).ok_value
        self.now = 100.0

    def choose(self, priority=1, may_retry=True, tried=()):
        criteria = RoutingCriteria("wear", priority, may_retry, tried)
        return self.router.choose(criteria, self.catalogue, self.now)

    def call(self, is_failing=lambda name: False, latency=0.01, load=IDLE, **criteria):
        """Complete one call; return the name of its server or a refusal reason."""
        chosen = self.choose(**criteria)
        if chosen.is_err():
            return chosen.err_value
        server = chosen.ok_value
        self.router.record_sent(server, criteria.get("priority", 1), self.now)
        name = server.member.name
        self.now += max(0.002, latency)
        if is_failing(name):
            reason = RefusalReason.BACKEND_SERVER_FAILED
            self.router.record_refusal(server, 0.0005, reason, IDLE, self.now)
        else:
            self.router.record_answer(server, latency, False, load, self.now)
        return name

    def call_repeatedly(self, count, **kwargs):
        return Counter(self.call(**kwargs) for _ in range(count))


THREE_SERVERS = [member(f"wear-{n}") for n in range(3)]


def test_server_that_fails_fast_and_reports_no_load_attracts_no_traffic():
    def share(balancer, ejector):
        harness = RoutingHarness(THREE_SERVERS, balancer, ejector)
        return (
            harness.call_repeatedly(2000, is_failing=lambda n: n == "wear-0")["wear-0"]
            / 2000
        )

    assert share("least_latency", "none") > 0.95
    assert share("random", "none") > 0.25
    assert share("two_choices", "outlier") < 0.02


def test_ejected_server_recovers_through_calls_sent_as_probes():
    harness = RoutingHarness(THREE_SERVERS, "random")
    harness.call_repeatedly(500, is_failing=lambda n: n == "wear-0")
    assert [
        s.member.name for s in ejected_servers(harness.router.by_name.values())
    ] == ["wear-0"]
    harness.now += 60.0
    counts = harness.call_repeatedly(600)
    assert not ejected_servers(harness.router.by_name.values())
    assert counts["wear-0"] > 100


def test_server_that_failed_a_few_calls_is_used_again_without_an_ejection():
    harness = RoutingHarness(THREE_SERVERS)
    harness.call_repeatedly(100, is_failing=lambda n: n == "wear-0")
    assert not ejected_servers(harness.router.by_name.values())
    harness.now += 60.0
    assert harness.call_repeatedly(600, latency=0.01)["wear-0"] > 100


class SlowCalls:
    """A server that was ejected while it still processed calls, and is probed."""

    def __init__(self):
        self.harness = RoutingHarness(THREE_SERVERS, "random")
        self.harness.call_repeatedly(30)
        self.server = self.harness.router.by_name["wear-0"]
        self.sent_at = self.harness.now
        for _ in range(6):
            self.harness.router.record_sent(self.server, 1, self.harness.now)
        self.harness.call_repeatedly(200, is_failing=lambda n: n == "wear-0")
        assert self.server.state == "ejected"
        self.harness.now += 60.0
        assert self.probe() is self.server

    def probe(self):
        """Send a call; return the server that it is sent to."""
        server = self.harness.choose().ok_value
        self.harness.router.record_sent(server, 1, self.harness.now)
        return server

    def end_slow_call(self, is_failure):
        """End a call that was sent before the ejection."""
        self.harness.now += 0.1
        now = self.harness.now
        latency = now - self.sent_at
        self.harness.router.record_answer(self.server, latency, is_failure, IDLE, now)


def test_call_sent_before_the_ejection_neither_ends_nor_renews_it():
    # Guards against a failing server that is readmitted by answers to earlier calls.
    for is_failure in (False, True):
        slow = SlowCalls()
        for _ in range(4):
            slow.end_slow_call(is_failure)
        assert slow.server.state == "probing"
        assert slow.server.probes_answered == 0


def test_call_sent_before_the_ejection_leaves_the_probe_in_flight():
    # Guards against several probes at once of a server that fails.
    slow = SlowCalls()
    slow.end_slow_call(False)
    slow.harness.router.record_abandoned(slow.server, slow.sent_at)
    assert slow.probe() is not slow.server
    slow.harness.router.record_answer(slow.server, 0.01, False, IDLE, slow.harness.now)
    assert slow.probe() is slow.server


def test_probe_without_a_result_does_not_prevent_the_next_period():
    # Guards against a server that is never probed again.
    slow = SlowCalls()
    harness, server = slow.harness, slow.server
    harness.router.record_sent(server, 1, harness.now)
    harness.now += 0.01
    reason = RefusalReason.BACKEND_SERVER_FAILED
    harness.router.record_refusal(server, 0.01, reason, IDLE, harness.now)
    assert server.state == "ejected"
    harness.now += 60.0
    assert slow.probe() is server


def test_call_that_must_not_be_retried_serves_as_probe_only_after_a_delay():
    harness = RoutingHarness(THREE_SERVERS, "random")
    harness.call_repeatedly(500, is_failing=lambda n: n == "wear-0")
    server = harness.router.by_name["wear-0"]
    harness.now = server.ejected_until + 0.1
    assert harness.call(may_retry=False) != "wear-0"
    assert harness.call(may_retry=True) == "wear-0"


@settings(max_examples=30, deadline=None)
@given(
    size=st.integers(1, 9),
    seed=st.integers(0, 2**32),
    failing=st.sets(st.integers(0, 8)),
    flips=st.integers(1, 4),
)
def test_at_most_half_of_a_service_is_ejected(size, seed, failing, flips):
    harness = RoutingHarness([member(f"wear-{n}") for n in range(size)])
    harness.router.rng.seed(seed)
    for flip in range(flips):
        names = {f"wear-{(n + flip) % size}" for n in failing}
        for _ in range(150):
            name = harness.call(is_failing=names.__contains__)
            assert isinstance(name, str)
            assert 2 * len(ejected_servers(harness.router.by_name.values())) <= size


def test_no_server_is_ejected_while_all_of_the_service_fail():
    harness = RoutingHarness(THREE_SERVERS)
    counts = harness.call_repeatedly(600, is_failing=lambda name: True)
    assert not ejected_servers(harness.router.by_name.values())
    assert min(counts.values()) > 100


def test_same_data_centre_is_preferred_until_it_is_saturated():
    harness = RoutingHarness(
        [member("near-1"), member("far-1", "dc2"), member("far-2", "dc2")]
    )
    assert set(harness.call_repeatedly(100)) == {"near-1"}
    near = harness.router.by_name["near-1"]
    near.in_flight = 25
    assert set(harness.call_repeatedly(20)) <= {"far-1", "far-2"}


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
def test_server_or_data_centre_out_of_service_gets_no_new_calls(kinds):
    harness = RoutingHarness([*THREE_SERVERS, member("far-1", "dc2")], **kinds)
    assert set(harness.call_repeatedly(50)) == {"far-1"}
    local_only = RoutingHarness(THREE_SERVERS, **kinds)
    assert local_only.choose().err_value is RefusalReason.OUT_OF_SERVICE


def test_member_that_left_or_is_suspect_is_avoided():
    harness = RoutingHarness([*THREE_SERVERS, member("wear-3", state="suspect")])
    assert "wear-3" not in harness.call_repeatedly(200)
    harness.members.members = [member("wear-3", state="suspect")]
    harness.router.refresh(["wear-0", "wear-1", "wear-2"])
    assert set(harness.call_repeatedly(5)) == {"wear-3"}
    harness.members.members = []
    harness.router.refresh(["wear-3"])
    assert harness.choose().err_value is RefusalReason.NO_BACKEND_SERVER


def test_refused_priority_is_throttled_unless_it_is_the_most_important():
    harness = RoutingHarness([member("wear-0")])
    refusing = LoadReport(20, 20, 9, 2, False, False)
    harness.call(load=refusing)
    assert harness.choose(priority=2).err_value is RefusalReason.OVERLOADED
    assert harness.choose(priority=1).is_ok()
    refusing_all = LoadReport(20, 20, 9, 0, False, False)
    harness.call(load=refusing_all)
    assert harness.choose(priority=1).is_err()
    assert harness.choose(priority=0).is_ok()


def test_throttled_priority_is_probed_by_one_call_at_a_time():
    harness = RoutingHarness([member("wear-0")])
    harness.call(load=LoadReport(20, 20, 9, 2, False, False))
    harness.now += 0.2
    chosen = harness.choose(priority=3).ok_value
    harness.router.record_sent(chosen, 3, harness.now)
    assert harness.choose(priority=3).is_err()
    harness.router.record_answer(chosen, 0.01, False, IDLE, harness.now)
    assert harness.choose(priority=3).is_ok()


def test_draining_server_is_avoided():
    harness = RoutingHarness(THREE_SERVERS)
    draining = LoadReport(20, 1, 0, 10, False, True)
    harness.call(load=draining)
    (drained,) = [s for s in harness.router.by_name.values() if s.report is draining]
    assert drained.member.name not in harness.call_repeatedly(200)


def test_cold_server_is_sent_no_more_concurrent_calls_than_its_reported_limit():
    harness = RoutingHarness([member("wear-0")])
    harness.call(load=LoadReport(3, 0, 0, 10, True, False))
    for _ in range(3):
        harness.router.record_sent(harness.choose().ok_value, 1, harness.now)
    assert harness.choose().err_value is RefusalReason.COLD


def test_connection_limit_of_a_server_is_respected():
    harness = RoutingHarness([member("wear-0", connections=5)])
    for _ in range(5):
        harness.router.record_sent(harness.choose().ok_value, 1, harness.now)
    assert harness.choose().is_err()


def test_new_member_receives_few_calls_at_first():
    harness = RoutingHarness(THREE_SERVERS)
    harness.call_repeatedly(600)
    harness.now += 20.0
    harness.members.members.append(member("wear-3"))
    harness.router.refresh()
    sent = Counter()
    for _ in range(30):
        server = harness.choose().ok_value
        harness.router.record_sent(server, 1, harness.now)
        sent[server.member.name] += 1
    assert sent["wear-3"] <= 2


def test_observations_of_a_member_are_discarded_on_restart():
    harness = RoutingHarness(THREE_SERVERS)
    harness.call_repeatedly(500, is_failing=lambda n: n == "wear-0")
    harness.members.members = [member("wear-0", incarnation=2), *THREE_SERVERS[1:]]
    harness.router.refresh()
    harness.call()
    assert not ejected_servers(harness.router.by_name.values())


def test_settings_accept_exactly_the_registered_policies():
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
