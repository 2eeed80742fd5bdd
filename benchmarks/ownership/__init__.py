"""Store calls and messages for slot ownership."""
