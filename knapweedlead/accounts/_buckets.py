"""Meters that use a token bucket local to each daemon and send no messages."""

import attrs

from knapweedlead.accounts._meter import METERS, Meter, MeterContext
from knapweedlead.accounts._tokens import TokenDecision
from knapweedlead.configuration import ClientAccount
from knapweedlead.node import Effect


@attrs.define
class _Bucket:
    tokens: float
    updated_at: float


@METERS.register("local")
class LocalMeter(Meter):
    """Applies the full rate and burst at every daemon separately.

    A baseline for comparison: it does not enforce the rate over the whole fleet.

    Parameters
    ----------
    context : MeterContext
        Roles and identity that the meter reads.
    """

    def __init__(self, context: MeterContext) -> None:
        self.membership = context.membership
        self._bucket_by_account: dict[str, _Bucket] = {}

    def share(self) -> float:
        """Return the fraction of rate and burst that this daemon may use."""
        return 1.0

    def acquire(
        self, account: ClientAccount, ticket: int, now: float
    ) -> tuple[TokenDecision, list[Effect]]:
        """Acquire a token from the local bucket; the decision is never ``PENDING``."""
        share = self.share()
        burst = account.burst * share
        bucket = self._bucket_by_account.setdefault(account.name, _Bucket(burst, now))
        earned = (now - bucket.updated_at) * account.rate_per_s * share
        bucket.tokens = min(burst, bucket.tokens + earned)
        bucket.updated_at = now
        if bucket.tokens < 1.0:
            return TokenDecision.REFUSED, []
        bucket.tokens -= 1.0
        return TokenDecision.GRANTED, []

    def refund(self, account: str, ticket: int, now: float) -> list[Effect]:
        """Restore to the local bucket the token of a request that was not run."""
        bucket = self._bucket_by_account.get(account)
        if bucket is not None:
            bucket.tokens += 1.0
        return []


@METERS.register("divided")
class DividedMeter(LocalMeter):
    """Divides rate and burst equally among the members; a baseline for comparison."""

    def share(self) -> float:
        """Return the reciprocal of the number of members."""
        return 1.0 / max(1, len(self.membership.by_name))
