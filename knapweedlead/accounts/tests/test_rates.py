"""An account gets its rate and burst over all instances, and never more."""

import pytest

from knapweedlead.accounts import TokenDecision
from knapweedlead.accounts._ledger import GRANT_LIFETIME_SECONDS
from knapweedlead.accounts.tests.metered import (
    max_excess_over_rate,
    metered_cores,
    offer,
)
from knapweedlead.node import ShutdownRequested
from knapweedlead.ownership import OwnershipTimes, slot_of
from knapweedlead.ownership.tests.fleets import run_until

SLACK = 1e-6
SHORT_TIMES = OwnershipTimes(
    lapse_s=30.0, promise_s=1.0, heartbeat_s=0.2, silence_s=0.5, list_s=1.0
)


def slot_owner(cores):
    slot = slot_number(cores)
    names = [
        name
        for name, core in cores.by_name.items()
        if core.is_up
        and core.composition.ownership.active_slot(slot, cores.clock(name))
    ]
    return names[0] if names else None


def slot_number(cores):
    ownership = next(iter(cores.by_name.values())).composition.ownership
    return slot_of("account/crew", ownership.number_of_slots)


def assert_within_rate(cores, rate=10.0, burst=10.0):
    assert max_excess_over_rate(cores.granted_at(), rate) <= burst + SLACK


def test_max_excess_is_that_of_the_worst_window():
    assert max_excess_over_rate([0.0, 0.0, 1.0], rate=1.0) == 2.0
    assert max_excess_over_rate([0.0, 5.0, 5.0, 5.1], rate=1.0) == pytest.approx(2.9)


def test_demand_above_the_rate_gets_the_rate_and_no_more():
    cores = metered_cores(1)
    offer(cores, list(cores.by_name), per_s=50.0, seconds=20.0)
    assert_within_rate(cores)
    assert len(cores.granted_at()) >= 0.95 * (10 + 10 * 20)


def test_demand_within_the_rate_is_not_refused():
    cores = metered_cores(2)
    offer(cores, list(cores.by_name), per_s=9.0, seconds=20.0)
    assert cores.count(TokenDecision.REFUSED) == 0
    assert cores.count(TokenDecision.UNAVAILABLE) == 0


def test_idle_account_gets_its_whole_burst_at_any_entry():
    cores = metered_cores(3)
    offer(cores, ["d0"], per_s=9.0, seconds=3.0)
    cores.run_for(3.0)
    for _ in range(10):
        cores.acquire("d1")
    cores.run_for(0.5)
    assert cores.count(TokenDecision.REFUSED) == 0


def test_crash_of_the_slot_owner_creates_no_tokens():
    cores = metered_cores(4)
    offer(cores, list(cores.by_name), per_s=50.0, seconds=3.0)
    cores.crash(slot_owner(cores))
    names = [name for name, core in cores.by_name.items() if core.is_up]
    offer(cores, names, per_s=50.0, seconds=20.0)
    assert_within_rate(cores)
    assert cores.granted_at()[-1] > cores.now - 1.0


def test_handover_of_the_slot_preserves_the_tokens():
    cores = metered_cores(5)
    owner = slot_owner(cores)
    offer(cores, list(cores.by_name), per_s=9.0, seconds=3.0)
    cores.report(cores.by_name[owner], ShutdownRequested())
    offer(cores, list(cores.by_name), per_s=9.0, seconds=10.0)
    assert slot_owner(cores) != owner
    assert cores.count(TokenDecision.REFUSED) == 0
    assert cores.count(TokenDecision.UNAVAILABLE) == 0
    assert_within_rate(cores)


def test_paused_entry_does_not_spend_expired_tokens_after_resuming():
    cores = metered_cores(6)
    entry = next(name for name in cores.by_name if name != slot_owner(cores))
    offer(cores, [entry], per_s=9.0, seconds=3.0)
    cores.pause(entry)
    for _ in range(20):
        cores.acquire(entry)
    others = [name for name in cores.by_name if name != entry]
    offer(cores, others, per_s=50.0, seconds=10.0)
    cores.resume(entry)
    cores.run_for(2.0)
    assert_within_rate(cores)


def test_token_refunded_before_its_report_can_be_spent_again():
    cores = metered_cores(7, rate=0.0, burst=1.0)
    cores.acquire("d0")
    cores.run_for(0.01)
    assert cores.count(TokenDecision.GRANTED) == 1
    accounts = cores.by_name["d0"].composition.accounts
    assert accounts.refund("crew", cores.clock("d0"), 1) == []
    cores.acquire("d0")
    cores.run_for(0.5)
    assert cores.count(TokenDecision.GRANTED) == 2


def test_token_refunded_after_its_report_is_lost():
    cores = metered_cores(8, rate=0.0, burst=1.0)
    cores.acquire("d0")
    cores.run_for(2.0)
    cores.by_name["d0"].composition.accounts.refund("crew", cores.clock("d0"), 1)
    cores.acquire("d0")
    cores.run_for(0.5)
    assert cores.count(TokenDecision.GRANTED) == 1


def test_lower_rate_applies_from_its_change_on():
    cores = metered_cores(9, rate=20.0, burst=20.0)
    offer(cores, list(cores.by_name), per_s=50.0, seconds=5.0)
    cores.set_account(5.0, 5.0)
    changed = cores.now
    offer(cores, list(cores.by_name), per_s=50.0, seconds=10.0)
    assert_within_rate(cores, 20.0, 20.0)
    after = [time for time in cores.granted_at() if time > changed]
    assert max_excess_over_rate(after, 5.0) <= 20.0 + SLACK


def test_entries_get_tokens_after_ten_minutes_without_the_store():
    cores = metered_cores(10, times=None)
    cores.store.mode = "down"
    cores.run_for(600.0)
    before = cores.count(TokenDecision.GRANTED)
    offer(cores, list(cores.by_name), per_s=9.0, seconds=5.0)
    assert cores.count(TokenDecision.GRANTED) - before == 45


def test_unreachable_owner_makes_tokens_unavailable():
    cores = metered_cores(11, size=2)
    owner = slot_owner(cores)
    (entry,) = [name for name in cores.by_name if name != owner]
    cores.cut(owner, entry)
    cores.cut_from_store |= {owner, entry}
    cores.acquire(entry)
    run_until(cores, lambda: cores.count(TokenDecision.UNAVAILABLE), limit=2.0)


def test_new_owner_grants_nothing_until_earlier_grants_expire():
    cores = metered_cores(12, size=4, times=SHORT_TIMES)
    owner = slot_owner(cores)
    entries = [name for name in cores.by_name if name != owner]
    offer(cores, entries, per_s=100.0, seconds=3.0)
    cores.crash(owner)
    crashed = cores.now
    offer(cores, entries, per_s=100.0, seconds=12.0)
    first = min(time for time in cores.granted_at() if time > crashed + 0.1)
    assert first >= crashed + GRANT_LIFETIME_SECONDS
    assert_within_rate(cores)


def test_daemon_restarted_without_the_store_finds_owners_through_peers():
    cores = metered_cores(13, size=5)
    cores.store.mode = "down"
    entry = next(name for name in cores.by_name if name != slot_owner(cores))
    cores.crash(entry)
    cores.run_for(1.0)
    cores.restart(entry)
    cores.run_for(10.0)
    for _ in range(3):
        cores.acquire(entry)
        cores.run_for(1.5)
    assert cores.count(TokenDecision.GRANTED) >= 2
