"""Load generator."""
