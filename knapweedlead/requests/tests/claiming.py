"""Simulated fleets whose cores claim idempotency keys."""

import itertools
import random
from collections.abc import Iterable
from typing import Any

import attrs

from knapweedlead.load._keys import make_idempotency_key
from knapweedlead.node import Count, Effect, Event, Node, Role, handles
from knapweedlead.ownership import slot_of
from knapweedlead.ownership.tests.fleets import SharedStateCores, acting_owners, fleet
from knapweedlead.requests import (
    OnceClaimKey,
    OnceDecided,
    OnceDecision,
    StoredAnswer,
)

ANSWER = StoredAnswer(201, {"content-type": "text/plain"}, b"ticket 1")


@attrs.frozen
class ClaimRequested(Event):
    """Makes a core claim a key."""

    key: OnceClaimKey
    ticket: int


@attrs.frozen
class SettlementRequested(Event):
    """Makes a core settle a claimed request."""

    key: OnceClaimKey
    action: str


@attrs.define
class Claim:
    """A claim and its decision."""

    core: str
    key: OnceClaimKey
    decision: OnceDecision = OnceDecision.PENDING
    answer: StoredAnswer | None = None


class ClaimerRole(Role):
    """Claims and settles keys in place of an entry."""

    def __init__(self, once: Any, record_decision: Any) -> None:
        self.once = once
        self.record_decision = record_decision

    @handles(ClaimRequested)
    def on_claim(self, event: ClaimRequested, now: float) -> Iterable[Effect]:
        decision, answer, effects = self.once.claim(event.key, event.ticket, now)
        if decision is not OnceDecision.PENDING:
            self.record_decision(OnceDecided(event.ticket, decision, answer))
        return [*effects, Count("claimed")]

    @handles(SettlementRequested)
    def on_settlement(self, event: SettlementRequested, now: float) -> Iterable[Effect]:
        if event.action == "complete":
            return self.once.complete(event.key, ANSWER, now)
        if event.action == "release":
            return self.once.release(event.key, now)
        return self.once.mark_unknown(event.key, now)

    @handles(OnceDecided)
    def on_decided(self, event: OnceDecided, now: float) -> Iterable[Effect]:
        self.record_decision(event)
        return []


class ClaimingCores(SharedStateCores):
    """Cores that claim keys and record every decision."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.claim_by_ticket: dict[int, Claim] = {}
        self._tickets = itertools.count(1)

    def _compose(self, settings: Any) -> Any:
        composition = super()._compose(settings)
        claimer = ClaimerRole(composition.once, self._record_decision)
        return attrs.evolve(composition, node=Node([*composition.node.roles, claimer]))

    def _record_decision(self, event: OnceDecided) -> None:
        claim = self.claim_by_ticket[event.ticket]
        claim.decision = event.decision
        claim.answer = event.answer

    def create_key(self, ahead: float = 0.0) -> str:
        """Return a key whose creation time is `ahead` seconds from now."""
        rng = random.Random(self.rng.getrandbits(64))
        return make_idempotency_key(self.now + ahead, rng)

    def claim(
        self, name: str, text: str, body: bytes = b"body", is_durable: bool = False
    ) -> Claim:
        """Make a core claim a key."""
        key = OnceClaimKey("crew", text, body, is_durable)
        claim = Claim(name, key)
        ticket = next(self._tickets)
        self.claim_by_ticket[ticket] = claim
        self.report(self.by_name[name], ClaimRequested(key, ticket))
        return claim

    def settle(self, claim: Claim, action: str = "complete") -> None:
        """Make a core complete a granted claim, release it or mark it as unknown."""
        self.report(self.by_name[claim.core], SettlementRequested(claim.key, action))

    def claim_and_wait(self, name: str, text: str, **options: Any) -> Claim:
        """Make a core claim a key, and run until the decision."""
        claim = self.claim(name, text, **options)
        self.run_for(1.5)
        return claim

    def owner_of(self, text: str) -> str:
        """Return the core that owns the record of a key."""
        ownership = next(iter(self.by_name.values())).composition.ownership
        slot = slot_of(f"once/crew/{text}", ownership.number_of_slots)
        return next(iter(acting_owners(self, slot)), "")

    def others(self, *names: str) -> list[str]:
        """Return the names of the running cores other than `names`."""
        return [n for n, core in self.by_name.items() if core.is_up and n not in names]


def claiming(seed: int, size: int = 4, **options: Any) -> ClaimingCores:
    """Return a fleet after its slots have received owners and backups."""
    cores: ClaimingCores = fleet(seed, size, cls=ClaimingCores, **options)
    cores.run_for(8.0)
    return cores
