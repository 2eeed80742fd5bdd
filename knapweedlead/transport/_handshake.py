"""Mutual authentication of a link: HMACs keyed with the fleet secret."""

import hashlib
import hmac

from knapweedlead.messages import Hello, Welcome

NONCE_BYTES = 16


def hello_proof(secret: str, nonce: bytes, hello: Hello) -> bytes:
    """Return the HMAC of a `Hello` and the accepting side's nonce."""
    fields = [b"hello", nonce, hello.name.encode(), str(hello.incarnation).encode()]
    return _sign(secret, [*fields, hello.link_address.encode(), hello.nonce])


def welcome_proof(secret: str, nonce: bytes, welcome: Welcome) -> bytes:
    """Return the HMAC of a `Welcome` and the connecting side's nonce."""
    name = welcome.name.encode()
    return _sign(secret, [b"welcome", nonce, name, str(welcome.incarnation).encode()])


def _sign(secret: str, fields: list[bytes]) -> bytes:
    data = b"".join(len(field).to_bytes(4, "big") + field for field in fields)
    return hmac.new(secret.encode(), data, hashlib.sha256).digest()


def is_equal_proof(left: bytes, right: bytes) -> bool:
    """Compare two proofs in constant time."""
    return hmac.compare_digest(left, right)
