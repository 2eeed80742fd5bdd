"""The rate holds in every window under random faults, two and more at a time."""

import random

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from knapweedlead.accounts.tests.metered import MeteredCores, most_over_rate
from knapweedlead.node import ShutdownRequested
from knapweedlead.ownership import MAX_CLOCK_RATE_ERROR, OwnershipTimes
from knapweedlead.ownership.tests.fleets import all_actors, fleet

RATE = 10.0
BURST = 8.0
SIZE = 4
TIMES = OwnershipTimes(
    lapse_s=12.0,
    promise_s=1.5,
    heartbeat_s=0.3,
    silence_s=0.7,
    renewal_s=2.0,
    list_s=1.0,
    list_s_per_member=0.0,
    settle_s=0.2,
    rank_s=0.2,
    handover_s=1.0,
    settled_s=2.0,
)
NAMES = [f"d{number}" for number in range(SIZE)]
names = st.sampled_from(NAMES)
STEP_SECONDS = st.sampled_from([0.02, 0.1, 0.5, 1.3, 3.1])


class RateMachine(RuleBasedStateMachine):
    """Drives a fleet through faults while every entry takes tokens hard."""

    @initialize(seed=st.integers(0, 2**16), rates=st.permutations([-1, 0, 0, 1]))
    def start(self, seed, rates):
        self.cores: MeteredCores = fleet(
            seed, SIZE, slots=2, times=TIMES, cls=MeteredCores
        )
        self.rng = random.Random(seed)
        for core, rate in zip(self.cores.by_name.values(), rates, strict=True):
            core.clock_rate = 1.0 + rate * MAX_CLOCK_RATE_ERROR
        self.cores.set_account(RATE, BURST)
        self.cores.delay_of = lambda left, right: self.delay
        self.delay = 0.001
        self.cores.run_for(3.0)

    @rule(seconds=STEP_SECONDS, busy=st.lists(names, min_size=1, unique=True))
    def demand(self, seconds, busy):
        for _ in range(int(seconds / 0.02)):
            for name in busy:
                if self.cores.by_name[name].is_up:
                    self.cores.take(name)
            self.cores.run_for(0.02)

    @rule(seconds=STEP_SECONDS)
    def wait(self, seconds):
        self.cores.run_for(seconds)

    @rule(loss=st.sampled_from([0.0, 0.0, 0.1, 0.5]))
    def lose(self, loss):
        self.cores.loss = loss

    @rule(delay=st.sampled_from([0.001, 0.02, 0.4, 4.0]))
    def slow_links(self, delay):
        self.delay = delay

    @rule(repeated=st.sampled_from([0.0, 0.3]))
    def repeat_messages(self, repeated):
        self.cores.repeated = repeated

    @rule(left=names, right=names)
    def cut(self, left, right):
        self.cores.cut_pairs.add((left, right))

    @rule(name=names)
    def cut_from_store(self, name):
        self.cores.cut_from_store.add(name)

    @rule()
    def heal(self):
        self.cores.heal()

    @rule(mode=st.sampled_from(["none", "none", "down", "lose_answers"]))
    def set_store(self, mode):
        self.cores.store.mode = mode

    @precondition(lambda self: sum(c.is_up for c in self.cores.by_name.values()) > 1)
    @rule(name=names)
    def crash(self, name):
        if self.cores.by_name[name].is_up:
            self.cores.crash(name)

    @rule(name=names)
    def restart(self, name):
        if not self.cores.by_name[name].is_up:
            self.cores.restart(name)

    @rule(name=names)
    def pause(self, name):
        if self.cores.by_name[name].is_up:
            self.cores.pause(name)

    @rule(name=names)
    def resume(self, name):
        core = self.cores.by_name[name]
        if core.is_up and core.is_paused:
            self.cores.resume(name)

    @rule(name=names)
    def shut_down(self, name):
        core = self.cores.by_name[name]
        if core.is_up and not core.is_paused:
            self.cores.report(core, ShutdownRequested())

    @invariant()
    def one_owner_acts_for_a_slot(self):
        assert all(len(acting) <= 1 for acting in all_actors(self.cores).values())

    @invariant()
    def rate_holds_in_every_window(self):
        assert most_over_rate(self.cores.granted_at(), RATE) <= BURST + 1e-6


RateMachine.TestCase.settings = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRateMachine = RateMachine.TestCase
