"""What every process of the product does at its start."""

from knapweedlead.process._garbage import tune_garbage_collector

__all__ = ["tune_garbage_collector"]
