"""Role that keeps once records for the whole fleet."""

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
    StoreCalls,
    Tick,
    WakeAt,
    handles,
    handles_message,
)
from knapweedlead.ownership import (
    BackupNamed,
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
"""Seconds for which a call waits for the decision on its claim."""

RESEND_SECONDS = 0.25
"""Seconds after which a claim or settlement without an answer is sent again."""

HASTE_SECONDS = 0.05
"""Seconds until what reached no owner is sent again."""

MAX_HASTENED = 4
"""Attempts of one claim or settlement that are sent before their time."""

SETTLE_SECONDS = 60.0
"""Seconds for which a settlement is sent again."""

_MS_PER_S = 1000


@attrs.define
class _Asked:
    """A claim or settlement that has not been answered."""

    message: OnceClaim | OnceSettlement
    since: float
    sent_at: float
    attempt: int = 0


class OnceRole(Role):
    """Claims keys for the calls of this entry, and decides in owned slots.

    Parameters
    ----------
    identity : Identity
        Who this daemon is; its start identity is the Unix time of its start in
        milliseconds, which dates the monotonic clock.
    membership : MembershipRole
        Which entries have restarted.
    ownership : OwnershipRole
        Which slots this daemon may act for.
    store_calls : StoreCalls
        Allots numbers to store calls.
    """

    def __init__(
        self,
        identity: Identity,
        membership: MembershipRole,
        ownership: OwnershipRole,
        store_calls: StoreCalls,
    ) -> None:
        self.identity = identity
        self.ownership = ownership
        self.backup = OnceBackup()
        self.owner = OnceOwner(ownership, membership, store_calls, self.backup)
        self._started_at: float | None = None
        self._claim_by_ticket: dict[int, _Asked] = {}
        self._settlement_by_ticket: dict[int, _Asked] = {}
        self._ticket_by_key: dict[tuple[str, str], int] = {}

    def _wall(self, now: float) -> float:
        """Return the Unix time in seconds."""
        if self._started_at is None:
            self._started_at = now
        return self.identity.incarnation / _MS_PER_S + now - self._started_at

    def claim(
        self, key: OnceClaimKey, ticket: int, now: float
    ) -> tuple[OnceDecision, StoredAnswer | None, list[Effect]]:
        """Claim a key before its request is sent on.

        Parameters
        ----------
        key : OnceClaimKey
            What names the request.
        ticket : int
            Number that the `OnceDecided` event repeats.
        now : float
            Seconds, monotonic.
        """
        text = f"once/{key.account}/{key.idempotency_key}"
        slot = slot_of(text, self.ownership.number_of_slots)
        claim = OnceClaim(slot, self._state(key, ticket, IN_PROGRESS))
        asked = _Asked(claim, now, now)
        self._claim_by_ticket[ticket] = asked
        return OnceDecision.PENDING, None, list(self._send(asked, now))

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

    def _send(self, asked: _Asked, now: float) -> Iterator[Effect]:
        slot = asked.message.slot
        peer = self.ownership.peer_of(slot, asked.attempt)
        asked.sent_at = now
        if peer:
            yield SendMessage(peer, asked.message)
        else:
            yield from self.ownership.refresh(slot, now)

    def complete(
        self, key: OnceClaimKey, answer: StoredAnswer, now: float
    ) -> list[Effect]:
        """Store the whole answer of a claimed request."""
        wire = OnceAnswer(answer.status, answer.headers, answer.body)
        return self._settle(key, ANSWERED, now, wire)

    def release(self, key: OnceClaimKey, now: float) -> list[Effect]:
        """Give up a claim whose request certainly did not run."""
        return self._settle(key, RELEASED, now)

    def mark_unknown(self, key: OnceClaimKey, now: float) -> list[Effect]:
        """Record that a claimed request may have run without an answer."""
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
        asked = _Asked(settlement, now, now)
        self._settlement_by_ticket[ticket] = asked
        return list(self._send(asked, now))

    @handles(Started)
    def on_started(self, event: Started, now: float) -> Iterator[Effect]:
        """Date the monotonic clock."""
        self._wall(now)
        yield from ()

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Repeat what was not answered, and give up what waited too long."""
        for ticket, asked in list(self._claim_by_ticket.items()):
            if now >= asked.since + CLAIM_TIMEOUT:
                del self._claim_by_ticket[ticket]
                yield Notify(OnceDecided(ticket, OnceDecision.UNAVAILABLE))
        for ticket, asked in list(self._settlement_by_ticket.items()):
            if now >= asked.since + SETTLE_SECONDS:
                del self._settlement_by_ticket[ticket]
        yield from self._resend(now)
        yield from self.owner.on_tick(now)
        self.backup.forget(now)

    def _resend(self, now: float) -> Iterator[Effect]:
        for asked in self._asked():
            if now >= asked.sent_at + RESEND_SECONDS:
                asked.attempt += 1
                yield from self.ownership.refresh(asked.message.slot, now)
                yield from self._send(asked, now)

    def _asked(self) -> list[_Asked]:
        return [*self._claim_by_ticket.values(), *self._settlement_by_ticket.values()]

    @handles(SendFailed)
    def on_send_failed(self, event: SendFailed, now: float) -> Iterator[Effect]:
        """Ask another peer soon."""
        if isinstance(event.message, OnceClaim | OnceSettlement):
            ticket = event.message.record.claimant.ticket
            yield from self._hasten(ticket, now)

    def _hasten(self, ticket: int, now: float) -> Iterator[Effect]:
        for by_ticket in (self._claim_by_ticket, self._settlement_by_ticket):
            asked = by_ticket.get(ticket)
            if asked is not None and asked.attempt < MAX_HASTENED:
                asked.sent_at = now - RESEND_SECONDS
                yield WakeAt(now + HASTE_SECONDS)

    @handles_message(SlotHint)
    def on_hint(self, peer: str, hint: SlotHint, now: float) -> Iterator[Effect]:
        """Ask the owner that became known."""
        for asked in self._asked():
            if asked.message.slot == hint.record.slot:
                ticket = asked.message.record.claimant.ticket
                yield from self._hasten(ticket, now)

    @handles_message(OnceVerdict)
    def on_verdict(
        self, peer: str, verdict: OnceVerdict, now: float
    ) -> Iterator[Effect]:
        """Hand the decision on a claim to its call."""
        claimant = verdict.claimant
        if claimant.incarnation != self.identity.incarnation:
            return
        asked = self._claim_by_ticket.pop(claimant.ticket, None)
        if asked is None:
            return
        decision = OnceDecision(verdict.decision)
        answer = None
        if decision is OnceDecision.CLAIMED:
            state = asked.message.record
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
        """Stop to repeat a settlement."""
        if settled.claimant.incarnation == self.identity.incarnation:
            self._settlement_by_ticket.pop(settled.claimant.ticket, None)
        yield from ()

    @handles_message(OnceClaim)
    def on_claim(self, peer: str, claim: OnceClaim, now: float) -> Iterator[Effect]:
        """Decide on a claim in an owned slot."""
        yield from self.owner.on_claim(peer, claim, now, self._wall(now))

    @handles_message(OnceSettlement)
    def on_settlement(
        self, peer: str, settlement: OnceSettlement, now: float
    ) -> Iterator[Effect]:
        """Take up how a claimed request ended."""
        wall = self._wall(now)
        yield from self.owner.on_settlement(peer, settlement, now, wall)

    @handles_message(OnceCopy)
    def on_copy(self, peer: str, copy: OnceCopy, now: float) -> Iterator[Effect]:
        """Store a copy as a backup."""
        yield from self.backup.on_copy(peer, copy, now, self._wall(now))

    @handles_message(OnceCopyEnd)
    def on_copy_end(self, peer: str, end: OnceCopyEnd, now: float) -> Iterator[Effect]:
        """Note that the copies are complete."""
        yield from self.backup.on_end(peer, end)

    @handles_message(OnceCopied)
    def on_copied(self, peer: str, copied: OnceCopied, now: float) -> Iterator[Effect]:
        """Grant the claim whose copy is stored."""
        yield from self.owner.on_copied(copied, now)

    @handles(StoreAnswered)
    def on_store_answered(self, event: StoreAnswered, now: float) -> Iterator[Effect]:
        """Go on with a durable claim."""
        yield from self.owner.on_store_answered(event, now)

    @handles(SlotAcquired)
    def on_slot_acquired(self, event: SlotAcquired, now: float) -> Iterator[Effect]:
        """Take up the records of a slot."""
        self.owner.acquire(event, now, self._wall(now))
        yield from ()

    @handles(SlotLost)
    def on_slot_lost(self, event: SlotLost, now: float) -> Iterator[Effect]:
        """Forget the records of a slot."""
        self.owner.lose(event.slot)
        yield from ()

    @handles(BackupNamed)
    def on_backup_named(self, event: BackupNamed, now: float) -> Iterator[Effect]:
        """Send every record to the new backup."""
        yield from self.owner.name_backup(event.slot, now)

    @handles(SlotReleasing)
    def on_slot_releasing(self, event: SlotReleasing, now: float) -> Iterator[Effect]:
        """Send the successor what it has not confirmed."""
        yield from self.owner.hand_over(event.slot, now)
