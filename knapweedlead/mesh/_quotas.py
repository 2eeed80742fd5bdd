"""Rates of client accounts, divided among the daemons of the fleet."""

import attrs

from knapweedlead.mesh._configuration import ClientAccount
from knapweedlead.mesh._holders import Holders

EVEN_FRACTION = 0.6
"""Fraction of a burst that is granted evenly over the window; the rest may be used at
once."""
MIN_FLEET_CAPACITY = 8.0
"""Minimum tokens that an account can accumulate over the whole fleet, unless its burst
is smaller. With fewer tokens, unevenly arriving calls of a small account would be
refused."""
MIN_SHARE = 4.0
"""Minimum tokens that a daemon can accumulate. Smaller shares would mostly remain
unused at daemons that receive no calls."""
MAX_RETRY_AFTER = 2.0
"""Maximum seconds after which a refused call may be retried; later retries would miss
most deadlines."""
RESERVED_FRACTION = 0.3
"""Fraction of the tokens that a daemon can accumulate, beyond one token for the next
call, that is reserved for important calls."""
MIN_HOLDERS = 2
"""Minimum number of daemons that hold a share of an account, so that one may fail."""
BORROWED_LIFETIME = 1.0
"""Seconds for which tokens from another daemon may be used. If they did not expire, a
large fleet could accumulate more than the burst."""


@attrs.define(eq=False)
class _Bucket:
    tokens: float
    updated_at: float
    borrowed: float = 0.0
    borrowed_until: float = 0.0


class QuotaShares:
    """Share of each client account's rate and burst that this daemon may use.

    Several daemons, the holders, have a share of the rate each, so that together they
    stay within the rate without coordination. Tokens can be lent to another daemon,
    which moves them and creates none. All daemons are holders of a large account, but
    only a few are holders of a small account.

    The calls in each window are limited to the rate times the window's length, plus the
    burst. A fraction of the burst is granted evenly over the window, so that an account
    slightly above its rate is not refused calls that this limit allows.

    Parameters
    ----------
    local_name : str
    window : float
        Length in seconds of the window over which rate and burst are enforced.
    started_at : float
        Start of this daemon. Bursts accumulate from then, since a previous daemon of
        the same name may just have used its burst.
    """

    def __init__(self, local_name: str, window: float, started_at: float) -> None:
        self.local_name = local_name
        self.window = window
        self.started_at = started_at
        self.has_share = True
        self._members: frozenset[str] = frozenset({local_name})
        self._bucket_by_account: dict[str, _Bucket] = {}
        self._retry_at_by_account: dict[str, float] = {}
        self._holders_by_account: dict[ClientAccount, Holders] = {}

    def set_members(
        self,
        members: frozenset[str],
        now: float,
        by_name: dict[str, ClientAccount],
        has_share: bool = True,
    ) -> None:
        """Set the daemons among which the rates are divided, and the accounts.

        Parameters
        ----------
        members : frozenset of str
            Names of the daemons; the local one is always included.
        now : float
        by_name : dict of str to ClientAccount
            Current accounts; the state of other accounts is discarded.
        has_share : bool
            Whether this daemon may use its share. If not, it has no tokens but those
            that it borrows.
        """
        members |= {self.local_name}
        for name in self._bucket_by_account.keys() - by_name.keys():
            del self._bucket_by_account[name]
        # A daemon that becomes a holder starts without tokens, so all buckets are
        # refilled up to now with the previous holders.
        for account in by_name.values():
            self._refill(account, now)
        self.has_share = has_share
        if len(self._holders_by_account) > len(by_name):
            current = frozenset(by_name.values())
            for account in self._holders_by_account.keys() - current:
                del self._holders_by_account[account]
        if members != self._members:
            joined, left = members - self._members, self._members - members
            self._members = members
            for holders in self._holders_by_account.values():
                holders.update(members, joined, left)

    def holders(self, account: ClientAccount) -> frozenset[str]:
        """Return the names of the daemons that hold a share of an account."""
        holders = self._holders_by_account.get(account)
        if holders is None:
            capacity = _fleet_capacity(account)
            min_count = min(MIN_HOLDERS, max(1, int(capacity)))
            count = max(min_count, int(capacity / MIN_SHARE))
            holders = Holders(account.name, count, self._members)
            self._holders_by_account[account] = holders
        return holders.names

    def try_acquire(
        self, account: ClientAccount, now: float, is_important: bool = True
    ) -> bool:
        """Acquire one token; return whether one was available.

        A part of the capacity is reserved for important calls, so that they are not
        refused while an account is over its rate.
        """
        if account.rate <= 0.0:
            return True
        bucket = self._refill(account, now)
        if bucket.borrowed >= 1.0:
            bucket.borrowed -= 1.0
            return True
        reserve = 0.0 if is_important else self._reserve(account)
        if bucket.tokens < 1.0 + reserve:
            return False
        bucket.tokens -= 1.0
        return True

    def refund(self, account: ClientAccount, now: float) -> None:
        """Put the token of a call that was not run back into the bucket."""
        if account.rate > 0.0:
            self.add_borrowed(account, 1, now)

    def retry_after(self, account: ClientAccount, now: float) -> float:
        """Return the seconds after which a refused call may be retried.

        The retries of refused calls are spaced by the account's rate, so that they do
        not all compete for the same token.
        """
        spacing = self._retry_spacing(account)
        latest = max(now, self._retry_at_by_account.get(account.name, now)) + spacing
        latest = min(latest, now + MAX_RETRY_AFTER)
        self._retry_at_by_account[account.name] = latest
        return latest - now

    def record_retry_after(
        self, account: ClientAccount, seconds: float, now: float
    ) -> None:
        """Record the seconds until a holder has a token for the next refused call."""
        previous = now + seconds - self._retry_spacing(account)
        self._retry_at_by_account[account.name] = previous

    def _retry_spacing(self, account: ClientAccount) -> float:
        return len(self.holders(account)) / max(account.rate, 1.0)

    def lend(
        self,
        account: ClientAccount,
        wanted: int,
        now: float,
        is_important: bool = True,
    ) -> int:
        """Remove tokens for another daemon and return their number.

        Lends at most `wanted` tokens, and at most half of the available ones unless
        only one is available.
        """
        bucket = self._refill(account, now)
        spare = bucket.tokens - (0.0 if is_important else self._reserve(account))
        lent = max(0, min(wanted, max(int(spare / 2.0), int(spare >= 1.0))))
        bucket.tokens -= lent
        return lent

    def add_borrowed(self, account: ClientAccount, tokens: int, now: float) -> None:
        """Add tokens from another daemon, usable for `BORROWED_LIFETIME` seconds."""
        bucket = self._refill(account, now)
        bucket.borrowed += tokens
        bucket.borrowed_until = now + BORROWED_LIFETIME

    def tokens_needed(self, account: ClientAccount, seconds: float) -> int:
        """Return the number of tokens that this daemon may need within `seconds`."""
        return 1 + int(account.rate * seconds / len(self._members))

    def tokens(self, account: ClientAccount, now: float) -> float:
        """Return the available tokens, including borrowed ones."""
        bucket = self._refill(account, now)
        return bucket.tokens + bucket.borrowed

    def _refill(self, account: ClientAccount, now: float) -> _Bucket:
        bucket = self._bucket_by_account.get(account.name)
        if bucket is None:
            bucket = _Bucket(0.0, self.started_at)
            self._bucket_by_account[account.name] = bucket
        elapsed = now - bucket.updated_at
        bucket.updated_at = now
        if now > bucket.borrowed_until:
            bucket.borrowed = 0.0
        holders = self.holders(account)
        if self.has_share and self.local_name in holders:
            capacity = _fleet_capacity(account) / len(holders)
            earned = elapsed * self._refill_rate(account) / len(holders)
            bucket.tokens = min(max(1.0, capacity), bucket.tokens + earned)
        else:
            bucket.tokens = 0.0
        return bucket

    def _reserve(self, account: ClientAccount) -> float:
        holders = self.holders(account)
        if self.local_name not in holders:
            return 0.0
        capacity = _fleet_capacity(account) / len(holders)
        return max(0.0, capacity - 1.0) * RESERVED_FRACTION

    def _refill_rate(self, account: ClientAccount) -> float:
        return account.rate + (account.burst - _fleet_capacity(account)) / self.window


def _fleet_capacity(account: ClientAccount) -> float:
    """Return the tokens that an account can accumulate over the whole fleet."""
    return max(
        account.burst * (1.0 - EVEN_FRACTION), min(account.burst, MIN_FLEET_CAPACITY)
    )
