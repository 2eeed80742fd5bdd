"""Measurement of a fleet's heartbeats, and of a crash in it."""

import statistics
import time

import attrs

from benchmarks.control import CountingCores, control_fleet, settled_fleet

QUIET_SECONDS = 20.0
STEP_SECONDS = 0.1
CRASHES = 5


@attrs.frozen
class Heartbeats:
    """Cost of a quiet fleet, for each daemon.

    Parameters
    ----------
    join_seconds : float
        From the last start until all knew each other.
    messages_per_s, bytes_per_s : float
        Sent; bytes are those sent and received, of the mean daemon.
    most_bytes_per_s : float
        The same of the busiest daemon.
    processor : float
        Share of a core, with what the fakes and the count of bytes take.
    store_calls_per_s : float
        Of the whole fleet, a waiting watch counted as one call.
    """

    join_seconds: float
    messages_per_s: float
    bytes_per_s: float
    most_bytes_per_s: float
    processor: float
    store_calls_per_s: float


def measure_heartbeats(count: int, seed: int) -> Heartbeats:
    """Measure a fleet in which nothing changes."""
    start_seconds = 10.0
    cores = control_fleet(count, seed, start_seconds)
    while set(cores.known()) != {count} and cores.now < 120.0:
        cores.run_for(STEP_SECONDS)
    join_seconds = cores.now - start_seconds
    cores.apply("daemon-0", 1)
    cores.run_for(60.0)
    cores.forget_counts()
    processor = time.process_time()
    cores.run_for(QUIET_SECONDS)
    processor = time.process_time() - processor
    return Heartbeats(
        join_seconds,
        sum(cores.messages_by_class.values()) / count / QUIET_SECONDS,
        sum(cores.bytes_by_name.values()) / count / QUIET_SECONDS,
        max(cores.bytes_by_name.values()) / QUIET_SECONDS,
        processor / count / QUIET_SECONDS,
        cores.store.calls.total() / QUIET_SECONDS,
    )


@attrs.frozen
class Detection:
    """How a crash or a freeze became known, in seconds.

    Parameters
    ----------
    half, last : float
        Until half of the daemons, and the last one, sent no more work there.
    """

    half: float
    last: float


def measure_detection(count: int, seed: int, is_crash: bool) -> list[Detection]:
    """Measure crashes, or freezes, one after another."""
    cores = settled_fleet(count, seed)
    names = cores.rng.sample(sorted(cores.by_name), CRASHES)
    return [_measure_one(cores, name, is_crash) for name in names]


def _measure_one(cores: CountingCores, name: str, is_crash: bool) -> Detection:
    if is_crash:
        cores.crash(name)
    else:
        cores.pause(name)
    start = cores.now
    seconds: dict[str, float] = {}
    seers = [n for n, c in cores.by_name.items() if c.is_up and not c.is_paused]
    while len(seconds) < len(seers) and cores.now < start + 60.0:
        cores.run_for(STEP_SECONDS)
        for seer in seers:
            table = cores.by_name[seer].composition.membership.table
            if seer not in seconds and not table.is_alive(name):
                seconds[seer] = cores.now - start
    times = [seconds.get(seer, float("inf")) for seer in seers]
    return Detection(statistics.median(times), max(times))
