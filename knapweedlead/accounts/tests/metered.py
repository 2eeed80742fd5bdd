"""Simulated fleets whose cores acquire tokens, and the check of the rate limit."""

import functools
import itertools
from collections.abc import Iterable
from typing import Any

import attrs

from knapweedlead.accounts import TokenDecision, TokensDecided
from knapweedlead.configuration import Catalogue, ClientAccount
from knapweedlead.node import Count, Effect, Event, Node, Role, handles
from knapweedlead.ownership.tests.fleets import (
    SharedStateCores,
    clock_of,
    fleet,
)


@attrs.frozen
class AcquireRequested(Event):
    """A test requests a token at a core."""

    account: ClientAccount
    ticket: int


@attrs.define
class Acquisition:
    """One request for a token and its decision."""

    core: str
    requested_at: float
    decision: TokenDecision = TokenDecision.PENDING
    decided_at: float = 0.0


class AcquiringRole(Role):
    """Acquires tokens on behalf of a test."""

    def __init__(self, accounts: Any, decide: Any) -> None:
        self.accounts = accounts
        self.decide = decide

    @handles(AcquireRequested)
    def on_acquire_requested(
        self, event: AcquireRequested, now: float
    ) -> Iterable[Effect]:
        decision, effects = self.accounts.acquire(event.account, event.ticket, now)
        if decision is not TokenDecision.PENDING:
            self.decide(event.ticket, decision)
        return [*effects, Count("taken")]

    @handles(TokensDecided)
    def on_decided(self, event: TokensDecided, now: float) -> Iterable[Effect]:
        self.decide(event.ticket, event.decision)
        return []


class MeteredCores(SharedStateCores):
    """Cores that acquire tokens and record every decision."""

    def __init__(self, seed: int = 0) -> None:
        super().__init__(seed)
        self.account = ClientAccount("crew", 10.0, 10.0)
        self.acquisition_by_ticket: dict[int, Acquisition] = {}
        self._tickets = itertools.count(1)

    def _compose(self, settings: Any) -> Any:
        composition = super()._compose(settings)
        composition.configuration.catalogue = self._catalogue()
        acquiring_role = AcquiringRole(composition.accounts, self._decide)
        return attrs.evolve(
            composition, node=Node([*composition.node.roles, acquiring_role])
        )

    def _catalogue(self) -> Catalogue:
        return Catalogue(1, {"client_accounts": {self.account.name: self.account}})

    def set_account(self, rate_per_s: float, burst: float) -> None:
        """Apply a new rate and burst to every core."""
        self.account = ClientAccount("crew", rate_per_s, burst)
        for core in self.by_name.values():
            core.composition.configuration.catalogue = self._catalogue()

    def _decide(self, ticket: int, decision: TokenDecision) -> None:
        acquisition = self.acquisition_by_ticket[ticket]
        acquisition.decision = decision
        acquisition.decided_at = self.now

    def acquire(self, name: str) -> Acquisition:
        """Request a token at a core."""
        ticket = next(self._tickets)
        acquisition = Acquisition(name, self.now)
        self.acquisition_by_ticket[ticket] = acquisition
        self.report(self.by_name[name], AcquireRequested(self.account, ticket))
        return acquisition

    def clock(self, name: str) -> float:
        """Return the current time on the clock of a core."""
        return clock_of(self, name)

    def granted_at(self) -> list[float]:
        """Return the sorted times at which tokens were granted."""
        return sorted(
            acquisition.decided_at
            for acquisition in self.acquisition_by_ticket.values()
            if acquisition.decision is TokenDecision.GRANTED
        )

    def count(self, decision: TokenDecision) -> int:
        """Return the number of acquisitions that ended with `decision`."""
        return sum(t.decision is decision for t in self.acquisition_by_ticket.values())


def metered_cores(
    seed: int, size: int = 3, rate: float = 10.0, burst: float = 10.0, **options: Any
) -> MeteredCores:
    """Return cores that have run until every slot has an owner."""
    cores = fleet(seed, size, cls=MeteredCores, **options)
    cores.set_account(rate, burst)
    cores.run_for(6.0)
    return cores


def max_excess_over_rate(times: list[float], rate: float) -> float:
    """Return the largest of (spent in a window - rate x window) over all windows.

    The worst window starts and ends at a spent token, so one pass that tracks the
    best start is sufficient.
    """
    worst = 0.0
    best_start = float("-inf")
    for index, time in enumerate(times):
        best_start = max(best_start, rate * time - index)
        worst = max(worst, index + 1 - rate * time + best_start)
    return worst


def offer(cores: MeteredCores, names: list[str], per_s: float, seconds: float) -> None:
    """Request tokens at a constant rate from the given cores in rotation."""
    for index in range(int(per_s * seconds)):
        name = names[index % len(names)]
        cores.at(cores.now + index / per_s, functools.partial(cores.acquire, name))
    cores.run_for(seconds)
