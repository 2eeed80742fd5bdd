"""Cost of a call: latency and processor time that the daemons add."""
