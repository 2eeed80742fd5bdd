"""The daemon process: settings, event loop, effects."""

from knapweedlead.daemon._composition import Composition, compose
from knapweedlead.daemon._shell import Shell

__all__ = ["Composition", "Shell", "compose"]
