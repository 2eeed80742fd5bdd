"""Members that hold a share of an account, while members join and leave."""

import time
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from knapweedlead.mesh import QuotaShares
from knapweedlead.mesh._holders import Holders
from knapweedlead.mesh.tests.harness import make_account

MAX_SECONDS = 0.05
"""Processor time for a change of one member, in a fleet of the size to design for."""
NAMES = [f"m{number}" for number in range(40)]
members = st.frozensets(st.sampled_from(NAMES))


def expected(account, count, names):
    """Return the first names in the order of the hash, sorted anew."""
    ranked = sorted((zlib.crc32(f"{account} {name}".encode()), name) for name in names)
    return {name for _, name in ranked[:count]}


@given(st.integers(1, 12), st.lists(members, min_size=1, max_size=8))
def test_holders_follow_the_members_as_if_chosen_anew(count, steps):
    holders = Holders("crew", count, steps[0])
    for before, after in zip(steps, steps[1:], strict=False):
        holders.update(after, after - before, before - after)
        assert holders.names == expected("crew", count, after)


@pytest.mark.parametrize(("daemons", "accounts"), [(196, 140), (570, 500)])
def test_restart_of_a_daemon_does_not_occupy_the_event_loop(daemons, accounts):
    # Guards against hashing all members for each account at each change of one member.
    by_name = {f"a{n}": make_account(f"a{n}", 100.0, 100.0) for n in range(accounts)}
    names = frozenset(f"daemon-{number}" for number in range(daemons))
    quotas = QuotaShares("daemon-0", 5.0, 0.0)
    quotas.set_members(names, 1.0, by_name)
    quotas.set_members(names, 1.3, by_name)
    gone = names - {"daemon-7"}
    started_at = time.process_time()
    quotas.set_members(gone, 1.6, by_name)
    quotas.set_members(gone, 1.9, by_name)
    assert time.process_time() - started_at < MAX_SECONDS
    started_at = time.process_time()
    quotas.set_members(names, 2.2, by_name)
    quotas.set_members(names, 2.5, by_name)
    assert time.process_time() - started_at < MAX_SECONDS


def test_holders_of_accounts_that_changed_are_discarded():
    quotas = QuotaShares("m0", 5.0, 0.0)
    for rate in range(1, 50):
        account = make_account("crew", float(rate), 10.0)
        quotas.set_members(frozenset(NAMES), float(rate), {"crew": account})
    assert len(quotas._holders_by_account) <= 2
