"""Tests of the checks package."""
