"""Prints the table of the design note on rates: ``python -m benchmarks.rates``."""

from benchmarks.rates._measure import SCENARIOS, measure

METERS = ("escrowed", "divided", "local")


def main() -> None:
    """Run every scenario with every metering policy and print one line per run."""
    for name in SCENARIOS:
        for meter in METERS:
            figures = measure(name, meter)
            print(
                f"{name:28} {meter:9} offered {figures.offered:6} "
                f"granted {figures.granted:6} "
                f"wrongful {figures.wrongful_share:8.3%} "
                f"over {figures.max_excess:9.1f} "
                f"messages/s {figures.messages_per_s:7.2f} "
                f"bytes/s {figures.bytes_per_s:8.0f}"
            )


if __name__ == "__main__":
    main()
