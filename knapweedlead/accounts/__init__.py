"""Client accounts: authentication by key and fleet-wide rate limits."""

from knapweedlead.accounts._buckets import DividedMeter, LocalMeter
from knapweedlead.accounts._escrow import EscrowedMeter
from knapweedlead.accounts._keys import KeyCheck, authenticate
from knapweedlead.accounts._messages import TokenGrant, TokenRequest
from knapweedlead.accounts._meter import METERS, MeterContext
from knapweedlead.accounts._role import AccountsRole
from knapweedlead.accounts._tokens import TokenDecision, TokensDecided

__all__ = [
    "METERS",
    "AccountsRole",
    "DividedMeter",
    "EscrowedMeter",
    "KeyCheck",
    "LocalMeter",
    "MeterContext",
    "TokenDecision",
    "TokenGrant",
    "TokenRequest",
    "TokensDecided",
    "authenticate",
]
