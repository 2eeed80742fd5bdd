"""Counters of a daemon."""

from collections import Counter

from knapweedlead.node import Count


class Metrics:
    """Adds up `Count` effects by name and labels."""

    def __init__(self) -> None:
        self.total_by_name_and_labels: Counter[
            tuple[str, tuple[tuple[str, str], ...]]
        ] = Counter()

    def count(self, effect: Count) -> None:
        """Add one effect."""
        self.total_by_name_and_labels[effect.name, effect.labels] += effect.amount
