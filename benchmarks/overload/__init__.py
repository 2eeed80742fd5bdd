"""Goodput, fairness, cold starts and recovery under a hand-driven clock."""
