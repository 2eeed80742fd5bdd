"""Measurement of heartbeat costs and of the detection of crashed members."""

import statistics
import time

import attrs

from benchmarks.control import CountingCores, control_fleet, settled_fleet

WINDOW_SECONDS = 20.0
STEP_SECONDS = 0.1
CRASHES = 5


@attrs.frozen
class Heartbeats:
    """Cost of membership in an idle fleet.

    Parameters
    ----------
    join_seconds : float
        Seconds from the end of the start phase until all membership tables were
        complete.
    messages_per_s, bytes_per_s : float
        Messages sent, and bytes sent and received, per daemon.
    max_bytes_per_s : float
        Bytes sent and received by the busiest daemon.
    processor_share : float
        Share of a processor core per daemon, including the cost of the simulation
        and of counting bytes.
    store_calls_per_s : float
        Store calls of the whole fleet; a long-polling watch counts as one call.
    """

    join_seconds: float
    messages_per_s: float
    bytes_per_s: float
    max_bytes_per_s: float
    processor_share: float
    store_calls_per_s: float


def measure_heartbeats(count: int, seed: int) -> Heartbeats:
    """Measure an idle fleet of `count` daemons."""
    start_seconds = 10.0
    cores = control_fleet(count, seed, start_seconds)
    while set(cores.member_counts()) != {count} and cores.now < 120.0:
        cores.run_for(STEP_SECONDS)
    join_seconds = cores.now - start_seconds
    cores.change_account("daemon-0", 1)
    cores.run_for(60.0)
    cores.reset_counts()
    started_at = time.process_time()
    cores.run_for(WINDOW_SECONDS)
    processor_s = time.process_time() - started_at
    return Heartbeats(
        join_seconds,
        sum(cores.messages_by_class.values()) / count / WINDOW_SECONDS,
        sum(cores.bytes_by_name.values()) / count / WINDOW_SECONDS,
        max(cores.bytes_by_name.values()) / WINDOW_SECONDS,
        processor_s / count / WINDOW_SECONDS,
        cores.store.calls.total() / WINDOW_SECONDS,
    )


@attrs.frozen
class Detection:
    """Detection times of a crashed or frozen daemon, in seconds.

    Parameters
    ----------
    median_s, last_s : float
        Time until half of the other daemons, and until all of them, stopped
        routing calls to the lost daemon.
    """

    median_s: float
    last_s: float


def measure_detection(count: int, seed: int, is_crash: bool) -> list[Detection]:
    """Crash or freeze daemons one after another and measure each detection."""
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
    observers = [n for n, c in cores.by_name.items() if c.is_up and not c.is_paused]
    while len(seconds) < len(observers) and cores.now < start + 60.0:
        cores.run_for(STEP_SECONDS)
        for observer in observers:
            table = cores.by_name[observer].composition.membership.table
            if observer not in seconds and not table.is_alive(name):
                seconds[observer] = cores.now - start
    times = [seconds.get(observer, float("inf")) for observer in observers]
    return Detection(statistics.median(times), max(times))
