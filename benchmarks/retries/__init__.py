"""Retries over call trees: credits in escrow against retries at each hop."""
