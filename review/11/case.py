"""The store comes back from a copy; then the operator takes a key away."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib3"))

from fleet import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    KEY,
    OTHER_KEY,
    Fleet,
    NotPlayedError,
    configuration,
    play,
    route,
)

PLACES = [
    ("catalogue", "tt-south-a"),
    ("catalogue", "tt-south-b"),
    ("catalogue", "tt-south-c"),
]
COPY_AGE = 4.0
AWAY = 1.0
VERSIONS = 8
CALM = 8.0
WATCHED = 12.0
PERIOD = 0.1


async def case(folder, record, is_disturbed):
    """Play the case; return the exit status."""
    fleet = Fleet(folder, record, PLACES)
    try:
        return await play_in(fleet, record, is_disturbed)
    finally:
        fleet.write_record()
        fleet.close()


def document(version, keys):
    """Return a version of the configuration."""
    timeout = 6000 - version
    routes = [route("browse", "/leny950/", "catalogue", timeout=timeout)]
    return configuration(version, routes, ["catalogue"], keys)


async def send_calls(fleet, key, seconds, label):
    """Send requests with one key to all machines by turns."""
    end = time.monotonic() + seconds
    calls, turn = [], 0
    while time.monotonic() < end:
        index = turn % len(PLACES)
        turn += 1
        calls.append(
            asyncio.ensure_future(
                fleet.call(index, f"/leny950/{turn:x}", key=key, label=label)
            )
        )
        await asyncio.sleep(PERIOD)
    return await asyncio.gather(*calls)


async def play_in(fleet, record, is_disturbed):
    """Play the case in a fleet."""
    store = fleet.store
    await fleet.start(document(7, (KEY, OTHER_KEY)))
    await asyncio.sleep(8.0)  # the servers are warm, the daemons in touch
    saved = store.copy()
    record.write(f"store: a copy is made at revision {store.revision}")
    for step in range(VERSIONS):
        await asyncio.sleep(COPY_AGE / VERSIONS)
        store.write("op/config", document(8 + step, (KEY, OTHER_KEY)))
    record.write(f"store: revision {store.revision} after {VERSIONS} versions")
    await asyncio.sleep(0.3)
    if is_disturbed:
        record.write("store: away")
        store.is_down = True
        store.drop_connections()
        await asyncio.sleep(AWAY)
        store.restore(saved)
        store.is_down = False
        record.write(f"store: back at revision {store.revision}, era {store.era}")
        store.write("op/config", document(7 + VERSIONS, (KEY, OTHER_KEY)))
        record.write(f"operator: version r{7 + VERSIONS} again, {store.revision}")
    await asyncio.sleep(CALM)
    before = await send_calls(fleet, OTHER_KEY, 2.0, "before the key is taken away")
    served = sum(entry["status"] == 200 for entry in before)
    record.write(f"{served} of {len(before)} served before the key is taken away")
    if served < 0.9 * len(before):
        raise NotPlayedError("the fleet doesn't serve")
    taken_at = store.write("op/config", document(8 + VERSIONS, (KEY,)))
    record.write(f"operator: r{8 + VERSIONS} takes a key away, {store.revision}")
    await send_calls(fleet, OTHER_KEY, WATCHED, "key taken away")
    bound = BOUNDS["revokeMs"] / 1000.0
    sent_by_id = {entry["id"]: entry for entry in fleet.sent}
    late = [
        run
        for run in fleet.runs()
        if (entry := sent_by_id.get(run["id"])) is not None
        and entry["key"] == OTHER_KEY
        and entry["sent"] > taken_at + bound
    ]
    record.write(
        f"{len(late)} requests with the key ran that were sent over {bound} s after"
        " the acknowledgement of the version that took it away"
    )
    return BROKEN if late else HELD


play(case, HERE)
