"""Overload control for services that call each other."""

__all__ = ["__version__"]

__version__ = "0.1.0"
