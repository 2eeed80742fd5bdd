"""Tests of the accounts package."""
