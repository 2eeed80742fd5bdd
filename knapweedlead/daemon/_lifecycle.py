"""Life cycle of the daemon process: start, serve, leave, drain and stop."""

import asyncio
from collections.abc import Callable

from knapweedlead.calls import STOP_ANSWER_TIME
from knapweedlead.daemon._shell import Shell
from knapweedlead.operators import OperatorApi
from knapweedlead.statecharts import Statechart
from knapweedlead.telemetry import get_logger

LEAVE_SECONDS = 2.5
"""Seconds for which the daemon still serves while its departure reaches the peers."""
LINGER_SECONDS = 5.0
"""Seconds to wait for callers to send another request on their open connections.

A connection is closed with the reply to its next request, so that a request cannot
arrive on a connection that is being closed. Only connections that stay idle are
closed without a reply."""
POLL_SECONDS = 0.02

_CHART = Statechart.load("knapweedlead.daemon", "lifecycle.json")


class Lifecycle:
    """Starts a daemon and stops it gracefully.

    Calls in flight may finish within `STOP_ANSWER_TIME`.

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
        """Open all listeners, the operator API first."""
        await self.api.start(self.shell.settings.operator_address)
        await self.shell.start()
        self._advance("started")

    async def stop(self) -> None:
        """Leave the fleet, finish the calls in flight and close all listeners."""
        self._advance("stop")
        self.shell.request_shutdown()
        await asyncio.sleep(LEAVE_SECONDS)
        self._advance("left")
        self.shell.stop_listening()
        await self._wait_while(lambda: self.shell.has_callers, LINGER_SECONDS)
        await self.shell.close_caller_connections()
        is_timed_out = await self._wait_while(
            lambda: not self.shell.is_idle, STOP_ANSWER_TIME
        )
        self._advance("timeout" if is_timed_out else "idle")
        await self.api.stop()
        await self.shell.stop()

    async def _wait_while(self, condition: Callable[[], bool], limit: float) -> bool:
        """Wait at most `limit` seconds; return whether the condition is still true."""
        for _ in range(int(limit / POLL_SECONDS)):
            if not condition():
                return False
            await asyncio.sleep(POLL_SECONDS)
        return condition()

    def _advance(self, event: str) -> None:
        self.state = _CHART.advance(self.state, event)
        self.log.info("lifecycle", state=self.state)
