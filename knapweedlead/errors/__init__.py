"""Typed errors that record the failed operation and its remote end."""

from knapweedlead.errors._errors import (
    CodecError,
    LinkError,
    ParameterError,
    ResourceError,
    SettingsError,
    StepError,
    StoreError,
    StoreFault,
)

__all__ = [
    "CodecError",
    "LinkError",
    "ParameterError",
    "ResourceError",
    "SettingsError",
    "StepError",
    "StoreError",
    "StoreFault",
]
