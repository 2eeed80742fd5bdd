"""Tests of whole paths through real processes."""
