"""Measurement of the cost of a call at a given rate."""

import asyncio
import random

import attrs
import uvloop

from benchmarks.cost._load import PathResult, run_load
from benchmarks.cost._paths import Paths
from benchmarks.processes import processor_seconds

TARGET_P99_SECONDS = 0.88e-3
"""Latency that the daemons may add to a call at the 99th percentile."""
TARGET_PROCESSOR_SECONDS = 0.15e-3
"""Processor time that each daemon may spend on a call."""

WARM_UP_RATE = 200.0
"""Calls per second during the warm-up before the measurement window."""
WARM_UP_SECONDS = 1.0


@attrs.frozen
class Cost:
    """Latency and processor time of a call at one rate.

    Parameters
    ----------
    rate : float
        Calls per second on each path.
    direct, relay, daemons : PathResult
        Results of direct calls to the backend server, of calls through two bare
        relays, and of calls through two daemons.
    entry_processor, guard_processor, relay_processor : float
        Seconds of processor time per call; for the relays, the mean per relay.
    """

    rate: float
    direct: PathResult
    relay: PathResult
    daemons: PathResult
    entry_processor: float
    guard_processor: float
    relay_processor: float

    @property
    def added_p99(self) -> float:
        """Seconds that the daemons add to the p99 latency of the direct path."""
        return self.daemons.quantile(0.99) - self.direct.quantile(0.99)

    @property
    def added_p99_over_relay(self) -> float:
        """Seconds that the daemons add to the p99 latency of the bare relays."""
        return self.daemons.quantile(0.99) - self.relay.quantile(0.99)


def measure_cost(paths: Paths, rate: float, seconds: float, seed: int = 1) -> Cost:
    """Measure all three paths concurrently.

    Parameters
    ----------
    paths : Paths
        Running processes of the three paths.
    rate : float
        Calls per second on each path.
    seconds : float
        Length of the measurement window.
    seed : int
        Seed of the arrival times.
    """
    rng = random.Random(seed)
    _load(paths, WARM_UP_RATE, WARM_UP_SECONDS, rng)
    pids = [*paths.daemon_pids, *paths.relay_pids]
    before = [processor_seconds(pid) for pid in pids]
    direct, relay, daemons = _load(paths, rate, seconds, rng)
    after = [processor_seconds(pid) for pid in pids]
    calls = len(daemons.latencies)
    entry, guard, *relays = [
        (end - start) / calls for start, end in zip(before, after, strict=True)
    ]
    return Cost(
        rate=rate,
        direct=direct,
        relay=relay,
        daemons=daemons,
        entry_processor=entry,
        guard_processor=guard,
        relay_processor=sum(relays) / len(relays),
    )


def _load(
    paths: Paths, rate: float, seconds: float, rng: random.Random
) -> list[PathResult]:
    loop_factory = uvloop.new_event_loop
    with asyncio.Runner(loop_factory=loop_factory) as runner:
        return runner.run(run_load(paths.targets(), rate, seconds, rng))
