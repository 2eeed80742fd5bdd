"""Operator API and command line."""
