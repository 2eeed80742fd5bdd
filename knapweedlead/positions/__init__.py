"""Positions in the history of a store that may come back from an older copy."""

from knapweedlead.positions._era_tracker import MAX_ERA, MAX_ERA_STEP, EraTracker
from knapweedlead.positions._store_position import StorePosition

__all__ = ["MAX_ERA", "MAX_ERA_STEP", "EraTracker", "StorePosition"]
