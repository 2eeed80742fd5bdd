"""State charts loaded from JSON files and interpreted at run time."""

from knapweedlead.statecharts._statechart import Statechart

__all__ = ["Statechart"]
