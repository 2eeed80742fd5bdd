"""Tests of the statecharts package."""
