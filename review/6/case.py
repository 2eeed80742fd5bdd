"""Requests with a body whose client offers another protocol (``Upgrade``)."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))

from standins import (  # noqa: E402
    BROKEN,
    HAS_TROUBLE,
    HELD,
    HOST,
    KEY,
    Connection,
    message,
    new_id,
    request,
    route,
    run_case,
)

OFFER = {
    "Connection": "Upgrade, HTTP2-Settings",
    "Upgrade": "h2c",
    "HTTP2-Settings": "AAMAAABkAAQAoAAAAAIAAAAA",
}
"""What a client sends that would rather speak HTTP/2, with RFC 7540, section 3.2."""
REQUESTS = 10


async def case(fleet, record):
    """Send bookings from the machine of another service; compare what ran."""
    sender = fleet.machines[1]
    bodies = {}
    clients = []
    for number in range(REQUESTS):
        bodies[new_id()] = f'{{"gym": {number}, "crew": "north"}}'.encode()
    inner_id = "inside-a-body"
    inner = {"Host": HOST, "Knapweedlead-Request-Id": inner_id}
    inner |= {"Knapweedlead-Deadline-Ms": "6000", "Authorization": f"Token {KEY}"}
    bodies[new_id()] = message("POST /book/inner HTTP/1.1", inner)
    for request_id, body in bodies.items():
        client = await Connection.open(sender)
        more = OFFER if HAS_TROUBLE else {}
        data = request("POST", f"/book/{request_id}", request_id, body, **more)
        record.write(f"sent {request_id}: POST, {len(body)} bytes of body, {more}")
        status, headers, _ = await client.exchange(data)
        seal = headers.get("knapweedlead-response-seal", "none")
        record.write(f"answered {request_id}: {status}, seal {seal}")
        clients.append(client)
    await asyncio.sleep(1.0)
    for client in clients:
        client.close()
    verdict = HELD
    for server in fleet.servers:
        for run in server.runs:
            request_id = run.headers["knapweedlead-request-id"]
            sent = bodies.get(request_id)
            if sent is None:
                detail = "RUN WITHOUT A REQUEST OF THIS ID: it stood in another's body"
            elif run.body != sent:
                detail = f"RUN WITH ANOTHER BODY: {len(run.body)} of {len(sent)} bytes"
            else:
                detail = "body unchanged"
            record.write(f"run {request_id} at {server.machine.name}: {detail}")
            if sent is None or run.body != sent:
                verdict = BROKEN
    return verdict


run_case(
    FOLDER,
    {
        "services": ["booking", "web", "web"],
        "routes": [route("book", "booking", "unsafe")],
    },
    case,
)
