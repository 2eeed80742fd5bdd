"""Rates of client accounts, divided among the daemons of a fleet."""

import zlib

import attrs

from knapweedlead.mesh._configuration import ClientAccount

EVEN_FRACTION = 0.6
"""Part of a burst that is given out evenly; the rest may be used at once."""
MIN_FLEET_CAPACITY = 8.0
"""Tokens of a burst, if it has as many, that can be saved up at least: the calls of a
small account come too unevenly for less."""
MIN_SHARE = 4.0
"""Tokens that a daemon can save up at least; smaller parts would mostly lie unused
where no call comes."""
MAX_RETRY_AFTER = 2.0
"""Seconds after which a refused call may return at the latest; later ones would end
beyond most deadlines."""
RESERVED_FRACTION = 0.3
"""Part of the saved tokens, beyond the one for the next call, that is kept for
important calls."""
MIN_HOLDERS = 2
"""Daemons that hold a share of an account at least, so that one may be lost."""
BORROWED_LIFETIME = 1.0
"""Seconds for which tokens from another daemon may be used. Were they kept, a large
fleet would save up more than the burst."""


@attrs.define(eq=False)
class _Bucket:
    tokens: float
    updated_at: float
    lent: float = 0.0
    borrowed_until: float = 0.0


class QuotaShares:
    """Share of each client account's rate and burst that this daemon may use.

    A number of daemons hold a part of the rate each, so that all of them together
    stay within it without asking each other. Tokens can be lent to another daemon,
    which moves them and makes none. All daemons hold a part of a large account, a
    few hold those of a small one.

    What holds is a bound on each window: the rate times its length and the burst. A
    part of the burst is given out evenly over the window, so that an account which
    stays somewhat above its rate is not refused what the bound allows.

    Parameters
    ----------
    own_name : str
    window : float
        Seconds of the window over which rate and burst are bounded.
    started_at : float
        Start of this daemon. Bursts are saved up from then, since a daemon of the
        same name may have spent its burst just before.
    """

    def __init__(self, local_name: str, window: float, started_at: float) -> None:
        self.local_name = local_name
        self.window = window
        self.started_at = started_at
        self._members: frozenset[str] = frozenset({local_name})
        self._bucket_by_account: dict[str, _Bucket] = {}
        self._retry_at_by_account: dict[str, float] = {}
        self._holders_by_account: dict[ClientAccount, frozenset[str]] = {}

    def set_members(
        self, members: frozenset[str], now: float, by_name: dict[str, ClientAccount]
    ) -> None:
        """Divide among other daemons, or by other limits, from now on."""
        members |= {self.local_name}
        for name in self._bucket_by_account.keys() - by_name.keys():
            del self._bucket_by_account[name]
        # Who becomes a holder begins with nothing, so all are brought up to now.
        for account in by_name.values():
            self._refill(account, now)
        if members != self._members:
            self._members = members
            self._holders_by_account.clear()

    def holders(self, account: ClientAccount) -> frozenset[str]:
        """Return the daemons that hold a part of an account."""
        holders = self._holders_by_account.get(account)
        if holders is None:
            savable = _fleet_capacity(account)
            least = min(MIN_HOLDERS, max(1, int(savable)))
            wanted = max(least, int(savable / MIN_SHARE))
            ranked = sorted(
                self._members,
                key=lambda name: zlib.crc32(f"{account.name} {name}".encode()),
            )
            holders = frozenset(ranked[:wanted])
            self._holders_by_account[account] = holders
        return holders

    def take(
        self, account: ClientAccount, now: float, is_important: bool = True
    ) -> bool:
        """Take one token; return whether there was one.

        A part of what can be saved up is kept for important calls, so that an
        account which is over its rate is not refused those.
        """
        if account.rate <= 0.0:
            return True
        bucket = self._refill(account, now)
        if bucket.lent >= 1.0:
            bucket.lent -= 1.0
            return True
        reserve = 0.0 if is_important else self._reserve(account)
        if bucket.tokens < 1.0 + reserve:
            return False
        bucket.tokens -= 1.0
        return True

    def refund(self, account: ClientAccount, now: float) -> None:
        """Return the token of a call that was not run."""
        if account.rate > 0.0:
            self.add_borrowed(account, 1, now)

    def retry_after(self, account: ClientAccount, now: float) -> float:
        """Return the seconds after which a refused call has a chance.

        Refused calls are told to come back one after the other, as the account's
        rate allows, so that they do not all return for the same token.
        """
        spacing = self._retry_spacing(account)
        latest = max(now, self._retry_at_by_account.get(account.name, now)) + spacing
        latest = min(latest, now + MAX_RETRY_AFTER)
        self._retry_at_by_account[account.name] = latest
        return latest - now

    def record_retry_after(
        self, account: ClientAccount, seconds: float, now: float
    ) -> None:
        """Note when a holder has a token for the next call that is refused here."""
        before = now + seconds - self._retry_spacing(account)
        self._retry_at_by_account[account.name] = before

    def _retry_spacing(self, account: ClientAccount) -> float:
        return len(self.holders(account)) / max(account.rate, 1.0)

    def lend(
        self,
        account: ClientAccount,
        wanted: int,
        now: float,
        is_important: bool = True,
    ) -> int:
        """Give tokens away: up to `wanted`, and half of what is there, or one."""
        bucket = self._refill(account, now)
        spare = bucket.tokens - (0.0 if is_important else self._reserve(account))
        lent = max(0, min(wanted, max(int(spare / 2.0), int(spare >= 1.0))))
        bucket.tokens -= lent
        return lent

    def add_borrowed(self, account: ClientAccount, tokens: int, now: float) -> None:
        """Add tokens that another daemon gave away; they last for a short time."""
        bucket = self._refill(account, now)
        bucket.lent += tokens
        bucket.borrowed_until = now + BORROWED_LIFETIME

    def wanted(self, account: ClientAccount, seconds: float) -> int:
        """Return the tokens that this daemon may need for some seconds."""
        return 1 + int(account.rate * seconds / len(self._members))

    def tokens(self, account: ClientAccount, now: float) -> float:
        """Return the tokens at hand."""
        bucket = self._refill(account, now)
        return bucket.tokens + bucket.lent

    def _refill(self, account: ClientAccount, now: float) -> _Bucket:
        bucket = self._bucket_by_account.get(account.name)
        if bucket is None:
            bucket = _Bucket(0.0, self.started_at)
            self._bucket_by_account[account.name] = bucket
        elapsed = now - bucket.updated_at
        bucket.updated_at = now
        if now > bucket.borrowed_until:
            bucket.lent = 0.0
        holders = self.holders(account)
        if self.local_name in holders:
            cap = _fleet_capacity(account) / len(holders)
            earned = elapsed * self._rate(account) / len(holders)
            bucket.tokens = min(max(1.0, cap), bucket.tokens + earned)
        else:
            bucket.tokens = 0.0
        return bucket

    def _reserve(self, account: ClientAccount) -> float:
        holders = self.holders(account)
        if self.local_name not in holders:
            return 0.0
        cap = _fleet_capacity(account) / len(holders)
        return max(0.0, cap - 1.0) * RESERVED_FRACTION

    def _rate(self, account: ClientAccount) -> float:
        return account.rate + (account.burst - _fleet_capacity(account)) / self.window


def _fleet_capacity(account: ClientAccount) -> float:
    """Return the tokens that an account can save up over the whole fleet."""
    return max(
        account.burst * (1.0 - EVEN_FRACTION), min(account.burst, MIN_FLEET_CAPACITY)
    )
