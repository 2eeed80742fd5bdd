"""A slot has at most one acting owner, and regains an owner after each failure."""

import pytest

from knapweedlead.node import ShutdownRequested
from knapweedlead.ownership import Takeover
from knapweedlead.ownership.tests.fleets import (
    NUMBER_OF_SLOTS,
    TIMES,
    acting_owners,
    acting_owners_by_slot,
    clock_of,
    fleet,
    run_until,
)


def settled_fleet(seed=1, **options):
    cores = fleet(seed, **options)
    cores.run_for(6.0)
    assert all(len(names) == 1 for names in acting_owners_by_slot(cores).values())
    return cores


def test_every_slot_has_one_owner_soon_after_the_start():
    settled_fleet()


def test_slots_become_distributed_over_the_members():
    cores = settled_fleet(size=6, slots=12)
    cores.run_for(90.0)
    owners = {names[0] for names in acting_owners_by_slot(cores).values()}
    assert len(owners) >= 3


def test_backup_takes_over_from_a_crashed_owner_while_the_store_answers():
    cores = settled_fleet()
    (owner,) = acting_owners(cores, 0)
    cores.crash(owner)
    elapsed = run_until(cores, lambda: acting_owners(cores, 0), limit=30.0)
    assert elapsed < 2 * TIMES.promise_s
    assert owner not in acting_owners(cores, 0)


def test_owner_cut_off_from_its_backup_stops_before_the_backup_takes_over():
    cores = settled_fleet()
    (owner,) = acting_owners(cores, 0)
    for other in cores.by_name:
        if other != owner:
            cores.cut(owner, other)
    cores.cut_from_store.add(owner)
    for _ in range(300):
        cores.run_for(0.1)
        assert len(acting_owners(cores, 0)) <= 1
    assert acting_owners(cores, 0) != [owner]


def test_paused_owner_does_not_act_after_resuming_late():
    cores = settled_fleet()
    (owner,) = acting_owners(cores, 0)
    cores.pause(owner)
    cores.run_for(20.0)
    assert acting_owners(cores, 0)
    cores.resume(owner)
    assert owner not in acting_owners(cores, 0)


@pytest.mark.parametrize("minutes", [10, 60])
def test_owners_keep_acting_in_a_store_outage_shorter_than_the_lapse(minutes):
    times = type(TIMES)()
    cores = settled_fleet(times=times)
    before = acting_owners_by_slot(cores)
    cores.store.mode = "down"
    for _ in range(minutes):
        cores.run_for(60.0)
        assert acting_owners_by_slot(cores) == before


def test_owners_stop_in_an_outage_longer_than_the_lapse_and_resume_after_it():
    cores = settled_fleet()
    cores.store.mode = "down"
    cores.run_for(TIMES.lapse_s + 1.0)
    assert not any(acting_owners_by_slot(cores).values())
    cores.store.mode = "none"
    cores.run_for(10.0)
    assert all(len(names) == 1 for names in acting_owners_by_slot(cores).values())


def test_write_whose_reply_was_lost_is_confirmed_by_a_read():
    cores = fleet(3)
    cores.store.mode = "lose_answers"
    cores.run_for(10.0)
    assert all(len(names) == 1 for names in acting_owners_by_slot(cores).values())


def test_shutdown_hands_slots_over_immediately():
    cores = settled_fleet()
    (owner,) = acting_owners(cores, 0)
    cores.report(cores.by_name[owner], ShutdownRequested())
    cores.run_for(0.2)
    cores.crash(owner)
    (successor,) = acting_owners(cores, 0)
    assert successor != owner


def test_restarted_owner_without_a_backup_reclaims_its_slots():
    cores = settled_fleet(size=1)
    cores.crash("d0")
    cores.run_for(1.0)
    cores.restart("d0")
    cores.run_for(2 * TIMES.promise_s)
    assert all(names == ["d0"] for names in acting_owners_by_slot(cores).values())


def test_owner_and_backup_lost_together_are_succeeded_after_the_lapse():
    cores = settled_fleet()
    (owner,) = acting_owners(cores, 0)
    record = cores.by_name[owner].composition.ownership.owned_by_slot[0].record
    cores.crash(owner)
    cores.crash(record.backup)
    cores.run_for(TIMES.lapse_s - 10.0)
    assert acting_owners(cores, 0) == []
    run_until(cores, lambda: acting_owners(cores, 0), limit=60.0)


def test_successor_extends_the_lapse_by_the_clock_margin():
    cores = settled_fleet(size=2)
    (owner,) = acting_owners(cores, 0)
    for name in cores.by_name:
        cores.by_name[name].clock_rate = 1.0 if name == owner else 1.001
    cores.cut("d0", "d1")
    cores.cut_from_store.add(owner)
    for _ in range(1200):
        cores.run_for(0.1)
        assert all(len(acting) <= 1 for acting in acting_owners_by_slot(cores).values())
    (successor,) = acting_owners(cores, 0)
    assert successor != owner


def test_epoch_rises_with_each_owner():
    cores = settled_fleet()
    (owner,) = acting_owners(cores, 0)
    ownership = cores.by_name[owner].composition.ownership
    before = ownership.active_slot(0, clock_of(cores, owner)).record.epoch
    cores.crash(owner)
    run_until(cores, lambda: acting_owners(cores, 0), limit=30.0)
    (successor,) = acting_owners(cores, 0)
    ownership = cores.by_name[successor].composition.ownership
    assert ownership.active_slot(0, clock_of(cores, successor)).record.epoch > before


def test_store_calls_of_slots_do_not_grow_with_the_fleet():
    def calls_of(size):
        cores = settled_fleet(size=size, times=type(TIMES)(list_s=1.0, renewal_s=5.0))
        cores.run_for(60.0)
        before = cores.store.calls["CompareAndSwap"]
        cores.run_for(60.0)
        return cores.store.calls["CompareAndSwap"] - before

    small, large = calls_of(3), calls_of(12)
    assert large <= 2 * small
    assert small <= 60.0 / 5.0 * NUMBER_OF_SLOTS * 1.5


def test_takeover_values_are_stable():
    assert {takeover.value for takeover in Takeover} == {
        "free",
        "handover",
        "backup",
        "restart",
        "expired",
    }


def test_slots_handed_over_to_a_leaving_daemon_are_freed():
    cores = settled_fleet(size=4, slots=1)
    (owner,) = acting_owners(cores, 0)
    backup = cores.by_name[owner].composition.ownership.owned_by_slot[0].record.backup
    for name in (owner, backup):
        cores.report(cores.by_name[name], ShutdownRequested())
    cores.run_for(1.0)
    for name in (owner, backup):
        cores.crash(name)
    run_until(cores, lambda: acting_owners(cores, 0), limit=20.0)


def test_leaving_daemon_is_replaced_as_a_backup():
    cores = settled_fleet(size=4, slots=1)
    (owner,) = acting_owners(cores, 0)
    owned = cores.by_name[owner].composition.ownership.owned_by_slot
    leaving = owned[0].record.backup
    cores.report(cores.by_name[leaving], ShutdownRequested())
    for _ in range(60):
        cores.run_for(0.1)
        assert acting_owners(cores, 0) == [owner]
    assert owned[0].record.backup not in ("", leaving)
