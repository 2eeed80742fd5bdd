"""Cost of a call: latency added and processor time spent by the daemons."""
