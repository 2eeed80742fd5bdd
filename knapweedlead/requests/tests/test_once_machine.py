"""Stateful test that a key is granted to one call at most under random faults."""

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import initialize, invariant, rule

from knapweedlead.ownership import slot_of
from knapweedlead.ownership.tests.faults import SLOTS, FaultMachine, names
from knapweedlead.requests import OnceDecision
from knapweedlead.requests.tests.claiming import ANSWER, ClaimingCores

CLAIMED = OnceDecision.CLAIMED
DURABLE_KEY = "ticket-1"
UNTIMED_KEYS = [f"ticket-{number}" for number in range(3)]


class OnceMachine(FaultMachine):
    """Claims and settles a few keys repeatedly at arbitrary entries."""

    slot = slot_of("once/crew/ticket-0", SLOTS)

    @initialize(seed=st.integers(0, 2**16), rates=st.permutations([-1, 0, 0, 1]))
    def start(self, seed, rates):
        self.start_fleet(ClaimingCores, seed, rates)
        self.keys = list(UNTIMED_KEYS)
        self.settled: set[int] = set()
        self.released: set[int] = set()

    @rule()
    def create_key(self):
        self.keys.append(self.cores.create_key())

    @rule(
        chosen=st.lists(st.tuples(names, st.integers(0, 2)), min_size=1, max_size=4),
        pause=st.sampled_from([0.0, 0.3, 1.2]),
    )
    def claim(self, chosen, pause):
        for name, index in chosen:
            key = self.keys[-1 - index]
            if self.cores.by_name[name].is_up:
                self.cores.claim(name, key, is_durable=key == DURABLE_KEY)
        self.run(pause)

    @rule(action=st.sampled_from(["complete", "mark_unknown", "release"]))
    def settle_all(self, action):
        for ticket, claim in self.cores.claim_by_ticket.items():
            core = self.cores.by_name[claim.core]
            if claim.decision is not CLAIMED or ticket in self.settled:
                continue
            self.settled.add(ticket)
            if core.is_up and not core.is_paused:
                if action == "release":
                    self.released.add(ticket)
                self.cores.settle(claim, action)

    @invariant()
    def no_key_is_granted_twice(self):
        granted = [
            claim.key.idempotency_key
            for ticket, claim in self.cores.claim_by_ticket.items()
            if claim.decision is CLAIMED and ticket not in self.released
        ]
        assert len(granted) == len(set(granted))

    @invariant()
    def retries_get_the_complete_stored_answer(self):
        answers = [
            claim.answer
            for claim in self.cores.claim_by_ticket.values()
            if claim.decision is OnceDecision.ANSWERED
        ]
        assert all(answer == ANSWER for answer in answers)


OnceMachine.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestOnceMachine = OnceMachine.TestCase
