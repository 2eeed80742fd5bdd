"""Parsing of ``IP:PORT`` addresses."""


def split_address(address: str) -> tuple[str, int]:
    """Split ``IP:PORT`` into host and port; brackets of an IPv6 address are removed."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
