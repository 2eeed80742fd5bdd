"""Malformed answers of the store, and unexpected errors in the loops that call it."""

import asyncio

import pytest

from knapweedlead.platform.tests.fleets import Fleet


@pytest.mark.parametrize(
    "answer", [b"[]", b"{}", b"7", b"null", b'{"events": [7], "at": "x"}', b"\xff"]
)
async def test_malformed_answers_of_the_store_stop_no_daemon(answer):
    async with Fleet() as fleet:
        fleet.store.malformed_answer = answer
        fleet.store.fault = "malformed"
        await asyncio.sleep(2.5)
        fleet.store.expire_leases()
        fleet.store.fault = ""
        fleet.store.write("op/evacuate/elsewhere", b"{}")
        await fleet.wait_until(
            lambda: fleet.registered_count() == len(fleet.sidecars), 6.0
        )
        await fleet.wait_until(
            lambda: all(s.fleet.state.evacuated for s in fleet.sidecars), 6.0
        )
        assert (await fleet.call(0, "GET", "/read/1")).status == 200


@pytest.mark.parametrize("name", ["confirm", "apply_store_change", "should_watch"])
async def test_unexpected_exception_stops_neither_loop(name):
    async with Fleet() as fleet:
        for sidecar in fleet.sidecars:
            original = getattr(sidecar.fleet, name)

            def fail_once(*args, tracker=sidecar.fleet, original=original):
                setattr(tracker, name, original)
                raise RuntimeError("injected")

            setattr(sidecar.fleet, name, fail_once)
        fleet.store.write("op/evacuate/elsewhere", b"{}")
        await fleet.wait_until(
            lambda: all(s.fleet.state.evacuated for s in fleet.sidecars), 8.0
        )
        faults = sum(
            s.recorder.count_by_name["faults", "store.watch"] for s in fleet.sidecars
        )
        assert faults >= 1
        assert (await fleet.call(0, "GET", "/read/1")).status == 200
