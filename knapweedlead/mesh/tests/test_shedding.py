"""Demand estimates, and the calls that are admitted under a simulated load."""

import random
import time

import pytest

from knapweedlead.mesh import RouteDemand, ServiceLoad, Shedder, slot_time_by_service
from knapweedlead.mesh._demand import DemandModel
from knapweedlead.mesh._shedding import max_min_fair
from knapweedlead.mesh.tests.harness import make_configuration, make_route

UPDATE_PERIOD = 0.25
MAX_UPDATE_SECONDS = 0.1
"""Processor time of an update; far below the second within which a readiness probe has
to be answered."""


def call_tree_configuration():
    """Return a configuration with a call tree of three levels and a separate route."""
    return make_configuration(
        make_route("history", "/history/", "front", is_public=False),
        make_route("notice", "/notice/", "middle", is_public=False),
        make_route("status", "/status/", "middle"),
        make_route("check", "/check/", "deep"),
    )


ESTIMATES = {
    "history": RouteDemand(0.1, {"status": 2.0}),
    "notice": RouteDemand(0.06, {}),
    "status": RouteDemand(0.05, {"check": 4.0}),
    "check": RouteDemand(0.02, {}),
}


def test_slot_time_is_summed_over_the_call_tree():
    configuration = call_tree_configuration()
    route = configuration.route_of("example", "/history/")
    slot_times = slot_time_by_service(route, configuration, ESTIMATES)
    assert slot_times == pytest.approx({"front": 0.1, "middle": 0.1, "deep": 0.16})


def test_slot_time_of_a_recursive_route_is_bounded():
    configuration = make_configuration(make_route("a", "/a/", "deep"))
    estimates = {"a": RouteDemand(0.1, {"a": 1.0})}
    route = configuration.routes[0]
    assert slot_time_by_service(route, configuration, estimates)["deep"] < 3.0


def simulate_server(
    model, seconds, rng, rate_by_route, children_by_route, slot_time=0.1
):
    """Simulate Poisson runs that make their calls at regular intervals."""
    events = []
    for route, rate in rate_by_route.items():
        at = 0.0
        while (at := at + rng.expovariate(rate)) < seconds:
            events.append((at, "run", route))
            events.append((at + slot_time, "end", route))
            count = children_by_route[route]
            events += [
                (at + slot_time * (index + 0.5) / count, "call", "status")
                for index in range(count)
            ]
    events += [(0.02 * step, "sample", "") for step in range(int(seconds / 0.02))]
    events += [(0.3 * step, "learn", "") for step in range(int(seconds / 0.3))]
    for at, kind, name in sorted(events):
        if kind == "run":
            model.record_run(name)
        elif kind == "end":
            model.record_end(name)
            model.record_slot_time(name, slot_time)
        elif kind == "call":
            model.record_child_call(name, "middle")
        elif kind == "sample":
            model.sample(at)
        else:
            model.update()


def test_child_calls_are_attributed_to_the_routes_that_make_them():
    model = DemandModel("front")
    rates = {"plain": 60.0, "ticket": 30.0, "lookup": 150.0}
    children = {"plain": 0, "ticket": 1, "lookup": 4}
    simulate_server(model, 20.0, random.Random(3), rates, children)
    ratios = {
        route: row.ratio_by_child.get("status", 0.0)
        for route, row in model.estimates().items()
    }
    assert ratios["ticket"] == pytest.approx(1.0, abs=0.5)
    assert ratios["lookup"] == pytest.approx(4.0, abs=0.3)
    assert ratios["plain"] == pytest.approx(0.0, abs=0.4)


def test_capacity_is_divided_max_min_fairly():
    granted = max_min_fair({"small": 1.0, "large": 50.0, "middle": 10.0}, 21.0)
    assert granted == {"small": 1.0, "middle": 10.0, "large": 10.0}


class Simulation:
    """One service of 100 slots that receives calls from an entry with a shedder."""

    def __init__(self, slot_time=0.02, calls=8.0):
        self.shedder = Shedder(random.Random(5))
        self.slot_times = {
            "history": {"deep": slot_time * calls},
            "signoff": {"deep": 0.07},
            "notice": {"other": 0.06},
        }
        self.now = 0.0
        self.backlog = 0.0
        self.served = {}
        self.offered = {}
        self.peak = 0.0

    def run(self, seconds, rates, ranks):
        """Simulate some seconds of arrivals; the backlog is in seconds of slot time."""
        for _ in range(int(seconds / UPDATE_PERIOD)):
            self.now += UPDATE_PERIOD
            work = 0.0
            for route, rate in rates.items():
                for _ in range(int(rate * UPDATE_PERIOD)):
                    self.offered[route] = self.offered.get(route, 0) + 1
                    if self.shedder.admit(route, ranks[route]):
                        self.served[route] = self.served.get(route, 0) + 1
                        work += self.slot_times[route].get("deep", 0.0)
            self.backlog = max(0.0, self.backlog + work - 100 * UPDATE_PERIOD)
            self.peak = max(self.peak, self.backlog)
            load = int(min(work / UPDATE_PERIOD, 100) + self.backlog / UPDATE_PERIOD)
            loads = {
                "deep": ServiceLoad(100, load, 0.0),
                "other": ServiceLoad(100, 10, 0.0),
            }
            self.shedder.update(self.slot_times, loads, self.now)

    def share(self, route):
        return self.served.get(route, 0) / self.offered[route]


RANKS = {"history": 19, "signoff": 19, "notice": 17}


def test_all_calls_are_admitted_while_there_is_capacity():
    simulation = Simulation()
    simulation.run(10.0, {"history": 400, "signoff": 40, "notice": 150}, RANKS)
    assert {simulation.share(route) for route in RANKS} == {1.0}


def test_surge_on_a_deep_service_is_shed_at_the_entry_and_other_calls_are_admitted():
    simulation = Simulation()
    rates = {"history": 1200, "signoff": 40, "notice": 150}
    simulation.run(2.0, rates, RANKS)
    simulation.served.clear()
    simulation.offered.clear()
    simulation.run(10.0, rates, RANKS)
    assert simulation.share("notice") == 1.0
    assert simulation.share("signoff") > 0.95
    capacity = (100 - 40 * 0.07) / 0.16
    assert 0.75 * capacity < 1200 * simulation.share("history") < 1.02 * capacity
    assert simulation.backlog < 100 * 0.3


def test_all_calls_are_admitted_within_seconds_after_a_surge():
    simulation = Simulation()
    simulation.run(10.0, {"history": 2000, "signoff": 40, "notice": 150}, RANKS)
    simulation.run(2.0, {"history": 400, "signoff": 40, "notice": 150}, RANKS)
    simulation.served.clear()
    simulation.offered.clear()
    simulation.run(3.0, {"history": 400, "signoff": 40, "notice": 150}, RANKS)
    assert simulation.share("history") > 0.98


def test_more_important_calls_are_refused_last():
    simulation = Simulation()
    ranks = {"history": 19, "signoff": 3, "notice": 17}
    rates = {"history": 600, "signoff": 1000, "notice": 10}
    simulation.run(2.0, rates, ranks)
    simulation.served.clear()
    simulation.offered.clear()
    simulation.run(10.0, rates, ranks)
    assert simulation.share("signoff") > 0.95
    assert simulation.share("history") < 0.4


def test_demand_estimate_that_is_too_low_is_corrected_by_the_load():
    simulation = Simulation()
    real = dict(simulation.slot_times)
    simulation.slot_times = {route: dict(times) for route, times in real.items()}
    simulation.shedder.update(
        {"history": {"deep": 0.08}}, {"deep": ServiceLoad(100, 0, 0.0)}, 0.0
    )
    for step in range(80):
        now = 0.25 * (step + 1)
        admitted = sum(simulation.shedder.admit("history", 19) for _ in range(300))
        load = int(admitted * 0.16 / UPDATE_PERIOD)
        simulation.shedder.update(
            {"history": {"deep": 0.08}}, {"deep": ServiceLoad(100, load, 0.0)}, now
        )
    assert load < 130


def test_calls_that_use_only_an_upper_service_are_not_refused_with_the_others():
    shedder = Shedder(random.Random(5))
    slot_times = {
        "history": {"middle": 1.0, "deep": 0.16},
        "notice": {"middle": 0.06},
    }
    loads = {
        "middle": ServiceLoad(1000, 900, 0.0),
        "deep": ServiceLoad(100, 100, 0.0),
    }
    shedder.update(slot_times, loads, 0.0)
    for step in range(40):
        for _ in range(300):
            shedder.admit("history", 19)
        for _ in range(40):
            shedder.admit("notice", 19)
        shedder.update(slot_times, loads, 0.25 * (step + 1))
    assert shedder.share("notice", 19) == 1.0
    assert shedder.share("history", 19) < 0.6


def test_shares_with_many_routes_and_services_do_not_occupy_the_event_loop():
    # Guards against an update of the shares that grows with routes times services.
    shedder = Shedder(random.Random(9))
    services = [f"service{number}" for number in range(15)]
    routes = [f"added{number}" for number in range(350)]
    slot_times = {name: dict.fromkeys(services, 0.05) for name in routes}
    loads = {service: ServiceLoad(10.0, 20, 5.0) for service in services}
    shedder.update(slot_times, loads, 0.0)
    for name in slot_times:
        for _ in range(10):
            shedder.admit(name, 19)
    started_at = time.process_time()
    shedder.update(slot_times, loads, 0.25)
    assert time.process_time() - started_at < MAX_UPDATE_SECONDS
    assert all(shedder.share(name, 19) < 1.0 for name in slot_times)
