"""Addresses written as ``IP:PORT``."""


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``IP:PORT``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
