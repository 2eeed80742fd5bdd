"""The daemon on the users' platform: carries out what `knapweedlead.mesh` decides."""
