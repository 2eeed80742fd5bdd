"""Random fault injection into a fleet of cores, for Hypothesis state machines."""

import hypothesis.strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from knapweedlead.node import ShutdownRequested
from knapweedlead.ownership import MAX_CLOCK_RATE_ERROR, OwnershipTimes
from knapweedlead.ownership.tests.fleets import (
    acting_owners,
    acting_owners_by_slot,
    fleet,
)

SIZE = 4
SLOTS = 2
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
active_entries = st.lists(names, min_size=1, unique=True)
STEP_SECONDS = st.sampled_from([0.1, 0.5, 1.3, 2.1, 3.1])


class FaultMachine(RuleBasedStateMachine):
    """Injects faults into links, store and processes, often at the owner of `slot`."""

    slot = 0

    def start_fleet(self, cls, seed, rates):
        """Start cores whose clock rates differ by up to the tolerated error."""
        self.cores = fleet(seed, SIZE, slots=SLOTS, times=TIMES, cls=cls)
        for core, rate in zip(self.cores.by_name.values(), rates, strict=True):
            core.clock_rate = 1.0 + rate * MAX_CLOCK_RATE_ERROR
        self.delay = 0.001
        self.cores.delay_of = lambda left, right: self.delay
        self.cores.run_for(3.0)

    def run(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.cores.run_for(0.1)
            self.one_owner_acts_for_a_slot()

    @rule(
        loss=st.sampled_from([0.0, 0.0, 0.1, 0.5]),
        repeated=st.sampled_from([0.0, 0.3]),
        delay=st.sampled_from([0.001, 0.001, 0.02, 0.4, 2.0]),
    )
    def disturb_links(self, loss, repeated, delay):
        self.cores.loss = loss
        self.cores.duplication = repeated
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
        self.cores.loss = self.cores.duplication = 0.0
        self.delay = 0.001
        self.cores.store.mode = "none"

    @rule(mode=st.sampled_from(["down", "lose_answers"]))
    def set_store(self, mode):
        self.cores.store.mode = mode

    def resolve(self, name):
        """Replace `OWNER` by the slot's acting owner, or by `NAMES[0]` if none acts."""
        if name != OWNER:
            return name
        return next(iter(acting_owners(self.cores, self.slot)), NAMES[0])

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
        assert all(
            len(acting) <= 1 for acting in acting_owners_by_slot(self.cores).values()
        )
