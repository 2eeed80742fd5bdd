"""Budget for sending calls to a backend server once more."""

import attrs


@attrs.define(eq=False)
class _Account:
    earned: float
    spent: int = 0


class RetryBudget:
    """Lets repeats of calls to a service through in proportion to first calls.

    Every daemon keeps to its part, so that the sum over the fleet keeps to the
    fleet's budget: each first call earns a share of a repeat, up to a cap.

    Parameters
    ----------
    share : float
        Repeats that each first call earns.
    cap : float
        Repeats that the whole fleet may save up.
    """

    def __init__(self, share: float, cap: float) -> None:
        self.share = share
        self.cap = cap
        self.members = 1
        self._account_by_service: dict[str, _Account] = {}

    def record_first_attempt(self, service: str) -> None:
        """Earn a part of a repeat with the first call of a request."""
        account = self._account(service)
        account.earned = min(self._local_cap, account.earned + self.share)

    def take(self, service: str) -> bool:
        """Return whether one more repeat may be sent, and count it."""
        account = self._account(service)
        if account.earned < 1.0:
            return False
        account.earned -= 1.0
        account.spent += 1
        return True

    @property
    def _local_cap(self) -> float:
        return max(1.0, self.cap / self.members)

    def _account(self, service: str) -> _Account:
        account = self._account_by_service.get(service)
        if account is None:
            account = self._account_by_service[service] = _Account(self._local_cap)
        return account
