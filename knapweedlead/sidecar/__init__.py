"""The daemon on the users' platform: carries out what `knapweedlead.mesh` decides."""

from knapweedlead.sidecar._sidecar import Sidecar

__all__ = ["Sidecar"]
