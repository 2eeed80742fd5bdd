"""Process-wide set-up shared by the executables."""

from knapweedlead.process._garbage import tune_garbage_collector

__all__ = ["tune_garbage_collector"]
