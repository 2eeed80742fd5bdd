"""Placement over five data centres: what callers wait, and how many calls go abroad.

The load is that of a large service (100 servers of three speeds, ten slots each): even
demand at 60 percent of its capacity, uneven room, a server that turns slow, and the
loss of a data centre. Entries see loads as of the last answer on their link.
"""

import heapq
import itertools
import random
import statistics

import pytest

from knapweedlead.mesh import PLACEMENTS, ServerState, Target

DATA_CENTRES = ("a", "b", "c", "d", "e")
SLOTS = 10
WORK = 0.2
SPEEDS = (0.6, 1.0, 1.4)
SECONDS = 12.0
WARM_UP = 4.0


class Server:
    """A server with slots and a queue in order of arrival."""

    def __init__(self, name, data_centre, speed):
        self.name = name
        self.data_centre = data_centre
        self.speed = speed
        self.running = 0
        self.queue = []
        self.service_time = WORK / speed


class Simulation:
    """Entries that place calls on servers, driven by a heap of events."""

    def __init__(self, placement, count_by_data_centre, seed=3, rate_factor=0.6):
        self.rng = random.Random(seed)
        speeds = itertools.cycle(SPEEDS)
        self.servers = [
            Server(f"{data_centre}-{number}", data_centre, next(speeds))
            for data_centre, count in count_by_data_centre.items()
            for number in range(count)
        ]
        self.placements = {
            data_centre: PLACEMENTS.create(placement, data_centre=data_centre)
            if placement != "random"
            else PLACEMENTS.create(placement)
            for data_centre in DATA_CENTRES
        }
        self.views = {
            (data_centre, number): [self.target(server) for server in self.servers]
            for data_centre in DATA_CENTRES
            for number in range(4)
        }
        capacity = sum(SLOTS / server.service_time for server in self.servers)
        self.rate = rate_factor * capacity
        self.times = []
        self.remote = 0
        self.placed = 0
        self.events = []
        self.numbers = itertools.count()

    def target(self, server):
        target = Target(server.name, server.data_centre, "lines", server, True)
        state = ServerState("i", "lines", True, 0, 0, SLOTS, server.service_time)
        target.apply_state(state)
        return target

    def at(self, time, action):
        heapq.heappush(self.events, (time, next(self.numbers), action))

    def run(self):
        self.at(0.0, self.arrive)
        while self.events:
            now, _, action = heapq.heappop(self.events)
            action(now)
        return self

    def arrive(self, now):
        if now < SECONDS:
            self.at(now + self.rng.expovariate(self.rate), self.arrive)
        key = self.rng.choice(list(self.views))
        target = self.placements[key[0]].choose(self.views[key], self.rng)
        target.load += 1
        server = target.channel
        self.placed += 1
        self.remote += server.data_centre != key[0]
        server.queue.append((now, target))
        self.start(server, now)

    def start(self, server, now):
        while server.queue and server.running < SLOTS:
            arrived_at, target = server.queue.pop(0)
            server.running += 1
            took = self.rng.expovariate(1.0) * server.service_time
            self.at(now + took, lambda at, a=arrived_at, t=target: self.end(a, t, at))

    def end(self, arrived_at, target, now):
        server = target.channel
        server.running -= 1
        self.start(server, now)
        state = ServerState(
            "i",
            "lines",
            True,
            server.running,
            len(server.queue),
            SLOTS,
            server.service_time,
        )
        target.apply_state(state)
        if arrived_at >= WARM_UP:
            self.times.append(now - arrived_at)

    @property
    def remote_share(self):
        return self.remote / self.placed

    def percentile(self, share):
        return sorted(self.times)[int(share * len(self.times))]


EVEN = dict.fromkeys(DATA_CENTRES, 20)


def test_calls_stay_in_the_data_centre_while_it_has_room():
    simulation = Simulation("least_cost", EVEN).run()
    baseline = Simulation("random", EVEN).run()
    assert simulation.remote_share < baseline.remote_share / 3.0
    assert statistics.mean(simulation.times) < statistics.mean(baseline.times)
    assert simulation.percentile(0.99) < baseline.percentile(0.99)


def test_heavy_load_is_served_without_long_queues():
    simulation = Simulation("least_cost", EVEN, rate_factor=0.85).run()
    baseline = Simulation("random", EVEN, rate_factor=0.85).run()
    assert statistics.mean(simulation.times) < statistics.mean(baseline.times)
    assert simulation.percentile(0.99) < baseline.percentile(0.99)


def test_uneven_room_is_used_by_other_data_centres():
    uneven = dict(zip(DATA_CENTRES, (40, 30, 16, 10, 4), strict=True))
    simulation = Simulation("least_cost", uneven).run()
    baseline = Simulation("random", uneven).run()
    assert simulation.remote_share < 0.6
    assert simulation.percentile(0.99) < baseline.percentile(0.99)


def test_lost_data_centre_leaves_callers_served_as_by_random_placement():
    rest = EVEN | {"e": 0}
    simulation = Simulation("least_cost", rest).run()
    baseline = Simulation("random", rest).run()
    assert statistics.mean(simulation.times) <= statistics.mean(baseline.times)
    assert simulation.percentile(0.99) <= baseline.percentile(0.99)


@pytest.mark.parametrize("factor", [4.0, 8.0])
def test_server_that_turns_slow_gets_fewer_calls_and_is_still_tried(factor):
    simulation = Simulation("least_cost", EVEN)
    slow = simulation.servers[1]
    slow.service_time *= factor
    received = 0
    start = simulation.start

    def count(server, now):
        nonlocal received
        received += server is slow and bool(server.queue)
        start(server, now)

    simulation.start = count
    simulation.run()
    mean = simulation.placed / len(simulation.servers)
    assert 0 < received < 0.6 * mean
