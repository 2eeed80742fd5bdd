"""Life cycle of the daemon process: start, serve, leave, drain, stop."""

import asyncio

from knapweedlead.daemon._shell import Shell
from knapweedlead.operators import OperatorApi
from knapweedlead.statecharts import Statechart
from knapweedlead.telemetry import get_logger

LEAVE_SECONDS = 2.5
"""Seconds in which peers learn that the daemon leaves, while it still serves."""
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
        await self.shell.close_to_callers()
        self._advance("idle" if await self._drain() else "timeout")
        await self.api.stop()
        await self.shell.stop()

    async def _drain(self) -> bool:
        """Wait until nothing is in flight; return whether that was reached."""
        try:
            async with asyncio.timeout(DRAIN_SECONDS):
                while not self.shell.is_idle:
                    await asyncio.sleep(POLL_SECONDS)
        except TimeoutError:
            return False
        return True

    def _advance(self, event: str) -> None:
        self.state = _CHART.advance(self.state, event)
        self.log.info("lifecycle", state=self.state)
