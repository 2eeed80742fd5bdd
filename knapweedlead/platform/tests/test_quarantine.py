"""A request that ends the servers which run it, at a small fleet."""

import asyncio
import json

from knapweedlead.platform.tests.fleets import Fleet

DEADLY = "/read/deadly"
REFUSED_STATUS = 503


async def send_deadly(fleet, count):
    """Send the deadly request one time after the other; return the statuses."""
    statuses = []
    for number in range(count):
        answer = await fleet.call(number % 4, "GET", DEADLY, request_id=f"d{number}")
        statuses.append(answer.status)
        await asyncio.sleep(0.02)
    return statuses


def deadly_runs(fleet):
    """Return how often the deadly request was sent to a server."""
    return sum(received.path == DEADLY for received in fleet.received("front"))


async def test_request_that_ends_its_servers_is_sent_to_no_further_one():
    # Guards against a request that callers repeat, and that ends one server after the
    # other for as long as they do.
    async with Fleet() as fleet:
        for server in fleet.servers:
            server.deadly_path = DEADLY
            server.service_time = 0.05
        statuses = await send_deadly(fleet, 1)
        assert statuses == [502]
        assert [server.ends for server in fleet.servers[:2]] == [1, 1]
        runs = deadly_runs(fleet)
        for server in fleet.servers[:2]:
            await server.start()
        await fleet.wait_until(lambda: all(fleet.is_ready(s) for s in fleet.sidecars))
        assert await send_deadly(fleet, 12) == [REFUSED_STATUS] * 12
        assert deadly_runs(fleet) == runs
        for index in range(4):
            answer = await fleet.call(index, "GET", "/read/other")
            assert answer.status == 200
            answer = await fleet.call(index, "GET", DEADLY, request_id="again")
            assert json.loads(answer.body)["type"] == "quarantined"
            assert float(answer.headers["retry-after"]) > 1.0


async def test_daemon_that_restarts_learns_which_requests_are_quarantined():
    async with Fleet() as fleet:
        for server in fleet.servers:
            server.deadly_path = DEADLY
            server.service_time = 0.05
        await send_deadly(fleet, 1)
        runs = deadly_runs(fleet)
        for server in fleet.servers[:2]:
            await server.start()
        await fleet.restart(0)
        await fleet.wait_until(lambda: all(fleet.is_ready(s) for s in fleet.sidecars))
        answer = await fleet.call(0, "GET", DEADLY, request_id="again")
        assert answer.status == REFUSED_STATUS
        assert deadly_runs(fleet) == runs


async def test_request_beside_ends_of_servers_is_served_again_at_once():
    async with Fleet() as fleet:
        for server in fleet.servers:
            server.service_time = 0.05
        for number in range(3):
            call = asyncio.ensure_future(
                fleet.call(0, "GET", "/read/popular", request_id=f"p{number}")
            )
            await asyncio.sleep(0.02)
            for server in fleet.servers[:2]:
                server.end()
            await call
            for server in fleet.servers[:2]:
                await server.start()
            await fleet.wait_until(
                lambda: all(fleet.is_ready(s) for s in fleet.sidecars)
            )
            answer = await fleet.call(
                1, "GET", "/read/popular", request_id=f"q{number}"
            )
            assert answer.status == 200
