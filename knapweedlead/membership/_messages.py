"""Messages of membership (codes 20 to 29)."""

import attrs

from knapweedlead.membership._member import Member
from knapweedlead.messages import message, nested


@message(20)
@attrs.frozen
class Ping:
    """Probe of a member, with piggybacked updates.

    Parameters
    ----------
    number : int
        Probe number, returned by the `Ack`; 0 if the ping only carries updates.
    incarnation, version : int
        Incarnation and version of the receiver's record at the sender, so that
        the receiver can correct an outdated record.
    revision : int
        Configuration revision applied by the sender.
    digest : int
        Digest of the sender's member table.
    updates : tuple of Member
        Changed member records, bounded in number.
    """

    number: int
    incarnation: int
    version: int
    revision: int
    digest: int
    updates: tuple[Member, ...]


@message(21)
@attrs.frozen
class Ack:
    """Reply to a `Ping`; fields as in `Ping`."""

    number: int
    revision: int
    digest: int
    updates: tuple[Member, ...]


@message(22)
@attrs.frozen
class IndirectPing:
    """Request to probe a member on the sender's behalf.

    Parameters
    ----------
    number : int
        Number of the sender's probe, returned by the `IndirectAck`.
    target : str
        Link address of the member to probe.
    """

    number: int
    target: str


@message(23)
@attrs.frozen
class IndirectAck:
    """Reply to an `IndirectPing` whose target has answered."""

    number: int


@nested
@attrs.frozen
class KnownMember:
    """Incarnation and version of a record held by the sender of a `SyncRequest`."""

    name: str
    incarnation: int
    version: int


@message(24)
@attrs.frozen
class SyncRequest:
    """Request for member records newer than those of the sender.

    Parameters
    ----------
    sender : Member
        The sender's own record.
    known : tuple of KnownMember
        Members that run according to the sender.
    """

    sender: Member
    known: tuple[KnownMember, ...]


@message(25)
@attrs.frozen
class SyncReply:
    """One of the messages that answer a `SyncRequest`.

    Parameters
    ----------
    members : tuple of Member
        Records newer than those of the receiver.
    requested : tuple of str
        Names of members of which the receiver has newer records.
    disputed : tuple of str
        Names of members that run according to the receiver and are dead
        according to the sender.
    """

    members: tuple[Member, ...]
    requested: tuple[str, ...]
    disputed: tuple[str, ...]
