"""Tokens of one client account at an entry."""

import math
from collections import deque

import attrs

from knapweedlead.accounts._ledger import GRANT_LIFETIME_SECONDS
from knapweedlead.accounts._messages import TokenGrant
from knapweedlead.ownership import OwnerAttempts

DEMAND_HORIZON_SECONDS = 0.5
"""Seconds of expected demand that an entry requests in advance."""

_DEMAND_SMOOTHING = 0.5


@attrs.frozen
class WaitingCall:
    """A call that waits for a token."""

    ticket: int
    queued_at: float


@attrs.define
class TokenBalance:
    """Tokens, waiting calls and estimated demand of an account at one entry.

    Parameters
    ----------
    account : str
        Name of the client account.
    slot : int
        Slot to which the account name hashes.
    held : int
        Unspent tokens.
    expires_at : float
        Monotonic time, in seconds, from which the held tokens may not be spent.
    sequence : int
        Sequence number of the last request sent.
    accepted : int
        Sequence number of the last request whose grant was accepted.
    """

    account: str
    slot: int
    held: int = 0
    expires_at: float = 0.0
    sequence: int = 0
    accepted: int = 0
    epoch: int = 0
    requested_at: float = -math.inf
    is_request_pending: bool = False
    attempts: OwnerAttempts = attrs.field(factory=OwnerAttempts)
    reported_tokens: int = 0
    next_request_at: float = 0.0
    last_call_at: float = 0.0
    burst: float = 0.0
    refused_until: float = 0.0
    calls_since_request: int = 0
    demand_per_s: float = 0.0
    waiting: deque[WaitingCall] = attrs.field(factory=deque)
    unreported_tickets: set[int] = attrs.field(factory=set)

    def spend(self, ticket: int) -> None:
        """Spend one held token for a call."""
        self.held -= 1
        self.unreported_tickets.add(ticket)

    def expire(self, now: float) -> None:
        """Discard the held tokens if they have expired."""
        if now >= self.expires_at and self.held:
            self.held = 0
            self.unreported_tickets.clear()

    def expected_demand(self) -> int:
        """Return the number of tokens expected to be spent within the horizon."""
        return math.ceil(self.demand_per_s * DEMAND_HORIZON_SECONDS)

    def begin_request(self, now: float) -> None:
        """Update the demand estimate and record the tokens that a request reports."""
        elapsed = max(now - self.requested_at, DEMAND_HORIZON_SECONDS / 10)
        if not math.isinf(elapsed):
            latest = self.calls_since_request / elapsed
            self.demand_per_s += _DEMAND_SMOOTHING * (latest - self.demand_per_s)
        self.calls_since_request = 0
        self.sequence += 1
        self.requested_at = now
        self.is_request_pending = True
        self.reported_tokens = self.held
        self.unreported_tickets.clear()

    def accept(self, grant: TokenGrant, now: float) -> bool:
        """Apply a grant; return False if it belongs to an earlier request or epoch."""
        if not self.is_request_pending or grant.sequence != self.sequence:
            return False
        self.is_request_pending = False
        self.attempts.failed = 0
        if grant.epoch < self.epoch:
            return False
        self.expire(now)
        if grant.is_granting:
            self.epoch = grant.epoch
            lost = self.reported_tokens - grant.confirmed
            self.held = max(0, self.held - lost) + grant.granted
            self.accepted = grant.sequence
            self.expires_at = self.requested_at + GRANT_LIFETIME_SECONDS
            self.expire(now)
        return True
