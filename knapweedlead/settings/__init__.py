"""Settings of the daemon: JSON with comments, validated before startup."""

from knapweedlead.settings._loader import build_settings, load_settings
from knapweedlead.settings._schema import (
    AccountsSettings,
    Address,
    AdmissionSettings,
    BackendServerSettings,
    ConfigurationSettings,
    DaemonSettings,
    OwnershipSettings,
    RoutingSettings,
    StoreSettings,
    TelemetrySettings,
)

__all__ = [
    "AccountsSettings",
    "Address",
    "AdmissionSettings",
    "BackendServerSettings",
    "ConfigurationSettings",
    "DaemonSettings",
    "OwnershipSettings",
    "RoutingSettings",
    "StoreSettings",
    "TelemetrySettings",
    "build_settings",
    "load_settings",
]
