"""Property test: ledger and balances enforce the rate under message faults."""

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings, target
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from knapweedlead.accounts._balance import TokenBalance
from knapweedlead.accounts._ledger import SHARE_LIFETIME_SECONDS, Ledger, restore_ledger
from knapweedlead.accounts._messages import TokenGrant, TokenRequest
from knapweedlead.accounts.tests.metered import max_excess_over_rate

RATE = 2.0
BURST = 6.0
ENTRIES = ("a", "b")
PAUSES = st.sampled_from([0.01, 0.5, 1.0, 2.5, 2.9, 3.1])
entries = st.sampled_from(ENTRIES)


class ProtocolMachine(RuleBasedStateMachine):
    """Delays, duplicates, reorders and drops requests and grants."""

    @initialize()
    def start(self):
        self.now = 100.0
        self.epoch = 1
        self.grants_from = 0.0
        self.ledger = Ledger(RATE, BURST, BURST, self.now)
        self.balance_by_entry = {name: TokenBalance("crew", 0) for name in ENTRIES}
        self.incarnation_by_entry = dict.fromkeys(ENTRIES, 1)
        self.requests: list[TokenRequest] = []
        self.grants: list[tuple[str, TokenGrant]] = []
        self.spent_at: list[float] = []

    @rule(seconds=PAUSES)
    def wait(self, seconds):
        self.now += seconds

    @rule(
        entry=entries,
        returned=st.sampled_from([0, 0, 2]),
        wanted=st.sampled_from([0, 8]),
    )
    def request_tokens(self, entry, returned, wanted):
        balance = self.balance_by_entry[entry]
        balance.expire(self.now)
        returned = min(returned, balance.held)
        balance.held -= returned
        balance.begin_request(self.now)
        self.requests.append(
            TokenRequest(
                slot=0,
                account="crew",
                entry=entry,
                incarnation=self.incarnation_by_entry[entry],
                sequence=balance.sequence,
                accepted=balance.accepted,
                held=balance.held,
                returned=returned,
                needed=wanted,
                wanted=wanted,
            )
        )

    @rule(index=st.integers(0, 3), is_kept=st.booleans())
    def deliver_request(self, index, is_kept):
        if not self.requests:
            return
        index %= len(self.requests)
        request = self.requests[index]
        if not is_kept:
            del self.requests[index]
        if self.now < self.grants_from:
            return
        share = self.ledger.apply_report("peer", request, self.now)
        if share is not None:
            granted = self.ledger.grant(share, request.needed, request.wanted)
            grant = TokenGrant(
                "crew",
                request.incarnation,
                request.sequence,
                self.epoch,
                share.confirmed,
                granted,
                0,
                is_granting=True,
            )
            self.grants.append((request.entry, grant))

    @rule(index=st.integers(0, 3), is_kept=st.booleans())
    def deliver_grant(self, index, is_kept):
        if not self.grants:
            return
        index %= len(self.grants)
        entry, grant = self.grants[index]
        if not is_kept:
            del self.grants[index]
        if grant.incarnation == self.incarnation_by_entry[entry]:
            self.balance_by_entry[entry].accept(grant, self.now)

    @rule(entry=entries, count=st.sampled_from([1, 8]))
    def spend(self, entry, count):
        balance = self.balance_by_entry[entry]
        balance.expire(self.now)
        for _ in range(min(count, balance.held)):
            balance.spend(len(self.spent_at))
            self.spent_at.append(self.now)

    @rule(entry=entries, wanted=st.sampled_from([1, 4, 8]))
    def exchange(self, entry, wanted):
        self.request_tokens(entry, 0, wanted)
        self.deliver_request(-1, is_kept=False)
        if self.now >= self.grants_from:
            self.deliver_grant(-1, is_kept=False)

    @rule()
    def spend_everything(self):
        for entry in ENTRIES:
            self.spend(entry, 100)

    @rule(entry=entries)
    def refund(self, entry):
        balance = self.balance_by_entry[entry]
        if balance.unreported_tickets and self.now < balance.expires_at:
            ticket = balance.unreported_tickets.pop()
            balance.held += 1
            self.spent_at[ticket] = float("inf")

    def teardown(self):
        if hasattr(self, "spent_at"):
            times = sorted(time for time in self.spent_at if time != float("inf"))
            target(max_excess_over_rate(times, RATE))

    @rule(entry=entries)
    def restart_entry(self, entry):
        self.balance_by_entry[entry] = TokenBalance("crew", 0)
        self.incarnation_by_entry[entry] += 1

    @rule()
    def lose_owner(self):
        self.epoch += 1
        self.grants_from = self.now + SHARE_LIFETIME_SECONDS
        self.ledger = Ledger(RATE, BURST, 0.0, self.grants_from)

    @rule()
    def hand_over(self):
        if self.now < self.grants_from:
            return
        self.ledger.accrue(self.now)
        self.epoch += 1
        self.ledger = restore_ledger(
            self.ledger.to_state("crew"), RATE, BURST, self.now
        )

    @rule(pause=PAUSES, first=entries, second=entries)
    def fail_over(self, pause, first, second):
        self.exchange(first, 8)
        self.lose_owner()
        self.wait(pause)
        self.exchange(second, 8)
        self.spend_everything()

    @rule(pause=PAUSES, entry=entries)
    def refund_late(self, pause, entry):
        self.exchange(entry, 8)
        self.spend(entry, 1)
        self.exchange(entry, 1)
        self.wait(pause)
        self.refund(entry)
        self.exchange(entry, 8)
        self.spend_everything()

    @invariant()
    def rate_holds_in_every_window(self):
        times = sorted(time for time in self.spent_at if time != float("inf"))
        assert max_excess_over_rate(times, RATE) <= BURST + 1e-6

    @invariant()
    def pool_and_shares_stay_within_the_burst(self):
        assert self.ledger.pool + self.ledger.outstanding <= BURST + 1e-6


ProtocolMachine.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=30,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
TestProtocolMachine = ProtocolMachine.TestCase
