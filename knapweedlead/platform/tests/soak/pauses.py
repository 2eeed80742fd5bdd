"""Faults in which daemons are paused while something that they may act on expires."""

import asyncio
import signal
from contextlib import asynccontextmanager

from knapweedlead.platform.tests.soak.environment import DAEMON_PLACES
from knapweedlead.platform.tests.soak.faults import (
    DRAINING_TIME,
    LIMITED_TIME,
    RATE_LIMIT,
    fault,
    key_withdrawn,
)
from knapweedlead.platform.tests.soak.observations import RATE_LIMIT_DELAY

PAUSES = (1.0, 3.0, 10.0)
"""Seconds for which daemons are paused."""


def pause_fault(function):
    """Register a fault that pauses daemons."""
    return fault(function, generation=3)


@asynccontextmanager
async def _paused(environment, indexes):
    """Pause the daemons of some machines for one of `PAUSES` at least."""
    daemons = [environment.daemons[index] for index in indexes]
    for daemon in daemons:
        daemon.send(signal.SIGSTOP)
    started_at = asyncio.get_running_loop().time()
    seconds = environment.rng.choice(PAUSES)
    try:
        yield
        elapsed = asyncio.get_running_loop().time() - started_at
        await asyncio.sleep(max(0.0, seconds - elapsed))
    finally:
        for daemon in daemons:
            daemon.send(signal.SIGCONT)


def _pick_others(environment, index):
    """Return one or two machines other than one."""
    others = [other for other in range(len(DAEMON_PLACES)) if other != index]
    return environment.rng.sample(others, environment.rng.choice((1, 2)))


def _take_server(environment):
    """Return a running server with its index, or None; no other fault takes it then."""
    index = environment.rng.randrange(len(DAEMON_PLACES))
    server = environment.servers[index]
    if server is None:
        return None
    environment.servers[index] = None
    return index, server


@pause_fault
async def key_withdrawn_from_paused_daemons(environment):
    """Withdraw a key while two daemons are paused."""
    async with _paused(environment, environment.rng.sample(range(6), 2)):
        await key_withdrawn(environment)


@pause_fault
async def all_daemons_paused(environment):
    """Pause all daemons at once, over their leases and tokens."""
    async with _paused(environment, range(len(DAEMON_PLACES))):
        pass


@pause_fault
async def server_drained_beside_paused_entries(environment):
    """Drain and replace a server while other daemons are paused."""
    taken = _take_server(environment)
    if taken is None:
        return
    index, server = taken
    async with _paused(environment, _pick_others(environment, index)):
        server.state = "draining"
        await server.send_heartbeat()
        await asyncio.sleep(DRAINING_TIME)
    await server.crash()
    await environment.start_server(index)


@pause_fault
async def server_restarted_beside_its_paused_daemon(environment):
    """Start a server anew, cold, while its own daemon is paused."""
    taken = _take_server(environment)
    if taken is None:
        return
    index, server = taken
    async with _paused(environment, [index]):
        await server.crash()
        starting = asyncio.ensure_future(environment.start_server(index))
    await starting


@pause_fault
async def limited_server_beside_its_paused_daemon(environment):
    """Make a server limit its rate, and pause its daemon once the limit binds."""
    taken = _take_server(environment)
    if taken is None:
        return
    index, server = taken
    server.limit_rate(RATE_LIMIT)
    await asyncio.sleep(RATE_LIMIT_DELAY)
    async with _paused(environment, [index]):
        pass
    await asyncio.sleep(LIMITED_TIME[0] - RATE_LIMIT_DELAY)
    server.end_limit()
    environment.servers[index] = server


@pause_fault
async def server_joins_answers(environment):
    """Make a server write the beginning of a refusal before its answers."""
    index = environment.rng.randrange(len(DAEMON_PLACES))
    server = environment.servers[index]
    if server is None:
        return
    server.answer_fault = "join"
    await asyncio.sleep(environment.rng.uniform(1.0, 4.0))
    server.answer_fault = ""
