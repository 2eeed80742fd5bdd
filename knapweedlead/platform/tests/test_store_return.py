"""The store comes back from an older copy and gives out its revisions again."""

import asyncio
import json

import pytest

from knapweedlead.platform.tests.fleets import CONFIGURATION, Fleet

VERSION_BOUND = 2.0
"""Seconds after which a configuration is in force on all daemons."""
REGISTRATION_BOUND = 2.0
"""Seconds after the first answer of a new era within which all entries are back."""
LOST_CHANGES = 8


def document(version, has_key=True):
    """Return a version of the configuration, with or without its only key."""
    accounts = [
        account | {"apiKeys": ["key-crew"] if has_key else ["other"]}
        for account in CONFIGURATION["tenants"]
    ]
    changed = {"version": f"r{version}", "tenants": accounts}
    return json.dumps(CONFIGURATION | changed).encode()


async def come_back(fleet, away=0.5):
    """Lose `LOST_CHANGES` versions in a drill; the operator writes the last again."""
    saved = fleet.store.copy()
    last = 3 + LOST_CHANGES
    for version in range(4, last + 1):
        fleet.store.write("op/config", document(version))
    await fleet.wait_until(lambda: versions(fleet) == {last})
    fleet.store.fault = "silent"
    await asyncio.sleep(away)
    fleet.store.restore(saved)
    fleet.store.fault = ""
    return last


def versions(fleet):
    """Return the versions in force on the daemons."""
    return {sidecar.entry.configuration.version for sidecar in fleet.sidecars}


async def statuses(fleet):
    """Send one call with the key to each daemon; return the statuses."""
    calls = [fleet.call(i, "GET", "/read/1") for i in range(len(fleet.sidecars))]
    return {answer.status for answer in await asyncio.gather(*calls)}


@pytest.mark.parametrize("caught_up", [False, True])
async def test_key_withdrawn_after_the_store_came_back_is_refused(caught_up):
    # Guards against states that are dropped since their revisions are lower than
    # before, while the old configuration goes on being confirmed.
    async with Fleet() as fleet:
        last = await come_back(fleet)
        fleet.store.write("op/config", document(last))
        for index in range(2 * LOST_CHANGES if caught_up else 0):
            fleet.store.write(f"other/{index}", b"")
        await asyncio.sleep(0.5)
        assert await statuses(fleet) == {200}
        fleet.store.write("op/config", document(last + 1, has_key=False))
        await asyncio.sleep(VERSION_BOUND)
        assert await statuses(fleet) == {401}


async def test_older_configuration_of_the_copy_is_not_put_in_force():
    # Guards against routes and keys that return with the copy.
    async with Fleet() as fleet:
        last = await come_back(fleet)
        await asyncio.sleep(VERSION_BOUND)
        assert versions(fleet) == {last}
        assert await statuses(fleet) == {200}


async def test_daemon_that_starts_meanwhile_learns_the_version_from_its_peers():
    async with Fleet() as fleet:
        last = await come_back(fleet)
        await fleet.restart(0)
        await fleet.wait_until(lambda: fleet.sidecars[0].entry.configuration)
        await fleet.wait_until(lambda: versions(fleet) == {last}, VERSION_BOUND)


async def test_evacuation_that_the_copy_lacks_stays_until_it_is_taken_back():
    async with Fleet() as fleet:
        saved = fleet.store.copy()
        fleet.store.write("op/evacuate/north", b"{}")
        north = [s for s in fleet.sidecars if s.settings.data_centre == "north"]
        await fleet.wait_until(lambda: all(s.guard.is_evacuated for s in north))
        fleet.store.restore(saved)
        await asyncio.sleep(VERSION_BOUND)
        assert all(s.fleet.state.position.era == 2 for s in fleet.sidecars)
        assert all(s.guard.is_evacuated for s in north)
        fleet.store.write("op/evacuate/north", b"{}")
        fleet.store.remove("op/evacuate/north")
        await fleet.wait_until(
            lambda: not any(s.guard.is_evacuated for s in north), VERSION_BOUND
        )


async def test_registrations_that_the_copy_lacks_are_back_soon():
    # Guards against a lease whose number is given out again: its renewals succeed,
    # and its end takes another daemon's entry away.
    async with Fleet() as fleet:
        saved = fleet.store.copy()
        for key in [k for k in saved[1] if k.startswith("members/")]:
            del saved[1][key]
        saved[3].clear()
        fleet.store.restore(saved, next_lease=100)
        await fleet.wait_until(
            lambda: fleet.registered_count() == len(fleet.sidecars),
            REGISTRATION_BOUND,
        )
        leases = {i.lease for k, i in fleet.store.item_by_key.items() if "members" in k}
        assert len(leases) == len(fleet.sidecars)


async def test_odd_era_costs_one_answer():
    async with Fleet() as fleet:
        fleet.store.era = "3, 3"
        await asyncio.sleep(1.0)
        fleet.store.era = 1
        fleet.store.write("op/config", document(4, has_key=False))
        await fleet.wait_until(lambda: versions(fleet) == {4}, 2 * VERSION_BOUND)
