"""All daemons are killed at once after a server has said that it leaves."""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib3"))

from fleet import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
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
LEAVING = 0
TOUCH = 3.0
LATE_BEAT = 6.0
STAYS = 14.0
PERIOD = 0.01
WORK = 0.09


async def case(folder, record, is_disturbed):
    """Play the case; return the exit status."""
    fleet = Fleet(folder, record, PLACES)
    try:
        return await play_in(fleet, record, is_disturbed)
    finally:
        fleet.write_record()
        fleet.close()


async def send_calls(fleet, machines, seconds, label):
    """Send requests to machines by turns."""
    end = time.monotonic() + seconds
    calls, turn = [], 0
    while time.monotonic() < end:
        index = machines[turn % len(machines)]
        turn += 1
        calls.append(
            asyncio.ensure_future(
                fleet.call(index, f"/leny950/{label}{turn:x}", label=label)
            )
        )
        await asyncio.sleep(PERIOD)
    return await asyncio.gather(*calls)


async def play_in(fleet, record, is_disturbed):
    """Play the case in a fleet."""
    routes = [route("browse", "/leny950/", "catalogue")]
    await fleet.start(configuration(7, routes, ["catalogue"]))
    for server in fleet.servers:
        server.work = WORK
    await asyncio.sleep(8.0)  # the servers are warm, the daemons in touch
    everywhere = range(len(PLACES))
    before = await send_calls(fleet, everywhere, 2.0, "b")
    served = sum(entry["status"] == 200 for entry in before)
    record.write(f"{served} of {len(before)} served before")
    if served < 0.9 * len(before):
        raise NotPlayedError("the fleet doesn't serve")
    server = fleet.servers[LEAVING]
    server.stop_beats()
    late_beat = server.heartbeat()
    sent_at = time.monotonic()
    record.write(f"server {server.instance}: sends a heartbeat that is held up")
    await asyncio.sleep(0.2)
    server.extra = {"Server-Leaving": "1"}
    server.state = "draining"
    status = await server.deregister()
    left_at = time.monotonic()
    record.write(f"server {server.instance}: deregisters, answer {status}")
    if status != 200:
        raise NotPlayedError("no acknowledgement")
    if is_disturbed:
        await asyncio.sleep(0.3)
        for daemon in fleet.daemons:
            daemon.send(signal.SIGKILL)
        await asyncio.sleep(0.2)
    calls = asyncio.ensure_future(
        send_calls(fleet, everywhere, left_at + STAYS - time.monotonic(), "a")
    )
    await fleet.wait_ready(everywhere, 5.0)
    started_at = time.monotonic()
    record.write("all daemons are ready")
    await asyncio.sleep(sent_at + LATE_BEAT - time.monotonic())
    status = await server.send(late_beat)
    record.write(f"server {server.instance}: the heartbeat arrives, answer {status}")
    await calls
    server.close()
    record.write(f"server {server.instance}: exits")
    bound = BOUNDS["drainMs"] / 1000.0
    sent_by_id = {entry["id"]: entry for entry in fleet.sent}
    late = [
        run
        for run in server.runs
        if run["at"] > left_at + bound
        and sent_by_id[run["id"]]["sent"] > started_at + TOUCH
    ]
    for run in late:
        record.write(
            f"request {run['id']} reached the server {run['at'] - left_at:.3f} s after"
            f" the acknowledgement, from machine {sent_by_id[run['id']]['machine']}"
        )
    record.write(f"{len(late)} requests from machines in touch came too late")
    return BROKEN if late else HELD


play(case, HERE)
