"""A leave that was acknowledged binds after all daemons were killed at once."""

import asyncio
import json

import pytest

from knapweedlead.platform.tests.fleets import Fleet

LEAVING = 0
CALLS = 40


def late_heartbeat(server):
    """Return a heartbeat that the server sent before it left, to be sent later."""
    document = {
        "address": server.address,
        "born": server.born,
        "info": {
            "service": server.service,
            "version": "v1",
            "zone": server.data_centre,
            "slots": server.slots,
        },
        "status": {
            "state": "ready",
            "sequence": next(server._sequence),
            "coldRemainingMs": 0,
        },
    }
    return f"/-/Instances.Heartbeat/{server.instance}", json.dumps(document).encode()


async def deregister(server):
    """Send the deregistration of a server; return the status of the answer."""
    path = f"/-/Instances.Deregister/{server.instance}"
    return await server.post(server._reports, path)


async def leave(fleet, server, how):
    """Have a server state its leave in one of the ways; return the status."""
    if how == "draining":
        server.state = "draining"
        return await server.send_heartbeat()
    if how == "unknown":
        await fleet.restart(LEAVING)
        await fleet.wait_until(lambda: fleet.sidecars[LEAVING].fleet.state.known_names)
        return await deregister(server)
    if how == "answer":
        server.notices = {"server-leaving": "1"}
        answers = [await fleet.call(LEAVING, "GET", "/read/1") for _ in range(8)]
        await asyncio.sleep(0.3)
        server.notices = {}
        return answers[-1].status
    return await deregister(server)


async def restart_all(fleet):
    """Kill all daemons at the same moment and start them again."""
    for sidecar in fleet.sidecars:
        await fleet.kill(sidecar)
    for index in range(len(fleet.sidecars)):
        await fleet.restart(index)
    await fleet.wait_until(lambda: all(s.entry.configuration for s in fleet.sidecars))
    await fleet.wait_until(
        lambda: all(len(s.links.open_links()) == 3 for s in fleet.sidecars)
    )


async def calls_reaching(fleet, server):
    """Send calls through all daemons; return how many a server received."""
    before = len(server.received)
    for number in range(CALLS):
        index = number % len(fleet.sidecars)
        await fleet.call(index, "GET", f"/read/{number}", request_id=f"r{number}")
    return len(server.received) - before


@pytest.mark.parametrize("how", ["deregistered", "draining", "unknown", "answer"])
async def test_late_heartbeat_opens_no_server_that_left_before_all_daemons_ended(how):
    # Guards against leaves that only the daemons know, all of which may end at once.
    async with Fleet() as fleet:
        server = fleet.servers[LEAVING]
        server._task.cancel()
        path, body = late_heartbeat(server)
        assert await leave(fleet, server, how) == 200
        await restart_all(fleet)
        assert await server.post(server._reports, path, body) == 200
        assert await calls_reaching(fleet, server) == 0


async def test_next_start_after_a_leave_is_served():
    async with Fleet() as fleet:
        server = fleet.servers[LEAVING]
        server._task.cancel()
        assert await deregister(server) == 200
        await restart_all(fleet)
        server.born += 1
        assert await server.send_heartbeat() == 200
        await asyncio.sleep(0.3)
        assert await calls_reaching(fleet, server) > 0


async def test_leave_is_acknowledged_once_the_store_has_it():
    # Guards against an acknowledgement that nothing but daemons remembers.
    async with Fleet() as fleet:
        server = fleet.servers[LEAVING]
        server._task.cancel()
        fleet.store.fault = "silent"
        assert await deregister(server) == 503
        assert await calls_reaching(fleet, server) == 0
        fleet.store.fault = ""
        await fleet.wait_until(lambda: departures(fleet), 3.0)
        assert await deregister(server) == 200
        assert len(departures(fleet)) == 1


async def test_leave_that_the_copy_of_the_store_lacks_is_written_again():
    async with Fleet() as fleet:
        saved = fleet.store.copy()
        server = fleet.servers[LEAVING]
        server._task.cancel()
        path, body = late_heartbeat(server)
        assert await deregister(server) == 200
        fleet.store.restore(saved)
        await fleet.wait_until(lambda: departures(fleet), 3.0)
        await restart_all(fleet)
        await server.post(server._reports, path, body)
        assert await calls_reaching(fleet, server) == 0


def departures(fleet):
    """Return the departures that the store holds."""
    return [key for key in fleet.store.item_by_key if key.startswith("leaves/")]
