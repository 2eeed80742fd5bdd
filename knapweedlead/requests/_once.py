"""Claims on idempotency keys and the decisions on them."""

import enum

import attrs

from knapweedlead.node import Event


class OnceDecision(enum.Enum):
    """Decision on a claim of an idempotency key."""

    CLAIMED = "claimed"
    """The key is granted to this call alone; its request may be sent."""
    ANSWERED = "answered"
    """The request ran before; the decision includes its stored answer."""
    IN_PROGRESS = "in_progress"
    """Another call holds the key."""
    UNKNOWN = "unknown"
    """The request may have run, and no answer is stored."""
    MISMATCH = "mismatch"
    """The key was used for a different request."""
    UNAVAILABLE = "unavailable"
    """No owner decided in time, or the store was unavailable; the call was not sent."""
    PENDING = "pending"
    """A `OnceDecided` event follows."""


@attrs.frozen
class StoredAnswer:
    """Complete answer of a request that ran."""

    status: int
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class OnceDecided(Event):
    """Final decision on a pending claim; never ``PENDING``."""

    ticket: int
    decision: OnceDecision
    answer: StoredAnswer | None = None


@attrs.frozen
class OnceClaimKey:
    """Identity of a request that may run at most once.

    Parameters
    ----------
    account : str
        Client account, empty on open routes.
    idempotency_key : str
        Key sent by the caller.
    fingerprint : bytes
        Digest of method, path and body.
    is_durable : bool
        Whether the key is also claimed in the platform's store, so that the
        claim survives the loss of the record and its copy.
    """

    account: str
    idempotency_key: str
    fingerprint: bytes
    is_durable: bool
