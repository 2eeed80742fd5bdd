"""What backend servers state in their answers binds the whole fleet."""

import asyncio

from knapweedlead.platform.tests.fleets import Fleet

LIMIT = 5.0
"""Calls per second that the server states to accept."""
STABLE_TIME = 3.0
"""Seconds after the first statement from which the limit binds."""
WINDOW = 4.0
"""Seconds over which the calls to the server are counted."""
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
"""Calls allowed in a window, relative to the limit, and in addition."""
DRAIN_TIME = 2.0
"""Seconds after which a server that leaves receives no call."""
CALL_INTERVAL = 0.025
DENSE_INTERVAL = 0.01
"""Seconds between the calls that a test sends."""


def prefer_server_of_daemon_0(fleet):
    """Give both servers of the service room, and make the one of daemon 1 slower."""
    for server, service_time in zip(fleet.servers[:2], (0.0, 0.3), strict=True):
        server.slots = 100
        server.service_time = service_time


async def send_calls(fleet, seconds, index=1, interval=CALL_INTERVAL):
    """Send calls to a daemon at a constant rate; return the statuses."""
    calls = []
    for number in range(int(seconds / interval)):
        calls.append(
            asyncio.ensure_future(
                fleet.call(index, "GET", "/read/1", request_id=f"{index}-{number}")
            )
        )
        await asyncio.sleep(interval)
    answers = await asyncio.gather(*calls)
    return [answer.status for answer in answers]


def most_in_a_window(times):
    """Return the largest number of times within `WINDOW` seconds."""
    return max(
        (sum(start <= at < start + WINDOW for at in times) for start in times),
        default=0,
    )


async def test_server_receives_no_more_calls_than_the_limit_that_it_states():
    async with Fleet() as fleet:
        prefer_server_of_daemon_0(fleet)
        limited = fleet.servers[0]
        limited.notices = {"server-limit": str(LIMIT)}
        statuses = await send_calls(fleet, STABLE_TIME + WINDOW + 1.0)
        assert set(statuses) == {200}
        binds_from = limited.received[0].at + STABLE_TIME
        times = [call.at for call in limited.received if call.at >= binds_from]
        assert most_in_a_window(times) <= ALLOWED_FACTOR * LIMIT * WINDOW + (
            ALLOWED_EXTRA
        )
        assert len(times) >= LIMIT


async def test_restart_of_the_daemon_does_not_lift_the_limit_that_its_server_states():
    async with Fleet() as fleet:
        limited, other = fleet.servers[:2]
        other.state = "draining"
        limited.slots = 100
        limited.notices = {"server-limit": str(LIMIT)}
        limited.service_time = 1.0
        load = asyncio.ensure_future(
            send_calls(fleet, 2 * WINDOW, interval=DENSE_INTERVAL)
        )
        await asyncio.sleep(STABLE_TIME + 1.0)
        await fleet.restart(0)
        await load
        binds_from = limited.received[0].at + STABLE_TIME
        times = [call.at for call in limited.received if call.at >= binds_from]
        assert most_in_a_window(times) <= ALLOWED_FACTOR * LIMIT * WINDOW + (
            ALLOWED_EXTRA
        )


async def state_leaving_in_answers(fleet):
    """Let the server of daemon 0 state that it leaves; return the server."""
    prefer_server_of_daemon_0(fleet)
    leaving = fleet.servers[0]
    leaving.notices = {"server-leaving": "1"}
    assert set(await send_calls(fleet, 1.0)) == {200}
    assert leaving.received
    return leaving


async def count_further_calls(fleet, server, indexes=(1,)):
    """Send calls to daemons; return how many of them reach a server."""
    before = len(server.received)
    for index in indexes:
        assert set(await send_calls(fleet, 1.0, index)) == {200}
    return len(server.received) - before


async def test_server_that_states_in_an_answer_that_it_leaves_receives_no_more_calls():
    async with Fleet() as fleet:
        leaving = await state_leaving_in_answers(fleet)
        await asyncio.sleep(DRAIN_TIME - 1.0)
        assert await count_further_calls(fleet, leaving) == 0


async def test_leave_stated_in_an_answer_binds_after_a_restart_of_the_daemon():
    async with Fleet() as fleet:
        leaving = await state_leaving_in_answers(fleet)
        await fleet.restart(0)
        await asyncio.sleep(DRAIN_TIME)
        assert await count_further_calls(fleet, leaving) == 0


async def test_leave_acknowledged_before_a_restart_of_the_daemon_binds_after_it():
    async with Fleet() as fleet:
        prefer_server_of_daemon_0(fleet)
        leaving = fleet.servers[0]
        first = fleet.sidecars[0]
        assert first.guard.record_leave(leaving.instance, first.clock())
        await fleet.wait_until(
            lambda: not fleet.sidecars[1].targets_by_service["front"][1].is_open
        )
        await fleet.restart(0)
        await asyncio.sleep(DRAIN_TIME)
        assert await count_further_calls(fleet, leaving, indexes=(0, 1)) == 0
