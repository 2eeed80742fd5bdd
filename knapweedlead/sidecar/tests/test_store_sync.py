"""Registration and watch, and their cost while the store is unavailable."""

import asyncio
import random

import attrs
import pytest
from result import Err, Ok

from knapweedlead.errors import StoreError, StoreFault
from knapweedlead.mesh import LeaseGrant, Member
from knapweedlead.platform.tests.fleets import Fleet
from knapweedlead.sidecar import Sidecar
from knapweedlead.sidecar._store_sync import StoreSync

RENEWAL_WEIGHT = 0.1
OUTAGE = 4.0
CALLS_PER_REGISTRATION = 2
"""A lease is granted, and the entry is written."""


def weighted_calls(fleet):
    """Return the weighted number of store calls so far; a renewal counts 0.1."""
    return sum(
        count * (RENEWAL_WEIGHT if label.startswith("renewal") else 1.0)
        for sidecar in fleet.sidecars
        for (name, label), count in sidecar.recorder.count_by_name.items()
        if name == "store.calls"
    )


@pytest.mark.parametrize("fault", ["busy", "many"])
async def test_store_outage_limits_the_call_rate(fault):
    async with Fleet() as fleet:
        fleet.store.fault = fault
        await asyncio.sleep(2.0)
        before = weighted_calls(fleet)
        await asyncio.sleep(OUTAGE)
        calls = weighted_calls(fleet) - before
        assert calls < 1.5 * OUTAGE * len(fleet.sidecars)


async def test_expired_registration_is_restored_soon_after_an_outage():
    async with Fleet() as fleet:
        fleet.store.fault = "busy"
        await asyncio.sleep(2.5)
        fleet.store.expire_leases()
        assert fleet.registered_count() == 0
        fleet.store.fault = ""
        await fleet.wait_until(
            lambda: fleet.registered_count() == len(fleet.sidecars), 2.2
        )


class ScriptedStore:
    """Fails each renewal with the next of the given faults and records all calls.

    A number in place of a fault is the era in which the renewal succeeds.
    """

    def __init__(self, faults, operations):
        self.faults = list(faults)
        self.operations = operations

    async def renew_lease(self, lease):
        self.operations.append("renew")
        fault = self.faults.pop(0)
        if isinstance(fault, int):
            return Ok(fault)
        return Err(StoreError("renew", "store", "scripted", fault))

    async def revoke_lease(self, lease):
        self.operations.append("revoke")
        return Ok(None)

    async def grant_lease(self, duration):
        self.operations.append("grant")
        return Ok(LeaseGrant(2, duration, 1))

    async def register(self, local_member, lease):
        self.operations.append("register")
        return Ok(1)


class StubHost:
    """Ignores the callbacks of `StoreSync`."""

    def __init__(self):
        self.rng = random.Random(1)

    def clock(self):
        return 100.0

    def record_store_reachability(self, step, is_reached, detail):
        pass

    def record_registration(self, is_registered):
        pass


async def test_expired_registration_is_rewritten_without_a_pause(monkeypatch):
    operations = []

    async def record_pause(seconds):
        operations.append("pause")
        if "register" in operations:
            raise asyncio.CancelledError

    unavailable, expired = StoreFault.UNAVAILABLE, StoreFault.CONFLICT
    store = ScriptedStore([unavailable, unavailable, expired], operations)
    local_member = Member("daemon-0", "127.0.0.1:1", "front", "north")
    sync = StoreSync(StubHost(), store, local_member)
    sync._lease = 1
    monkeypatch.setattr("knapweedlead.sidecar._store_sync.asyncio.sleep", record_pause)
    with pytest.raises(asyncio.CancelledError):
        await sync._keep_registered()
    failed_renewals = ["renew", "pause", "renew", "pause"]
    assert operations == [*failed_renewals, "renew", "grant", "register", "pause"]


async def test_daemon_that_is_gone_is_removed_from_the_roster_unless_it_is_registered(
    monkeypatch,
):
    # Guards against a share of the rates that is left to a machine for good, and
    # against the removal of a daemon that has registered again meanwhile.
    monkeypatch.setattr("knapweedlead.mesh._roster.ABSENCE_TIME", 0.3)
    async with Fleet() as fleet:
        for name in ("daemon-8", "daemon-9"):
            fleet.store.write(f"roster/{name}", b"")
        await fleet.wait_until(lambda: not known(fleet, "daemon-9"))
        assert all(known(fleet, f"daemon-{index}") for index in range(4))
        fleet.store.write("members/daemon-8", b"{}")
        fleet.store.write("roster/daemon-8", b"")
        await asyncio.sleep(1.5)
        assert known(fleet, "daemon-8")


def known(fleet, name):
    """Return whether the store's roster has a daemon."""
    return f"roster/{name}" in fleet.store.item_by_key


@pytest.mark.parametrize("change", ["replaced", "removed"])
async def test_entry_that_another_writer_changes_is_written_anew(change):
    # Guards against a live daemon that renews its lease and is no longer listed.
    async with Fleet() as fleet:
        if change == "replaced":
            fleet.store.write("members/daemon-3", b"{}")
        else:
            fleet.store.remove("members/daemon-3")
        others = fleet.sidecars[:3]
        await fleet.wait_until(
            lambda: all("daemon-3" not in s.roster.by_name for s in tracked(others))
        )
        await fleet.wait_until(
            lambda: all("daemon-3" in s.roster.by_name for s in tracked(others))
        )
        calls = sum(
            sidecar.recorder.count_by_name["store.calls", "registration,ok"]
            for sidecar in fleet.sidecars
        )
        assert calls == CALLS_PER_REGISTRATION * (len(fleet.sidecars) + 1)


async def test_lease_number_that_is_given_out_again_is_neither_kept_nor_revoked(
    monkeypatch,
):
    # Guards against a daemon that renews, or ends, the lease of another one after the
    # store has come back from a copy.
    operations = []

    async def record_pause(seconds):
        operations.append("pause")
        if "register" in operations:
            raise asyncio.CancelledError

    store = ScriptedStore([2], operations)
    local_member = Member("daemon-0", "127.0.0.1:1", "front", "north")
    sync = StoreSync(StubHost(), store, local_member)
    sync._lease, sync._lease_era = 1, 1
    monkeypatch.setattr("knapweedlead.sidecar._store_sync.asyncio.sleep", record_pause)
    sync._observe_era(2)
    await sync.stop()
    assert operations == []
    sync._era = 1
    with pytest.raises(asyncio.CancelledError):
        await sync._keep_registered()
    assert operations[:4] == ["renew", "pause", "grant", "register"]


def tracked(sidecars):
    """Return the fleet trackers of daemons."""
    return [sidecar.fleet for sidecar in sidecars]


def test_daemon_is_unlisted_only_if_a_later_state_does_not_list_it():
    fleet = Fleet()
    sidecar = Sidecar(fleet.settings(0, "front", "north"), random.Random(1))
    tracker = sidecar.fleet
    assert not tracker.is_unlisted(100.0)
    tracker.confirm(99.0, tracker.state.position)
    assert not tracker.is_unlisted(100.0)
    tracker.confirm(101.0, tracker.state.position)
    assert tracker.is_unlisted(100.0)
    member = tracker.local_member
    tracker.state = attrs.evolve(tracker.state, member_by_name={member.name: member})
    assert not tracker.is_unlisted(100.0)
