"""Capacity at the size to design for, from measured slopes."""
