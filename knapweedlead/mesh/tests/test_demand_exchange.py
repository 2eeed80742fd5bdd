"""Sums of the fleet's demand: exact when calm, safe when aggregators fail."""

import pytest

from knapweedlead.mesh import RouteDemand
from knapweedlead.mesh._demand_exchange import (
    IDLE_PERIOD,
    REPLY_TIMEOUT,
    REPORT_LIFETIME,
    SKIP_TIME,
    DemandExchange,
    DemandSum,
    add_sums,
)

STEP = 0.25


class ExchangeFleet:
    """Daemons that exchange demand; messages arrive in the next step."""

    def __init__(self, data_centres, daemons_each):
        self.now = 100.0
        self.exchanges = {
            f"{data_centre}-{number}": DemandExchange(
                f"{data_centre}-{number}", data_centre
            )
            for data_centre in data_centres
            for number in range(daemons_each)
        }
        self.down = set()
        self.paused = set()
        self.messages = []
        self.sent_between = 0
        self.sent_within = 0
        self.sent_by_name = dict.fromkeys(self.exchanges, 0)

    def own(self, name):
        """Return a demand of 1 slot, and an estimate of one route."""
        estimates = {"read": RouteDemand(0.1, {"check": 2.0})}
        return DemandSum({"deep": 1.0}, estimates, {"read": 1.0})

    def run(self, seconds, is_busy=False):
        for _ in range(int(seconds / STEP)):
            self.now += STEP
            arrived, self.messages = self.messages, []
            for kind, sender, receiver, part in arrived:
                if receiver not in self.down | self.paused:
                    exchange = self.exchanges[receiver]
                    getattr(exchange, f"receive_{kind}")(sender, part, self.now)
                elif receiver in self.paused:
                    self.messages.append((kind, sender, receiver, part))
            for name, exchange in self.exchanges.items():
                if name not in self.down | self.paused:
                    self.update(name, exchange, is_busy)

    def update(self, name, exchange, is_busy):
        reachable = {
            other: peer.data_centre
            for other, peer in self.exchanges.items()
            if other != name and other not in self.down
        }
        outbox = exchange.update(self.own(name), reachable, is_busy, self.now)
        if outbox is None:
            return
        if outbox.report_to is not None:
            self.send("report", name, outbox.report_to, outbox.report)
        for peer in outbox.peers:
            self.send("peer_sum", name, peer, outbox.report)
        for reporter in outbox.reporters:
            self.send("fleet_sum", name, reporter, outbox.total)

    def send(self, kind, sender, receiver, part):
        is_within = sender.split("-")[0] == receiver.split("-")[0]
        self.sent_within += is_within
        self.sent_between += not is_within
        self.sent_by_name[sender] += 1
        self.messages.append((kind, sender, receiver, part))

    def aggregator(self, data_centre):
        names = [name for name in self.exchanges if name.startswith(data_centre)]
        exchange = self.exchanges[names[0]]
        return exchange._aggregator


def test_every_daemon_learns_the_demand_of_all_others():
    fleet = ExchangeFleet(("a", "b", "c"), 5)
    fleet.run(4.0)
    for exchange in fleet.exchanges.values():
        assert exchange.demand_of_others(fleet.now) == pytest.approx({"deep": 14.0})
        estimate = exchange.estimates["read"]
        assert estimate.slot_time == pytest.approx(0.1)
        assert estimate.ratio_by_child == pytest.approx({"check": 2.0})


@pytest.mark.parametrize("daemons_each", [6, 40, 95])
def test_messages_of_a_daemon_do_not_grow_with_the_fleet(daemons_each):
    fleet = ExchangeFleet(("a", "b", "c", "d", "e", "f"), daemons_each)
    fleet.run(4.0, is_busy=True)
    fleet.sent_by_name = dict.fromkeys(fleet.exchanges, 0)
    fleet.sent_between = 0
    fleet.run(2.0, is_busy=True)
    aggregators = {fleet.aggregator(name) for name in "abcdef"}
    reporters = fleet.sent_by_name.keys() - aggregators
    assert max(fleet.sent_by_name[name] for name in reporters) <= 8
    assert fleet.sent_between == 6 * 5 * 8


def test_lost_aggregator_is_replaced():
    fleet = ExchangeFleet(("a", "b"), 6)
    fleet.run(4.0)
    lost = fleet.aggregator("a")
    fleet.down.add(lost)
    fleet.run(REPORT_LIFETIME + 2 * IDLE_PERIOD)
    assert fleet.aggregator("a") != lost
    for name, exchange in fleet.exchanges.items():
        if name != lost:
            assert exchange.demand_of_others(fleet.now) == pytest.approx({"deep": 10.0})


def test_paused_aggregator_is_passed_over_and_sends_nothing_outdated():
    fleet = ExchangeFleet(("a", "b"), 6)
    fleet.run(4.0)
    paused = fleet.aggregator("a")
    fleet.paused.add(paused)
    fleet.run(REPLY_TIMEOUT + 3 * IDLE_PERIOD)
    for name, exchange in fleet.exchanges.items():
        if name.startswith("a") and name != paused:
            assert exchange._aggregator != paused
            assert exchange.demand_of_others(fleet.now)["deep"] >= 9.0
    fleet.paused.clear()
    for _ in range(int((SKIP_TIME + 3.0) / STEP)):
        fleet.run(STEP)
        for name, exchange in fleet.exchanges.items():
            if name != paused:
                assert 8.0 <= exchange.demand_of_others(fleet.now)["deep"] <= 22.0
    fleet.run(4.0)
    for exchange in fleet.exchanges.values():
        assert exchange.demand_of_others(fleet.now) == pytest.approx({"deep": 11.0})


def test_lost_data_centre_no_longer_counts():
    fleet = ExchangeFleet(("a", "b", "c"), 4)
    fleet.run(4.0)
    fleet.down = {name for name in fleet.exchanges if name.startswith("c")}
    fleet.run(REPORT_LIFETIME + 2 * IDLE_PERIOD)
    for name, exchange in fleet.exchanges.items():
        if name not in fleet.down:
            assert exchange.demand_of_others(fleet.now) == pytest.approx({"deep": 7.0})


def test_daemon_without_any_sum_assumes_no_demand_of_others():
    exchange = DemandExchange("a-0", "a")
    exchange.update(DemandSum({"deep": 3.0}), {"a-1": "a", "a-2": "a"}, True, 1.0)
    assert exchange.demand_of_others(1.0) in ({}, {"deep": 0.0})


def test_sum_of_another_sender_than_the_aggregator_is_ignored():
    fleet = ExchangeFleet(("a",), 4)
    fleet.run(4.0)
    aggregator = fleet.aggregator("a")
    name = next(name for name in fleet.exchanges if name != aggregator)
    exchange = fleet.exchanges[name]
    exchange.receive_fleet_sum("a-x", DemandSum({"deep": 1e9}), fleet.now)
    assert exchange.demand_of_others(fleet.now)["deep"] < 10.0


def test_means_are_weighted_by_the_number_of_daemons():
    one = DemandSum({}, {"read": RouteDemand(0.1, {"check": 1.0})}, {"read": 1.0})
    three = DemandSum({}, {"read": RouteDemand(0.2, {"check": 3.0})}, {"read": 3.0})
    merged = add_sums([one, three])
    assert merged.estimate_by_route["read"].slot_time == pytest.approx(0.175)
    assert merged.estimate_by_route["read"].ratio_by_child["check"] == 2.5
    assert merged.weight_by_route == {"read": 4.0}


def test_estimates_of_daemons_are_averaged():
    parts = [
        DemandSum({}, {"a": RouteDemand(0.1, {"b": 2.0})}, {"a": 1.0}),
        DemandSum({}, {"a": RouteDemand(0.3, {})}, {"a": 1.0}),
    ]
    merged = add_sums(parts).estimate_by_route
    assert merged == {"a": RouteDemand(0.2, {"b": 1.0})}
