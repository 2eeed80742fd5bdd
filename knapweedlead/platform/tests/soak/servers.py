"""Backend servers of the soak, which record the requests that they run."""

import asyncio
import itertools

from knapweedlead.platform.tests.soak.observations import ExecutedRequest
from knapweedlead.platform.tests.standin_server import StandinServer

COLD_TIME = 3.0
SLOTS = 20
SERVICE_TIME = 0.02
"""Seconds that a request takes."""

_starts = itertools.count(1)


class SoakServer(StandinServer):
    """One start of a backend server; the local daemon connects through a proxy."""

    def __init__(self, address, announced_address, report_address, place, observations):
        super().__init__(address, report_address, *place)
        self.announced_address = announced_address
        self.observations = observations
        self.instance = f"i-{next(_starts)}"
        self.slots = SLOTS
        self.service_time = SERVICE_TIME
        self.started_at = asyncio.get_running_loop().time()
        self.cold_until = self.started_at + COLD_TIME
        observations.cold_spans.append(
            (self.instance, self.started_at, self.cold_until)
        )

    async def send_heartbeat(self):
        """Send a heartbeat; record the first acknowledgement of a draining server."""
        remaining = self.cold_until - asyncio.get_running_loop().time()
        self.cold_ms = max(0, int(remaining * 1000))
        status = await super().send_heartbeat()
        is_drain_acknowledged = self.state == "draining" and status == 200
        if is_drain_acknowledged:
            now = asyncio.get_running_loop().time()
            self.observations.drained_at_by_instance.setdefault(self.instance, now)
        return status

    async def crash(self):
        """Stop at once and abort all connections."""
        await self.stop()
        for protocol in list(self.server._protocols):
            protocol.transport.abort()

    async def _serve(self, request):
        headers = request.headers
        request_id = headers["knapweedlead-request-id"]
        if headers.get("knapweedlead-expect-instance") not in (None, self.instance):
            self.server.reply(request.exchange, 421, {}, b"")
            return
        self.observations.runs.append(
            ExecutedRequest(
                request_id=request_id,
                path=request.path,
                account=headers.get("knapweedlead-tenant", ""),
                has_key="authorization" in headers,
                server=self.instance,
                at=asyncio.get_running_loop().time(),
            )
        )
        await asyncio.sleep(self.service_time)
        answer = {
            "knapweedlead-request-id": request_id,
            "knapweedlead-response-seal": f"seal-{self.instance}",
        }
        body = f"{self.instance} {request.path} ".encode()
        self.server.reply(request.exchange, 200, answer, body)
