"""Store calls and messages of the slots."""
