"""Checks of the catalogue with which a guard accepts or refuses a call."""

import attrs

from knapweedlead.configuration import Catalogue
from knapweedlead.messages import CallRequest
from knapweedlead.node import Identity
from knapweedlead.requests import RefusalReason


@attrs.frozen
class CatalogueChecks:
    """Rules of one catalogue for calls to the local backend server.

    Parameters
    ----------
    revision : int
        Revision of the catalogue.
    is_in_service : bool
        Whether the local backend server is in service.
    accounts : frozenset of str
        Names of the client accounts with a valid key.
    """

    revision: int
    is_in_service: bool
    accounts: frozenset[str]

    @classmethod
    def of(cls, catalogue: Catalogue, identity: Identity) -> "CatalogueChecks":
        """Return the rules that a catalogue sets for a daemon."""
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
        """Return why the catalogue forbids a call, or None if the call is allowed."""
        if not self.is_in_service:
            return RefusalReason.OUT_OF_SERVICE
        if self.is_key_withdrawn(request):
            return RefusalReason.INVALID_KEY
        return None

    def is_key_withdrawn(self, request: CallRequest) -> bool:
        """Return whether the account of a root call has no valid key left.

        A request sent under a newer revision has been checked against that revision
        by its entry. Child calls of an admitted call may continue.
        """
        is_applicable = request.hops == 0 and request.revision <= self.revision
        return is_applicable and bool(request.account) and not self._has_key(request)

    def _has_key(self, request: CallRequest) -> bool:
        return request.account in self.accounts
