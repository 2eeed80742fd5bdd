"""Prints a table of the overload benchmarks: ``python -m benchmarks.overload``."""

import itertools

import attrs

from benchmarks.overload import measurements
from benchmarks.overload.variants import VARIANT_BY_NAME


def main() -> None:
    """Run each measurement with each variant and print one line per run."""
    models = sorted(measurements.MODEL_BY_NAME)
    for model, variant in itertools.product(models, VARIANT_BY_NAME):
        for measurement in (measurements.surge, measurements.metastability):
            figures = attrs.asdict(measurement(model, variant))
            _print(measurement.__name__, model, variant, **figures)
        for measure_share in (
            measurements.worst_served_account,
            measurements.weighted_shares,
            measurements.wrongful_refusals,
        ):
            _print(
                measure_share.__name__,
                model,
                variant,
                share=measure_share(model, variant),
            )
    longer_cold_seconds = 1.5 * measurements.COLD_SECONDS
    cases = ((True, measurements.COLD_SECONDS), (False, measurements.COLD_SECONDS))
    for variant in VARIANT_BY_NAME:
        _print(
            "weakened",
            "granite-span",
            variant,
            share=measurements.goodput_at_reduced_capacity(variant),
        )
        for is_announced, seconds in (*cases, (True, longer_cold_seconds)):
            figures = attrs.asdict(
                measurements.cold_start(variant, is_announced, seconds)
            )
            kind = "announced" if is_announced else "unannounced"
            _print(
                f"cold_start {kind} {seconds:g} s", "granite-span", variant, **figures
            )


def _print(measurement: str, model: str, variant: str, **figures: float) -> None:
    columns = "  ".join(f"{name}={value:.4g}" for name, value in figures.items())
    print(f"{measurement:30} {model:13} {variant:15} {columns}", flush=True)


if __name__ == "__main__":
    main()
