"""Decisions on tokens of a client account's rate."""

import enum

import attrs

from knapweedlead.node import Event


class TokenDecision(enum.Enum):
    """Answer to a request for one token."""

    GRANTED = "granted"
    REFUSED = "refused"
    """The account's rate and burst are spent."""
    UNAVAILABLE = "unavailable"
    """No owner of the account's tokens could be reached."""
    PENDING = "pending"
    """A `TokensDecided` event follows."""


@attrs.frozen
class TokensDecided(Event):
    """The decision on a request that was pending.

    Parameters
    ----------
    ticket : int
        Number given with the request.
    decision : TokenDecision
        Never ``PENDING``.
    retry_after_ms : int
        Milliseconds until a token may be had; 0 where nothing is known.
    """

    ticket: int
    decision: TokenDecision
    retry_after_ms: int
