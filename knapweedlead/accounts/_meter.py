"""Interface and registry of the policies that meter client accounts."""

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
    """Identity and roles that a meter reads.

    Parameters
    ----------
    identity : Identity
        Identity of this daemon.
    membership : MembershipRole
        The daemons that may meter the same account.
    ownership : OwnershipRole
        Locates the owner that grants the tokens of an account.
    """

    identity: Identity
    membership: MembershipRole
    ownership: OwnershipRole


class Meter:
    """Base class of meters; every method except `acquire` has a no-op default."""

    def acquire(
        self, account: ClientAccount, ticket: int, now: float
    ) -> tuple[TokenDecision, list[Effect]]:
        """Request one token of an account.

        Parameters
        ----------
        account : ClientAccount
            Account with its current rate and burst.
        ticket : int
            Number by which a later `TokensDecided` refers to this request.
        now : float
            Seconds, monotonic.
        """
        raise NotImplementedError

    def held_by_account(self, now: float) -> dict[str, int]:
        """Return the unspent, unexpired tokens of each client account at this entry."""
        return {}

    def refund(self, account: str, ticket: int, now: float) -> list[Effect]:
        """Refund the token of a request that was not run."""
        return []

    def on_grant(self, grant: TokenGrant, now: float) -> Iterator[Effect]:
        """Handle an owner's grant."""
        yield from ()

    def on_recall(self, account: str, now: float) -> Iterator[Effect]:
        """Return unneeded tokens at the owner's request."""
        yield from ()

    def on_hint(self, slot: int, now: float) -> Iterator[Effect]:
        """Handle the hint that a different daemon owns a slot."""
        yield from ()

    def on_send_failed(self, account: str, now: float) -> Iterator[Effect]:
        """Handle a request for tokens that could not be delivered."""
        yield from ()

    def on_tick(self, now: float) -> Iterator[Effect]:
        """Perform periodic work, such as retries, on each `Tick`."""
        yield from ()


METERS: Registry[Meter] = Registry("meter")
"""Metering policies, by their name in the settings."""
