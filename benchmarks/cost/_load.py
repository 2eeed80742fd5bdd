"""Open-loop load on several paths, with bounded connections and a timeout."""

import asyncio
import itertools
import random
import time
from collections.abc import Mapping, Sequence

import attrs

from knapweedlead.http import BackendServerClient

MAX_CONNECTIONS = 512
TIMEOUT_SECONDS = 5.0

_DRAIN_SECONDS = 0.5


@attrs.frozen
class Target:
    """Destination of the calls of a path.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the first process of the path.
    path : str
        Path of the request line.
    headers : mapping of str to str
        Headers sent with each call.
    """

    address: str
    path: str
    headers: Mapping[str, str]


@attrs.define
class PathResult:
    """Latencies and failures of the calls of one path.

    Parameters
    ----------
    latencies : list of float
        Seconds from the planned start of each answered call to its answer.
    failed : int
        Calls that were not answered with status 200.
    """

    latencies: list[float] = attrs.field(factory=list)
    failed: int = 0

    def quantile(self, share: float) -> float:
        """Return the latency quantile of the answered calls, in seconds."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class _Path:
    def __init__(self, target: Target) -> None:
        self.target = target
        self.result = PathResult()
        self._started_at: dict[int, float] = {}
        self._run_ids = itertools.count(1)
        self._client = BackendServerClient(
            target.address,
            MAX_CONNECTIONS,
            lambda run, answer: self._finish(run, answer.status),
            lambda run, was_sent, detail: self._finish(run, 0),
        )

    def call(self, planned_at: float) -> None:
        run = next(self._run_ids)
        self._started_at[run] = planned_at
        target = self.target
        headers = dict(target.headers)
        self._client.run(run, "GET", target.path, headers, b"", TIMEOUT_SECONDS)

    def _finish(self, run: int, status: int) -> None:
        started_at = self._started_at.pop(run)
        if status == 200:
            self.result.latencies.append(time.perf_counter() - started_at)
        else:
            self.result.failed += 1

    def close(self) -> None:
        self._client.close()


async def run_load(
    targets: Sequence[Target], rate: float, seconds: float, rng: random.Random
) -> list[PathResult]:
    """Call all targets concurrently, each at the same rate with Poisson arrivals.

    The paths share one window, so that noise of the machine affects all of them.

    Parameters
    ----------
    targets : sequence of Target
        Paths to compare.
    rate : float
        Calls per second on each path.
    seconds : float
        Length of the measurement window.
    rng : random.Random
        Source of the arrival times.
    """
    paths = [_Path(target) for target in targets]
    arrivals = sorted(
        (offset, index)
        for index in range(len(paths))
        for offset in _arrival_times(rate, seconds, rng)
    )
    start = time.perf_counter()
    for offset, index in arrivals:
        delay = start + offset - time.perf_counter()
        if delay > 0:
            await asyncio.sleep(delay)
        paths[index].call(start + offset)
    await asyncio.sleep(_DRAIN_SECONDS)
    for path in paths:
        path.close()
    return [path.result for path in paths]


def _arrival_times(rate: float, seconds: float, rng: random.Random) -> list[float]:
    gaps = iter(lambda: rng.expovariate(rate), None)
    times = itertools.accumulate(gaps)
    return list(itertools.takewhile(lambda offset: offset < seconds, times))
