"""Prints the table of the design note on slots: ``python -m benchmarks.ownership``."""

from benchmarks.ownership._measure import measure
from benchmarks.ownership._once import measure as measure_once

SIZES = (3, 6, 12, 24, 48)


def main() -> None:
    """Print the cost of 64 slots by fleet size, and the cost of a once claim."""
    for size in SIZES:
        print(size, measure(size))
    for is_durable in (False, True):
        print("durable" if is_durable else "memory", measure_once(is_durable))


if __name__ == "__main__":
    main()
