"""Exchange of tokens between daemons, so that no account is refused too early."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from knapweedlead.mesh._configuration import ClientAccount
from knapweedlead.mesh._quotas import QuotaShares

MAX_LENDERS = 4
"""Maximum number of daemons that are queried one after the other: all holders of a
small account, and so many holders of a large account that, if none of these has
tokens, all holders are likely to be out of tokens."""
REPLY_TIMEOUT = 0.1
"""Seconds to wait for the reply of a lender."""
INITIAL_BACKOFF = 0.1
MAX_BACKOFF = 0.8
"""Seconds without requests after no lender had a token, doubled each time up to
`MAX_BACKOFF`. Without the backoff, an account over its rate would cause messages for
each of its calls."""
REQUEST_HORIZON = 0.5
"""Number of tokens to request, as seconds of this daemon's share of the rate."""

_Key = tuple[str, bool]
"""Account, and whether the pending calls are important."""


class Lender(Protocol):
    """Another daemon that may lend tokens."""

    @property
    def name(self) -> str:
        """Name of the daemon."""

    def request_tokens(self, account: str, wanted: int, is_important: bool) -> None:
        """Request tokens; the reply, if any, goes to `TokenExchange.receive_tokens`."""


@attrs.define(eq=False)
class _PendingRequest:
    account: ClientAccount
    is_important: bool
    untried: list[Lender]
    sent_at: float = 0.0
    requested: int = 0
    callbacks: list[Callable[[bool, float], None]] = attrs.field(factory=list)


class TokenExchange:
    """Requests tokens from other daemons for an account without tokens at this daemon.

    Calls arrive unevenly at the daemons of the fleet, and with its share alone a daemon
    would refuse calls of an account that is within its rate. Tokens are moved, never
    created, so the rate over the fleet holds, and a lost message only loses tokens. The
    holders are queried one after the other, since tokens that several holders lend for
    one call would mostly remain unused.

    Parameters
    ----------
    quotas : QuotaShares
    lenders : callable
        Returns the reachable daemons.
    rng : random.Random
    """

    def __init__(
        self,
        quotas: QuotaShares,
        lenders: Callable[[], Sequence[Lender]],
        rng: random.Random,
    ) -> None:
        self.quotas = quotas
        self.lenders = lenders
        self.rng = rng
        self._request_by_key: dict[_Key, _PendingRequest] = {}
        self._backoff_until_by_key: dict[_Key, float] = {}
        self._backoff_by_key: dict[_Key, float] = {}

    def request(
        self,
        account: ClientAccount,
        on_decided: Callable[[bool, float], None],
        now: float,
        is_important: bool = True,
    ) -> bool:
        """Request a token; return whether `on_decided` will be called.

        It is called with whether a token was granted, and the time of the decision.
        """
        key = account.name, is_important
        request = self._request_by_key.get(key)
        if request is None:
            if now < self._backoff_until_by_key.get(key, now):
                return False
            holders = self.quotas.holders(account)
            lenders = [lender for lender in self.lenders() if lender.name in holders]
            if not lenders:
                return False
            chosen = self.rng.sample(lenders, min(MAX_LENDERS, len(lenders)))
            request = _PendingRequest(account, is_important, chosen)
            self._request_by_key[key] = request
            request.callbacks.append(on_decided)
            self._request_next(request, now)
        else:
            request.callbacks.append(on_decided)
        return True

    def _request_next(self, request: _PendingRequest, now: float) -> None:
        lender = request.untried.pop()
        wanted = self.quotas.tokens_needed(request.account, REQUEST_HORIZON)
        request.requested = max(wanted, len(request.callbacks))
        request.sent_at = now
        lender.request_tokens(
            request.account.name, request.requested, request.is_important
        )

    def receive_tokens(
        self,
        account: ClientAccount,
        tokens: int,
        now: float,
        is_important: bool = True,
        retry_after: float = 0.0,
    ) -> None:
        """Add the tokens of a lender's reply and decide pending calls.

        Parameters
        ----------
        account : ClientAccount
        tokens : int
        now : float
        is_important : bool
            Whether the tokens were requested for important calls.
        retry_after : float
            Seconds after which the lender should have another token.
        """
        self.quotas.add_borrowed(account, tokens, now)
        key = account.name, is_important
        request = self._request_by_key.get(key)
        if request is None:
            return
        while request.callbacks and self.quotas.try_acquire(account, now, is_important):
            request.callbacks.pop(0)(True, now)
        if not request.callbacks:
            self._request_by_key.pop(key, None)
            self._backoff_by_key.pop(key, None)
        elif request.untried:
            self._request_next(request, now)
        else:
            if retry_after > 0.0:
                self.quotas.record_retry_after(account, retry_after, now)
            self._refuse(key, request, now)

    def _refuse(self, key: _Key, request: _PendingRequest, now: float) -> None:
        self._request_by_key.pop(key, None)
        backoff = self._backoff_by_key.get(key, INITIAL_BACKOFF)
        self._backoff_until_by_key[key] = now + backoff
        self._backoff_by_key[key] = min(MAX_BACKOFF, 2.0 * backoff)
        for on_decided in request.callbacks:
            on_decided(False, now)

    def expire(self, now: float) -> None:
        """Query the next lender after a reply timeout, or refuse if none is left."""
        for key, request in list(self._request_by_key.items()):
            if now - request.sent_at <= REPLY_TIMEOUT:
                continue
            if request.untried:
                self._request_next(request, now)
            else:
                self._refuse(key, request, now)
