"""Comparison of the policies for spreading configuration changes."""
