"""Settings that can change while the daemon runs."""

import attrs

from knapweedlead.mesh import MeshSettings

RELOADABLE_FIELDS = frozenset(
    {
        "store_address",
        "shutdown_time",
        "revocation_time",
        "repeat_ratio",
        "repeat_extra",
        "quota_window",
    }
)
"""Settings that take effect at once. The other settings include the
daemon's identity and addresses, on which its peers and callers rely; changes of these
settings take effect at the next start."""


@attrs.frozen
class ReloadResult:
    """Result of a reload.

    Parameters
    ----------
    settings : MeshSettings
        The settings that apply from now on.
    applied, deferred : tuple of str
        Names of changed settings: applied now, and deferred until a restart.
    """

    settings: MeshSettings
    applied: tuple[str, ...]
    deferred: tuple[str, ...]


def merge_settings(current: MeshSettings, loaded: MeshSettings) -> ReloadResult:
    """Return the current settings, with the loaded values of reloadable settings."""
    changed = [
        field.name
        for field in attrs.fields(MeshSettings)
        if getattr(current, field.name) != getattr(loaded, field.name)
    ]
    applied = tuple(name for name in changed if name in RELOADABLE_FIELDS)
    deferred = tuple(name for name in changed if name not in RELOADABLE_FIELDS)
    values = {name: getattr(loaded, name) for name in applied}
    return ReloadResult(attrs.evolve(current, **values), applied, deferred)
