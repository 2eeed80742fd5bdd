"""Metering by tokens that slot owners grant to entries."""

import math
from collections.abc import Iterator

from knapweedlead.accounts._holding import Holding, WaitingTake
from knapweedlead.accounts._messages import TokenGrant, TokenRequest
from knapweedlead.accounts._meter import METERS, Meter, MeterContext
from knapweedlead.accounts._tokens import TokenDecision, TokensDecided
from knapweedlead.configuration import ClientAccount
from knapweedlead.node import Effect, Notify, SendMessage, WakeAt
from knapweedlead.ownership import slot_of

ANSWER_TIMEOUT = 0.25
"""Seconds after which a request for tokens is sent anew."""

TAKE_TIMEOUT = 1.0
"""Seconds for which a call waits for a token."""

REPORT_SECONDS = 0.5
"""Seconds after which spent tokens are reported at the latest."""

REPORT_SHARE = 0.05
"""Spent tokens that an entry reports at once, as a share of the burst.

Until then they leave no room in the owner's bucket, which earns nothing where it
would overflow.
"""

REPORT_PAUSE = 0.02
"""Seconds between two requests of an entry that holds tokens."""

IDLE_SECONDS = 1.0
"""Seconds without a call after which an entry returns its tokens."""

ASK_PAUSE = 0.05
"""Seconds until a request that reached nobody is sent anew."""

MAX_REFUSAL_SECONDS = 0.25
"""Longest time for which an entry refuses without asking."""

MAX_WAITING = 2000
"""Calls that wait for tokens of one account."""

RECALL_KEEP_SECONDS = 0.1
"""Seconds of demand for which an entry keeps tokens that are recalled."""

_MS_PER_S = 1000


@METERS.register("escrowed")
class EscrowedMeter(Meter):
    """Spends granted tokens, and asks the owner of the account's slot for more.

    Parameters
    ----------
    context : MeterContext
        What the meter works with.
    """

    def __init__(self, context: MeterContext) -> None:
        self.identity = context.identity
        self.ownership = context.ownership
        self._by_account: dict[str, Holding] = {}

    def take(
        self, account: ClientAccount, ticket: int, now: float
    ) -> tuple[TokenDecision, list[Effect]]:
        """Take one token of an account."""
        holding = self._by_account.get(account.name)
        if holding is None:
            holding = self._new_holding(account.name)
        holding.taken += 1
        holding.used_at = now
        holding.burst = account.burst
        if holding.held > 0 and now < holding.expires_at and not holding.waiting:
            holding.spend(ticket)
            if self._is_report_due(holding, now):
                return TokenDecision.GRANTED, list(self._ask(holding, now))
            return TokenDecision.GRANTED, []
        if now < holding.refused_until:
            return TokenDecision.REFUSED, []
        if len(holding.waiting) >= MAX_WAITING:
            return TokenDecision.UNAVAILABLE, []
        holding.waiting.append(WaitingTake(ticket, now))
        if self._may_ask(holding, now):
            return TokenDecision.PENDING, list(self._ask(holding, now))
        return TokenDecision.PENDING, []

    def held_by_account(self, now: float) -> dict[str, int]:
        """Return the unspent tokens of each client account."""
        return {
            name: holding.held if now < holding.expires_at else 0
            for name, holding in self._by_account.items()
        }

    def _new_holding(self, name: str) -> Holding:
        slot = slot_of(f"account/{name}", self.ownership.number_of_slots)
        holding = Holding(name, slot)
        self._by_account[name] = holding
        return holding

    def give_back(self, account: str, ticket: int, now: float) -> list[Effect]:
        """Return a token unless its spending has been reported."""
        holding = self._by_account.get(account)
        if holding is None or ticket not in holding.unreported_tickets:
            return []
        if now >= holding.expires_at:
            return []
        holding.unreported_tickets.discard(ticket)
        holding.held += 1
        return []

    def _is_report_due(self, holding: Holding, now: float) -> bool:
        if not self._may_ask(holding, now) or now < holding.asked_at + REPORT_PAUSE:
            return False
        unreported = len(holding.unreported_tickets)
        is_low = holding.held < holding.target() // 2
        return is_low or unreported >= holding.burst * REPORT_SHARE

    def _may_ask(self, holding: Holding, now: float) -> bool:
        return not holding.is_asking and now >= holding.next_ask

    def _ask(self, holding: Holding, now: float, returned: int = 0) -> Iterator[Effect]:
        peer = self.ownership.peer_of(holding.slot, holding.attempt)
        if not peer:
            holding.next_ask = now + ASK_PAUSE
            yield from self.ownership.refresh(holding.slot, now)
            yield WakeAt(holding.next_ask)
            return
        holding.expire(now)
        returned = min(returned, holding.held)
        holding.held -= returned
        holding.begin_request(now)
        needed = max(0, len(holding.waiting) - holding.held)
        wanted = 0 if returned else max(needed, holding.target() - holding.held)
        request = TokenRequest(
            slot=holding.slot,
            account=holding.account,
            entry=self.identity.name,
            incarnation=self.identity.incarnation,
            sequence=holding.sequence,
            accepted=holding.accepted,
            held=holding.held,
            returned=returned,
            needed=needed,
            wanted=wanted,
        )
        yield SendMessage(peer, request)

    def on_grant(self, grant: TokenGrant, now: float) -> Iterator[Effect]:
        """Serve the waiting calls from a grant."""
        holding = self._by_account.get(grant.account)
        if holding is None or grant.incarnation != self.identity.incarnation:
            return
        if not holding.accept(grant, now):
            return
        yield from self._serve(holding)
        retry_after = grant.retry_after_ms / _MS_PER_S
        pause = min(retry_after, MAX_REFUSAL_SECONDS)
        if not grant.is_open:
            holding.next_ask = now + pause
            yield WakeAt(holding.next_ask)
            return
        if not holding.waiting:
            if holding.unreported_tickets:
                yield WakeAt(holding.asked_at + REPORT_PAUSE)
            return
        if grant.granted:
            yield from self._ask(holding, now)
            return
        holding.refused_until = now + pause
        while holding.waiting:
            ticket = holding.waiting.popleft().ticket
            decision = TokenDecision.REFUSED
            yield Notify(TokensDecided(ticket, decision, grant.retry_after_ms))

    def _serve(self, holding: Holding) -> Iterator[Effect]:
        while holding.waiting and holding.held > 0:
            take = holding.waiting.popleft()
            holding.spend(take.ticket)
            yield Notify(TokensDecided(take.ticket, TokenDecision.GRANTED, 0))

    def on_recall(self, account: str, now: float) -> Iterator[Effect]:
        """Return the tokens that are not about to be used."""
        holding = self._by_account.get(account)
        if holding is None or holding.is_asking:
            return
        holding.expire(now)
        is_idle = now >= holding.used_at + RECALL_KEEP_SECONDS
        keep = 0
        if not is_idle:
            keep = math.ceil(holding.demand_per_s * RECALL_KEEP_SECONDS)
        yield from self._ask(holding, now, returned=max(0, holding.held - keep))

    def on_hint(self, slot: int, now: float) -> Iterator[Effect]:
        """Ask the owner that became known."""
        for holding in self._by_account.values():
            if holding.slot == slot and holding.is_asking:
                holding.is_asking = False
                holding.attempt += 1
                holding.next_ask = now + ASK_PAUSE
                yield WakeAt(holding.next_ask)

    def on_unsent(self, account: str, now: float) -> Iterator[Effect]:
        """Ask another peer soon; the request reached nobody."""
        holding = self._by_account.get(account)
        if holding is not None and holding.is_asking:
            yield from self._miss(holding, now)

    def _miss(self, holding: Holding, now: float) -> Iterator[Effect]:
        holding.is_asking = False
        holding.attempt += 1
        holding.next_ask = now + ASK_PAUSE
        yield from self.ownership.refresh(holding.slot, now)
        yield WakeAt(holding.next_ask)

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Repeat unanswered requests, report, and return idle tokens."""
        for holding in self._by_account.values():
            if holding.is_asking and now >= holding.asked_at + ANSWER_TIMEOUT:
                yield from self._miss(holding, now)
            yield from self._end_old_waits(holding, now)
            if not self._may_ask(holding, now):
                continue
            if holding.waiting:
                yield from self._ask(holding, now)
            elif holding.held and now >= holding.used_at + IDLE_SECONDS:
                yield from self._ask(holding, now, returned=holding.held)
            elif holding.unreported_tickets and (
                now >= holding.asked_at + REPORT_SECONDS
                or self._is_report_due(holding, now)
            ):
                yield from self._ask(holding, now)

    def _end_old_waits(self, holding: Holding, now: float) -> Iterator[Effect]:
        while holding.waiting and now >= holding.waiting[0].since + TAKE_TIMEOUT:
            ticket = holding.waiting.popleft().ticket
            yield Notify(TokensDecided(ticket, TokenDecision.UNAVAILABLE, 0))
