"""Requests for tokens of other daemons, and decisions if no reply arrives."""

import random

import pytest

from knapweedlead.mesh import QuotaShares, TokenExchange
from knapweedlead.mesh.tests.harness import make_account

NOW = 100.0
ACCOUNT = make_account(rate=12.0, burst=12.0)


class Lender:
    """Records the requests that it receives."""

    def __init__(self, name, requests):
        self.name = name
        self.requests = requests

    def request_tokens(self, account, wanted, is_important):
        self.requests.append((self.name, wanted))


class Borrower:
    """A daemon that holds no share of the account, and its peers."""

    def __init__(self):
        names = frozenset(f"d{index}" for index in range(20))
        holders = QuotaShares("d0", 5.0, 0.0)
        holders.set_members(names, 0.0, {})
        self.holders = holders.holders(ACCOUNT)
        local_name = min(names - self.holders)
        self.quotas = QuotaShares(local_name, 5.0, 0.0)
        self.quotas.set_members(names, 0.0, {})
        self.requests = []
        self.decisions = []
        lenders = [Lender(name, self.requests) for name in sorted(names - {local_name})]
        self.exchange = TokenExchange(self.quotas, lambda: lenders, random.Random(7))

    def request(self, now=NOW):
        return self.exchange.request(ACCOUNT, self._record, now)

    def _record(self, is_granted, at):
        self.decisions.append(is_granted)


def test_one_holder_is_queried_for_one_call():
    borrower = Borrower()
    assert borrower.request()
    ((name, wanted),) = borrower.requests
    assert name in borrower.holders
    assert wanted == 1
    borrower.exchange.receive_tokens(ACCOUNT, 1, NOW)
    assert borrower.decisions == [True]


def test_calls_that_arrive_during_a_request_share_the_next_one():
    borrower = Borrower()
    for _ in range(3):
        assert borrower.request()
    borrower.exchange.receive_tokens(ACCOUNT, 1, NOW)
    assert borrower.decisions == [True]
    assert borrower.requests[1][1] == 2


def test_next_holder_is_queried_if_one_has_no_tokens():
    borrower = Borrower()
    borrower.request()
    borrower.exchange.receive_tokens(ACCOUNT, 0, NOW)
    assert {name for name, _ in borrower.requests} == borrower.holders
    borrower.exchange.receive_tokens(ACCOUNT, 1, NOW)
    assert borrower.decisions == [True]


def test_next_holder_is_queried_after_a_reply_timeout():
    borrower = Borrower()
    borrower.request()
    borrower.exchange.expire(NOW + 0.05)
    assert len(borrower.requests) == 1
    borrower.exchange.expire(NOW + 0.15)
    assert {name for name, _ in borrower.requests} == borrower.holders
    borrower.exchange.expire(NOW + 0.3)
    assert borrower.decisions == [False]


def test_retry_after_is_when_the_holder_expects_a_token():
    borrower = Borrower()
    borrower.request()
    for _ in borrower.holders:
        borrower.exchange.receive_tokens(ACCOUNT, 0, NOW, retry_after=0.7)
    assert borrower.decisions == [False]
    assert borrower.quotas.retry_after(ACCOUNT, NOW) == pytest.approx(0.7)
    assert borrower.quotas.retry_after(ACCOUNT, NOW) > 0.7


def test_no_holder_is_queried_right_after_all_had_no_tokens():
    borrower = Borrower()
    borrower.request()
    for _ in borrower.holders:
        borrower.exchange.receive_tokens(ACCOUNT, 0, NOW)
    assert not borrower.request(NOW + 0.05)
    assert borrower.request(NOW + 0.15)


def test_late_tokens_are_used_by_the_next_call():
    borrower = Borrower()
    borrower.request()
    borrower.exchange.expire(NOW + 0.15)
    borrower.exchange.expire(NOW + 0.3)
    borrower.exchange.receive_tokens(ACCOUNT, 1, NOW + 0.4)
    assert borrower.quotas.try_acquire(ACCOUNT, NOW + 0.5)
