"""Messages of membership (codes 20 to 29)."""

import attrs

from knapweedlead.membership._member import Member
from knapweedlead.messages import message, nested


@message(20)
@attrs.frozen
class Ping:
    """Probe of a member, with news.

    Parameters
    ----------
    number : int
        Number of the probe, for the `Ack`.
    incarnation, version : int
        What the sender knows of the receiver.
    revision : int
        Configuration's revision in force at the sender.
    digest : int
        Digest of the sender's member table.
    updates : tuple of Member
        News, bounded in number.
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
    """Answer to a `Ping`, with news; fields as there."""

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
        Number of the sender's probe, for the `IndirectAck`.
    target : str
        Link address of the member.
    """

    number: int
    target: str


@message(23)
@attrs.frozen
class IndirectAck:
    """The member that an `IndirectPing` named has answered."""

    number: int


@nested
@attrs.frozen
class KnownMember:
    """What the sender of a `SyncRequest` knows of a member."""

    name: str
    incarnation: int
    version: int


@message(24)
@attrs.frozen
class SyncRequest:
    """Request for the members that the sender does not know as they are.

    Parameters
    ----------
    sender : Member
        Announcement of the sender.
    known : tuple of KnownMember
        Members that the sender holds for running.
    """

    sender: Member
    known: tuple[KnownMember, ...]


@message(25)
@attrs.frozen
class SyncReply:
    """Members that run, a part of the answer to a `SyncRequest`.

    Parameters
    ----------
    members : tuple of Member
        Members newer than the receiver knows them.
    wanted : tuple of str
        Names of members that the receiver knows newer.
    doubted : tuple of str
        Names of members that the receiver holds for running and the sender for
        dead.
    """

    members: tuple[Member, ...]
    wanted: tuple[str, ...]
    doubted: tuple[str, ...]
