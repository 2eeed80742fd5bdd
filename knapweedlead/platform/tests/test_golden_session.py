"""A session of callers, operators and servers, compared with a snapshot."""

import json
import re

from knapweedlead.platform.tests.fleets import CONFIGURATION, Fleet

VOLATILE = re.compile(r"127\.\d+\.\d+\.\d+:\d+|\d+\.\d{3}")
"""Parts that differ between runs: addresses, and the time in ``retry-after``."""
SHOWN_ANSWER_HEADERS = ("content-type", "retry-after", "knapweedlead-request-id")
SHOWN_REQUEST_HEADERS = (
    "host",
    "knapweedlead-request-id",
    "knapweedlead-tenant",
    "knapweedlead-caller-service",
    "authorization",
    "x-note",
    "content-length",
)


class Session:
    """Records the requests of callers, the requests at servers, and the answers."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.lines = []
        self._calls = 0

    async def call(self, method, path, **extra):
        """Send a call to the first daemon."""
        self._calls += 1
        request_id = f"r{self._calls}"
        before = {
            id(received)
            for server in self.fleet.servers
            for received in server.received
        }
        answer = await self.fleet.call(0, method, path, request_id=request_id, **extra)
        self.lines.append(f"> {method} {path} {extra or ''}".rstrip())
        for server in self.fleet.servers:
            for received in server.received:
                if id(received) not in before:
                    self._show("  server", received.headers, SHOWN_REQUEST_HEADERS)
                    self.lines.append(f"  server body {received.body.decode()!r}")
        self.lines.append(f"< {answer.status} {answer.body.decode()}")
        self._show("<", answer.headers, SHOWN_ANSWER_HEADERS)

    def _show(self, mark, headers, names):
        shown = [f"{name}: {headers[name]}" for name in names if name in headers]
        self.lines.append(f"{mark} " + "; ".join(shown))

    def text(self):
        """Return the session with volatile parts replaced by ``*``."""
        return VOLATILE.sub("*", "\n".join(self.lines))


async def test_session_matches_the_snapshot(snapshot):
    async with Fleet() as fleet:
        session = Session(fleet)
        await session.call("GET", "/read/1?x=1", headers={"x-note": "kept"})
        await session.call("POST", "/file/2", body=b"line down")
        forged = {"knapweedlead-tenant": "other", "knapweedlead-caller-service": "no"}
        await session.call("GET", "/read/3", headers=forged)
        await session.call("GET", "/lookup/4", key="")
        await session.call("GET", "/none/5")
        await session.call("GET", "/read/6", key="key-wrong")
        for server in fleet.servers:
            server.behaviour = "decline"
        await session.call("POST", "/file/7")
        for server in fleet.servers:
            server.behaviour = "cut"
        await session.call("POST", "/file/8")
        for server in fleet.servers:
            server.behaviour = "answer"
        tenants = [CONFIGURATION["tenants"][0] | {"apiKeys": ["key-new"]}]
        document = CONFIGURATION | {"version": "r9", "tenants": tenants}
        fleet.store.write("op/config", json.dumps(document).encode())
        first = fleet.sidecars[0]
        await fleet.wait_until(lambda: first.entry.configuration.version == 9)
        await session.call("GET", "/read/9")
        await session.call("GET", "/read/10", key="key-new")
        for zone in ("north", "south"):
            fleet.store.write(f"op/evacuate/{zone}", b"{}")
        await fleet.wait_until(
            lambda: all(s.guard.is_evacuated for s in fleet.sidecars)
        )
        await fleet.wait_until(
            lambda: not any(t.is_open for t in first.targets_by_service["front"])
        )
        await session.call("GET", "/read/11", key="key-new")
        assert session.text() == snapshot
