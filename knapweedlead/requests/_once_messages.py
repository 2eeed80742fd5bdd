"""Wire messages about once records (codes 60 to 69)."""

import attrs

from knapweedlead.messages import message, nested


@nested
@attrs.frozen
class Claimant:
    """The call that claimed a key.

    Parameters
    ----------
    entry : str
        Member name of the entry.
    incarnation : int
        Start identity of the entry.
    ticket : int
        Number of the call at the entry.
    """

    entry: str
    incarnation: int
    ticket: int


@nested
@attrs.frozen
class OnceAnswer:
    """Wire form of a stored answer; a status of 0 means no answer."""

    status: int
    headers: dict[str, str]
    body: bytes


NO_ANSWER = OnceAnswer(0, {}, b"")


@nested
@attrs.frozen
class RecordState:
    """Wire form of a once record.

    Parameters
    ----------
    account, idempotency_key : str
        Identity of the record.
    fingerprint : bytes
        Digest of method, path and body.
    is_durable : bool
        Whether the key is claimed in the store too.
    claimant : Claimant
        The call that claimed the key.
    state : str
        ``in_progress``, ``answered``, ``unknown`` or ``released``.
    answer : OnceAnswer
        The answer where the state is ``answered``.
    """

    account: str
    idempotency_key: str
    fingerprint: bytes
    is_durable: bool
    claimant: Claimant
    state: str
    answer: OnceAnswer


@message(60)
@attrs.frozen
class OnceClaim:
    """Claim of an entry for an idempotency key."""

    slot: int
    record: RecordState


@message(61)
@attrs.frozen
class OnceVerdict:
    """Decision of the slot owner on a claim.

    Parameters
    ----------
    claimant : Claimant
        The call that made the claim.
    epoch : int
        Epoch of the slot.
    decision : str
        Value of a `OnceDecision`.
    answer : OnceAnswer
        The answer where the decision is ``answered``.
    """

    claimant: Claimant
    epoch: int
    decision: str
    answer: OnceAnswer


@message(62)
@attrs.frozen
class OnceSettlement:
    """Result of a claimed request, reported by its entry."""

    slot: int
    record: RecordState


@message(63)
@attrs.frozen
class OnceSettled:
    """Confirmation of a settlement by the slot owner."""

    claimant: Claimant


@message(64)
@attrs.frozen
class OnceCopy:
    """Copy of a record, sent by a slot owner to its backup.

    Parameters
    ----------
    slot, epoch, appointment : int
        The slot, its epoch and the appointment of the backup.
    number : int
        Sequence number; increases with each copy that the owner sends.
    record : RecordState
        The record.
    """

    slot: int
    epoch: int
    appointment: int
    number: int
    record: RecordState


@message(65)
@attrs.frozen
class OnceCopied:
    """Confirmation by a backup that it stored a copy.

    Number 0 confirms an `OnceCopyEnd`.
    """

    slot: int
    epoch: int
    number: int


@message(66)
@attrs.frozen
class OnceCopyEnd:
    """Notice that a backup has confirmed every record sent since its appointment.

    Parameters
    ----------
    slot, epoch, appointment : int
        The slot, its epoch and the appointment of the backup.
    horizon : float
        Keys created up to this Unix time, in seconds, may belong to evicted
        records.
    trusted_from : float
        Keys created before this Unix time, in seconds, may have been used
        although they have no record.
    """

    slot: int
    epoch: int
    appointment: int
    horizon: float
    trusted_from: float
