"""Decisions on requests for a token of a client account."""

import enum

import attrs

from knapweedlead.node import Event


class TokenDecision(enum.Enum):
    """Result of a request for one token."""

    GRANTED = "granted"
    REFUSED = "refused"
    """The account has used up its rate and burst."""
    UNAVAILABLE = "unavailable"
    """No decision of an owner arrived in time, or too many calls are waiting."""
    PENDING = "pending"
    """A `TokensDecided` event follows with the decision."""


@attrs.frozen
class TokensDecided(Event):
    """The decision on a request that was `PENDING`.

    Parameters
    ----------
    ticket : int
        Number that the caller passed with the request.
    decision : TokenDecision
        Never ``PENDING``.
    retry_after_ms : int
        Milliseconds until a token may be available; 0 if unknown.
    """

    ticket: int
    decision: TokenDecision
    retry_after_ms: int
