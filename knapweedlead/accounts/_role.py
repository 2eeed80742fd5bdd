"""Role that enforces the rates of client accounts over the whole fleet."""

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
    """Acquires tokens for the calls of this entry and grants tokens of owned slots.

    Parameters
    ----------
    configuration : ConfigurationRole
        Source of the rate and burst of each account.
    context : MeterContext
        Identity and roles that the meter reads.
    meter : str
        Name of the metering policy.
    """

    def __init__(
        self, configuration: ConfigurationRole, context: MeterContext, meter: str
    ) -> None:
        self.meter = METERS.create(meter, context=context)
        self.owner = TokenOwner(configuration, context.ownership)

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
        return self.meter.acquire(account, ticket, now)

    def refund(
        self, account: str, now: float, ticket: int | None = None
    ) -> list[Effect]:
        """Refund the token of a request that was not run.

        Without a ticket the token is discarded, so the rate is not exceeded.
        """
        if ticket is None:
            return []
        return self.meter.refund(account, ticket, now)

    @handles(Tick)
    def on_tick(self, event: Tick, now: float) -> Iterator[Effect]:
        """Run the periodic work of the meter and of the owned slots."""
        yield from self.meter.on_tick(now)
        yield from self.owner.on_tick(now)

    @handles(SlotAcquired)
    def on_slot_acquired(self, event: SlotAcquired, now: float) -> Iterator[Effect]:
        """Start granting the tokens of a slot."""
        self.owner.acquire_slot(event)
        yield from ()

    @handles(SlotLost)
    def on_slot_lost(self, event: SlotLost, now: float) -> Iterator[Effect]:
        """Stop granting the tokens of a slot."""
        self.owner.drop_slot(event.slot)
        yield from ()

    @handles(SlotReleasing)
    def on_slot_releasing(self, event: SlotReleasing, now: float) -> Iterator[Effect]:
        """Send the ledgers of a slot to its next owner."""
        yield from self.owner.hand_over(event, now)

    @handles(SendFailed)
    def on_send_failed(self, event: SendFailed, now: float) -> Iterator[Effect]:
        """Retry a token request that could not be delivered."""
        if isinstance(event.message, TokenRequest):
            yield from self.meter.on_send_failed(event.message.account, now)

    @handles_message(TokenRequest)
    def on_request(
        self, peer: str, request: TokenRequest, now: float
    ) -> Iterator[Effect]:
        """Grant tokens to an entry."""
        yield from self.owner.on_request(peer, request, now)

    @handles_message(TokenGrant)
    def on_grant(self, peer: str, grant: TokenGrant, now: float) -> Iterator[Effect]:
        """Apply a grant at the entry."""
        yield from self.meter.on_grant(grant, now)

    @handles_message(TokenRecall)
    def on_recall(self, peer: str, recall: TokenRecall, now: float) -> Iterator[Effect]:
        """Return tokens that other entries need."""
        yield from self.meter.on_recall(recall.account, now)

    @handles_message(TokenBook)
    def on_book(self, peer: str, book: TokenBook, now: float) -> Iterator[Effect]:
        """Store the ledgers of a slot that is being handed over."""
        self.owner.save_token_book(book)
        yield from ()

    @handles_message(SlotHint)
    def on_hint(self, peer: str, hint: SlotHint, now: float) -> Iterator[Effect]:
        """Retry pending token requests for the slot of a hint."""
        yield from self.meter.on_hint(hint.record.slot, now)
