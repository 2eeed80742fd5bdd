"""Tests of the parameters package."""
