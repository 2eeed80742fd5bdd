"""Prints the cost of a call: ``python -m benchmarks.cost [--seconds S]``."""

import fire

from benchmarks.cost._measure import (
    TARGET_P99_SECONDS,
    TARGET_PROCESSOR_SECONDS,
    Cost,
    measure_cost,
)
from benchmarks.cost._paths import Paths

RATES = (170.0, 500.0)

_MS_PER_S = 1000


def format_cost(cost: Cost) -> str:
    """Return the table rows for one rate, with times in milliseconds."""
    paths = {"direct": cost.direct, "relay": cost.relay, "daemons": cost.daemons}
    lines = [
        f"{cost.rate:6.0f} calls/s  {name:8} p50 {_format_ms(path.quantile(0.5))} "
        f"p99 {_format_ms(path.quantile(0.99))}  answered {len(path.latencies)} "
        f"failed {path.failed}"
        for name, path in paths.items()
    ]
    over_target = cost.added_p99_over_relay / TARGET_P99_SECONDS
    lines.append(
        f"{'':15} added p99 {_format_ms(cost.added_p99)} to direct, "
        f"{_format_ms(cost.added_p99_over_relay)} to relay "
        f"({over_target:.2f} of target)"
    )
    by_process = {
        "entry": cost.entry_processor,
        "guard": cost.guard_processor,
        "relay": cost.relay_processor,
    }
    lines.append(
        f"{'':15} processor per call: "
        + ", ".join(
            f"{name} {_format_ms(seconds)} ({seconds / TARGET_PROCESSOR_SECONDS:.2f})"
            for name, seconds in by_process.items()
        )
    )
    return "\n".join(lines)


def _format_ms(seconds: float) -> str:
    return f"{seconds * _MS_PER_S:.3f} ms"


def main(seconds: float = 8.0, seed: int = 1) -> None:
    """Measure the cost at each rate and print a table.

    Parameters
    ----------
    seconds : float
        Length of each measurement window.
    seed : int
        Seed of the arrival times.
    """
    with Paths() as paths:
        for rate in RATES:
            print(format_cost(measure_cost(paths, rate, seconds, seed)), flush=True)


if __name__ == "__main__":
    fire.Fire(main)
