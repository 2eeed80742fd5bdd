"""Routing by observed latency and failures, compared with random routing."""
