"""Rates of client accounts, divided among the daemons of a fleet."""

import attrs

from knapweedlead.mesh._configuration import ClientAccount


@attrs.define(eq=False)
class _Bucket:
    tokens: float
    updated_at: float


class QuotaShares:
    """Share of each client account's rate and burst that this daemon may use.

    Each of ``members`` daemons admits a part of the rate, so that all of them
    together stay within it without asking each other. Tokens can be lent to
    another daemon, which moves them and makes none.

    Parameters
    ----------
    started_at : float
        Start of this daemon. Bursts are saved up from then, since a daemon of the
        same name may have spent its burst just before.
    """

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.members = 1
        self._bucket_by_account: dict[str, _Bucket] = {}

    def set_members(
        self, members: int, now: float, by_name: dict[str, ClientAccount]
    ) -> None:
        """Divide by another number of daemons from now on."""
        for name in list(self._bucket_by_account):
            account = by_name.get(name)
            if account is None:
                del self._bucket_by_account[name]
            else:
                self._advance(account, now)
        self.members = max(1, members)

    def take(self, account: ClientAccount, now: float) -> bool:
        """Take one token; return whether there was one."""
        if account.rate <= 0.0:
            return True
        bucket = self._advance(account, now)
        if bucket.tokens < 1.0:
            return False
        bucket.tokens -= 1.0
        return True

    def give_back(self, account: ClientAccount) -> None:
        """Return the token of a call that was not run."""
        bucket = self._bucket_by_account.get(account.name)
        if bucket is not None:
            bucket.tokens += 1.0

    def next_token_in(self, account: ClientAccount, now: float) -> float:
        """Return the seconds until a token is there."""
        bucket = self._advance(account, now)
        return max(0.0, 1.0 - bucket.tokens) * self.members / account.rate

    def lend(self, account: ClientAccount, wanted: int, now: float) -> int:
        """Give up to `wanted` tokens away, and at most half of what is there."""
        bucket = self._advance(account, now)
        lent = min(wanted, int(bucket.tokens / 2.0))
        bucket.tokens -= lent
        return lent

    def add_lent(self, account: ClientAccount, tokens: int, now: float) -> None:
        """Add tokens that another daemon gave away."""
        self._advance(account, now).tokens += tokens

    def tokens(self, account: ClientAccount, now: float) -> float:
        """Return the tokens at hand."""
        return self._advance(account, now).tokens

    def _advance(self, account: ClientAccount, now: float) -> _Bucket:
        cap = account.burst / self.members
        bucket = self._bucket_by_account.get(account.name)
        if bucket is None:
            bucket = _Bucket(0.0, self.started_at)
            self._bucket_by_account[account.name] = bucket
        earned = (now - bucket.updated_at) * account.rate / self.members
        bucket.updated_at = now
        bucket.tokens = min(max(cap, bucket.tokens), bucket.tokens + earned)
        return bucket
