"""Wrongful refusals and message overhead of the metering policies."""
