"""Meter whose tokens are granted to entries by slot owners."""

import math
from collections.abc import Iterator

from knapweedlead.accounts._balance import TokenBalance, WaitingCall
from knapweedlead.accounts._messages import TokenGrant, TokenRequest
from knapweedlead.accounts._meter import METERS, Meter, MeterContext
from knapweedlead.accounts._tokens import TokenDecision, TokensDecided
from knapweedlead.configuration import ClientAccount
from knapweedlead.node import Effect, Notify, SendMessage, WakeAt
from knapweedlead.ownership import slot_of

REPLY_TIMEOUT_SECONDS = 0.25
"""Seconds without a grant after which a request is retried with the next peer."""

ACQUIRE_TIMEOUT_SECONDS = 1.0
"""Longest time, in seconds, that a call waits for a token."""

REPORT_INTERVAL_SECONDS = 0.5
"""Longest time, in seconds, before spent tokens are reported."""

REPORT_BURST_FRACTION = 0.05
"""Unreported spent tokens, as a fraction of the burst, that trigger a report.

The owner counts spent tokens against the burst until they are reported, which
limits the tokens that the owner's pool can earn.
"""

REQUEST_INTERVAL_SECONDS = 0.02
"""Minimum seconds between two requests of an entry that holds tokens."""

IDLE_SECONDS = 1.0
"""Seconds without a call after which an entry returns its tokens."""

RETRY_DELAY_SECONDS = 0.05
"""Seconds between a request that failed or had no peer and the next request."""

MAX_LOCAL_REFUSAL_SECONDS = 0.25
"""Longest time, in seconds, that an entry refuses calls without a new request
to the owner."""

MAX_WAITING_CALLS = 2000
"""Largest number of calls that wait for tokens of one account."""

RECALL_KEEP_SECONDS = 0.1
"""Seconds of estimated demand for which an entry keeps tokens at a recall."""

_MS_PER_S = 1000


@METERS.register("escrowed")
class EscrowedMeter(Meter):
    """Spends granted tokens and requests more from the owner of the account's slot.

    Parameters
    ----------
    context : MeterContext
        Identity and roles that the meter reads.
    """

    def __init__(self, context: MeterContext) -> None:
        self.identity = context.identity
        self.ownership = context.ownership
        self._balance_by_account: dict[str, TokenBalance] = {}

    def acquire(
        self, account: ClientAccount, ticket: int, now: float
    ) -> tuple[TokenDecision, list[Effect]]:
        """Spend a held token; otherwise refuse the call or queue it for a grant."""
        balance = self._balance_by_account.get(account.name)
        if balance is None:
            balance = self._add_balance(account.name)
        balance.calls_since_request += 1
        balance.last_call_at = now
        balance.burst = account.burst
        if balance.held > 0 and now < balance.expires_at and not balance.waiting:
            balance.spend(ticket)
            if self._is_report_due(balance, now):
                return TokenDecision.GRANTED, list(self._request_tokens(balance, now))
            return TokenDecision.GRANTED, []
        if now < balance.refused_until:
            return TokenDecision.REFUSED, []
        if len(balance.waiting) >= MAX_WAITING_CALLS:
            return TokenDecision.UNAVAILABLE, []
        balance.waiting.append(WaitingCall(ticket, now))
        if self._may_request(balance, now):
            return TokenDecision.PENDING, list(self._request_tokens(balance, now))
        return TokenDecision.PENDING, []

    def held_by_account(self, now: float) -> dict[str, int]:
        """Return the unspent, unexpired tokens of each client account at this entry."""
        return {
            name: balance.held if now < balance.expires_at else 0
            for name, balance in self._balance_by_account.items()
        }

    def _add_balance(self, name: str) -> TokenBalance:
        slot = slot_of(f"account/{name}", self.ownership.number_of_slots)
        balance = TokenBalance(name, slot)
        self._balance_by_account[name] = balance
        return balance

    def refund(self, account: str, ticket: int, now: float) -> list[Effect]:
        """Restore a spent token unless it was already reported or has expired."""
        balance = self._balance_by_account.get(account)
        if balance is None or ticket not in balance.unreported_tickets:
            return []
        if now >= balance.expires_at:
            return []
        balance.unreported_tickets.discard(ticket)
        balance.held += 1
        return []

    def _is_report_due(self, balance: TokenBalance, now: float) -> bool:
        if (
            not self._may_request(balance, now)
            or now < balance.requested_at + REQUEST_INTERVAL_SECONDS
        ):
            return False
        unreported = len(balance.unreported_tickets)
        is_low = balance.held < balance.expected_demand() // 2
        return is_low or unreported >= balance.burst * REPORT_BURST_FRACTION

    def _may_request(self, balance: TokenBalance, now: float) -> bool:
        return not balance.is_request_pending and now >= balance.next_request_at

    def _request_tokens(
        self, balance: TokenBalance, now: float, returned: int = 0
    ) -> Iterator[Effect]:
        peer = balance.attempts.peer(self.ownership, balance.slot)
        if not peer:
            balance.next_request_at = now + RETRY_DELAY_SECONDS
            yield from self.ownership.refresh(balance.slot, now)
            yield WakeAt(balance.next_request_at)
            return
        balance.expire(now)
        returned = min(returned, balance.held)
        balance.held -= returned
        balance.begin_request(now)
        needed = max(0, len(balance.waiting) - balance.held)
        wanted = (
            0 if returned else max(needed, balance.expected_demand() - balance.held)
        )
        request = TokenRequest(
            slot=balance.slot,
            account=balance.account,
            entry=self.identity.name,
            incarnation=self.identity.incarnation,
            sequence=balance.sequence,
            accepted=balance.accepted,
            held=balance.held,
            returned=returned,
            needed=needed,
            wanted=wanted,
        )
        yield SendMessage(peer, request)

    def on_grant(self, grant: TokenGrant, now: float) -> Iterator[Effect]:
        """Apply a grant, then serve or refuse the waiting calls."""
        balance = self._balance_by_account.get(grant.account)
        if balance is None or grant.incarnation != self.identity.incarnation:
            return
        if not balance.accept(grant, now):
            return
        yield from self._grant_waiting(balance)
        retry_after = grant.retry_after_ms / _MS_PER_S
        pause = min(retry_after, MAX_LOCAL_REFUSAL_SECONDS)
        if not grant.is_granting:
            balance.next_request_at = now + pause
            yield WakeAt(balance.next_request_at)
            return
        if not balance.waiting:
            if balance.unreported_tickets:
                yield WakeAt(balance.requested_at + REQUEST_INTERVAL_SECONDS)
            return
        if grant.granted:
            yield from self._request_tokens(balance, now)
            return
        balance.refused_until = now + pause
        while balance.waiting:
            ticket = balance.waiting.popleft().ticket
            decision = TokenDecision.REFUSED
            yield Notify(TokensDecided(ticket, decision, grant.retry_after_ms))

    def _grant_waiting(self, balance: TokenBalance) -> Iterator[Effect]:
        while balance.waiting and balance.held > 0:
            call = balance.waiting.popleft()
            balance.spend(call.ticket)
            yield Notify(TokensDecided(call.ticket, TokenDecision.GRANTED, 0))

    def on_recall(self, account: str, now: float) -> Iterator[Effect]:
        """Return the tokens beyond the demand of the next `RECALL_KEEP_SECONDS`."""
        balance = self._balance_by_account.get(account)
        if balance is None or balance.is_request_pending:
            return
        balance.expire(now)
        is_idle = now >= balance.last_call_at + RECALL_KEEP_SECONDS
        keep = 0
        if not is_idle:
            keep = math.ceil(balance.demand_per_s * RECALL_KEEP_SECONDS)
        yield from self._request_tokens(
            balance, now, returned=max(0, balance.held - keep)
        )

    def on_hint(self, slot: int, now: float) -> Iterator[Effect]:
        """Schedule the retry of pending requests of a slot, with a new owner first."""
        for balance in self._balance_by_account.values():
            if balance.slot == slot and balance.is_request_pending:
                balance.is_request_pending = False
                balance.attempts.failed += 1
                balance.next_request_at = now + RETRY_DELAY_SECONDS
                yield WakeAt(balance.next_request_at)

    def on_send_failed(self, account: str, now: float) -> Iterator[Effect]:
        """Retry an undelivered request with the next peer."""
        balance = self._balance_by_account.get(account)
        if balance is not None and balance.is_request_pending:
            yield from self._retry_with_next_peer(balance, now)

    def _retry_with_next_peer(
        self, balance: TokenBalance, now: float
    ) -> Iterator[Effect]:
        balance.is_request_pending = False
        balance.attempts.failed += 1
        balance.next_request_at = now + RETRY_DELAY_SECONDS
        yield from self.ownership.refresh(balance.slot, now)
        yield WakeAt(balance.next_request_at)

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Retry unanswered requests, report spent tokens and return idle tokens."""
        for balance in self._balance_by_account.values():
            if (
                balance.is_request_pending
                and now >= balance.requested_at + REPLY_TIMEOUT_SECONDS
            ):
                yield from self._retry_with_next_peer(balance, now)
            yield from self._expire_waiting(balance, now)
            if not self._may_request(balance, now):
                continue
            if balance.waiting:
                yield from self._request_tokens(balance, now)
            elif balance.held and now >= balance.last_call_at + IDLE_SECONDS:
                yield from self._request_tokens(balance, now, returned=balance.held)
            elif balance.unreported_tickets and (
                now >= balance.requested_at + REPORT_INTERVAL_SECONDS
                or self._is_report_due(balance, now)
            ):
                yield from self._request_tokens(balance, now)

    def _expire_waiting(self, balance: TokenBalance, now: float) -> Iterator[Effect]:
        while (
            balance.waiting
            and now >= balance.waiting[0].queued_at + ACQUIRE_TIMEOUT_SECONDS
        ):
            ticket = balance.waiting.popleft().ticket
            yield Notify(TokensDecided(ticket, TokenDecision.UNAVAILABLE, 0))
