"""Messages of configuration (codes 30 to 39)."""

import attrs

from knapweedlead.messages import LoadReport, message, nested


@message(30)
@attrs.frozen
class CataloguePush:
    """Changes of the catalogue, to be passed on.

    Parameters
    ----------
    base : int
        Revision from which the content leads on; 0 where it is whole.
    revision : int
        Revision to which it leads.
    until : int
        Ring position at which the receiver's part of the ring ends.
    content : bytes
        As made by ``make_delta``.
    """

    base: int
    revision: int
    range_end: int
    content: bytes


@message(31)
@attrs.frozen
class PullRequest:
    """Request for the catalogue from a revision on; 0 asks for the whole."""

    revision: int


@message(32)
@attrs.frozen
class PullReply:
    """Answer to a `PullRequest`; fields as in `CataloguePush`."""

    base: int
    revision: int
    content: bytes


@message(33)
@attrs.frozen
class ConfirmRequest:
    """Question whether the sender's revision is still the newest.

    Parameters
    ----------
    number : int
        Number of the question, for the reply.
    revision : int
        Revision in force at the sender.
    """

    number: int
    revision: int


@message(34)
@attrs.frozen
class ConfirmReply:
    """Answer to a `ConfirmRequest`.

    Parameters
    ----------
    number : int
        Of the request.
    revision : int
        Revision in force at the sender.
    confirmed_age : float
        Seconds since the store confirmed it; negative where it did not.
    outage_age : float
        Seconds since the store was out of reach from most data centres;
        negative where that is not known.
    is_cut_off : bool
        Whether the sender is a relay that does not reach the store.
    """

    number: int
    revision: int
    confirmed_age: float
    outage_age: float
    is_cut_off: bool


@message(35)
@attrs.frozen
class StatusQuery:
    """Question for the revisions in force on a part of the ring.

    Parameters
    ----------
    number : int
        Number of the question, for the answer.
    until : int
        Ring position at which the receiver's part ends; its own for itself.
    seconds : float
        Time for the answer.
    """

    number: int
    range_end: int
    seconds: float


@nested
@attrs.frozen
class MemberReport:
    """What a member tells about itself.

    Parameters
    ----------
    revision : int
        Revision in force.
    load : LoadReport
        State of its guard.
    """

    revision: int
    load: LoadReport


@message(36)
@attrs.frozen
class StatusAnswer:
    """Reports of members, by name."""

    number: int
    report_by_name: dict[str, MemberReport]
