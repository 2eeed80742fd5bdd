"""Life cycle of the daemon process: start, serve, leave, drain, stop."""

import asyncio
from collections.abc import Callable

from knapweedlead.daemon._shell import Shell
from knapweedlead.operators import OperatorApi
from knapweedlead.statecharts import Statechart
from knapweedlead.telemetry import get_logger

LEAVE_SECONDS = 2.5
"""Seconds in which peers learn that the daemon leaves, while it still serves."""
LINGER_SECONDS = 5.0
"""Seconds in which connected callers may use up their kept connections.

Each is closed with the reply to its next request, so that no request meets the
close; only connections that stay unused are closed without a reply."""
DRAIN_SECONDS = 30.0
"""Seconds that calls in flight may take to end."""
POLL_SECONDS = 0.02

_CHART = Statechart.load("knapweedlead.daemon", "lifecycle.json")


class Lifecycle:
    """Takes a daemon from start to a stop that cuts no request.

    Parameters
    ----------
    shell : Shell
        The daemon's shell.
    api : OperatorApi
        The daemon's operator API.
    """

    def __init__(self, shell: Shell, api: OperatorApi) -> None:
        self.shell = shell
        self.api = api
        self.state = _CHART.initial
        self.log = get_logger(daemon=shell.settings.name)

    async def start(self) -> None:
        """Open all doors."""
        await self.api.start(self.shell.settings.operator_address)
        await self.shell.start()
        self._advance("started")

    async def stop(self) -> None:
        """Leave the fleet, finish the calls in flight, close the doors."""
        self._advance("stop")
        self.shell.request_shutdown()
        await asyncio.sleep(LEAVE_SECONDS)
        self._advance("left")
        self.shell.stop_listening()
        await self._wait_while(lambda: self.shell.has_callers, LINGER_SECONDS)
        await self.shell.close_to_callers()
        is_busy = await self._wait_while(lambda: not self.shell.is_idle, DRAIN_SECONDS)
        self._advance("timeout" if is_busy else "idle")
        await self.api.stop()
        await self.shell.stop()

    async def _wait_while(self, holds: Callable[[], bool], limit: float) -> bool:
        """Wait for a condition to end; return whether it still holds."""
        for _ in range(int(limit / POLL_SECONDS)):
            if not holds():
                return False
            await asyncio.sleep(POLL_SECONDS)
        return holds()

    def _advance(self, event: str) -> None:
        self.state = _CHART.advance(self.state, event)
        self.log.info("lifecycle", state=self.state)
