"""Token grants by the owner of a slot."""

import math
from collections import deque
from collections.abc import Iterator

import attrs

from knapweedlead.accounts._ledger import (
    SHARE_LIFETIME_SECONDS,
    Ledger,
    Share,
    restore_ledger,
)
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

RECALL_WAIT_SECONDS = 0.05
"""Seconds for which a request waits for tokens recalled from other entries."""

RECALL_INTERVAL_SECONDS = 0.1
"""Minimum seconds between two recalls of one share."""

MAX_RETRY_AFTER_SECONDS = 60.0

_MS_PER_S = 1000
_FIRST_EPOCH = 1


@attrs.frozen
class _WaitingRequest:
    peer: str
    request: TokenRequest
    deadline: float


@attrs.define
class _Slot:
    epoch: int
    grants_from: float
    is_first: bool
    ledger_by_account: dict[str, Ledger] = attrs.field(factory=dict)
    waiting_by_account: dict[str, deque[_WaitingRequest]] = attrs.field(factory=dict)
    inherited_by_account: dict[str, LedgerState] = attrs.field(factory=dict)


class TokenOwner:
    """Grants the tokens of the accounts in the slots that this daemon owns.

    Parameters
    ----------
    configuration : ConfigurationRole
        Source of the rate and burst of each account.
    ownership : OwnershipRole
        Source of the slots for which this daemon may act.
    """

    def __init__(
        self, configuration: ConfigurationRole, ownership: OwnershipRole
    ) -> None:
        self.configuration = configuration
        self.ownership = ownership
        self._slot_by_number: dict[int, _Slot] = {}
        self._token_book_by_slot: dict[int, TokenBook] = {}
        self._next_sweep = 0.0

    def acquire_slot(self, event: SlotAcquired) -> None:
        """Start granting for a slot.

        Granting waits until all earlier grants have expired, unless their ledgers were
        handed over or the slot has its first owner.
        """
        token_book = self._token_book_by_slot.pop(event.slot, None)
        is_handed_over = (
            event.takeover is Takeover.HANDOVER
            and token_book is not None
            and token_book.epoch == event.epoch - 1
        )
        is_first = event.epoch == _FIRST_EPOCH
        wait = 0.0 if is_handed_over or is_first else SHARE_LIFETIME_SECONDS
        slot = _Slot(event.epoch, event.may_act_from + wait, is_first)
        if is_handed_over and token_book is not None:
            slot.inherited_by_account = {
                state.account: state for state in token_book.ledgers
            }
        self._slot_by_number[event.slot] = slot

    def _adopt_missing(self) -> None:
        """Start granting for owned slots of whose acquisition this role was not told.

        That is the case if handling the event failed. The grants of the previous owner
        are assumed to be valid as long as they can be.
        """
        for number, owned in self.ownership.owned_by_slot.items():
            slot = self._slot_by_number.get(number)
            epoch = owned.record.epoch
            if slot is None or slot.epoch < epoch:
                expired = Takeover.EXPIRED
                self.acquire_slot(
                    SlotAcquired(number, epoch, owned.may_act_from, expired)
                )

    def _active_slot(self, number: int, now: float) -> _Slot | None:
        """Return a slot if this daemon acts for it in the epoch of its ledgers."""
        slot = self._slot_by_number.get(number)
        owned = self.ownership.active_slot(number, now)
        if slot is None or owned is None or owned.record.epoch != slot.epoch:
            return None
        return slot

    def drop_slot(self, slot: int) -> None:
        """Discard the ledgers of a slot that this daemon no longer owns."""
        self._slot_by_number.pop(slot, None)

    def hand_over(self, event: SlotReleasing, now: float) -> Iterator[Effect]:
        """Send all ledgers of a slot to its next owner."""
        slot = self._slot_by_number.pop(event.slot, None)
        if slot is None or not event.peer or now < slot.grants_from:
            return
        for ledger in slot.ledger_by_account.values():
            ledger.accrue(now)
        ledgers = tuple(
            ledger.to_state(name) for name, ledger in slot.ledger_by_account.items()
        )
        not_restored = tuple(slot.inherited_by_account.values())
        token_book = TokenBook(event.slot, event.epoch, ledgers + not_restored)
        yield SendMessage(event.peer, token_book)

    def save_token_book(self, token_book: TokenBook) -> None:
        """Store the ledgers of a slot until this daemon acquires it."""
        self._token_book_by_slot[token_book.slot] = token_book

    def on_request(
        self, peer: str, request: TokenRequest, now: float
    ) -> Iterator[Effect]:
        """Grant tokens; reply with a hint if this daemon may not act for the slot."""
        slot = self._active_slot(request.slot, now)
        if slot is None:
            yield self.ownership.hint_to(peer, request.slot)
            return
        account = self._account(request.account)
        if account is None or now < slot.grants_from:
            wait = slot.grants_from - now
            yield _reply(peer, request, slot.epoch, 0, 0, wait, is_granting=False)
            return
        ledger = self._ledger(slot, account, now)
        share = ledger.apply_report(peer, request, now)
        if share is None:
            yield Count("knapweedlead.tokens.outdated_requests")
            return
        waiting = slot.waiting_by_account.setdefault(request.account, deque())
        waiting.append(_WaitingRequest(peer, request, now + RECALL_WAIT_SECONDS))
        yield from self._serve_waiting(slot, ledger, waiting, now)

    def _account(self, name: str) -> ClientAccount | None:
        catalogue = self.configuration.catalogue
        return None if catalogue is None else catalogue.client_accounts.get(name)

    def _ledger(self, slot: _Slot, account: ClientAccount, now: float) -> Ledger:
        rate, burst = account.rate_per_s, account.burst
        ledger = slot.ledger_by_account.get(account.name)
        if ledger is None:
            state = slot.inherited_by_account.pop(account.name, None)
            if state is not None:
                ledger = restore_ledger(state, rate, burst, now)
            else:
                pool = burst if slot.is_first else 0.0
                ledger = Ledger(rate, burst, pool, min(now, slot.grants_from))
            slot.ledger_by_account[account.name] = ledger
        ledger.set_limits(rate, burst, now)
        return ledger

    def _serve_waiting(
        self, slot: _Slot, ledger: Ledger, waiting: deque[_WaitingRequest], now: float
    ) -> Iterator[Effect]:
        while waiting:
            first = waiting[0]
            share = ledger.share_by_entry.get(first.request.entry)
            if share is None or share.sequence != first.request.sequence:
                waiting.popleft()
                continue
            is_pool_empty = first.request.needed > 0 and ledger.pool < 1.0
            if is_pool_empty and now < first.deadline:
                holders = ledger.holders(excluding=first.request.entry)
                if holders:
                    yield from self._recall(first.request.account, holders, now)
                    yield WakeAt(first.deadline)
                    return
            waiting.popleft()
            yield self._grant(slot, ledger, share, first)

    def _recall(
        self, account: str, holders: list[Share], now: float
    ) -> Iterator[Effect]:
        for share in holders:
            if now >= share.recalled_at + RECALL_INTERVAL_SECONDS:
                share.recalled_at = now
                yield SendMessage(share.peer, TokenRecall(account))

    def _grant(
        self, slot: _Slot, ledger: Ledger, share: Share, waiting: _WaitingRequest
    ) -> Effect:
        request = waiting.request
        granted = ledger.grant(share, request.needed, request.wanted)
        wait = ledger.seconds_to_token()
        return _reply(waiting.peer, request, slot.epoch, share.confirmed, granted, wait)

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Serve waiting requests; remove idle shares at longer intervals."""
        self._adopt_missing()
        for number, slot in self._slot_by_number.items():
            if self._active_slot(number, now) is None:
                slot.waiting_by_account.clear()
                continue
            for name, waiting in slot.waiting_by_account.items():
                if waiting:
                    ledger = slot.ledger_by_account[name]
                    ledger.accrue(now)
                    yield from self._serve_waiting(slot, ledger, waiting, now)
        if now >= self._next_sweep:
            self._next_sweep = now + SHARE_LIFETIME_SECONDS
            self._sweep(now)

    def _sweep(self, now: float) -> None:
        for slot in self._slot_by_number.values():
            for ledger in slot.ledger_by_account.values():
                ledger.remove_idle(now)


def _reply(
    peer: str,
    request: TokenRequest,
    epoch: int,
    confirmed: int,
    granted: int,
    wait: float,
    is_granting: bool = True,
) -> Effect:
    retry_after = min(max(wait, 0.0), MAX_RETRY_AFTER_SECONDS)
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
            is_granting=is_granting,
        ),
    )
