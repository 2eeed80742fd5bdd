"""Ways of spreading a change of configuration, compared."""
