"""Tokens of one client account as an entry holds them."""

import math
from collections import deque

import attrs

from knapweedlead.accounts._ledger import GRANT_SECONDS
from knapweedlead.accounts._messages import TokenGrant

HORIZON_SECONDS = 0.5
"""Seconds of demand for which an entry asks ahead."""

_SMOOTHING = 0.5


@attrs.frozen
class WaitingTake:
    """A request for a token that waits for a grant."""

    ticket: int
    since: float


@attrs.define
class Holding:
    """Tokens, waiting requests and demand of an account at one entry.

    Parameters
    ----------
    account : str
        Client account.
    slot : int
        Slot that its name names.
    held : int
        Unspent tokens.
    expires_at : float
        Time from which the held tokens may not be spent.
    sequence : int
        Last request sent.
    accepted : int
        Last request whose grant was accepted.
    """

    account: str
    slot: int
    held: int = 0
    expires_at: float = 0.0
    sequence: int = 0
    accepted: int = 0
    epoch: int = 0
    asked_at: float = -math.inf
    is_asking: bool = False
    attempt: int = 0
    reported: int = 0
    next_ask: float = 0.0
    used_at: float = 0.0
    burst: float = 0.0
    refused_until: float = 0.0
    taken: int = 0
    demand_per_s: float = 0.0
    waiting: deque[WaitingTake] = attrs.field(factory=deque)
    unreported_tickets: set[int] = attrs.field(factory=set)

    def spend(self, ticket: int) -> None:
        """Spend one held token."""
        self.held -= 1
        self.unreported_tickets.add(ticket)

    def expire(self, now: float) -> None:
        """Drop the held tokens whose time is over."""
        if now >= self.expires_at and self.held:
            self.held = 0
            self.unreported_tickets.clear()

    def target(self) -> int:
        """Return how many tokens the entry can use soon."""
        return math.ceil(self.demand_per_s * HORIZON_SECONDS)

    def begin_request(self, now: float) -> None:
        """Start a request and note what it reports."""
        elapsed = max(now - self.asked_at, HORIZON_SECONDS / 10)
        if not math.isinf(elapsed):
            latest = self.taken / elapsed
            self.demand_per_s += _SMOOTHING * (latest - self.demand_per_s)
        self.taken = 0
        self.sequence += 1
        self.asked_at = now
        self.is_asking = True
        self.reported = self.held
        self.unreported_tickets.clear()

    def accept(self, grant: TokenGrant, now: float) -> bool:
        """Take up a grant; False where it answers an earlier request."""
        if not self.is_asking or grant.sequence != self.sequence:
            return False
        self.is_asking = False
        self.attempt = 0
        if grant.epoch < self.epoch:
            return False
        self.expire(now)
        if grant.is_open:
            self.epoch = grant.epoch
            lost = self.reported - grant.confirmed
            self.held = max(0, self.held - lost) + grant.granted
            self.accepted = grant.sequence
            self.expires_at = self.asked_at + GRANT_SECONDS
            self.expire(now)
        return True
