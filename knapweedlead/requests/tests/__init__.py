"""Tests of the requests package."""
