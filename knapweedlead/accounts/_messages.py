"""Messages that move tokens between entries and slot owners (codes 50 to 59)."""

import attrs

from knapweedlead.messages import message, nested


@message(50)
@attrs.frozen
class TokenRequest:
    """An entry reports its tokens of an account and asks for more.

    Once it has sent a request, the entry ignores the grants of earlier ones.

    Parameters
    ----------
    slot : int
        Slot that the account's name names.
    account : str
        Client account.
    entry : str
        Member name of the entry.
    incarnation : int
        Start identity of the entry.
    sequence : int
        Rises with each request of the entry for the account.
    accepted : int
        Sequence of the last grant that the entry accepted.
    held : int
        Unspent tokens that the entry keeps.
    returned : int
        Unspent tokens that the entry gives back with this request.
    needed : int
        Tokens for requests that wait.
    wanted : int
        Tokens that it can use soon, those needed among them.
    """

    slot: int
    account: str
    entry: str
    incarnation: int
    sequence: int
    accepted: int
    held: int
    returned: int
    needed: int
    wanted: int


@message(51)
@attrs.frozen
class TokenGrant:
    """The owner's answer to a `TokenRequest`.

    Parameters
    ----------
    account : str
        Client account.
    incarnation : int
        Start identity of the entry.
    sequence : int
        Sequence of the request.
    epoch : int
        Epoch of the slot.
    confirmed : int
        How many of the held tokens stay valid.
    granted : int
        New tokens.
    retry_after_ms : int
        Milliseconds until a token may be had.
    is_open : bool
        Whether the owner grants at all; a new owner waits at first.
    """

    account: str
    incarnation: int
    sequence: int
    epoch: int
    confirmed: int
    granted: int
    retry_after_ms: int
    is_open: bool


@message(52)
@attrs.frozen
class TokenRecall:
    """The owner asks an entry to return tokens that it does not need."""

    account: str


@nested
@attrs.frozen
class ShareState:
    """What a ledger holds of one entry, for a successor."""

    entry: str
    peer: str
    incarnation: int
    sequence: int
    base: int
    granted: int


@nested
@attrs.frozen
class LedgerState:
    """A ledger, for a successor."""

    account: str
    pool: float
    shares: tuple[ShareState, ...]


@message(53)
@attrs.frozen
class TokenBook:
    """All ledgers of a slot, sent by an owner that hands it over."""

    slot: int
    epoch: int
    ledgers: tuple[LedgerState, ...]
