"""Rates over the fleet after all daemons were killed and all leases have ended."""

import asyncio
import bisect
import json

from knapweedlead.platform.tests.fleets import CONFIGURATION, Fleet

RATE = 40.0
BURST = 40.0
WINDOW = 5.0
OVER = 0.1
SLACK = 20.0
ALLOWED = (RATE * WINDOW + BURST) * (1.0 + OVER) + SLACK
"""Calls of the account that may run in any window, by the platform's rule."""
CALLS_PER_DAEMON = 200


def document(version):
    """Return a configuration in which the account is limited."""
    accounts = [
        account | {"ratePerS": RATE, "burst": BURST}
        for account in CONFIGURATION["tenants"]
    ]
    changed = {"version": f"r{version}", "tenants": accounts}
    return json.dumps(CONFIGURATION | changed).encode()


async def most_in_a_window(fleet):
    """Send calls evenly to all daemons; return the most that ran in any window."""
    answers = []
    for number in range(CALLS_PER_DAEMON):
        for index in range(len(fleet.sidecars)):
            call = fleet.call(index, "GET", "/read/1", request_id=f"{index}-{number}")
            answers.append(asyncio.ensure_future(call))
        await asyncio.sleep(WINDOW / CALLS_PER_DAEMON)
    await asyncio.gather(*answers)
    times = sorted(received.at for received in fleet.received("front"))
    counts = [bisect.bisect_left(times, t + WINDOW) - i for i, t in enumerate(times)]
    return max(counts)


async def restart_with_late_registrations(fleet):
    """Kill all daemons while all leases end; all but one are registered late."""
    fleet.store.write("op/config", document(4))
    await asyncio.sleep(0.5)
    fleet.store.fault = "silent"
    fleet.store.expire_leases()
    for index in range(1, len(fleet.sidecars)):
        fleet.store.write_delay_by_key[f"members/daemon-{index}"] = 2 * WINDOW
    for index in range(len(fleet.sidecars)):
        await fleet.restart(index)
    fleet.store.fault = ""
    await fleet.wait_until(lambda: all(s.entry.configuration for s in fleet.sidecars))


async def test_quota_holds_while_daemons_are_missing_from_the_list():
    # Guards against daemons that take the few which have registered again for the
    # whole fleet, and admit their shares of the rate each.
    async with Fleet() as fleet:
        await restart_with_late_registrations(fleet)
        assert fleet.registered_count() <= 1
        ran = await most_in_a_window(fleet)
        assert RATE * WINDOW / 2 < ran <= ALLOWED


async def test_fleet_that_starts_for_the_first_time_divides_no_growing_list():
    async with Fleet() as fleet:
        await fleet.wait_until(lambda: fleet.registered_count() == 4)
        for key in [k for k in fleet.store.item_by_key if k.startswith("roster/")]:
            fleet.store.remove(key)
        await restart_with_late_registrations(fleet)
        assert await most_in_a_window(fleet) <= ALLOWED
