"""Messages of configuration (codes 30 to 39)."""

import attrs

from knapweedlead.messages import LoadReport, message, nested


@message(30)
@attrs.frozen
class CataloguePush:
    """Changes of the catalogue, forwarded along the links.

    Parameters
    ----------
    base : int
        Revision to which the content applies; 0 for a full catalogue.
    revision : int
        Revision after the content is applied.
    range_end : int
        Ring position at which the receiver's range ends.
    content : bytes
        Content of a `Delta`.
    """

    base: int
    revision: int
    range_end: int
    content: bytes


@message(31)
@attrs.frozen
class PullRequest:
    """Request for the changes since a revision; 0 requests the full catalogue."""

    revision: int


@message(32)
@attrs.frozen
class PullReply:
    """Reply to a `PullRequest`; fields as in `CataloguePush`."""

    base: int
    revision: int
    content: bytes


@message(33)
@attrs.frozen
class ConfirmRequest:
    """Request to confirm that the sender's revision is the newest.

    Parameters
    ----------
    number : int
        Request number, returned by the reply.
    revision : int
        Revision applied by the sender.
    """

    number: int
    revision: int


@message(34)
@attrs.frozen
class ConfirmReply:
    """Reply to a `ConfirmRequest`.

    Parameters
    ----------
    number : int
        Number of the request.
    revision : int
        Revision applied by the sender.
    confirmed_age : float
        Seconds since the store confirmed the revision; negative if the
        store never did.
    outage_age : float
        Seconds since the store was last known to be unreachable from most data
        centres; negative if no such time is known.
    is_cut_off : bool
        Whether the sender is a relay that cannot reach the store but has contact
        with other members.
    """

    number: int
    revision: int
    confirmed_age: float
    outage_age: float
    is_cut_off: bool


@message(35)
@attrs.frozen
class StatusQuery:
    """Request for the reports of the members in a range of the ring.

    Parameters
    ----------
    number : int
        Query number, returned by the answer.
    range_end : int
        Ring position at which the receiver's range ends.
    seconds : float
        Time limit for the answer; at 0, the receiver reports only itself.
    """

    number: int
    range_end: int
    seconds: float


@nested
@attrs.frozen
class MemberReport:
    """Status of a member.

    Parameters
    ----------
    revision : int
        Applied revision.
    load : LoadReport
        Load of its guard.
    """

    revision: int
    load: LoadReport


@message(36)
@attrs.frozen
class StatusAnswer:
    """Answer to a `StatusQuery`, with reports by member name."""

    number: int
    report_by_name: dict[str, MemberReport]
