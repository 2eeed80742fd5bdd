"""Prints a table that compares the policies for spreading changes."""

import itertools

import fire

from benchmarks.spreading._measure import measure_spreads
from knapweedlead.configuration import SPREADING

FAULTS = ((0.0, 0), (0.01, 0), (0.1, 0), (0.0, 12))
"""Share of messages lost, and number of relays that crash before the first change."""


def compare(count: int = 570, changes: int = 5, seed: int = 1) -> None:
    """Measure all policies with each fault and print one line per run.

    Parameters
    ----------
    count : int
        Number of daemons.
    changes : int
        Number of changes, measured one after another.
    seed : int
        Seed of the random number generator.
    """
    print(f"{count} daemons, {changes} changes, seed {seed}")
    print(f"{'policy':<18}{'loss':>6}{'relays lost':>13}", end="")
    print(f"{'s to last':>11}{'worst s':>9}{'messages':>10}{'bytes':>8}")
    for name, (loss, lost) in itertools.product(sorted(SPREADING.by_name), FAULTS):
        spreads = measure_spreads(name, count, loss, changes, seed, lost)
        seconds = [spread.seconds for spread in spreads]
        messages = sum(spread.messages for spread in spreads) / changes
        size = sum(spread.size for spread in spreads) / changes
        mean = sum(seconds) / changes
        print(f"{name:<18}{loss:>6.0%}{lost:>13}{mean:>11.2f}", end="")
        print(f"{max(seconds):>9.2f}{messages:>10.1f}{size:>8.0f}", flush=True)


if __name__ == "__main__":
    fire.Fire(compare)
