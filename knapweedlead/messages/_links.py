"""Messages of the link handshake (codes 1 to 9)."""

import attrs

from knapweedlead.messages._codec import message


@message(1)
@attrs.frozen
class Challenge:
    """First message of the accepting side: a nonce to be signed.

    Parameters
    ----------
    nonce : bytes
        16 random bytes.
    """

    nonce: bytes


@message(2)
@attrs.frozen
class Hello:
    """Answer of the connecting side, proving that it holds the fleet's secret.

    Parameters
    ----------
    name : str
        Member name of the connecting daemon.
    incarnation : int
        Start identity; rises with each start of the daemon.
    link_address : str
        Address at which the connecting daemon accepts links.
    nonce : bytes
        16 random bytes for the accepting side to sign.
    proof : bytes
        HMAC-SHA-256 of the received nonce and this message's other fields.
    """

    name: str
    incarnation: int
    link_address: str
    nonce: bytes
    proof: bytes


@message(3)
@attrs.frozen
class Welcome:
    """Last message of the handshake, from the accepting side.

    Parameters
    ----------
    name : str
        Member name of the accepting daemon.
    incarnation : int
        Its start identity.
    proof : bytes
        HMAC-SHA-256 of the connecting side's nonce and this message's fields.
    """

    name: str
    incarnation: int
    proof: bytes
