"""Whom a daemon asks for tokens, and what it does without answers."""

import random

import pytest

from knapweedlead.mesh import QuotaShares, TokenExchange
from knapweedlead.mesh.tests.harness import make_account

NOW = 100.0
ACCOUNT = make_account(rate=12.0, burst=12.0)


class Lender:
    """Notes what it is asked for."""

    def __init__(self, name, asked):
        self.name = name
        self.asked = asked

    def ask_tokens(self, account, wanted, is_important):
        self.asked.append((self.name, wanted))


class Asker:
    """A daemon that holds nothing of the account, and its peers."""

    def __init__(self):
        names = frozenset(f"d{index}" for index in range(20))
        holders = QuotaShares("d0", 5.0, 0.0)
        holders.set_members(names, 0.0, {})
        self.holders = holders.holders(ACCOUNT)
        local_name = min(names - self.holders)
        self.quotas = QuotaShares(local_name, 5.0, 0.0)
        self.quotas.set_members(names, 0.0, {})
        self.asked = []
        self.decided = []
        lenders = [Lender(name, self.asked) for name in sorted(names - {local_name})]
        self.exchange = TokenExchange(self.quotas, lambda: lenders, random.Random(7))

    def ask(self, now=NOW):
        return self.exchange.ask(ACCOUNT, self.decided.append, now)


def test_one_holder_is_asked_for_one_call():
    asker = Asker()
    assert asker.ask()
    ((name, wanted),) = asker.asked
    assert name in asker.holders
    assert wanted == 1
    asker.exchange.take_answer(ACCOUNT, 1, NOW)
    assert asker.decided == [True]


def test_calls_that_come_meanwhile_are_asked_for_together():
    asker = Asker()
    for _ in range(3):
        assert asker.ask()
    asker.exchange.take_answer(ACCOUNT, 1, NOW)
    assert asker.decided == [True]
    assert asker.asked[1][1] == 2


def test_next_holder_is_asked_where_one_is_empty():
    asker = Asker()
    asker.ask()
    asker.exchange.take_answer(ACCOUNT, 0, NOW)
    assert {name for name, _ in asker.asked} == asker.holders
    asker.exchange.take_answer(ACCOUNT, 1, NOW)
    assert asker.decided == [True]


def test_next_holder_is_asked_where_one_is_silent():
    asker = Asker()
    asker.ask()
    asker.exchange.expire(NOW + 0.05)
    assert len(asker.asked) == 1
    asker.exchange.expire(NOW + 0.15)
    assert {name for name, _ in asker.asked} == asker.holders
    asker.exchange.expire(NOW + 0.3)
    assert asker.decided == [False]


def test_refused_call_returns_when_the_holder_expects_a_token():
    asker = Asker()
    asker.ask()
    for _ in asker.holders:
        asker.exchange.take_answer(ACCOUNT, 0, NOW, retry_after=0.7)
    assert asker.decided == [False]
    assert asker.quotas.retry_after(ACCOUNT, NOW) == pytest.approx(0.7)
    assert asker.quotas.retry_after(ACCOUNT, NOW) > 0.7


def test_nobody_is_asked_right_after_all_were_empty():
    asker = Asker()
    asker.ask()
    for _ in asker.holders:
        asker.exchange.take_answer(ACCOUNT, 0, NOW)
    assert not asker.ask(NOW + 0.05)
    assert asker.ask(NOW + 0.15)


def test_late_tokens_are_used_by_the_next_call():
    asker = Asker()
    asker.ask()
    asker.exchange.expire(NOW + 0.15)
    asker.exchange.expire(NOW + 0.3)
    asker.exchange.take_answer(ACCOUNT, 1, NOW + 0.4)
    assert asker.quotas.try_acquire(ACCOUNT, NOW + 0.5)
