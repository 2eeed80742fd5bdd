"""Retries in call trees: escrowed credits compared with retries at each hop."""
