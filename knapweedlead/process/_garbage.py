"""Garbage collector settings for processes that serve calls."""

import gc

GENERATION_0_THRESHOLD = 20_000
"""Net allocations between two collections of generation 0."""
GENERATION_1_THRESHOLD = 20
"""Collections of generation 0 between two collections of generation 1."""
GENERATION_2_THRESHOLD = 50
"""Collections of generation 1 between two full collections."""


def tune_garbage_collector() -> None:
    """Exclude the objects created at start-up from collection, and collect less often.

    Calls create hardly any reference cycles, while a full collection that includes
    the objects of the libraries blocks the event loop for tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, GENERATION_2_THRESHOLD
    )
