"""Messages that transfer tokens between entries and slot owners (codes 50 to 59)."""

import attrs

from knapweedlead.messages import message, nested


@message(50)
@attrs.frozen
class TokenRequest:
    """An entry reports its tokens of an account and requests more.

    After sending a request, the entry ignores grants for earlier requests.

    Parameters
    ----------
    slot : int
        Slot to which the account name hashes.
    account : str
        Name of the client account.
    entry : str
        Member name of the entry.
    incarnation : int
        Start identity of the entry.
    sequence : int
        Number of the request; increases separately for each entry and account.
    accepted : int
        Sequence of the last grant that the entry accepted.
    held : int
        Unspent tokens that the entry retains.
    returned : int
        Unspent tokens that the entry returns to the owner with this request.
    needed : int
        Tokens required by the calls that are waiting.
    wanted : int
        Tokens that the entry expects to use soon, including `needed`.
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
    """The owner's reply to a `TokenRequest`.

    Parameters
    ----------
    account : str
        Name of the client account.
    incarnation : int
        Start identity of the entry.
    sequence : int
        Sequence number of the request.
    epoch : int
        Epoch of the slot.
    confirmed : int
        Number of the reported held tokens that remain valid.
    granted : int
        Number of new tokens.
    retry_after_ms : int
        Milliseconds until a token may be available.
    is_granting : bool
        False while the owner may not grant yet: a new owner first waits until the
        grants of its predecessor have expired.
    """

    account: str
    incarnation: int
    sequence: int
    epoch: int
    confirmed: int
    granted: int
    retry_after_ms: int
    is_granting: bool


@message(52)
@attrs.frozen
class TokenRecall:
    """The owner requests that an entry return its unneeded tokens."""

    account: str


@nested
@attrs.frozen
class ShareState:
    """Share of one entry in a ledger, as sent to the next owner."""

    entry: str
    peer: str
    incarnation: int
    sequence: int
    confirmed: int
    granted: int


@nested
@attrs.frozen
class LedgerState:
    """Ledger of one account, as sent to the next owner."""

    account: str
    pool: float
    shares: tuple[ShareState, ...]


@message(53)
@attrs.frozen
class TokenBook:
    """All ledgers of a slot, sent by the owner when it hands the slot over."""

    slot: int
    epoch: int
    ledgers: tuple[LedgerState, ...]
