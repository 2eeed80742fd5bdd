"""Links: authenticated websocket connections between daemons."""

from knapweedlead.transport._links import LinkTable
from knapweedlead.transport._traffic import Traffic

__all__ = ["LinkTable", "Traffic"]
