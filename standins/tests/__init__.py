"""End-to-end tests over daemon and backend server processes."""
