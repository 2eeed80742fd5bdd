"""The rate holds in every window under random faults, two and more at a time."""

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import initialize, invariant, rule

from knapweedlead.accounts.tests.metered import MeteredCores, most_over_rate
from knapweedlead.ownership import slot_of
from knapweedlead.ownership.tests.faults import (
    SLOTS,
    STEP_SECONDS,
    FaultMachine,
    busy,
)

RATE = 10.0
BURST = 8.0


class RateMachine(FaultMachine):
    """Drives a fleet through faults while entries take tokens."""

    slot = slot_of("account/crew", SLOTS)

    @initialize(seed=st.integers(0, 2**16), rates=st.permutations([-1, 0, 0, 1]))
    def start(self, seed, rates):
        self.start_fleet(MeteredCores, seed, rates)
        self.cores.set_account(RATE, BURST)

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
