"""Operations of the platform's store, and their HTTP client.

The client uses the public HTTP API of Consul's key-value store: ``/v1/kv`` with
``cas`` and ``acquire``, sessions with a TTL as leases, and blocking queries as
watches.
"""

from knapweedlead.store._http_store import HttpStore
from knapweedlead.store._operations import (
    ABSENT,
    CompareAndSwap,
    CreateLease,
    Delete,
    Entry,
    Get,
    LeaseGranted,
    List,
    Listing,
    RenewLease,
    RevokeLease,
    StoreOperation,
    StoreResult,
    Watch,
    Written,
)

__all__ = [
    "ABSENT",
    "CompareAndSwap",
    "CreateLease",
    "Delete",
    "Entry",
    "Get",
    "HttpStore",
    "LeaseGranted",
    "List",
    "Listing",
    "RenewLease",
    "RevokeLease",
    "StoreOperation",
    "StoreResult",
    "Watch",
    "Written",
]
