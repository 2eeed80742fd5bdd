"""Tokens that daemons lend one another, so that no account is refused too early."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from knapweedlead.mesh._configuration import ClientAccount
from knapweedlead.mesh._quotas import QuotaShares

MAX_LENDERS = 4
"""Daemons asked one after the other; all holders of a small account, and as many of a
large one as make it likely that it has run out everywhere."""
REPLY_TIMEOUT = 0.1
"""Seconds after which an answer is not waited for any longer."""
INITIAL_BACKOFF = 0.1
MAX_BACKOFF = 0.8
"""Seconds without questions after nobody had a token, doubled each time up to the
latter; an account over its rate would else cost messages for each of its calls."""
REQUEST_HORIZON = 0.5
"""Tokens asked for, as seconds of this daemon's share of the rate."""

_Key = tuple[str, bool]
"""Account, and whether the calls that wait are important."""


class Lender(Protocol):
    """Another daemon."""

    @property
    def name(self) -> str:
        """Name of the daemon."""

    def ask_tokens(self, account: str, wanted: int, is_important: bool) -> None:
        """Ask for tokens; `TokenExchange.take_answer` follows, if all goes well."""


@attrs.define(eq=False)
class _PendingRequest:
    account: ClientAccount
    is_important: bool
    untried: list[Lender]
    asked_at: float = 0.0
    asked_for: int = 0
    waiting: list[Callable[[bool], None]] = attrs.field(factory=list)


class TokenExchange:
    """Asks other daemons for tokens of an account that has run out here.

    Answers calls that reach the fleet's daemons unevenly: each daemon's share alone
    would refuse calls of an account that is within its rate. Tokens are moved, not
    made, so the rate over the fleet holds, and a lost message only loses tokens. The
    holders are asked one after the other, since what several lend for one call would
    mostly lie unused here.

    Parameters
    ----------
    quotas : QuotaShares
    lenders : callable
        Returns the daemons that can be asked.
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

    def ask(
        self,
        account: ClientAccount,
        on_decided: Callable[[bool], None],
        now: float,
        is_important: bool = True,
    ) -> bool:
        """Ask for a token; return whether `on_decided` will be called."""
        key = account.name, is_important
        question = self._request_by_key.get(key)
        if question is None:
            if now < self._backoff_until_by_key.get(key, now):
                return False
            holders = self.quotas.holders(account)
            lenders = [each for each in self.lenders() if each.name in holders]
            if not lenders:
                return False
            chosen = self.rng.sample(lenders, min(MAX_LENDERS, len(lenders)))
            question = _PendingRequest(account, is_important, chosen)
            self._request_by_key[key] = question
            question.waiting.append(on_decided)
            self._request_next(question, now)
        else:
            question.waiting.append(on_decided)
        return True

    def _request_next(self, question: _PendingRequest, now: float) -> None:
        lender = question.untried.pop()
        wanted = self.quotas.wanted(question.account, REQUEST_HORIZON)
        question.asked_for = max(wanted, len(question.waiting))
        question.asked_at = now
        lender.ask_tokens(
            question.account.name, question.asked_for, question.is_important
        )

    def take_answer(
        self,
        account: ClientAccount,
        tokens: int,
        now: float,
        is_important: bool = True,
        retry_after: float = 0.0,
    ) -> None:
        """Take the tokens that a daemon lent.

        Parameters
        ----------
        account : ClientAccount
        tokens : int
        now : float
        is_important : bool
            Whether they are for important calls.
        retry_after : float
            Seconds after which the daemon expects to have another token.
        """
        self.quotas.add_borrowed(account, tokens, now)
        key = account.name, is_important
        question = self._request_by_key.get(key)
        if question is None:
            return
        while question.waiting and self.quotas.take(account, now, is_important):
            question.waiting.pop(0)(True)
        if not question.waiting:
            self._request_by_key.pop(key, None)
            self._backoff_by_key.pop(key, None)
        elif question.untried:
            self._request_next(question, now)
        else:
            if retry_after > 0.0:
                self.quotas.record_retry_after(account, retry_after, now)
            self._deny(key, question, now)

    def _deny(self, key: _Key, question: _PendingRequest, now: float) -> None:
        self._request_by_key.pop(key, None)
        pause = self._backoff_by_key.get(key, INITIAL_BACKOFF)
        self._backoff_until_by_key[key] = now + pause
        self._backoff_by_key[key] = min(MAX_BACKOFF, 2.0 * pause)
        for on_decided in question.waiting:
            on_decided(False)

    def expire(self, now: float) -> None:
        """Ask on where an answer has not come in time, or decide without it."""
        for key, question in list(self._request_by_key.items()):
            if now - question.asked_at <= REPLY_TIMEOUT:
                continue
            if question.untried:
                self._request_next(question, now)
            else:
                self._deny(key, question, now)
