"""The rate holds in every window under random faults, two and more at a time."""

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from knapweedlead.accounts.tests.metered import MeteredCores, most_over_rate
from knapweedlead.node import ShutdownRequested
from knapweedlead.ownership import MAX_CLOCK_RATE_ERROR, OwnershipTimes, slot_of
from knapweedlead.ownership.tests.fleets import actors, all_actors, fleet

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
OWNER = "owner"
names = st.sampled_from(NAMES)
busy = st.lists(names, min_size=1, unique=True)
STEP_SECONDS = st.sampled_from([0.1, 0.5, 1.3, 2.1, 3.1])


class RateMachine(RuleBasedStateMachine):
    """Drives a fleet through faults while every entry takes tokens hard."""

    @initialize(seed=st.integers(0, 2**16), rates=st.permutations([-1, 0, 0, 1]))
    def start(self, seed, rates):
        self.cores: MeteredCores = fleet(
            seed, SIZE, slots=2, times=TIMES, cls=MeteredCores
        )
        for core, rate in zip(self.cores.by_name.values(), rates, strict=True):
            core.clock_rate = 1.0 + rate * MAX_CLOCK_RATE_ERROR
        self.cores.set_account(RATE, BURST)
        self.cores.delay_of = lambda left, right: self.delay
        self.delay = 0.001
        self.cores.run_for(3.0)

    def run(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.cores.run_for(0.1)
            self.one_owner_acts_for_a_slot()

    def take(self, name):
        if self.cores.by_name[name].is_up:
            self.cores.take(name)

    @rule(seconds=STEP_SECONDS, pace=st.sampled_from([0.02, 0.1, 0.25]), busy=busy)
    def demand(self, seconds, pace, busy):
        for _ in range(int(seconds / pace)):
            for name in busy:
                self.take(name)
            self.run(pace)

    @rule(takes=st.integers(1, 20), busy=busy, pause=STEP_SECONDS)
    def burst(self, takes, busy, pause):
        self.run(pause)
        for name in busy * takes:
            self.take(name)

    @rule(
        loss=st.sampled_from([0.0, 0.0, 0.1, 0.5]),
        repeated=st.sampled_from([0.0, 0.3]),
        delay=st.sampled_from([0.001, 0.001, 0.02, 0.4, 2.0]),
    )
    def disturb_links(self, loss, repeated, delay):
        self.cores.loss = loss
        self.cores.repeated = repeated
        self.delay = delay

    @rule(left=names, right=names)
    def cut_one_way(self, left, right):
        self.cores.cut_pairs.add((left, right))

    @rule(name=names | st.just(OWNER), is_cut_from_store=st.booleans())
    def isolate(self, name, is_cut_from_store):
        name = self.resolve(name)
        for other in NAMES:
            if other != name:
                self.cores.cut(name, other)
        if is_cut_from_store:
            self.cores.cut_from_store.add(name)

    @rule()
    def heal(self):
        self.cores.heal()
        self.cores.loss = self.cores.repeated = 0.0
        self.delay = 0.001
        self.cores.store.mode = "none"

    @rule(mode=st.sampled_from(["down", "lose_answers"]))
    def set_store(self, mode):
        self.cores.store.mode = mode

    def resolve(self, name):
        """Return a name, that of the present owner where it is asked for."""
        if name != OWNER:
            return name
        slot = slot_of("account/crew", 2)
        return next(iter(actors(self.cores, slot)), NAMES[0])

    @rule(name=names | st.just(OWNER), pause=STEP_SECONDS)
    def crash_and_restart(self, name, pause):
        name = self.resolve(name)
        if self.cores.by_name[name].is_up:
            self.cores.crash(name)
            self.run(pause)
            self.cores.restart(name)

    @rule(name=names | st.just(OWNER))
    def pause(self, name):
        name = self.resolve(name)
        if self.cores.by_name[name].is_up:
            self.cores.pause(name)

    @rule()
    def resume_all(self):
        for name, core in self.cores.by_name.items():
            if core.is_up and core.is_paused:
                self.cores.resume(name)

    @rule(name=names | st.just(OWNER))
    def shut_down(self, name):
        core = self.cores.by_name[self.resolve(name)]
        if core.is_up and not core.is_paused:
            self.cores.report(core, ShutdownRequested())

    @invariant()
    def one_owner_acts_for_a_slot(self):
        assert all(len(acting) <= 1 for acting in all_actors(self.cores).values())

    @invariant()
    def rate_holds_in_every_window(self):
        assert most_over_rate(self.cores.granted_at(), RATE) <= BURST + 1e-6


RateMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRateMachine = RateMachine.TestCase
