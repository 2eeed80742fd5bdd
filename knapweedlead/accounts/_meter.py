"""Policies that meter client accounts, by name."""

from collections.abc import Iterator

import attrs

from knapweedlead.accounts._messages import TokenGrant
from knapweedlead.accounts._tokens import TokenDecision
from knapweedlead.configuration import ClientAccount
from knapweedlead.membership import MembershipRole
from knapweedlead.node import Effect, Identity
from knapweedlead.ownership import OwnershipRole
from knapweedlead.registries import Registry


@attrs.frozen
class MeterContext:
    """What meters work with.

    Parameters
    ----------
    identity : Identity
        Who this daemon is.
    membership : MembershipRole
        The daemons that may meter the same account.
    ownership : OwnershipRole
        Who grants the tokens of an account.
    """

    identity: Identity
    membership: MembershipRole
    ownership: OwnershipRole


class Meter:
    """Decides on tokens at one entry; all but `take` may do nothing."""

    def take(
        self, account: ClientAccount, ticket: int, now: float
    ) -> tuple[TokenDecision, list[Effect]]:
        """Take one token of an account.

        Parameters
        ----------
        account : ClientAccount
            Rate and burst in force.
        ticket : int
            Number that a later `TokensDecided` repeats.
        now : float
            Seconds, monotonic.
        """
        raise NotImplementedError

    def held_by_account(self, now: float) -> dict[str, int]:
        """Return the unspent tokens of each client account."""
        return {}

    def give_back(self, account: str, ticket: int, now: float) -> list[Effect]:
        """Return the token of a request that was not run."""
        return []

    def on_grant(self, grant: TokenGrant, now: float) -> Iterator[Effect]:
        """Take up an owner's grant."""
        yield from ()

    def on_recall(self, account: str, now: float) -> Iterator[Effect]:
        """Return tokens that an owner asks for."""
        yield from ()

    def on_hint(self, slot: int, now: float) -> Iterator[Effect]:
        """Learn that another daemon owns a slot."""
        yield from ()

    def on_unsent(self, account: str, now: float) -> Iterator[Effect]:
        """Learn that a request for tokens reached nobody."""
        yield from ()

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Do what is due."""
        yield from ()


METERS: Registry[Meter] = Registry("meter")
"""Metering policies, by the name that the settings give."""
