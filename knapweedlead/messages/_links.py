"""Messages of the link handshake (codes 1 to 9)."""

import attrs

from knapweedlead.messages._codec import message


@message(1)
@attrs.frozen
class Challenge:
    """First message of the accepting side: a nonce that the other side signs.

    Parameters
    ----------
    nonce : bytes
        16 random bytes.
    """

    nonce: bytes


@message(2)
@attrs.frozen
class Hello:
    """Reply of the connecting side; proves its possession of the fleet secret.

    Parameters
    ----------
    name : str
        Member name of the connecting daemon.
    incarnation : int
        Incarnation number; increases with each start of the daemon.
    link_address : str
        Address at which the connecting daemon accepts links.
    nonce : bytes
        16 random bytes that the accepting side signs.
    proof : bytes
        HMAC-SHA-256, keyed with the fleet secret, of the received nonce and the
        other fields of this message.
    """

    name: str
    incarnation: int
    link_address: str
    nonce: bytes
    proof: bytes


@message(3)
@attrs.frozen
class Welcome:
    """Reply of the accepting side; proves its possession of the fleet secret.

    This is the last message of the handshake.

    Parameters
    ----------
    name : str
        Member name of the accepting daemon.
    incarnation : int
        Incarnation number of the accepting daemon.
    proof : bytes
        HMAC-SHA-256, keyed with the fleet secret, of the connecting side's nonce and
        the other fields of this message.
    """

    name: str
    incarnation: int
    proof: bytes
