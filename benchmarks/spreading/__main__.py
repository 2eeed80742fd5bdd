"""Print the comparison of the ways of spreading as a table."""

import itertools

import fire

from benchmarks.spreading._measure import measure_spreads
from knapweedlead.configuration import SPREADING

FAULTS = ((0.0, 0), (0.01, 0), (0.1, 0), (0.0, 12))
"""Share of messages lost, and relays lost at the moment of acceptance."""


def compare(count: int = 570, changes: int = 5, seed: int = 1) -> None:
    """Compare all policies.

    Parameters
    ----------
    count : int
        Daemons.
    changes : int
        Changes measured one after another.
    seed : int
        Seed of everything random.
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
