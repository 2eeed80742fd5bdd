"""Case 5: when the last tenant is taken away, its key and any other one work."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from callers import Caller, close_all  # noqa: E402
from case import main, write_requests  # noqa: E402
from fleet import BOUNDS, Fleet, configuration, route  # noqa: E402

PLACES = [(zone, "desk") for zone in ("north", "south", "west")]
ROUTES = [route("ticket", "unsafe", "desk", target_ms=1500, priority=0)]
REVOKE_S = BOUNDS["revokeMs"] / 1000.0
MARGIN_S = 1.0
CALLS = 10


async def play(folder, record, has_trouble):
    """Play the case; return whether the rule is broken."""
    fleet = Fleet(folder, record, PLACES)
    callers = [Caller(machine) for machine in fleet.machines]
    try:
        await fleet.start(configuration(("desk",), ROUTES))
        record("all machines are in touch")
        for caller in callers:
            await caller.call("POST", "/ticket/before")
        if has_trouble:
            newer = configuration(("desk",), ROUTES, tenants=[], version="r5")
            fleet.store.write("op/config", json.dumps(newer).encode())
            record("r5 is acknowledged: it holds no tenant and no key any more")
        acknowledged = time.monotonic()
        await asyncio.sleep(REVOKE_S + MARGIN_S)
        ran = []
        for _ in range(CALLS):
            for caller in callers:
                entry = await caller.call("POST", "/ticket/after")
                if has_trouble and entry["id"] in fleet.runs():
                    ran.append((entry["id"], entry["sent"] - acknowledged))
            await asyncio.sleep(0.1)
        unknown = [await c.call("POST", "/ticket/unknown", key="none") for c in callers]
        write_requests(record, callers, fleet.runs())
        for request_id, after in ran:
            record(f"{request_id} ran, sent {after:.2f} s after its key was taken away")
        held_never = [e["id"] for e in unknown if e["id"] in fleet.runs()]
        record(f"ran with a key that no configuration ever held: {held_never}")
        return bool(ran or held_never)
    finally:
        close_all(callers)
        await fleet.stop()


if __name__ == "__main__":
    main(play)
