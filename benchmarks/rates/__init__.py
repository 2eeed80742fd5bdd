"""Wrongful refusals and messages of the metering policies."""
