"""Slot owner's side of the tokens."""

import math
from collections import deque
from collections.abc import Iterator

import attrs

from knapweedlead.accounts._ledger import HELD_SECONDS, Ledger, Share, ledger_of
from knapweedlead.accounts._messages import (
    LedgerState,
    TokenBook,
    TokenGrant,
    TokenRecall,
    TokenRequest,
)
from knapweedlead.configuration import ClientAccount, ConfigurationRole
from knapweedlead.node import Count, Effect, SendMessage, WakeAt
from knapweedlead.ownership import (
    OwnershipRole,
    SlotAcquired,
    SlotReleasing,
    Takeover,
)

RECALL_WAIT = 0.05
"""Seconds for which a request waits for tokens that others were asked for."""

RECALL_PAUSE = 0.1
"""Seconds between two recalls of one share."""

MAX_RETRY_AFTER = 60.0

_MS_PER_S = 1000
_FIRST_EPOCH = 1


@attrs.frozen
class _Waiting:
    peer: str
    request: TokenRequest
    until: float


@attrs.define
class _Slot:
    epoch: int
    opens_at: float
    is_first: bool
    ledger_by_account: dict[str, Ledger] = attrs.field(factory=dict)
    waiting_by_account: dict[str, deque[_Waiting]] = attrs.field(factory=dict)
    state_by_account: dict[str, LedgerState] = attrs.field(factory=dict)


class TokenOwner:
    """Grants the tokens of the accounts in the slots that this daemon owns.

    Parameters
    ----------
    configuration : ConfigurationRole
        Rate and burst of each account.
    ownership : OwnershipRole
        Which slots this daemon may act for.
    """

    def __init__(
        self, configuration: ConfigurationRole, ownership: OwnershipRole
    ) -> None:
        self.configuration = configuration
        self.ownership = ownership
        self._slot_by_number: dict[int, _Slot] = {}
        self._book_by_slot: dict[int, TokenBook] = {}
        self._next_sweep = 0.0

    def acquire(self, event: SlotAcquired) -> None:
        """Start to grant for a slot once all earlier grants have expired."""
        book = self._book_by_slot.pop(event.slot, None)
        is_handed_over = (
            event.takeover is Takeover.HANDOVER
            and book is not None
            and book.epoch == event.epoch - 1
        )
        is_first = event.epoch == _FIRST_EPOCH
        wait = 0.0 if is_handed_over or is_first else HELD_SECONDS
        slot = _Slot(event.epoch, event.acts_from + wait, is_first)
        if is_handed_over and book is not None:
            slot.state_by_account = {state.account: state for state in book.ledgers}
        self._slot_by_number[event.slot] = slot

    def lose(self, slot: int) -> None:
        """Forget the tokens of a slot."""
        self._slot_by_number.pop(slot, None)

    def hand_over(self, event: SlotReleasing, now: float) -> Iterator[Effect]:
        """Send all ledgers to the successor."""
        slot = self._slot_by_number.pop(event.slot, None)
        if slot is None or not event.peer or now < slot.opens_at:
            return
        for ledger in slot.ledger_by_account.values():
            ledger.accrue(now)
        ledgers = tuple(
            ledger.state(name) for name, ledger in slot.ledger_by_account.items()
        )
        rest = tuple(slot.state_by_account.values())
        book = TokenBook(event.slot, event.epoch, ledgers + rest)
        yield SendMessage(event.peer, book)

    def keep_book(self, book: TokenBook) -> None:
        """Keep the ledgers of an owner that is about to hand over."""
        self._book_by_slot[book.slot] = book

    def on_request(
        self, peer: str, request: TokenRequest, now: float
    ) -> Iterator[Effect]:
        """Grant tokens, or say who may."""
        slot = self._slot_by_number.get(request.slot)
        if slot is None or self.ownership.owned(request.slot, now) is None:
            yield self.ownership.hint_to(peer, request.slot)
            return
        account = self._account(request.account)
        if account is None or now < slot.opens_at:
            wait = slot.opens_at - now
            yield _answer(peer, request, slot.epoch, 0, 0, wait, is_open=False)
            return
        ledger = self._ledger(slot, account, now)
        share = ledger.report(peer, request, now)
        if share is None:
            yield Count("knapweedlead.tokens.outdated_requests")
            return
        waiting = slot.waiting_by_account.setdefault(request.account, deque())
        waiting.append(_Waiting(peer, request, now + RECALL_WAIT))
        yield from self._serve(slot, ledger, waiting, now)

    def _account(self, name: str) -> ClientAccount | None:
        catalogue = self.configuration.catalogue
        return None if catalogue is None else catalogue.client_accounts.get(name)

    def _ledger(self, slot: _Slot, account: ClientAccount, now: float) -> Ledger:
        rate, burst = account.rate_per_s, account.burst
        ledger = slot.ledger_by_account.get(account.name)
        if ledger is None:
            state = slot.state_by_account.pop(account.name, None)
            if state is not None:
                ledger = ledger_of(state, rate, burst, now)
            else:
                pool = burst if slot.is_first else 0.0
                ledger = Ledger(rate, burst, pool, min(now, slot.opens_at))
            slot.ledger_by_account[account.name] = ledger
        ledger.set_terms(rate, burst, now)
        return ledger

    def _serve(
        self, slot: _Slot, ledger: Ledger, waiting: deque[_Waiting], now: float
    ) -> Iterator[Effect]:
        while waiting:
            first = waiting[0]
            share = ledger.share_by_entry.get(first.request.entry)
            if share is None or share.sequence != first.request.sequence:
                waiting.popleft()
                continue
            is_short = first.request.needed > 0 and ledger.pool < 1.0
            if is_short and now < first.until:
                holders = ledger.holders(besides=first.request.entry)
                if holders:
                    yield from self._recall(first.request.account, holders, now)
                    yield WakeAt(first.until)
                    return
            waiting.popleft()
            yield self._grant(slot, ledger, share, first)

    def _recall(
        self, account: str, holders: list[Share], now: float
    ) -> Iterator[Effect]:
        for share in holders:
            if now >= share.recalled_at + RECALL_PAUSE:
                share.recalled_at = now
                yield SendMessage(share.peer, TokenRecall(account))

    def _grant(
        self, slot: _Slot, ledger: Ledger, share: Share, waiting: _Waiting
    ) -> Effect:
        request = waiting.request
        granted = ledger.grant(share, request.needed, request.wanted)
        wait = ledger.seconds_to_token()
        return _answer(waiting.peer, request, slot.epoch, share.base, granted, wait)

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Answer the requests that have waited for recalled tokens."""
        for number, slot in self._slot_by_number.items():
            if self.ownership.owned(number, now) is None:
                slot.waiting_by_account.clear()
                continue
            for name, waiting in slot.waiting_by_account.items():
                if waiting:
                    ledger = slot.ledger_by_account[name]
                    ledger.accrue(now)
                    yield from self._serve(slot, ledger, waiting, now)
        if now >= self._next_sweep:
            self._next_sweep = now + HELD_SECONDS
            self._sweep(now)

    def _sweep(self, now: float) -> None:
        for slot in self._slot_by_number.values():
            for ledger in slot.ledger_by_account.values():
                ledger.forget_idle(now)


def _answer(
    peer: str,
    request: TokenRequest,
    epoch: int,
    confirmed: int,
    granted: int,
    wait: float,
    is_open: bool = True,
) -> Effect:
    retry_after = min(max(wait, 0.0), MAX_RETRY_AFTER)
    return SendMessage(
        peer,
        TokenGrant(
            account=request.account,
            incarnation=request.incarnation,
            sequence=request.sequence,
            epoch=epoch,
            confirmed=confirmed,
            granted=granted,
            retry_after_ms=math.ceil(retry_after * _MS_PER_S),
            is_open=is_open,
        ),
    )
