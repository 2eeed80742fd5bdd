"""Demand estimates and shedding with hundreds of routes.

Estimates are computed on the event loop. If their cost grows faster than the number of
routes, a daemon with many routes answers neither callers nor probes.
"""

import random
import time

import pytest

from knapweedlead.mesh import (
    ServiceLoad,
    Shedder,
    WeightedService,
    slot_times_by_route,
)
from knapweedlead.mesh._demand import DemandModel
from knapweedlead.mesh._route_groups import (
    MAX_NAMED_ROUTES,
    Regrouping,
    RouteGroups,
    other_routes,
)
from knapweedlead.mesh.tests.harness import make_configuration, make_route

MANY = 350
RUN_TIME = 0.1
SAMPLE_PERIOD = 0.02
UPDATE_PERIOD = 0.3
MAX_UPDATE_SECONDS = 0.1
"""Processor time of an update; far below the second within which a readiness probe has
to be answered."""


class SimulatedServer:
    """Runs of many routes at one server, each with its child calls in the middle."""

    def __init__(self, seed=4):
        self.model = DemandModel("front")
        self.rng = random.Random(seed)
        self.now = 0.0
        self.longest_update = 0.0

    def run(self, seconds, calls_per_s, routes, children):
        """Simulate runs of the routes in `routes`, drawn with equal probability.

        `children` maps a route to the child routes that each of its runs calls.
        """
        events = []
        at = self.now
        while (at := at + self.rng.expovariate(calls_per_s)) < self.now + seconds:
            route = self.rng.choice(routes)
            events.append((at, "run", route))
            events += [(at + RUN_TIME / 2, "call", c) for c in children(route)]
            events.append((at + RUN_TIME, "end", route))
        steps = int(seconds / SAMPLE_PERIOD)
        events += [(self.now + SAMPLE_PERIOD * n, "sample", "") for n in range(steps)]
        steps = int(seconds / UPDATE_PERIOD)
        events += [(self.now + UPDATE_PERIOD * n, "update", "") for n in range(steps)]
        for at, kind, name in sorted(events):
            self._handle(at, kind, name)
        self.now += seconds + RUN_TIME

    def _handle(self, at, kind, name):
        if kind == "run":
            self.model.record_run(name)
        elif kind == "end":
            self.model.record_end(name)
            self.model.record_slot_time(name, RUN_TIME)
        elif kind == "call":
            self.model.record_child_call(name, "deep")
        elif kind == "sample":
            self.model.sample(at)
        else:
            started_at = time.process_time()
            self.model.update()
            elapsed = time.process_time() - started_at
            self.longest_update = max(self.longest_update, elapsed)
            assert elapsed < MAX_UPDATE_SECONDS


def names(count, prefix="added"):
    return [f"{prefix}{number}" for number in range(count)]


@pytest.mark.parametrize("count", [100, MANY])
def test_update_with_hundreds_of_routes_does_not_occupy_the_event_loop(count):
    # Guards against daemons that stop for seconds once calls run on many added routes.
    server = SimulatedServer()
    server.run(12.0, 120.0, names(count), lambda route: ("lookup",))
    assert server.longest_update < MAX_UPDATE_SECONDS


def test_update_with_hundreds_of_called_routes_does_not_occupy_the_event_loop():
    # Guards against the same fault in the number of routes that runs call.
    server = SimulatedServer()
    called = names(MANY, "lookup")
    server.run(12.0, 120.0, names(40), lambda route: server.rng.sample(called, 4))
    assert server.longest_update < MAX_UPDATE_SECONDS


def test_number_of_estimates_is_bounded_for_any_number_of_routes():
    # Guards against reports to peers that grow with the number of routes.
    server = SimulatedServer()
    called = names(MANY, "lookup")
    server.run(20.0, 200.0, names(MANY), lambda route: server.rng.sample(called, 2))
    estimates = server.model.estimates()
    assert len(estimates) <= MAX_NAMED_ROUTES + 1
    assert all(
        len(each.ratio_by_child) <= MAX_NAMED_ROUTES + 1 for each in estimates.values()
    )


def test_state_of_routes_that_are_no_longer_called_is_discarded():
    # Guards against memory that grows with every route that ever existed.
    server = SimulatedServer()
    for version in range(6):
        server.run(3.0, 100.0, names(80, f"v{version}-"), lambda route: (route,))
    server.run(150.0, 1.0, ["kept"], lambda route: ("lookup",))
    model = server.model
    assert set(model.estimates()) == {"kept"}
    assert model._groups.groups == {"kept"}
    assert model._child_groups.groups == {"lookup"}
    assert all(pair == ("kept", "kept") for pair in model._overlap)


def test_routes_without_their_own_estimate_share_one():
    server = SimulatedServer()
    server.run(30.0, 200.0, names(MANY), lambda route: ("lookup", "lookup"))
    estimate = server.model.estimates()[other_routes("front")]
    assert estimate.slot_time == pytest.approx(RUN_TIME)
    assert estimate.ratio_by_child["lookup"] == pytest.approx(2.0, abs=0.5)


def test_frequent_route_among_hundreds_keeps_its_own_estimate():
    server = SimulatedServer()
    routes = names(MANY) + ["frequent"] * MANY
    server.run(
        30.0, 200.0, routes, lambda route: ("lookup",) * 4 * (route == "frequent")
    )
    estimates = server.model.estimates()
    own = estimates["frequent"].ratio_by_child["lookup"]
    shared = estimates[other_routes("front")].ratio_by_child.get("lookup", 0.0)
    assert own == pytest.approx(4.0, abs=0.8)
    assert shared == pytest.approx(0.0, abs=0.8)


def test_route_that_becomes_frequent_gets_its_own_estimate():
    server = SimulatedServer()
    server.run(10.0, 200.0, names(MANY), lambda route: ())
    assert "late" not in server.model.estimates()
    server.run(20.0, 200.0, names(MANY) + ["late"] * MANY, lambda route: ())
    assert "late" in server.model.estimates()


def test_runs_in_progress_move_with_the_group_of_their_route():
    server = SimulatedServer()
    server.run(20.0, 300.0, names(MANY), lambda route: ())
    server.run(20.0, 300.0, names(20), lambda route: ())
    server.run(20.0, 300.0, names(4), lambda route: ())
    assert not server.model._running_by_route
    assert not any(server.model._running_by_group.values())


def test_few_routes_have_their_own_groups():
    groups = RouteGroups(max_named=3)
    assert [groups.record(name, "s") for name in "abc"] == ["a", "b", "c"]
    assert groups.record("d", "s") == "s/*"
    assert groups.group_of("a") == "a"


def test_smallest_group_is_dropped_for_a_route_with_a_considerable_share():
    groups = RouteGroups(max_named=2)
    for name, count in (("a", 100), ("b", 1), ("c", 90)):
        for _ in range(count):
            groups.record(name, "s")
    assert groups.update(1.0) == [
        Regrouping("b", "b", "s/*"),
        Regrouping("c", "s/*", "c"),
    ]
    assert groups.update(1.0) == []


def test_group_of_a_route_near_the_share_does_not_alternate():
    groups = RouteGroups(max_named=2)
    rng = random.Random(8)
    population = ["a"] * 57 + ["b"] * 3 + ["c"] * 40
    changes = []
    for _ in range(400):
        for name in rng.choices(population, k=20):
            groups.record(name, "s")
        changes += groups.update(0.98)
    assert len(changes) <= 2


class OverloadedFleet:
    """Calls on hundreds of added routes, whose child calls need a deep service.

    The deep service has 100 slots. Each call holds one for 0.08 s twice.
    """

    DEEP_SLOTS = 100
    DEEP_TIME = 0.08

    def __init__(self):
        self.server = SimulatedServer(seed=6)
        self.routes = names(MANY)
        self.configuration = make_configuration(
            *(
                make_route(
                    name,
                    f"/{name}/",
                    "front",
                    services=(WeightedService("front", 1.0),),
                    is_public=False,
                )
                for name in self.routes
            ),
            make_route("lookup", "/lookup/", "deep"),
        )
        self.shedder = Shedder(random.Random(9))

    def estimates(self):
        """Return the estimates of the daemons of both services."""
        self.server.run(20.0, 200.0, self.routes, lambda route: ("lookup", "lookup"))
        deep = DemandModel("deep")
        deep.record_run("lookup")
        deep.record_end("lookup")
        deep.record_slot_time("lookup", self.DEEP_TIME)
        return self.server.model.estimates() | deep.estimates()

    def admitted_rate(self, calls_per_s, seconds=20.0, period=0.25):
        """Return the admitted calls a second in the last half of a simulated load."""
        slot_times = slot_times_by_route(self.configuration, self.estimates())
        admitted = 0
        steps = int(seconds / period)
        for step in range(steps):
            load = 0.0
            for _ in range(int(calls_per_s * period)):
                if self.shedder.admit(self.server.rng.choice(self.routes), 19):
                    load += 2 * self.DEEP_TIME / period
                    admitted += step >= steps / 2
            loads = {
                "deep": ServiceLoad(self.DEEP_SLOTS, int(load), 0.0),
                "front": ServiceLoad(1000.0, 100, 0.0),
            }
            self.shedder.update(slot_times, loads, period * (step + 1))
        return admitted / (seconds / 2)


def test_calls_on_added_routes_are_shed_by_what_they_ask_of_deep_services():
    # Guards against added routes whose calls are admitted and fail deep in their tree.
    capacity = OverloadedFleet.DEEP_SLOTS / (2 * OverloadedFleet.DEEP_TIME)
    assert OverloadedFleet().admitted_rate(0.5 * capacity) > 0.49 * capacity
    rate = OverloadedFleet().admitted_rate(2.0 * capacity)
    assert 0.75 * capacity < rate < 1.05 * capacity
