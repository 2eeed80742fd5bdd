"""Routing by what the entries observe, against blind baselines."""
