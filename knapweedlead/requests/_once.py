"""Decisions on requests that may run at most once."""

import enum

import attrs

from knapweedlead.node import Event


class OnceDecision(enum.Enum):
    """Answer to the claim of an idempotency key."""

    CLAIMED = "claimed"
    """The request may be sent on; nobody else may send it."""
    ANSWERED = "answered"
    """The request ran before; the stored answer comes along."""
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    """The request may have run; its answer is not to be had."""
    MISMATCH = "mismatch"
    """The key was used with another request."""
    UNAVAILABLE = "unavailable"
    """No owner of the record could be reached; nothing was sent on."""
    PENDING = "pending"
    """A `OnceDecided` event follows."""


@attrs.frozen
class StoredAnswer:
    """The whole answer of a request that ran."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class OnceDecided(Event):
    """The decision on a claim that was pending; never ``PENDING``."""

    ticket: int
    decision: OnceDecision
    answer: StoredAnswer | None = None


@attrs.frozen
class OnceClaimKey:
    """What names a request that may run at most once.

    Parameters
    ----------
    account : str
        Client account, empty on open routes.
    idempotency_key : str
        The caller's key.
    fingerprint : bytes
        Digest of method, path and body.
    is_durable : bool
        Whether the record is claimed in the platform's store.
    """

    account: str
    idempotency_key: str
    fingerprint: bytes
    is_durable: bool
