"""Print cost and speed of membership by the size of the fleet."""

import statistics

import fire

from benchmarks.membership._measure import measure_detection, measure_heartbeats

SIZES = (10, 20, 40, 80, 160, 570)


def measure(sizes: tuple[int, ...] = SIZES, seed: int = 1) -> None:
    """Measure each size.

    Parameters
    ----------
    sizes : tuple of int
        Daemons.
    seed : int
        Seed of everything random.
    """
    print(f"{'daemons':>8}{'join s':>8}{'messages/s':>12}{'bytes/s':>9}", end="")
    print(f"{'most':>7}{'core':>8}{'store/s':>9}", end="")
    print(f"{'crash s':>9}{'last':>6}{'freeze s':>10}{'last':>6}")
    for count in sizes:
        cost = measure_heartbeats(count, seed)
        crashes = measure_detection(count, seed, is_crash=True)
        freezes = measure_detection(count, seed, is_crash=False)
        print(
            f"{count:>8}{cost.join_seconds:>8.1f}{cost.messages_per_s:>12.1f}"
            f"{cost.bytes_per_s:>9.0f}{cost.most_bytes_per_s:>7.0f}"
            f"{cost.processor:>8.2%}{cost.store_calls_per_s:>9.1f}",
            end="",
        )
        for found in (crashes, freezes):
            half = statistics.mean(one.half for one in found)
            last = max(one.last for one in found)
            print(f"{half:>9.1f}{last:>6.1f}", end="")
        print(flush=True)


if __name__ == "__main__":
    fire.Fire(measure)
