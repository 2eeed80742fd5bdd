"""The daemon on the users' platform: I/O around the logic of `knapweedlead.mesh`."""

from knapweedlead.sidecar._sidecar import Sidecar

__all__ = ["Sidecar"]
