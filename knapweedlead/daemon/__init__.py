"""The daemon process: builds the node, runs the event loop and executes effects."""

from knapweedlead.daemon._composition import Composition, compose
from knapweedlead.daemon._shell import Shell

__all__ = ["Composition", "Shell", "compose"]
