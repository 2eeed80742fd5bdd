"""Tests of the positions package."""
