"""Settings of the garbage collector for a process that serves calls."""

import gc

YOUNG_OBJECTS = 20_000
"""Objects allocated between collections of the youngest generation."""
YOUNG_COLLECTIONS = 20
"""Collections of the youngest generation for one of the middle one."""
MIDDLE_COLLECTIONS = 50
"""Collections of the middle generation for one of all objects."""


def tune_garbage_collector() -> None:
    """Leave what was loaded at start out of later collections, and collect less.

    Calls leave hardly any reference cycles behind, while a collection of all
    objects of the libraries stops the loop for tens of milliseconds.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_COLLECTIONS, MIDDLE_COLLECTIONS)
