"""Cost of membership and time to detect lost members."""
