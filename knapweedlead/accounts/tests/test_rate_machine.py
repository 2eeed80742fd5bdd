"""Property test: the rate holds in every window under concurrent random faults."""

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import initialize, invariant, rule

from knapweedlead.accounts.tests.metered import MeteredCores, max_excess_over_rate
from knapweedlead.ownership import slot_of
from knapweedlead.ownership.tests.faults import (
    SLOTS,
    STEP_SECONDS,
    FaultMachine,
    active_entries,
)

RATE = 10.0
BURST = 8.0


class RateMachine(FaultMachine):
    """Injects faults into a fleet while its entries acquire tokens."""

    slot = slot_of("account/crew", SLOTS)

    @initialize(seed=st.integers(0, 2**16), rates=st.permutations([-1, 0, 0, 1]))
    def start(self, seed, rates):
        self.start_fleet(MeteredCores, seed, rates)
        self.cores.set_account(RATE, BURST)

    def acquire(self, name):
        if self.cores.by_name[name].is_up:
            self.cores.acquire(name)

    @rule(
        seconds=STEP_SECONDS,
        interval=st.sampled_from([0.02, 0.1, 0.25]),
        active_entries=active_entries,
    )
    def acquire_steadily(self, seconds, interval, active_entries):
        for _ in range(int(seconds / interval)):
            for name in active_entries:
                self.acquire(name)
            self.run(interval)

    @rule(count=st.integers(1, 20), active_entries=active_entries, pause=STEP_SECONDS)
    def acquire_burst(self, count, active_entries, pause):
        self.run(pause)
        for name in active_entries * count:
            self.acquire(name)

    @invariant()
    def rate_holds_in_every_window(self):
        assert max_excess_over_rate(self.cores.granted_at(), RATE) <= BURST + 1e-6


RateMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestRateMachine = RateMachine.TestCase
