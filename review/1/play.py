"""Case 1: requests on many added routes stop the daemons beside their servers."""

import asyncio
import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from callers import Caller, close_all  # noqa: E402
from case import main, write_requests  # noqa: E402
from fleet import BOUNDS, Fleet, configuration, route  # noqa: E402
from messages import encode  # noqa: E402

ZONES = ("north", "south", "west")
PLACES = [(zone, service) for service in ("front", "deep") for zone in ZONES]
ADDED_ROUTES = 350
"""As many as the largest `big_config` of the site files adds."""
REQUESTS_PER_S = 40.0
"""On each machine of service `front`; its six `wearlog` servers get 529 at a site."""
BODY = b"{}"
TIMEOUT_MS = 2000
DEADLINE_S = 5.0
HALF_SECOND = 0.5
PLAY_S = 40.0


def routes(count):
    """Return the routes of the services, with a number of added ones."""
    first = route("first", "unsafe", "front", timeout_ms=TIMEOUT_MS)
    lookup = route("lookup", "safe", "deep", timeout_ms=TIMEOUT_MS, priority=1)
    lookup["public"] = True
    added = [
        route(f"added{number}", "unsafe", "front", timeout_ms=TIMEOUT_MS)
        for number in range(count)
    ]
    return [first, lookup, *added]


async def call_deep_first(server, headers, writer):
    """Make one call through the own machine, as servers may, and answer."""
    request_id = headers["knapweedlead-request-id"]
    left = int(headers["knapweedlead-deadline-ms"]) / 1000.0
    caller = Caller(server.machine, key="")
    entry = await caller.call("GET", "/lookup/1", deadline=left, once=True)
    answer = {
        "knapweedlead-request-id": request_id,
        "knapweedlead-response-seal": f"seal.{server.id}.{request_id}",
    }
    has_called = entry["status"] == 200
    status = "200 OK" if has_called else "500 Internal Server Error"
    writer.write(encode(f"HTTP/1.1 {status}", answer, b"x" * 400))
    await writer.drain()


async def keep_filing(machine, count, rng, end, callers):
    """Send requests on all added routes, or on the first one without any.

    They aren't idempotent: clients don't give these up before their deadline.
    """
    tasks = []
    while time.monotonic() < end:
        name = f"added{rng.randrange(count)}" if count else "first"
        callers.append(Caller(machine))
        sending = callers[-1].call("POST", f"/{name}/1", BODY, DEADLINE_S, once=True)
        tasks.append(asyncio.ensure_future(sending))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    await asyncio.gather(*tasks)


async def play(folder, record, has_trouble):
    """Play the case; return whether the rule is broken."""
    fleet = Fleet(folder, record, PLACES)
    callers = []
    rng = random.Random(27)
    try:
        await fleet.start(configuration(("front", "deep"), routes(0)))
        fronts = [m for m in fleet.machines if m.service == "front"]
        for machine in fronts:
            machine.server.respond = call_deep_first
        record("all machines are in touch")
        count = ADDED_ROUTES if has_trouble else 0
        if has_trouble:
            newer = configuration(("front", "deep"), routes(count), version="r5")
            fleet.store.write("op/config", json.dumps(newer).encode())
            record(f"r5 is acknowledged: it adds {count} routes")
        await asyncio.sleep(BOUNDS["configMs"] / 1000.0 + 1.0)
        end = time.monotonic() + PLAY_S
        tasks = []
        for machine in fronts:
            filing = keep_filing(machine, count, rng, end, callers)
            tasks.append(asyncio.ensure_future(filing))
        while time.monotonic() < end:
            await asyncio.sleep(2.0)
            ready = [await fleet.is_ready(machine) for machine in fronts]
            record(f"ready within a second: {ready}")
        await asyncio.gather(*tasks)
        write_requests(record, callers, fleet.runs())
        return is_config_broken(callers, record)
    finally:
        close_all(callers)
        await fleet.stop()


def is_config_broken(callers, record):
    """Return whether most requests have no answer half a second past `timeoutMs`."""
    timeout = TIMEOUT_MS / 1000.0
    lasting = [e for c in callers for e in c.sent if e["ended"] - e["sent"] > timeout]
    late = [e for e in lasting if e["ended"] - e["sent"] > timeout + HALF_SECOND]
    record(f"{sum(len(c.sent) for c in callers)} requests on the routes of front")
    record(f"{len(lasting)} unanswered at {timeout} s, {len(late)} of them 0.5 s later")
    return len(late) >= 8 and len(late) > len(lasting) / 2


if __name__ == "__main__":
    main(play)
