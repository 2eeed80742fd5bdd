"""Token accounting for one client account at its slot's owner.

The pool and the tokens that entries may still spend never exceed the burst in
total, and the pool grows by at most the rate. Hence entries spend at most
burst + rate x window in every window. See docs/design/rates.md for the proof.
"""

import math

import attrs

from knapweedlead.accounts._messages import LedgerState, ShareState, TokenRequest
from knapweedlead.ownership import CLOCK_MARGIN, MAX_CLOCK_RATE_ERROR

GRANT_LIFETIME_SECONDS = 3.0
"""Seconds for which a grant is valid, counted from when the entry requested it."""

SHARE_LIFETIME_SECONDS = GRANT_LIFETIME_SECONDS * CLOCK_MARGIN
"""Seconds after a report at which the owner treats the entry's tokens as expired."""


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
        Sequence number of the last request that was processed.
    confirmed : int
        Tokens that the entry reported as held and the owner confirmed.
    granted : int
        Tokens granted in reply to the request numbered `sequence`.
    expires_at : float
        Time by which the tokens have expired on the clock of the entry as well.
    """

    peer: str
    incarnation: int
    sequence: int = 0
    confirmed: int = 0
    granted: int = 0
    expires_at: float = 0.0
    recalled_at: float = -math.inf

    @property
    def tokens(self) -> int:
        """Return the maximum number of tokens that the entry may hold."""
        return self.confirmed + self.granted


@attrs.define
class Ledger:
    """Pool and shares of one account.

    Parameters
    ----------
    rate_per_s, burst : float
        Current limits of the account.
    pool : float
        Tokens that are available to grant.
    updated_at : float
        Time to which the pool has been accrued.
    """

    rate_per_s: float
    burst: float
    pool: float
    updated_at: float
    share_by_entry: dict[str, Share] = attrs.field(factory=dict)

    @property
    def outstanding(self) -> int:
        """Return the maximum number of tokens that all entries may hold in total."""
        return sum(share.tokens for share in self.share_by_entry.values())

    def accrue(self, now: float) -> None:
        """Add the tokens earned since the last call and clear expired shares.

        The pool is first filled up to the limit that applied before the expiry:
        an expired share frees capacity only for tokens earned afterwards.
        """
        elapsed = max(0.0, now - self.updated_at)
        earned = elapsed * self.rate_per_s * (1.0 - MAX_CLOCK_RATE_ERROR)
        free = max(0.0, self.burst - self.pool - self.outstanding)
        self.pool += min(earned, free)
        self.updated_at = max(self.updated_at, now)
        for share in self.share_by_entry.values():
            if share.tokens and share.expires_at <= now:
                share.confirmed = share.granted = 0

    def set_limits(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change rate and burst, and reduce the pool to fit the new burst."""
        if (rate_per_s, burst) == (self.rate_per_s, self.burst):
            return
        self.accrue(now)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.pool = max(0.0, min(self.pool, burst - self.outstanding))

    def apply_report(
        self, peer: str, request: TokenRequest, now: float
    ) -> Share | None:
        """Update the share of an entry from its request.

        Returns None if the request is outdated.
        """
        self.accrue(now)
        share = self.share_by_entry.get(request.entry)
        if share is None:
            share = Share(peer, request.incarnation)
            self.share_by_entry[request.entry] = share
        if request.incarnation < share.incarnation:
            return None
        if request.incarnation > share.incarnation:
            return self._reset_share(peer, request, share, now)
        if request.sequence <= share.sequence:
            return None
        if request.accepted != share.sequence:
            self.pool += share.granted
            share.granted = 0
        limit = share.tokens
        held = min(request.held, limit)
        self.pool += min(request.returned, limit - held)
        self._record_report(peer, request, share, held, now)
        return share

    def _reset_share(
        self, peer: str, request: TokenRequest, share: Share, now: float
    ) -> Share:
        """Apply the first report of a restarted entry.

        The tokens held before the restart were lost with the process memory.
        """
        share.incarnation = request.incarnation
        self._record_report(peer, request, share, 0, now)
        return share

    def _record_report(
        self, peer: str, request: TokenRequest, share: Share, held: int, now: float
    ) -> None:
        share.peer = peer
        share.sequence = request.sequence
        share.confirmed = held
        share.granted = 0
        share.expires_at = now + SHARE_LIFETIME_SECONDS

    def grant(self, share: Share, needed: int, wanted: int) -> int:
        """Move tokens from the pool to a share and return their number.

        Tokens beyond `needed` are granted only up to half of the pool, which
        leaves the other half for other entries.
        """
        whole = math.floor(self.pool)
        spare = min(wanted, whole // 2)
        granted = max(0, min(whole, max(needed, spare)))
        self.pool -= granted
        share.granted = granted
        return granted

    def seconds_to_token(self) -> float:
        """Return the seconds until the pool holds one whole token."""
        if self.rate_per_s <= 0.0:
            return math.inf
        return max(0.0, 1.0 - self.pool) / self.rate_per_s

    def holders(self, excluding: str) -> list[Share]:
        """Return the shares that have tokens, except the share of entry `excluding`."""
        return [
            share
            for entry, share in self.share_by_entry.items()
            if share.tokens and entry != excluding
        ]

    def remove_idle(self, now: float) -> None:
        """Remove empty shares whose entry has not reported for the retention time."""
        self.accrue(now)
        idle = [
            entry
            for entry, share in self.share_by_entry.items()
            if not share.tokens and share.expires_at + SHARE_RETENTION_SECONDS <= now
        ]
        for entry in idle:
            del self.share_by_entry[entry]

    def to_state(self, account: str) -> LedgerState:
        """Return the ledger as a message field for the next owner."""
        shares = tuple(
            ShareState(entry, s.peer, s.incarnation, s.sequence, s.confirmed, s.granted)
            for entry, s in self.share_by_entry.items()
        )
        return LedgerState(account, self.pool, shares)


SHARE_RETENTION_SECONDS = 600.0
"""Seconds for which the sequence number of an unresponsive entry is retained."""


def restore_ledger(
    state: LedgerState, rate_per_s: float, burst: float, now: float
) -> Ledger:
    """Return a handed-over ledger, with all share lifetimes starting at `now`."""
    shares = {
        s.entry: Share(
            s.peer,
            s.incarnation,
            s.sequence,
            s.confirmed,
            s.granted,
            now + SHARE_LIFETIME_SECONDS,
        )
        for s in state.shares
    }
    return Ledger(rate_per_s, burst, state.pool, now, shares)
