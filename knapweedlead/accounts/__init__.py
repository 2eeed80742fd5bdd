"""Client accounts: keys and fleet-wide token grants."""

from knapweedlead.accounts._keys import KeyCheck, authenticate
from knapweedlead.accounts._role import AccountsRole
from knapweedlead.accounts._tokens import TokenDecision, TokensDecided

__all__ = [
    "AccountsRole",
    "KeyCheck",
    "TokenDecision",
    "TokensDecided",
    "authenticate",
]
