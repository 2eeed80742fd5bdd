"""Case 4: a server in trouble sends bodies without end, which ends the daemon."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from callers import Caller, close_all, keep_calling  # noqa: E402
from case import main, report_lost  # noqa: E402
from fleet import Fleet, configuration, route  # noqa: E402
from messages import encode  # noqa: E402

ZONES = ("north", "south", "west")
PLACES = [(zone, service) for service in ("wearlog", "desk") for zone in ZONES]
ROUTES = [
    route("history", "safe", "wearlog"),
    route("ticket", "unsafe", "desk", target_ms=1500, priority=0),
]
STEADY_CALLERS = 24
DESK_CALLERS = 24
"""Callers, on the same machine, of the service of the server in trouble."""
ENDLESS_ANSWERS = 16
CHUNK = b"2\r\nok\r\n"
CHUNKS_AT_ONCE = 2500
PAUSE_S = 0.022
"""Between two writes; about 0.8 MB a second on each connection."""
PLAY_S = 16.0


async def send_without_end(server, headers, writer):
    """Answer, and in trouble write chunks until the caller closes."""
    request_id = headers["knapweedlead-request-id"]
    answer = {
        "knapweedlead-request-id": request_id,
        "knapweedlead-response-seal": f"seal.{server.id}.{request_id}",
    }
    await asyncio.sleep(server.work)
    if server.endless_left <= 0:
        writer.write(encode("HTTP/1.1 200 OK", answer, b"x" * 400))
        await writer.drain()
        return
    server.endless_left -= 1
    sent = 0
    answer["transfer-encoding"] = "chunked"
    writer.write(encode("HTTP/1.1 200 OK", answer, has_length=False))
    try:
        while True:
            writer.write(CHUNK * CHUNKS_AT_ONCE)
            sent += len(CHUNK) * CHUNKS_AT_ONCE
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
    except OSError:
        server.record(f"{server.id}: the caller closed {request_id} after {sent} bytes")
        raise


async def play(folder, record, has_trouble):
    """Play the case; return whether the rule is broken."""
    fleet = Fleet(folder, record, PLACES)
    callers = []
    try:
        await fleet.start(configuration(("wearlog", "desk"), ROUTES))
        desks = [m for m in fleet.machines if m.service == "desk"]
        harmed = desks[0].server
        harmed.respond = send_without_end
        harmed.endless_left = 0
        for machine in fleet.machines:
            machine.server.work = 1.5 if machine.service == "wearlog" else 0.3
        record("all machines are in touch")
        end = time.monotonic() + PLAY_S
        steady = []
        for machine, method, path, count in (
            (desks[0], "GET", "/history/", STEADY_CALLERS),
            (desks[0], "POST", "/ticket/", DESK_CALLERS),
        ):
            for _ in range(count):
                callers.append(Caller(machine))
                target = f"{path}{len(callers)}"
                steady.append(keep_calling(callers[-1], method, target, end))
        tasks = [asyncio.ensure_future(each) for each in steady]
        await asyncio.sleep(8.0)
        if has_trouble:
            harmed.endless_left = ENDLESS_ANSWERS
            record(f"{harmed.id} at {desks[0].name} sends bodies without end")
        await asyncio.gather(*tasks)
        answers = len(harmed.runs)
        record(f"{harmed.id}: {answers} runs, at most {ENDLESS_ANSWERS} spoiled")
        return report_lost(fleet, callers, record, {harmed.id})
    finally:
        close_all(callers)
        await fleet.stop()


if __name__ == "__main__":
    main(play)
