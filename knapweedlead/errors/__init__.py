"""Typed errors; each carries the step and the peer at which it arose."""

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
