"""An unexpected exception in a handler costs at most its call or its connection."""

import asyncio
import operator

import pytest

from knapweedlead.platform.tests.fleets import Fleet
from knapweedlead.platform.tests.standin_server import request

ANSWER_TIME = 1.0
"""Seconds within which the affected call is to end; its timeout is two seconds."""
FAILURES = {500, 502}
"""Statuses that promise nothing."""

ENTRY_HANDLERS = [
    "caller_listener.host.handle_call",
    "entry.accept",
    "entry.placement.choose",
    "entry.answered",
    "entry.replies.answer",
    "recorder.ended",
]
GUARD_HANDLERS = [
    "guard.offer",
    "guard.answered",
    "guard.limits.has_capacity",
    "guard.limits.record_start",
    "guard.monitor.record_notice",
    "recorder.attempt_started",
    "recorder.attempt_answered",
    "runner.run",
]


def raise_once(sidecar, path):
    """Let a method of a daemon raise when it is called next."""
    parent, _, name = path.rpartition(".")
    owner = operator.attrgetter(parent)(sidecar) if parent else sidecar
    method = getattr(owner, name)

    def fail(*args, **kwargs):
        setattr(owner, name, method)
        raise RuntimeError("injected")

    setattr(owner, name, fail)


async def serve_despite(fleet, failing, path, method="GET", target="/read/1"):
    """Check how a call ends in whose way an exception is raised, and the next calls."""
    neighbours = [
        asyncio.ensure_future(fleet.call(1, "GET", "/lookup/1", request_id=f"n{i}"))
        for i in range(3)
    ]
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(failing.handle_loop_exception)
    raise_once(failing, path)
    async with asyncio.timeout(ANSWER_TIME):
        affected = await fleet.call(1, method, target, request_id="affected")
    assert affected.status in FAILURES | {200}
    assert sum(
        count
        for (name, _), count in failing.recorder.count_by_name.items()
        if name == "faults"
    )
    for answer in await asyncio.gather(*neighbours):
        assert answer.status == 200
    for number in range(4):
        answer = await fleet.call(1, method, target, request_id=f"next-{number}")
        assert answer.status == 200


@pytest.mark.parametrize("path", ENTRY_HANDLERS)
async def test_call_hangs_after_an_exception_in_a_handler_of_the_entry(path):
    async with Fleet() as fleet:
        await serve_despite(fleet, fleet.sidecars[1], path)


@pytest.mark.parametrize("path", GUARD_HANDLERS)
async def test_call_hangs_after_an_exception_in_a_handler_of_the_local_guard(path):
    async with Fleet() as fleet:
        fleet.servers[0].state = "draining"
        await fleet.wait_until(
            lambda: (
                not fleet.sidecars[1].targets_by_service["front"][0].is_open
                or not fleet.sidecars[1].targets_by_service["front"][1].is_open
            )
        )
        await serve_despite(fleet, fleet.sidecars[1], path)


@pytest.mark.parametrize("path", GUARD_HANDLERS)
async def test_call_hangs_after_an_exception_in_a_handler_of_a_remote_guard(path):
    async with Fleet() as fleet:
        await serve_despite(fleet, fleet.sidecars[2], path, target="/lookup/1")


@pytest.mark.parametrize(
    "path", ["handle_heartbeat", "guard.apply_report", "recorder.log"]
)
async def test_heartbeats_are_not_answered_after_an_exception(path):
    async with Fleet() as fleet:
        server = fleet.servers[0]
        server.slots = 5
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        raise_once(fleet.sidecars[0], path)
        server.cold_ms = 1000
        async with asyncio.timeout(ANSWER_TIME):
            await server.send_heartbeat()
            assert await server.send_heartbeat() == 200


async def test_readiness_is_not_answered_after_an_exception():
    async with Fleet() as fleet:
        sidecar = fleet.sidecars[0]
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        raise_once(sidecar, "ready_listener.read")
        data = request("GET", "/-/ready", {"host": "h"}, b"")
        async with asyncio.timeout(ANSWER_TIME):
            answers = [
                await fleet.send(sidecar.settings.ready_address, data) for _ in range(2)
            ]
        assert [answer.status for answer in answers] == [502, 200]
