"""Resource usage of the fleet at its design size."""
