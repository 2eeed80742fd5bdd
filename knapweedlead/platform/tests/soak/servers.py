"""Backend servers of the soak, which record the requests that they run."""

import asyncio
import itertools

from knapweedlead.http._headers import response_bytes
from knapweedlead.platform.tests.soak.observations import (
    ExecutedRequest,
    LimitedSpan,
)
from knapweedlead.platform.tests.standin_server import StandinServer

COLD_TIME = 3.0
SLOTS = 20
SERVICE_TIME = 0.02
"""Seconds that a request takes."""

REFUSED_SHARE = 4
"""One request in so many is refused while a server repeats its refusals."""
CUT_HEAD = b"HTTP/1.1 200 OK\r\ncontent-len"
CUT_REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nknapweedlead-not-executed: 1"
JOINED_SHARE = 4
"""One answer in so many follows the beginning of a refusal while they are joined."""

_starts = itertools.count(1)


class SoakServer(StandinServer):
    """One start of a backend server; the local daemon connects through a proxy.

    Attributes
    ----------
    answer_fault : str
        ``"repeat"`` or ``"repeat_unnamed"``: refusals are written once more before the
        next answer of the connection; ``"cut"``: answers end within their head;
        ``"join"``: the beginning of a refusal precedes some answers.
    """

    def __init__(self, address, announced_address, report_address, place, observations):
        super().__init__(address, report_address, *place)
        self.announced_address = announced_address
        self.observations = observations
        self.instance = f"i-{next(_starts)}"
        self.slots = SLOTS
        self.service_time = SERVICE_TIME
        self.answer_fault = ""
        self._arrivals = itertools.count(1)
        self._refusal_by_connection = {}
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

    def limit_rate(self, rate):
        """State a rate limit in all answers from now on."""
        self.notices["server-limit"] = str(rate)
        self.observations.limited_spans.append(LimitedSpan(self.instance, rate))

    def end_limit(self):
        """State no rate limit any more."""
        self.notices.pop("server-limit", None)
        for span in self.observations.limited_spans:
            if span.server == self.instance:
                span.end = min(span.end, asyncio.get_running_loop().time())

    def _note_answer(self):
        """Record when the server first stated a limit, or that it leaves."""
        now = asyncio.get_running_loop().time()
        if "server-limit" in self.notices:
            for span in self.observations.limited_spans:
                if span.server == self.instance:
                    span.begin = min(span.begin, now)
        if "server-leaving" in self.notices:
            self.observations.left_at_by_instance.setdefault(self.instance, now)

    def _write_stale_refusal(self, connection):
        """Write the refusal of an earlier request on the connection once more."""
        stale = self._refusal_by_connection.pop(connection, None)
        if stale is not None:
            connection.transport.write(stale)

    def _refuses_next(self):
        repeats = self.answer_fault.startswith("repeat")
        return repeats and next(self._arrivals) % REFUSED_SHARE == 0

    def _refuse(self, request):
        """Refuse a request, and remember the refusal to write it once more."""
        named = {"knapweedlead-request-id": request.headers["knapweedlead-request-id"]}
        refusal = {"knapweedlead-not-executed": "1"} | self.notices
        self._note_answer()
        self.server.reply(request.exchange, 503, named | refusal, b"")
        repeated = refusal if self.answer_fault == "repeat_unnamed" else named | refusal
        stale = response_bytes(503, repeated, b"", is_last=False)
        self._refusal_by_connection[request.connection] = stale

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
        self._write_stale_refusal(request.connection)
        if self._refuses_next():
            self._refuse(request)
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
        if self.answer_fault == "cut":
            request.connection.transport.write(CUT_HEAD)
            request.connection.transport.close()
            return
        await asyncio.sleep(self.service_time)
        answer = {
            "knapweedlead-request-id": request_id,
            "knapweedlead-response-seal": f"seal-{self.instance}",
        }
        answer |= self.notices
        self._note_answer()
        if self.answer_fault == "join" and next(self._arrivals) % JOINED_SHARE == 0:
            request.connection.transport.write(CUT_REFUSAL)
        body = f"{self.instance} {request.path} ".encode()
        self.server.reply(request.exchange, 200, answer, body)
