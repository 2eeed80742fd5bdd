"""Retry credits, budgets and backoff."""
