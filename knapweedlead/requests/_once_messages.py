"""Messages about once records (codes 60 to 69)."""

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
        Its start identity.
    ticket : int
        Number of the call at the entry.
    """

    entry: str
    incarnation: int
    ticket: int


@nested
@attrs.frozen
class OnceAnswer:
    """A stored answer on the wire; a status of 0 stands for none."""

    status: int
    headers: dict[str, str]
    body: bytes


NO_ANSWER = OnceAnswer(0, {}, b"")


@nested
@attrs.frozen
class RecordState:
    """A once record.

    Parameters
    ----------
    account, idempotency_key : str
        What names the record.
    fingerprint : bytes
        Digest of method, path and body.
    is_durable : bool
        Whether the store holds a claim too.
    claimant : Claimant
        The call that claimed it.
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
    """An entry asks to run a request that may run once."""

    slot: int
    record: RecordState


@message(61)
@attrs.frozen
class OnceVerdict:
    """The owner's answer to a claim.

    Parameters
    ----------
    claimant : Claimant
        As in the claim.
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
    """An entry says how a claimed request ended."""

    slot: int
    record: RecordState


@message(63)
@attrs.frozen
class OnceSettled:
    """The owner has taken up a settlement."""

    claimant: Claimant


@message(64)
@attrs.frozen
class OnceCopy:
    """An owner sends a record to its backup.

    Parameters
    ----------
    slot, epoch, appointment : int
        The slot and under which appointment.
    number : int
        Rises with each copy that the owner sends.
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
    """A backup has stored a copy."""

    slot: int
    epoch: int
    number: int


@message(66)
@attrs.frozen
class OnceCopyEnd:
    """An owner has sent every record it had when the backup was named.

    Parameters
    ----------
    slot, epoch, appointment : int
        The slot and under which appointment.
    horizon : float
        Keys minted until then, in seconds of Unix time, may be forgotten ones.
    trusted_from : float
        Keys without a record that were minted before may have been used, in
        seconds of Unix time.
    """

    slot: int
    epoch: int
    appointment: int
    horizon: float
    trusted_from: float
