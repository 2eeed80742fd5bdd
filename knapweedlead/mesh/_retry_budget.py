"""Budget for retries of calls to backend servers."""

import attrs

INITIAL_RETRIES = 1.0
"""Retries of each service that a new process has before it has earned any."""


@attrs.define(eq=False)
class _Balance:
    earned: float
    spent: int = 0


class RetryBudget:
    """Limits retries of calls to a service in proportion to first attempts.

    Each daemon enforces its own part, so that the sum over the fleet stays within the
    fleet's budget: each first attempt earns a fraction of a retry, up to a cap. A new
    process begins with one retry for each service, since an earlier process may have
    used what it had accumulated.

    Parameters
    ----------
    share : float
        Retries that each first attempt earns.
    cap : float
        Retries that the whole fleet may accumulate.
    """

    def __init__(self, share: float, cap: float) -> None:
        self.share = share
        self.cap = cap
        self.daemon_count = 1
        """Daemons that share the budget; 0 if they are not known."""
        self._balance_by_service: dict[str, _Balance] = {}

    def record_first_attempt(self, service: str) -> None:
        """Add the fraction of a retry that a first attempt earns."""
        balance = self._balance(service)
        balance.earned = min(self._local_cap, balance.earned + self.share)

    def try_acquire(self, service: str) -> bool:
        """Return whether a retry is allowed; if so, charge it to the budget."""
        balance = self._balance(service)
        if balance.earned < 1.0:
            return False
        balance.earned -= 1.0
        balance.spent += 1
        return True

    @property
    def _local_cap(self) -> float:
        if not self.daemon_count:
            return 1.0
        return max(1.0, self.cap / self.daemon_count)

    def _balance(self, service: str) -> _Balance:
        balance = self._balance_by_service.get(service)
        if balance is None:
            balance = self._balance_by_service[service] = _Balance(INITIAL_RETRIES)
        return balance
