"""Goodput, fairness, cold starts and recovery on a simulated clock."""
