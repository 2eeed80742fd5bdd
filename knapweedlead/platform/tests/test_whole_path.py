"""End-to-end tests of the daemon on the platform, with stand-ins for its services."""

import asyncio
import json

from knapweedlead.platform.tests.fleets import CONFIGURATION, Fleet
from knapweedlead.platform.tests.standin_server import request


def with_version(version, **changes):
    """Return a newer configuration, encoded."""
    return json.dumps(CONFIGURATION | {"version": version} | changes).encode()


async def test_call_reaches_a_server_and_its_answer_is_returned():
    async with Fleet() as fleet:
        answer = await fleet.call(
            0,
            "POST",
            "/file/7?x=1",
            body=b"line down",
            headers={"knapweedlead-tenant": "forged", "x-note": "kept"},
        )
        assert answer.status == 200
        assert answer.body.endswith(b"/file/7?x=1 line down")
        assert answer.headers["knapweedlead-response-seal"].startswith("seal-")
        (received,) = fleet.received("front")
        assert received.body == b"line down"
        assert received.headers["knapweedlead-tenant"] == "crew"
        assert received.headers["knapweedlead-caller-service"] == "front"
        assert received.headers["x-note"] == "kept"
        assert "authorization" not in received.headers
        assert 0 < int(received.headers["knapweedlead-deadline-ms"]) <= 2000


async def test_child_call_needs_no_key():
    async with Fleet(has_children=True) as fleet:
        answer = await fleet.call(2, "GET", "/read/1")
        assert answer.status == 200
        (child,) = fleet.received("deep")
        assert child.headers["knapweedlead-caller-service"] == "front"
        assert "knapweedlead-tenant" not in child.headers


async def test_unknown_keys_and_routes_are_refused():
    async with Fleet() as fleet:
        assert (await fleet.call(0, "GET", "/read/1", key="no")).status == 401
        assert (await fleet.call(0, "GET", "/none/1")).status == 404
        assert fleet.received("front") == []


async def test_no_call_runs_after_the_last_account_is_removed():
    # Guards against keys that work again, and any other key, once no account is left.
    async with Fleet() as fleet:
        fleet.store.write("op/config", with_version("r9", tenants=[]))
        await fleet.wait_until(
            lambda: all(s.entry.configuration.version == 9 for s in fleet.sidecars)
        )
        for index in range(4):
            for key in ("key-crew", "key-never-held", ""):
                answer = await fleet.call(index, "GET", "/read/1", key=key)
                assert answer.status == 401
            assert (await fleet.call(index, "GET", "/lookup/1", key="")).status == 200
        assert fleet.received("front") == []


async def test_newer_configuration_is_applied_on_every_daemon():
    async with Fleet() as fleet:
        tenants = [CONFIGURATION["tenants"][0] | {"apiKeys": ["key-new"]}]
        fleet.store.write("op/config", with_version("r9", tenants=tenants))
        await fleet.wait_until(
            lambda: all(s.entry.configuration.version == 9 for s in fleet.sidecars)
        )
        for index in range(4):
            assert (await fleet.call(index, "GET", "/read/1")).status == 401
            answer = await fleet.call(index, "GET", "/read/1", key="key-new")
            assert answer.status == 200


async def test_invalid_configuration_keeps_the_active_one():
    async with Fleet() as fleet:
        fleet.store.write("op/config", b'{"version": "r9"')
        fleet.store.write("op/evacuate/nowhere", b"{}")
        await fleet.wait_until(
            lambda: all(s.fleet.state.evacuated for s in fleet.sidecars)
        )
        assert (await fleet.call(0, "GET", "/read/1")).status == 200


async def test_evacuated_data_centre_gets_no_calls_until_it_returns():
    async with Fleet() as fleet:
        fleet.store.write("op/evacuate/north", b"{}")
        north = fleet.sidecars[0]
        await fleet.wait_until(lambda: north.guard.is_evacuated)
        await fleet.wait_until(lambda: not fleet.sidecars[1].guard.is_stopping)
        for number in range(10):
            answer = await fleet.call(0, "GET", "/read/1", request_id=f"r{number}")
            assert answer.status == 200
        assert fleet.servers[0].received == []
        fleet.store.remove("op/evacuate/north")
        await fleet.wait_until(lambda: not north.guard.is_evacuated)


async def test_draining_server_gets_no_more_calls():
    async with Fleet() as fleet:
        fleet.servers[0].state = "draining"
        assert await fleet.servers[0].send_heartbeat() == 200
        for number in range(10):
            answer = await fleet.call(0, "GET", "/read/1", request_id=f"r{number}")
            assert answer.status == 200
        assert fleet.servers[0].received == []


async def test_declined_call_runs_on_another_server():
    async with Fleet() as fleet:
        fleet.servers[0].behaviour = "decline"
        for number in range(2):
            answer = await fleet.call(0, "POST", "/file/1", request_id=f"r{number}")
            assert answer.status == 200


async def test_call_of_a_disconnected_caller_is_cancelled():
    async with Fleet() as fleet:
        for server in fleet.servers:
            server.service_time = 1.0
        call = asyncio.ensure_future(fleet.call(0, "GET", "/read/1"))
        await fleet.wait_until(lambda: fleet.received("front"))
        fleet._clients[-1].close()
        await fleet.wait_until(
            lambda: not any(s.runner._ticket_by_run for s in fleet.sidecars), 0.8
        )
        await call


async def test_daemon_without_the_store_is_updated_by_its_peers():
    async with Fleet() as fleet:
        isolated = fleet.sidecars[3]
        isolated.store.set_address("127.0.0.1:1")
        tenants = [CONFIGURATION["tenants"][0] | {"apiKeys": ["key-new"]}]
        fleet.store.write("op/config", with_version("r9", tenants=tenants))
        await fleet.wait_until(lambda: isolated.entry.configuration.version == 9)
        await asyncio.sleep(1.0)
        now = isolated.clock()
        assert isolated.fleet.freshness.is_fresh(now, 3.0)


async def test_keys_are_refused_during_a_store_outage_and_accepted_after():
    async with Fleet() as fleet:
        first = fleet.sidecars[0]
        fleet.store.fault = "busy"
        await asyncio.sleep(4.6)
        answer = await fleet.call(0, "GET", "/read/1")
        assert answer.status == 503
        assert (await fleet.call(0, "GET", "/lookup/1", key="")).status == 200
        fleet.store.fault = ""
        await fleet.wait_until(
            lambda: first.fleet.freshness.is_fresh(first.clock(), 1.0)
        )
        assert (await fleet.call(0, "GET", "/read/1")).status == 200


async def test_expired_registration_is_restored():
    async with Fleet() as fleet:
        fleet.store.expire_leases()
        assert not any(k.startswith("members/") for k in fleet.store.item_by_key)
        await fleet.wait_until(
            lambda: sum(k.startswith("members/") for k in fleet.store.item_by_key) == 4,
            3.0,
        )


async def test_state_is_read_again_after_compaction():
    async with Fleet() as fleet:
        fleet.store.write("op/evacuate/north", b"{}")
        fleet.store.compact()
        await fleet.wait_until(lambda: fleet.sidecars[0].guard.is_evacuated)


async def test_daemon_crash_fails_no_idempotent_call():
    async with Fleet() as fleet:
        await fleet.kill(fleet.sidecars[1])
        for number in range(8):
            answer = await fleet.call(0, "GET", "/read/1", request_id=f"r{number}")
            assert answer.status == 200


async def test_stopping_daemon_answers_accepted_calls():
    async with Fleet() as fleet:
        for server in fleet.servers:
            server.service_time = 0.5
        call = asyncio.ensure_future(fleet.call(0, "POST", "/file/1"))
        await fleet.wait_until(lambda: fleet.received("front"))
        stop = asyncio.ensure_future(fleet.sidecars[0].stop())
        assert (await call).status == 200
        assert fleet.sidecars[0]._readiness()[0] == 503
        await stop


async def test_call_on_a_kept_connection_during_the_last_steps_of_a_stop_is_answered():
    async with Fleet() as fleet:
        for server in fleet.servers:
            server.service_time = 0.3
        sidecar = fleet.sidecars[0]
        deregister = sidecar.sync.stop
        has_stopped_waiting = asyncio.Event()

        async def deregister_slowly():
            has_stopped_waiting.set()
            await asyncio.sleep(0.2)
            await deregister()

        sidecar.sync.stop = deregister_slowly
        host, _, port = sidecar.settings.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        stop = asyncio.ensure_future(sidecar.stop())
        await has_stopped_waiting.wait()
        headers = {
            "host": "h.example",
            "knapweedlead-request-id": "r1",
            "knapweedlead-deadline-ms": "2000",
            "authorization": "Token key-crew",
        }
        writer.write(request("POST", "/file/1", headers))
        answer = await asyncio.wait_for(reader.read(), 4.0)
        assert answer.startswith(b"HTTP/1.1 200")
        writer.close()
        await stop


async def test_only_a_few_daemons_watch_the_store():
    async with Fleet() as fleet:
        await asyncio.sleep(2.0)
        fleet.store.calls.clear()
        await asyncio.sleep(2.0)
        watches = [path for _, path in fleet.store.calls if "kv-watch" in path]
        assert len(watches) <= 3 * 3
