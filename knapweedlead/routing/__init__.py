"""Choice of a backend server from what entries observe."""
