"""Tests of the errors package."""
