"""Malformed answers of the store, and unexpected errors in the loops that call it."""

import asyncio
import json

import pytest

from knapweedlead.platform._store import _decode_page
from knapweedlead.platform.tests.fleets import Fleet


@pytest.mark.parametrize(
    "answer",
    [
        b"[]",
        b"{}",
        b"7",
        b"null",
        b'{"events": [7], "at": "x"}',
        b"\xff",
        b'{"events": [], "at": 1e999}',
        b'{"events": [], "at": -1, "lease": 1e999, "ttlMs": 1e999}',
        b'{"items": [], "hasMore": true, "at": 10000}',
        b'{"items": [7], "hasMore": true, "at": 10000}',
        b"[" * 100_000,
    ],
    ids=lambda answer: answer[:40].decode("latin-1"),
)
async def test_malformed_answers_of_the_store_stop_no_daemon(answer):
    async with Fleet() as fleet:
        known = fleet.sidecars[0].fleet.state.member_by_name.keys()
        fleet.store.malformed_answer = answer
        fleet.store.fault = "malformed"
        await asyncio.sleep(2.5)
        assert all(s.fleet.state.member_by_name.keys() == known for s in fleet.sidecars)
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


ITEM = {"key": "members/a", "value": "", "revision": 3}


def test_page_that_leads_to_no_next_one_is_not_the_last():
    # Guards against a page without items that is read as the end of the list, after
    # which the members of later pages count as gone.
    for items in ([], [7], [{"key": 7}], [ITEM]):
        page = {"items": items, "hasMore": True, "at": 9}
        with pytest.raises(ValueError, match="expected items after"):
            _decode_page(page, "members/a", 1)
    page = {"items": [], "hasMore": False, "at": 9}
    assert _decode_page(page, "members/a", 1).next_after == ""


def test_next_page_begins_after_the_last_key_that_can_be_read():
    page = {"items": [ITEM, 7, {"key": None}], "hasMore": True, "at": 9}
    assert _decode_page(page, "", 1).next_after == "members/a"


async def test_key_that_cannot_be_encoded_does_not_end_the_reading_of_pages():
    # Guards against a daemon that never reads the store again for one odd key.
    async with Fleet() as fleet:
        store = fleet.sidecars[0].store
        page = {"items": [ITEM | {"key": "\ud800"}], "hasMore": True, "at": 9}
        fleet.store.malformed_answer = json.dumps(page).encode()
        fleet.store.fault = "malformed"
        result = await store.read_state()
        assert "expected items after" in str(result.err_value)


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
