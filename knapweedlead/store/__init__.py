"""The platform's store: port and HTTP client.

The protocol is the published HTTP interface of Consul's key-value store:
``/v1/kv`` with ``cas`` and ``acquire``, sessions with a time to live as leases,
blocking queries as watches.
"""

from knapweedlead.store._http_store import HttpStore
from knapweedlead.store._port import (
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
