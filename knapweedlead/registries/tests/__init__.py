"""Tests of the registries package."""
