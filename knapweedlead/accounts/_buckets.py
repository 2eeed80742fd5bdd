"""Metering by token buckets of one daemon, without messages."""

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
    """Gives every daemon the whole rate and burst; a baseline without the promise.

    Parameters
    ----------
    context : MeterContext
        What the meter works with.
    """

    def __init__(self, context: MeterContext) -> None:
        self.membership = context.membership
        self._bucket_by_account: dict[str, _Bucket] = {}

    def share(self) -> float:
        """Return the part of rate and burst that this daemon may use."""
        return 1.0

    def take(
        self, account: ClientAccount, ticket: int, now: float
    ) -> tuple[TokenDecision, list[Effect]]:
        """Take one token of the daemon's own bucket."""
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

    def give_back(self, account: str, ticket: int, now: float) -> list[Effect]:
        """Return the token of a request that was not run."""
        bucket = self._bucket_by_account.get(account)
        if bucket is not None:
            bucket.tokens += 1.0
        return []


@METERS.register("divided")
class DividedMeter(LocalMeter):
    """Gives every daemon an equal part of rate and burst; a baseline."""

    def share(self) -> float:
        """Return one part of as many as there are members."""
        return 1.0 / max(1, len(self.membership.by_name))
