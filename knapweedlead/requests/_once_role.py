"""Role that claims idempotency keys and keeps the once records of owned slots."""

from collections.abc import Iterator

import attrs

from knapweedlead.membership import MembershipRole
from knapweedlead.node import (
    Effect,
    Identity,
    Notify,
    Role,
    SendFailed,
    SendMessage,
    Started,
    StoreAnswered,
    StoreCallIds,
    Tick,
    WakeAt,
    handles,
    handles_message,
)
from knapweedlead.ownership import (
    BackupNamed,
    OwnerAttempts,
    OwnershipRole,
    SlotAcquired,
    SlotHint,
    SlotLost,
    SlotReleasing,
    slot_of,
)
from knapweedlead.requests._once import (
    OnceClaimKey,
    OnceDecided,
    OnceDecision,
    StoredAnswer,
)
from knapweedlead.requests._once_backup import OnceBackup
from knapweedlead.requests._once_messages import (
    NO_ANSWER,
    Claimant,
    OnceAnswer,
    OnceClaim,
    OnceCopied,
    OnceCopy,
    OnceCopyEnd,
    OnceSettled,
    OnceSettlement,
    OnceVerdict,
    RecordState,
)
from knapweedlead.requests._once_owner import OnceOwner
from knapweedlead.requests._once_records import (
    ANSWERED,
    IN_PROGRESS,
    RELEASED,
    UNKNOWN,
)

CLAIM_TIMEOUT = 1.0
"""Seconds after which a claim without a decision ends as unavailable."""

RESEND_SECONDS = 0.25
"""Seconds after which an unanswered claim or settlement is sent again."""

EXPEDITED_RESEND_SECONDS = 0.05
"""Seconds until a message that reached no owner is sent again."""

MAX_EXPEDITED_ATTEMPTS = 4
"""Resends of one claim or settlement that may be expedited."""

SETTLEMENT_TIMEOUT = 60.0
"""Seconds after which an unconfirmed settlement is no longer sent."""

_MS_PER_S = 1000


@attrs.define
class _PendingRequest:
    """A claim or settlement without an answer."""

    message: OnceClaim | OnceSettlement
    created_at: float
    sent_at: float
    resends: int = 0
    attempts: OwnerAttempts = attrs.field(factory=OwnerAttempts)


class OnceRole(Role):
    """Claims keys for the calls of this entry, and decides on claims in owned slots.

    Parameters
    ----------
    identity : Identity
        Identity of this daemon. Its incarnation is the Unix time of its start in
        milliseconds, from which wall clock time is derived.
    membership : MembershipRole
        Members with their incarnations, from which restarts are recognized.
    ownership : OwnershipRole
        Slots for which this daemon may act.
    store_calls : StoreCallIds
        Allocates the numbers of store calls.
    """

    def __init__(
        self,
        identity: Identity,
        membership: MembershipRole,
        ownership: OwnershipRole,
        store_calls: StoreCallIds,
    ) -> None:
        self.identity = identity
        self.ownership = ownership
        self.backup = OnceBackup()
        self.owner = OnceOwner(ownership, membership, store_calls, self.backup)
        self._started_at: float | None = None
        self._claim_by_ticket: dict[int, _PendingRequest] = {}
        self._settlement_by_ticket: dict[int, _PendingRequest] = {}
        self._ticket_by_key: dict[tuple[str, str], int] = {}

    def _wall_time(self, now: float) -> float:
        """Return the Unix time in seconds that corresponds to monotonic `now`."""
        if self._started_at is None:
            self._started_at = now
        return self.identity.incarnation / _MS_PER_S + now - self._started_at

    def claim(
        self, key: OnceClaimKey, ticket: int, now: float
    ) -> tuple[OnceDecision, StoredAnswer | None, list[Effect]]:
        """Claim a key before its request is sent.

        Parameters
        ----------
        key : OnceClaimKey
            Identity of the request.
        ticket : int
            Number that identifies the claim in the `OnceDecided` event.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        decision : OnceDecision
            Always ``PENDING``; a `OnceDecided` event follows.
        answer : StoredAnswer or None
            Always None.
        effects : list of Effect
            Effects that request the decision.
        """
        text = f"once/{key.account}/{key.idempotency_key}"
        slot = slot_of(text, self.ownership.number_of_slots)
        claim = OnceClaim(slot, self._state(key, ticket, IN_PROGRESS))
        pending = _PendingRequest(claim, now, now)
        self._claim_by_ticket[ticket] = pending
        return OnceDecision.PENDING, None, list(self._send(pending, now))

    def _state(
        self,
        key: OnceClaimKey,
        ticket: int,
        state: str,
        answer: OnceAnswer = NO_ANSWER,
    ) -> RecordState:
        return RecordState(
            account=key.account,
            idempotency_key=key.idempotency_key,
            fingerprint=key.fingerprint,
            is_durable=key.is_durable,
            claimant=Claimant(self.identity.name, self.identity.incarnation, ticket),
            state=state,
            answer=answer,
        )

    def _send(self, pending: _PendingRequest, now: float) -> Iterator[Effect]:
        slot = pending.message.slot
        peer = pending.attempts.peer(self.ownership, slot)
        pending.sent_at = now
        if peer:
            yield SendMessage(peer, pending.message)
        else:
            yield from self.ownership.refresh(slot, now)

    def complete(
        self, key: OnceClaimKey, answer: StoredAnswer, now: float
    ) -> list[Effect]:
        """Settle a claimed request with its complete answer."""
        wire = OnceAnswer(answer.status, answer.headers, answer.body)
        return self._settle(key, ANSWERED, now, wire)

    def release(self, key: OnceClaimKey, now: float) -> list[Effect]:
        """Release the claim of a request that certainly did not run."""
        return self._settle(key, RELEASED, now)

    def mark_unknown(self, key: OnceClaimKey, now: float) -> list[Effect]:
        """Settle a claimed request that may have run and has no answer."""
        return self._settle(key, UNKNOWN, now)

    def _settle(
        self,
        key: OnceClaimKey,
        state: str,
        now: float,
        answer: OnceAnswer = NO_ANSWER,
    ) -> list[Effect]:
        ticket = self._ticket_by_key.pop((key.account, key.idempotency_key), None)
        if ticket is None:
            return []
        text = f"once/{key.account}/{key.idempotency_key}"
        slot = slot_of(text, self.ownership.number_of_slots)
        settlement = OnceSettlement(slot, self._state(key, ticket, state, answer))
        pending = _PendingRequest(settlement, now, now)
        self._settlement_by_ticket[ticket] = pending
        return list(self._send(pending, now))

    @handles(Started)
    def on_started(self, event: Started, now: float) -> Iterator[Effect]:
        """Record the monotonic time of the start."""
        self._wall_time(now)
        yield from ()

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Resend unanswered messages, and discard those that timed out."""
        for ticket, pending in list(self._claim_by_ticket.items()):
            if now >= pending.created_at + CLAIM_TIMEOUT:
                del self._claim_by_ticket[ticket]
                yield Notify(OnceDecided(ticket, OnceDecision.UNAVAILABLE))
        for ticket, pending in list(self._settlement_by_ticket.items()):
            if now >= pending.created_at + SETTLEMENT_TIMEOUT:
                del self._settlement_by_ticket[ticket]
        yield from self._resend(now)
        self.owner.adopt_missing(now, self._wall_time(now))
        yield from self.owner.on_tick(now)
        self.backup.evict(now)

    def _resend(self, now: float) -> Iterator[Effect]:
        for pending in self._pending_requests():
            if now >= pending.sent_at + RESEND_SECONDS:
                pending.resends += 1
                pending.attempts.failed += 1
                yield from self.ownership.refresh(pending.message.slot, now)
                yield from self._send(pending, now)

    def _pending_requests(self) -> list[_PendingRequest]:
        return [*self._claim_by_ticket.values(), *self._settlement_by_ticket.values()]

    @handles(SendFailed)
    def on_send_failed(self, event: SendFailed, now: float) -> Iterator[Effect]:
        """Expedite the resend of an undelivered message, to another peer."""
        if isinstance(event.message, OnceClaim | OnceSettlement):
            ticket = event.message.record.claimant.ticket
            yield from self._expedite(ticket, now)

    def _expedite(self, ticket: int, now: float) -> Iterator[Effect]:
        for by_ticket in (self._claim_by_ticket, self._settlement_by_ticket):
            pending = by_ticket.get(ticket)
            if pending is not None and pending.resends < MAX_EXPEDITED_ATTEMPTS:
                pending.sent_at = now - RESEND_SECONDS
                yield WakeAt(now + EXPEDITED_RESEND_SECONDS)

    @handles_message(SlotHint)
    def on_hint(self, peer: str, hint: SlotHint, now: float) -> Iterator[Effect]:
        """Expedite the resend of messages about a slot whose owner is now known."""
        for pending in self._pending_requests():
            if pending.message.slot == hint.record.slot:
                ticket = pending.message.record.claimant.ticket
                yield from self._expedite(ticket, now)

    @handles_message(OnceVerdict)
    def on_verdict(
        self, peer: str, verdict: OnceVerdict, now: float
    ) -> Iterator[Effect]:
        """Notify a call of the decision on its claim."""
        claimant = verdict.claimant
        if claimant.incarnation != self.identity.incarnation:
            return
        pending = self._claim_by_ticket.pop(claimant.ticket, None)
        if pending is None:
            return
        decision = OnceDecision(verdict.decision)
        answer = None
        if decision is OnceDecision.CLAIMED:
            state = pending.message.record
            key = state.account, state.idempotency_key
            self._ticket_by_key[key] = claimant.ticket
        if decision is OnceDecision.ANSWERED:
            stored = verdict.answer
            answer = StoredAnswer(stored.status, stored.headers, stored.body)
        yield Notify(OnceDecided(claimant.ticket, decision, answer))

    @handles_message(OnceSettled)
    def on_settled(
        self, peer: str, settled: OnceSettled, now: float
    ) -> Iterator[Effect]:
        """Stop resending a confirmed settlement."""
        if settled.claimant.incarnation == self.identity.incarnation:
            self._settlement_by_ticket.pop(settled.claimant.ticket, None)
        yield from ()

    @handles_message(OnceClaim)
    def on_claim(self, peer: str, claim: OnceClaim, now: float) -> Iterator[Effect]:
        """Decide on a claim as the slot owner."""
        yield from self.owner.on_claim(peer, claim, now, self._wall_time(now))

    @handles_message(OnceSettlement)
    def on_settlement(
        self, peer: str, settlement: OnceSettlement, now: float
    ) -> Iterator[Effect]:
        """Apply the result of a claimed request as the slot owner."""
        wall_time = self._wall_time(now)
        yield from self.owner.on_settlement(peer, settlement, now, wall_time)

    @handles_message(OnceCopy)
    def on_copy(self, peer: str, copy: OnceCopy, now: float) -> Iterator[Effect]:
        """Store a copy as a backup."""
        yield from self.backup.on_copy(peer, copy, now, self._wall_time(now))

    @handles_message(OnceCopyEnd)
    def on_copy_end(self, peer: str, end: OnceCopyEnd, now: float) -> Iterator[Effect]:
        """Record as a backup that the copies of a slot are complete."""
        yield from self.backup.on_end(peer, end)

    @handles_message(OnceCopied)
    def on_copied(self, peer: str, copied: OnceCopied, now: float) -> Iterator[Effect]:
        """Decide on the claims whose copy was confirmed."""
        yield from self.owner.on_copied(copied, now)

    @handles(StoreAnswered)
    def on_store_answered(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        """Continue the storage or the deletion of a durable claim."""
        yield from self.owner.on_store_answered(event, now)

    @handles(SlotAcquired)
    def on_slot_acquired(self, event: SlotAcquired, now: float) -> Iterator[Effect]:
        """Adopt the records of an acquired slot."""
        self.owner.add_slot(event, now, self._wall_time(now))
        yield from ()

    @handles(SlotLost)
    def on_slot_lost(self, event: SlotLost, now: float) -> Iterator[Effect]:
        """Discard the records of a lost slot."""
        self.owner.remove_slot(event.slot)
        yield from ()

    @handles(BackupNamed)
    def on_backup_named(self, event: BackupNamed, now: float) -> Iterator[Effect]:
        """Send every record of a slot to its new backup."""
        yield from self.owner.copy_to_new_backup(event.slot, now)

    @handles(SlotReleasing)
    def on_slot_releasing(self, event: SlotReleasing, now: float) -> Iterator[Effect]:
        """Send the successor all unconfirmed copies of the slot."""
        yield from self.owner.resend_copies(event.slot, now)
