"""Admission at a guard: limits, queues, cold starts."""
