"""Prints membership costs and detection times by fleet size."""

import statistics

import fire

from benchmarks.membership._measure import measure_detection, measure_heartbeats

SIZES = (10, 20, 40, 80, 160, 570)


def measure(sizes: tuple[int, ...] = SIZES, seed: int = 1) -> None:
    """Measure each fleet size and print one line per size.

    Parameters
    ----------
    sizes : tuple of int
        Numbers of daemons.
    seed : int
        Seed of the random number generator.
    """
    print(f"{'daemons':>8}{'join s':>8}{'messages/s':>12}{'bytes/s':>9}", end="")
    print(f"{'max':>7}{'core':>8}{'store/s':>9}", end="")
    print(f"{'crash s':>9}{'last':>6}{'freeze s':>10}{'last':>6}")
    for count in sizes:
        cost = measure_heartbeats(count, seed)
        crashes = measure_detection(count, seed, is_crash=True)
        freezes = measure_detection(count, seed, is_crash=False)
        print(
            f"{count:>8}{cost.join_seconds:>8.1f}{cost.messages_per_s:>12.1f}"
            f"{cost.bytes_per_s:>9.0f}{cost.max_bytes_per_s:>7.0f}"
            f"{cost.processor_share:>8.2%}{cost.store_calls_per_s:>9.1f}",
            end="",
        )
        for detections in (crashes, freezes):
            median_s = statistics.mean(detection.median_s for detection in detections)
            last_s = max(detection.last_s for detection in detections)
            print(f"{median_s:>9.1f}{last_s:>6.1f}", end="")
        print(flush=True)


if __name__ == "__main__":
    fire.Fire(measure)
