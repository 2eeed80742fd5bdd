"""Ranks of calls, and status codes of refusals and failures."""

from knapweedlead.mesh._calls import Failure, Reason
from knapweedlead.mesh._configuration import ClientAccount, Route

RANKS_PER_PRIORITY = 16
"""Number of ranks within one priority."""

_STATUS_BY_REASON = {
    Reason.MALFORMED: 400,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.INVALID_KEY: 401,
    Reason.RATE_EXCEEDED: 429,
}
_STATUS_NOT_RUN = 503
_STATUS_UNKNOWN = 502
_STATUS_TIMEOUT = 504


def status_of(failure: Failure, may_have_run: bool, is_overdue: bool) -> int:
    """Return the HTTP status of a refusal or failure.

    Parameters
    ----------
    failure : Failure
        Outcome of the last attempt.
    may_have_run : bool
        Whether any attempt may have started at a backend server. If so, the call
        is answered with 502 or 504, never with a status for calls that were not run.
    is_overdue : bool
        Whether the deadline of the call has passed.
    """
    if may_have_run:
        return _STATUS_TIMEOUT if is_overdue else _STATUS_UNKNOWN
    return _STATUS_BY_REASON.get(failure.reason, _STATUS_NOT_RUN)


def rank_of(route: Route, account: ClientAccount | None) -> int:
    """Return the rank of a call; 0 is the most important.

    The account's priority takes precedence over the route's. Within one priority,
    calls of backend servers rank first, since work has already been done for them;
    the others are ranked by the priority of their route.
    """
    if account is None:
        return route.priority * RANKS_PER_PRIORITY
    priority = route.priority if account.priority is None else account.priority
    rank = min(RANKS_PER_PRIORITY - 1, 1 + route.priority)
    return priority * RANKS_PER_PRIORITY + rank
