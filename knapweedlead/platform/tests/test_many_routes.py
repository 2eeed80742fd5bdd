"""Calls on hundreds of routes that a new version of the configuration adds."""

import asyncio
import copy
import json
import random

from knapweedlead.platform.tests.fleets import CONFIGURATION, Fleet

ADDED = 150
CALLS_PER_S = 150.0
SECONDS = 6.0
TIMEOUT_S = 2.0
"""``timeoutMs`` of the added routes, and the deadline of the calls."""
READY_WITHIN_S = 1.0
"""Time limit of a readiness probe."""


def with_added_routes():
    """Return the configuration with many routes more, encoded."""
    document = copy.deepcopy(CONFIGURATION) | {"version": "r9"}
    (host,) = document["virtualHosts"]
    first = host["paths"][0]
    host["paths"] += [
        first | {"name": f"added{number}", "prefix": f"/added{number}/"}
        for number in range(ADDED)
    ]
    return json.dumps(document).encode()


async def test_daemons_answer_while_calls_run_on_hundreds_of_added_routes():
    # Guards against estimates whose cost grows faster than the number of routes.
    async with Fleet(has_children=True) as fleet:
        for server in fleet.servers:
            server.slots = 100
            server.service_time = 0.05
        fleet.store.write("op/config", with_added_routes())
        await fleet.wait_until(
            lambda: all(s.entry.configuration.version == 9 for s in fleet.sidecars)
        )
        rng = random.Random(2)
        calls = []
        probes = []
        for number in range(int(CALLS_PER_S * SECONDS)):
            path = f"/added{rng.randrange(ADDED)}/1"
            call = fleet.call(number % 2, "GET", path, request_id=f"r{number}")
            calls.append(asyncio.ensure_future(asyncio.wait_for(call, TIMEOUT_S)))
            if number % 50 == 0:
                address = fleet.sidecars[number % 2].settings.ready_address
                probe = fleet.send(address, b"GET / HTTP/1.1\r\nhost: daemon\r\n\r\n")
                probes.append(
                    asyncio.ensure_future(asyncio.wait_for(probe, READY_WITHIN_S))
                )
            await asyncio.sleep(1.0 / CALLS_PER_S)
        answers = await asyncio.gather(*calls)
        assert {answer.status for answer in answers} == {200}
        assert {probe.status for probe in await asyncio.gather(*probes)} == {200}
