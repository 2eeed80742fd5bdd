"""Role that meters client accounts over the whole fleet."""

from collections.abc import Iterator

from knapweedlead.accounts._messages import (
    TokenBook,
    TokenGrant,
    TokenRecall,
    TokenRequest,
)
from knapweedlead.accounts._meter import METERS, MeterContext
from knapweedlead.accounts._owner import TokenOwner
from knapweedlead.accounts._tokens import TokenDecision
from knapweedlead.configuration import ClientAccount, ConfigurationRole
from knapweedlead.node import (
    Effect,
    Role,
    SendFailed,
    Tick,
    handles,
    handles_message,
)
from knapweedlead.ownership import SlotAcquired, SlotHint, SlotLost, SlotReleasing


class AccountsRole(Role):
    """Takes tokens for the calls of this entry, and grants those of owned slots.

    Parameters
    ----------
    configuration : ConfigurationRole
        Rate and burst of each account.
    context : MeterContext
        What the meter works with.
    meter : str
        Name of the metering policy.
    """

    def __init__(
        self, configuration: ConfigurationRole, context: MeterContext, meter: str
    ) -> None:
        self.meter = METERS.create(meter, context=context)
        self.owner = TokenOwner(configuration, context.ownership)

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
        return self.meter.take(account, ticket, now)

    def give_back(
        self, account: str, now: float, ticket: int | None = None
    ) -> list[Effect]:
        """Return the token of a request that was not run.

        Without its ticket the token is lost, which keeps the rate.
        """
        if ticket is None:
            return []
        return self.meter.give_back(account, ticket, now)

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Do what is due at the entry and for the owned slots."""
        yield from self.meter.on_tick(now)
        yield from self.owner.on_tick(now)

    @handles(SlotAcquired)
    def on_slot_acquired(self, event: SlotAcquired, now: float) -> Iterator[Effect]:
        """Start to grant the tokens of a slot."""
        self.owner.acquire(event)
        yield from ()

    @handles(SlotLost)
    def on_slot_lost(self, event: SlotLost, now: float) -> Iterator[Effect]:
        """Stop to grant the tokens of a slot."""
        self.owner.lose(event.slot)
        yield from ()

    @handles(SlotReleasing)
    def on_slot_releasing(self, event: SlotReleasing, now: float) -> Iterator[Effect]:
        """Send the ledgers of a slot to the successor."""
        yield from self.owner.hand_over(event, now)

    @handles(SendFailed)
    def on_send_failed(self, event: SendFailed, now: float) -> Iterator[Effect]:
        """Ask another peer for tokens."""
        if isinstance(event.message, TokenRequest):
            yield from self.meter.on_unsent(event.message.account, now)

    @handles_message(TokenRequest)
    def on_request(
        self, peer: str, request: TokenRequest, now: float
    ) -> Iterator[Effect]:
        """Grant tokens to an entry."""
        yield from self.owner.on_request(peer, request, now)

    @handles_message(TokenGrant)
    def on_grant(self, peer: str, grant: TokenGrant, now: float) -> Iterator[Effect]:
        """Take up tokens."""
        yield from self.meter.on_grant(grant, now)

    @handles_message(TokenRecall)
    def on_recall(self, peer: str, recall: TokenRecall, now: float) -> Iterator[Effect]:
        """Return tokens that others need."""
        yield from self.meter.on_recall(recall.account, now)

    @handles_message(TokenBook)
    def on_book(self, peer: str, book: TokenBook, now: float) -> Iterator[Effect]:
        """Keep the ledgers of a slot that is being handed over."""
        self.owner.keep_book(book)
        yield from ()

    @handles_message(SlotHint)
    def on_hint(self, peer: str, hint: SlotHint, now: float) -> Iterator[Effect]:
        """Ask the owner that became known."""
        yield from self.meter.on_hint(hint.record.slot, now)
