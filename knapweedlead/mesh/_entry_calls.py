"""Calls at an entry, and the interfaces that the entry depends on."""

from collections.abc import Callable
from typing import Any, Protocol

import attrs

from knapweedlead.mesh._calls import (
    AttemptTimes,
    Call,
    Failure,
    Reason,
    ServerAnswer,
)
from knapweedlead.mesh._configuration import ClientAccount, Route
from knapweedlead.mesh._placement import Target


@attrs.frozen
class EntrySettings:
    """Limits of an entry.

    Parameters
    ----------
    max_staleness : float
        Seconds since the last confirmation of the configuration after which keys
        are no longer accepted; infinite if a withdrawn key may stay valid.
    repeat_share, repeat_cap : float
        See `RetryBudget`.
    """

    max_staleness: float
    repeat_share: float
    repeat_cap: float


NO_TIMES = AttemptTimes()


@attrs.define(eq=False)
class EntryCall:
    """A call that is in flight at an entry."""

    exchange: Any
    call: Call
    route: Route
    service: str
    account: ClientAccount | None
    priority: int
    arrived_at: float
    deadline: float
    number: int = 0
    target: Target | None = None
    attempts: int = 0
    reroutes: int = 0
    tried: set[str] = attrs.field(factory=set)
    sent_at: float = 0.0
    may_have_run: bool = False
    has_token: bool = False
    is_done: bool = False
    last_failure: Failure | None = None
    times: AttemptTimes = NO_TIMES
    on_done: Callable[[Any], Any] | None = None

    @property
    def is_child(self) -> bool:
        """Whether the local backend server made the call while it processed another."""
        return self.account is None and self.route.is_public

    @property
    def account_name(self) -> str:
        """Name of the client account; empty if there is none."""
        return "" if self.account is None else self.account.name


class Replies(Protocol):
    """Delivers answers to callers."""

    def answer(self, exchange: Any, answer: ServerAnswer) -> None:
        """Forward the answer of a backend server."""

    def refuse(
        self, exchange: Any, status: int, reason: Reason, retry_after: float
    ) -> None:
        """Answer with a refusal or failure that the daemon itself produced."""


class Recorder(Protocol):
    """Counts and logs the decisions of an entry."""

    def ended(self, call: EntryCall, status: int, now: float) -> None:
        """Record that a call ended with the answer of a backend server."""

    def refused(
        self, request_id: str, reason: Reason, status: int, call: EntryCall | None
    ) -> None:
        """Record that a call was refused or failed."""

    def retried(self, call: EntryCall, failure: Failure) -> None:
        """Record that a call is retried after a failed attempt."""

    def sent(self, call: EntryCall, now: float) -> None:
        """Record that an attempt was sent."""
