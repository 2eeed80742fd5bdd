"""Injected faults; a fault has ended when its function returns.

Seeds choose from the sorted names of the functions of a generation: a rename that
changes their order changes the faults of the known seeds. A new fault begins a new
generation, or joins the newest one while no known seed uses it.
"""

import asyncio
import signal
from collections.abc import Callable

from knapweedlead.platform.tests.soak.environment import DAEMON_PLACES, KILL_TIMEOUT
from knapweedlead.platform.tests.soak.servers import SERVICE_TIME

FAULTS: dict[str, Callable] = {}
GENERATION = 3
"""Newest generation of faults."""
DRAINING_TIME = 3.0
"""Seconds for which a draining server still serves: the drain limit and a margin."""
RATE_LIMIT = 5.0
"""Calls per second that a limited server states to accept."""
LIMITED_TIME = (8.0, 11.0)
"""Shortest and longest time, in seconds, for which a server limits its rate."""

_generation_by_name: dict[str, int] = {}


def fault(function, generation=1):
    """Register a fault, a coroutine function that takes the environment."""
    FAULTS[function.__name__] = function
    _generation_by_name[function.__name__] = generation
    return function


def fault_names(generation=GENERATION):
    """Return the sorted names of the faults up to a generation."""
    return sorted(
        name for name, since in _generation_by_name.items() if since <= generation
    )


def answer_fault(function):
    """Register a fault in the answers of backend servers."""
    return fault(function, generation=2)


def _pick_machines(environment):
    """Return the indexes of one, two or all machines."""
    count = environment.rng.choice((1, 1, 2, len(DAEMON_PLACES)))
    return environment.rng.sample(range(len(DAEMON_PLACES)), count)


async def _disturb(proxies, mode, seconds):
    for proxy in proxies:
        proxy.set_mode(mode)
    await asyncio.sleep(seconds)
    for proxy in proxies:
        proxy.set_mode("pass")


@fault
async def store_connections_disturbed(environment):
    """Delay, silence or reset the connections of some machines to the store."""
    proxies = [
        environment.store_proxies[index] for index in _pick_machines(environment)
    ]
    mode = environment.rng.choice(("delay", "silent", "reset", "drop_answers"))
    await _disturb(proxies, mode, environment.rng.uniform(0.5, 6.0))


@fault
async def store_returns_errors(environment):
    """Make the store refuse calls, ignore them, or lose its answers to writes."""
    environment.store.fault = environment.rng.choice(("busy", "many", "lost", "silent"))
    await asyncio.sleep(environment.rng.uniform(0.5, 5.0))
    environment.store.fault = ""


@fault
async def store_history_compacted(environment):
    """Compact the store's history; in half of the cases all leases expire too."""
    environment.store.compact()
    if environment.rng.random() < 0.5:
        environment.store.expire_leases()


@fault
async def server_connections_disturbed(environment):
    """Delay, silence or reset the connections to one or two servers."""
    proxies = [
        environment.server_proxies[index] for index in _pick_machines(environment)[:2]
    ]
    mode = environment.rng.choice(("delay", "silent", "reset", "drop_answers"))
    await _disturb(proxies, mode, environment.rng.uniform(0.3, 2.0))


@fault
async def daemons_killed(environment):
    """Kill some daemons at once; they are restarted."""
    for index in _pick_machines(environment):
        environment.daemons[index].send(signal.SIGKILL)


@fault
async def daemon_stopped(environment):
    """Send SIGTERM to a daemon, as planned work does; kill a daemon that stays up."""
    daemon = environment.rng.choice(environment.daemons)
    process = daemon.process
    daemon.send(signal.SIGTERM)
    await asyncio.sleep(KILL_TIMEOUT)
    if daemon.process is process and process.returncode is None:
        daemon.send(signal.SIGKILL)


@fault
async def daemons_frozen(environment):
    """Freeze one or two daemons with SIGSTOP for some seconds."""
    daemons = [environment.daemons[index] for index in _pick_machines(environment)[:2]]
    for daemon in daemons:
        daemon.send(signal.SIGSTOP)
    await asyncio.sleep(environment.rng.uniform(0.3, 6.0))
    for daemon in daemons:
        daemon.send(signal.SIGCONT)


@fault
async def settings_reloaded(environment):
    """Make a daemon reload its settings."""
    environment.rng.choice(environment.daemons).send(signal.SIGHUP)


@fault
async def server_crashes(environment):
    """Stop a server without a drain; it is restarted cold."""
    index = environment.rng.randrange(len(DAEMON_PLACES))
    server = environment.servers[index]
    if server is None:
        return
    environment.servers[index] = None
    await server.crash()
    await asyncio.sleep(environment.rng.uniform(0.5, 3.0))
    await environment.start_server(index)


@fault
async def server_replaced(environment):
    """Drain a server, then start a new one at its address."""
    index = environment.rng.randrange(len(DAEMON_PLACES))
    server = environment.servers[index]
    if server is None:
        return
    environment.servers[index] = None
    server.state = "draining"
    await server.send_heartbeat()
    await asyncio.sleep(DRAINING_TIME)
    await server.crash()
    await environment.start_server(index)


@fault
async def server_slow(environment):
    """Increase the service time of a server to 10 or 40 times."""
    server = environment.rng.choice(environment.servers)
    if server is None:
        return
    server.service_time = SERVICE_TIME * environment.rng.choice((10, 40))
    await asyncio.sleep(environment.rng.uniform(0.5, 3.0))
    server.service_time = SERVICE_TIME


@fault
async def key_withdrawn(environment):
    """Withdraw a key permanently."""
    if environment.keys.pop("key-old", None) is not None:
        environment.write_configuration()
        now = asyncio.get_running_loop().time()
        environment.observations.withdrawn_at_by_key["key-old"] = now


@fault
async def configuration_changed(environment):
    """Write several versions of the configuration in short succession."""
    for _ in range(environment.rng.randint(1, 4)):
        environment.write_configuration()
        await asyncio.sleep(environment.rng.uniform(0.02, 0.3))


@fault
async def data_centre_evacuated(environment):
    """Evacuate a data centre and bring it back."""
    key = f"op/evacuate/{environment.rng.choice(('north', 'south', 'west'))}"
    environment.store.write(key, b"{}")
    await asyncio.sleep(environment.rng.uniform(1.0, 5.0))
    environment.store.remove(key)


def _pick_server(environment):
    return environment.rng.choice([s for s in environment.servers if s is not None])


@answer_fault
async def server_limits_rate(environment):
    """Make a server state a rate limit in its answers."""
    if not any(environment.servers):
        return
    server = _pick_server(environment)
    server.limit_rate(RATE_LIMIT)
    await asyncio.sleep(environment.rng.uniform(*LIMITED_TIME))
    server.end_limit()


@answer_fault
async def server_states_leaving(environment):
    """Make a server state in its answers that it leaves, then replace it."""
    index = environment.rng.randrange(len(DAEMON_PLACES))
    server = environment.servers[index]
    if server is None:
        return
    environment.servers[index] = None
    server.notices["server-leaving"] = "1"
    await asyncio.sleep(DRAINING_TIME + environment.rng.uniform(0.0, 3.0))
    await server.crash()
    await environment.start_server(index)


@answer_fault
async def server_answers_faulty(environment):
    """Make a server repeat refusals, with or without an ID, or cut its heads."""
    if not any(environment.servers):
        return
    server = _pick_server(environment)
    server.answer_fault = environment.rng.choice(("repeat", "repeat_unnamed", "cut"))
    await asyncio.sleep(environment.rng.uniform(1.0, 4.0))
    server.answer_fault = ""
