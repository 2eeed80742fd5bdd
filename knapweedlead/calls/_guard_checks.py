"""Reasons other than load for which a guard refuses a call."""

import attrs

from knapweedlead.configuration import Catalogue
from knapweedlead.messages import CallRequest
from knapweedlead.node import Identity
from knapweedlead.requests import RefusalReason


@attrs.frozen
class CatalogueChecks:
    """What one catalogue says about calls to the own backend server.

    Parameters
    ----------
    revision : int
        Revision of the catalogue.
    is_in_service : bool
        Whether the own backend server takes work.
    accounts : frozenset of str
        Client accounts with a key that works.
    """

    revision: int
    is_in_service: bool
    accounts: frozenset[str]

    @classmethod
    def of(cls, catalogue: Catalogue, identity: Identity) -> "CatalogueChecks":
        """Read a catalogue for the daemon with an identity."""
        keys = catalogue.keys_by_digest.values()
        with_keys = frozenset(key.client_account for key in keys)
        return cls(
            revision=catalogue.revision,
            is_in_service=catalogue.is_backend_server_in_service(
                identity.name, identity.data_centre
            ),
            accounts=with_keys & frozenset(catalogue.client_accounts),
        )

    def reason_to_refuse(self, request: CallRequest) -> RefusalReason | None:
        """Return why a call may not run under the catalogue, None if it may."""
        if not self.is_in_service:
            return RefusalReason.OUT_OF_SERVICE
        if self.is_withdrawn(request):
            return RefusalReason.INVALID_KEY
        return None

    def is_withdrawn(self, request: CallRequest) -> bool:
        """Return whether no key of a first call's account works any more.

        A sender with a higher revision knows better, and the child calls of a
        call that was admitted go on.
        """
        is_judged = request.hops == 0 and request.revision <= self.revision
        return is_judged and bool(request.account) and not self._has_key(request)

    def _has_key(self, request: CallRequest) -> bool:
        return request.account in self.accounts
