"""Prints the measured table: ``python -m benchmarks.overload``."""

import itertools

import attrs

from benchmarks.overload import stories
from benchmarks.overload.variants import VARIANT_BY_NAME


def main() -> None:
    """Run each story with each variant, one line each."""
    models = sorted(stories.MODEL_BY_NAME)
    for model, variant in itertools.product(models, VARIANT_BY_NAME):
        for story in (stories.surge, stories.metastability):
            figures = attrs.asdict(story(model, variant))
            _print(story.__name__, model, variant, **figures)
        for share in (
            stories.worst_served_account,
            stories.weighted_shares,
            stories.wrongful_refusals,
        ):
            _print(share.__name__, model, variant, share=share(model, variant))
    longer = 1.5 * stories.COLD_SECONDS
    cases = ((True, stories.COLD_SECONDS), (False, stories.COLD_SECONDS))
    for variant in VARIANT_BY_NAME:
        _print("weakened", "granite-span", variant, share=stories.weakened(variant))
        for is_announced, seconds in (*cases, (True, longer)):
            figures = attrs.asdict(stories.cold_start(variant, is_announced, seconds))
            how = "announced" if is_announced else "unannounced"
            _print(
                f"cold_start {how} {seconds:g} s", "granite-span", variant, **figures
            )


def _print(story: str, model: str, variant: str, **figures: float) -> None:
    columns = "  ".join(f"{name}={value:.4g}" for name, value in figures.items())
    print(f"{story:30} {model:13} {variant:15} {columns}", flush=True)


if __name__ == "__main__":
    main()
