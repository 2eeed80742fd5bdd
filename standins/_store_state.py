"""State of the stand-in store: keys, leases, revisions."""

import secrets

import attrs


@attrs.define
class StoredEntry:
    """A key with its value, revision and lease."""

    value: bytes
    revision: int
    lease: str = ""


@attrs.define
class StoredLease:
    """A lease with its duration and lapse time, in seconds."""

    seconds: float
    lapses_at: float


class StoreState:
    """Compare-and-swap store with leases; the time is an argument."""

    def __init__(self) -> None:
        self.revision = 0
        self.by_key: dict[str, StoredEntry] = {}
        self.lease_by_id: dict[str, StoredLease] = {}

    def compare_and_swap(
        self, key: str, value: bytes, expected: int | None, lease: str
    ) -> bool:
        """Write a key if `expected` is its revision; None writes always."""
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
        """Delete a key if `expected` is its revision; None deletes always."""
        entry = self.by_key.get(key)
        if entry is None:
            return expected in (None, 0)
        if expected is not None and expected != entry.revision:
            return False
        self.revision += 1
        del self.by_key[key]
        return True

    def under(self, prefix: str) -> dict[str, StoredEntry]:
        """Return the entries under a prefix, by key."""
        return {k: e for k, e in sorted(self.by_key.items()) if k.startswith(prefix)}

    def create_lease(self, seconds: float, now: float) -> str:
        """Create a lease and return its id."""
        lease = secrets.token_hex(8)
        self.lease_by_id[lease] = StoredLease(seconds, now + seconds)
        return lease

    def renew_lease(self, lease: str, now: float) -> StoredLease | None:
        """Renew a lease; None where it has lapsed."""
        stored = self.lease_by_id.get(lease)
        if stored is not None:
            stored.lapses_at = now + stored.seconds
        return stored

    def revoke_lease(self, lease: str) -> None:
        """End a lease and delete its keys."""
        self.lease_by_id.pop(lease, None)
        for key in [k for k, e in self.by_key.items() if e.lease == lease]:
            self.delete(key, None)

    def expire(self, now: float) -> None:
        """End the leases that have lapsed."""
        lapsed = [i for i, lease in self.lease_by_id.items() if lease.lapses_at <= now]
        for lease in lapsed:
            self.revoke_lease(lease)
