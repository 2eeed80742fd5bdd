"""Role that meters client accounts."""

import attrs

from knapweedlead.accounts._tokens import TokenDecision
from knapweedlead.configuration import ClientAccount
from knapweedlead.node import Effect, Role


@attrs.define
class _Bucket:
    tokens: float
    updated_at: float


class AccountsRole(Role):
    """Meters each client account with a token bucket of this daemon alone."""

    def __init__(self) -> None:
        self._bucket_by_account: dict[str, _Bucket] = {}

    def take(
        self, account: ClientAccount, ticket: int, now: float
    ) -> tuple[TokenDecision, list[Effect]]:
        """Take one token of an account.

        Parameters
        ----------
        account : ClientAccount
            Rate and burst in force.
        ticket : int
            Number that a later `TokensDecided` repeats.
        now : float
            Seconds, monotonic.
        """
        bucket = self._bucket_by_account.setdefault(
            account.name, _Bucket(account.burst, now)
        )
        earned = (now - bucket.updated_at) * account.rate_per_s
        bucket.tokens = min(account.burst, bucket.tokens + earned)
        bucket.updated_at = now
        if bucket.tokens < 1.0:
            return TokenDecision.REFUSED, []
        bucket.tokens -= 1.0
        return TokenDecision.GRANTED, []

    def give_back(self, account: str, now: float) -> list[Effect]:
        """Return the token of a request that was not run."""
        bucket = self._bucket_by_account.get(account)
        if bucket is not None:
            bucket.tokens += 1.0
        return []
