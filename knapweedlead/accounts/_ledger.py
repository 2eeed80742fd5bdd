"""Tokens of one client account as its slot's owner counts them.

The pool and all tokens that entries may still spend together never exceed the
burst, and the pool grows by the rate at most. So, in every window, entries
spend at most burst + rate x window. See docs/design/rates.md for the proof.
"""

import math

import attrs

from knapweedlead.accounts._messages import LedgerState, ShareState, TokenRequest
from knapweedlead.ownership import CLOCK_MARGIN, MAX_CLOCK_RATE_ERROR

GRANT_SECONDS = 3.0
"""Seconds for which a grant is valid, from when the entry asked for it."""

HELD_SECONDS = GRANT_SECONDS * CLOCK_MARGIN
"""Seconds after which the owner may count the tokens of a silent entry as gone."""


@attrs.define
class Share:
    """Tokens that one entry may still spend.

    Parameters
    ----------
    peer : str
        Link address of the entry.
    incarnation : int
        Start identity of the entry.
    sequence : int
        Last request that was processed.
    base : int
        Held tokens that it confirmed.
    granted : int
        Tokens that its grant added.
    expires_at : float
        When the tokens have certainly expired at the entry.
    """

    peer: str
    incarnation: int
    sequence: int = 0
    base: int = 0
    granted: int = 0
    expires_at: float = 0.0
    recalled_at: float = -math.inf

    @property
    def tokens(self) -> int:
        """Return the most tokens that the entry may hold."""
        return self.base + self.granted


@attrs.define
class Ledger:
    """Pool and shares of an account.

    Parameters
    ----------
    rate_per_s, burst : float
        Terms in force.
    pool : float
        Tokens at hand.
    updated_at : float
        When the pool was last computed.
    """

    rate_per_s: float
    burst: float
    pool: float
    updated_at: float
    share_by_entry: dict[str, Share] = attrs.field(factory=dict)

    @property
    def outstanding(self) -> int:
        """Return the most tokens that entries may hold together."""
        return sum(share.tokens for share in self.share_by_entry.values())

    def accrue(self, now: float) -> None:
        """Bring the pool up to date and drop the shares that have expired.

        The pool fills under the limit that held until now: an expiry makes room
        only for what is earned after it.
        """
        elapsed = max(0.0, now - self.updated_at)
        earned = elapsed * self.rate_per_s * (1.0 - MAX_CLOCK_RATE_ERROR)
        room = max(0.0, self.burst - self.pool - self.outstanding)
        self.pool += min(earned, room)
        self.updated_at = max(self.updated_at, now)
        for share in self.share_by_entry.values():
            if share.tokens and share.expires_at <= now:
                share.base = share.granted = 0

    def set_terms(self, rate_per_s: float, burst: float, now: float) -> None:
        """Take up another rate and burst."""
        if (rate_per_s, burst) == (self.rate_per_s, self.burst):
            return
        self.accrue(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.pool = max(0.0, min(self.pool, burst - self.outstanding))

    def report(self, peer: str, request: TokenRequest, now: float) -> Share | None:
        """Take up what an entry reports; None where the report is outdated."""
        self.accrue(now)
        share = self.share_by_entry.get(request.entry)
        if share is None:
            share = Share(peer, request.incarnation)
            self.share_by_entry[request.entry] = share
        if request.incarnation < share.incarnation:
            return None
        if request.incarnation > share.incarnation:
            return self._succeed(peer, request, share, now)
        if request.sequence <= share.sequence:
            return None
        if request.accepted != share.sequence:
            self.pool += share.granted
            share.granted = 0
        limit = share.tokens
        held = min(request.held, limit)
        self.pool += min(request.returned, limit - held)
        self._confirm(peer, request, share, held, now)
        return share

    def _succeed(
        self, peer: str, request: TokenRequest, share: Share, now: float
    ) -> Share:
        """Take up the first report of a restarted entry.

        What the earlier start held is gone with its memory.
        """
        share.incarnation = request.incarnation
        self._confirm(peer, request, share, 0, now)
        return share

    def _confirm(
        self, peer: str, request: TokenRequest, share: Share, held: int, now: float
    ) -> None:
        share.peer = peer
        share.sequence = request.sequence
        share.base = held
        share.granted = 0
        share.expires_at = now + HELD_SECONDS

    def grant(self, share: Share, needed: int, wanted: int) -> int:
        """Move tokens from the pool to a share.

        More than is needed at once comes only from one half of the pool, which
        leaves the other half to other entries.
        """
        whole = math.floor(self.pool)
        spare = min(wanted, whole // 2)
        granted = max(0, min(whole, max(needed, spare)))
        self.pool -= granted
        share.granted = granted
        return granted

    def seconds_to_token(self) -> float:
        """Return the seconds until the pool holds a whole token."""
        if self.rate_per_s <= 0.0:
            return math.inf
        return max(0.0, 1.0 - self.pool) / self.rate_per_s

    def holders(self, besides: str) -> list[Share]:
        """Return the shares with tokens, but for one entry's."""
        return [
            share
            for entry, share in self.share_by_entry.items()
            if share.tokens and entry != besides
        ]

    def forget_idle(self, now: float) -> None:
        """Drop shares without tokens of entries that have long been silent."""
        self.accrue(now)
        idle = [
            entry
            for entry, share in self.share_by_entry.items()
            if not share.tokens and share.expires_at + FORGET_SECONDS <= now
        ]
        for entry in idle:
            del self.share_by_entry[entry]

    def state(self, account: str) -> LedgerState:
        """Return the ledger for a successor."""
        shares = tuple(
            ShareState(entry, s.peer, s.incarnation, s.sequence, s.base, s.granted)
            for entry, s in self.share_by_entry.items()
        )
        return LedgerState(account, self.pool, shares)


FORGET_SECONDS = 600.0
"""Seconds for which the sequence of a silent entry is kept."""


def ledger_of(
    state: LedgerState, rate_per_s: float, burst: float, now: float
) -> Ledger:
    """Return the ledger that a predecessor handed over."""
    shares = {
        s.entry: Share(
            s.peer, s.incarnation, s.sequence, s.base, s.granted, now + HELD_SECONDS
        )
        for s in state.shares
    }
    return Ledger(rate_per_s, burst, state.pool, now, shares)
