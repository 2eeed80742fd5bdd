"""Slots: fenced ownership of shared state."""
