"""Authentication of callers by bearer key."""

import hashlib

import attrs

from knapweedlead.configuration import Catalogue, ClientAccount
from knapweedlead.requests import RefusalReason

_SCHEME = "bearer "


@attrs.frozen
class KeyCheck:
    """Result of authenticating a caller.

    Parameters
    ----------
    account : ClientAccount or None
        Account of the key; None if the caller is refused.
    key_name : str
        Name of the key resource; empty if the caller is refused.
    reason : RefusalReason or None
        Reason for the refusal; None if the caller is authenticated.
    """

    account: ClientAccount | None
    key_name: str = ""
    reason: RefusalReason | None = None


def authenticate(catalogue: Catalogue, authorization: str) -> KeyCheck:
    """Look up the account of an ``Authorization: Bearer KEY`` header value."""
    if not authorization:
        return KeyCheck(None, reason=RefusalReason.MISSING_KEY)
    if not authorization.lower().startswith(_SCHEME):
        return KeyCheck(None, reason=RefusalReason.INVALID_KEY)
    secret = authorization[len(_SCHEME) :].strip()
    key = catalogue.keys_by_digest.get(hashlib.sha256(secret.encode()).hexdigest())
    if key is None:
        return KeyCheck(None, reason=RefusalReason.INVALID_KEY)
    account = catalogue.client_accounts.get(key.client_account)
    if account is None:
        return KeyCheck(None, reason=RefusalReason.INVALID_KEY)
    return KeyCheck(account, key.name)
