"""Registries of interchangeable policies."""

from knapweedlead.registries._registry import Registry

__all__ = ["Registry"]
