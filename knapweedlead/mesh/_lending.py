"""Tokens that daemons lend one another, so that no account is refused too early."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

import attrs

from knapweedlead.mesh._configuration import ClientAccount
from knapweedlead.mesh._quotas import QuotaShares

LENDERS = 3
"""Daemons asked at once; one alone may be as empty as this one."""
ANSWER_TIME = 0.1
"""Seconds after which an answer is not waited for any longer."""
DRY_PAUSE = 0.15
"""Seconds without questions after nobody had a token; an account over its rate
would else cost messages for each of its calls."""
WANTED_SECONDS = 0.5
"""Tokens asked for, as seconds of this daemon's share of the rate."""


class Lender(Protocol):
    """Another daemon."""

    @property
    def name(self) -> str:
        """Name of the daemon."""

    def ask_tokens(self, account: str, wanted: int) -> None:
        """Ask for tokens; `TokenExchange.take_answer` follows, if all goes well."""


@attrs.define(eq=False)
class _Question:
    asked_at: float
    answers_due: int
    waiting: list[Callable[[bool], None]] = attrs.field(factory=list)


class TokenExchange:
    """Asks other daemons for tokens of an account that has run out here.

    Answers calls that reach the fleet's daemons unevenly: each daemon's share alone
    would refuse calls of an account that is within its rate. Tokens are moved, not
    made, so the rate over the fleet holds, and a lost message only loses tokens.

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
        self._question_by_account: dict[str, _Question] = {}
        self._dry_until_by_account: dict[str, float] = {}

    def ask(
        self, account: ClientAccount, on_decided: Callable[[bool], None], now: float
    ) -> bool:
        """Ask for a token; return whether `on_decided` will be called."""
        question = self._question_by_account.get(account.name)
        if question is None:
            if now < self._dry_until_by_account.get(account.name, now):
                return False
            holders = self.quotas.holders(account)
            lenders = [each for each in self.lenders() if each.name in holders]
            if not lenders:
                return False
            chosen = self.rng.sample(lenders, min(LENDERS, len(lenders)))
            question = _Question(now, len(chosen))
            self._question_by_account[account.name] = question
            wanted = self.quotas.wanted(account, WANTED_SECONDS)
            for lender in chosen:
                lender.ask_tokens(account.name, wanted)
        question.waiting.append(on_decided)
        return True

    def take_answer(self, account: ClientAccount, tokens: int, now: float) -> None:
        """Take the tokens that a daemon lent."""
        self.quotas.add_lent(account, tokens, now)
        question = self._question_by_account.get(account.name)
        if question is None:
            return
        question.answers_due -= 1
        while question.waiting and self.quotas.take(account, now):
            question.waiting.pop(0)(True)
        if question.answers_due <= 0:
            self._end(account.name, question, now)
        elif not question.waiting:
            del self._question_by_account[account.name]

    def _end(self, account: str, question: _Question, now: float) -> None:
        self._question_by_account.pop(account, None)
        if question.waiting:
            self._dry_until_by_account[account] = now + DRY_PAUSE
        for on_decided in question.waiting:
            on_decided(False)

    def expire(self, now: float) -> None:
        """Decide what has waited too long for answers."""
        for account, question in list(self._question_by_account.items()):
            if now - question.asked_at > ANSWER_TIME:
                self._end(account, question, now)
