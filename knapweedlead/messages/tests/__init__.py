"""Tests of the messages package."""
