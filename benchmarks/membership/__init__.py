"""Cost and speed of membership."""
