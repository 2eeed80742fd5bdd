"""Delays before retries, of calls and of the daemon's internal operations."""

from knapweedlead.backoffs._backoff import BACKOFFS, Backoff, FullJitter

__all__ = ["BACKOFFS", "Backoff", "FullJitter"]
