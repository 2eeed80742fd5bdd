"""In-memory state of the fake store: keys, leases and revisions."""

import copy
import secrets
from typing import Any

import attrs


@attrs.define
class StoredEntry:
    """A key with its value, revision and lease."""

    value: bytes
    revision: int
    lease: str = ""


@attrs.define
class StoredLease:
    """A lease with its duration and expiry time, in seconds."""

    seconds: float
    expires_at: float


class StoreState:
    """Compare-and-swap store with leases; methods receive the current time."""

    def __init__(self) -> None:
        self.revision = 0
        self.by_key: dict[str, StoredEntry] = {}
        self.lease_by_id: dict[str, StoredLease] = {}
        self.era = 0

    def copy(self) -> dict[str, Any]:
        """Return a copy of all keys and leases, for `restore`."""
        return copy.deepcopy(vars(self))

    def restore(self, saved: dict[str, Any]) -> None:
        """Come back from a copy, in the next era."""
        era = self.era + 1
        vars(self).update(copy.deepcopy(saved))
        self.era = era

    def compare_and_swap(
        self, key: str, value: bytes, expected: int | None, lease: str
    ) -> bool:
        """Write a key if its revision is `expected`, or if `expected` is None.

        Returns False without a write if the revision differs or the lease is unknown.
        """
        entry = self.by_key.get(key)
        current = entry.revision if entry else 0
        if expected is not None and expected != current:
            return False
        if lease and lease not in self.lease_by_id:
            return False
        self.revision += 1
        self.by_key[key] = StoredEntry(value, self.revision, lease)
        return True

    def delete(self, key: str, expected: int | None) -> bool:
        """Delete a key if its revision is `expected`, or if `expected` is None.

        A missing key has revision 0. Returns False if the revision differs.
        """
        entry = self.by_key.get(key)
        if entry is None:
            return expected in (None, 0)
        if expected is not None and expected != entry.revision:
            return False
        self.revision += 1
        del self.by_key[key]
        return True

    def list_prefix(self, prefix: str) -> dict[str, StoredEntry]:
        """Return the entries whose keys start with a prefix, in key order."""
        return {k: e for k, e in sorted(self.by_key.items()) if k.startswith(prefix)}

    def create_lease(self, seconds: float, now: float) -> str:
        """Create a lease and return its id."""
        lease = secrets.token_hex(8)
        self.lease_by_id[lease] = StoredLease(seconds, now + seconds)
        return lease

    def renew_lease(self, lease: str, now: float) -> StoredLease | None:
        """Extend a lease by its duration; return None if the lease does not exist."""
        stored = self.lease_by_id.get(lease)
        if stored is not None:
            stored.expires_at = now + stored.seconds
        return stored

    def revoke_lease(self, lease: str) -> None:
        """Remove a lease and delete its keys."""
        self.lease_by_id.pop(lease, None)
        for key in [k for k, e in self.by_key.items() if e.lease == lease]:
            self.delete(key, None)

    def expire(self, now: float) -> None:
        """Revoke the leases that have expired."""
        lapsed = [i for i, lease in self.lease_by_id.items() if lease.expires_at <= now]
        for lease in lapsed:
            self.revoke_lease(lease)
