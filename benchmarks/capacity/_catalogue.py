"""A catalogue at the design size of the fleet."""

import hashlib
import json
from typing import Any

from benchmarks.capacity._size import DATA_CENTRES, SERVICES

ACCOUNTS = 64
KEYS_PER_ACCOUNT = 4
ROUTES_PER_SERVICE = 4


def catalogue(revision: int = 1) -> bytes:
    """Return a document of 64 accounts, 256 keys, 60 routes and 15 services."""
    resources = {
        "client_accounts": [
            {"name": account, "rate_per_s": 10_000, "burst": 10_000}
            for account in _accounts()
        ],
        "keys": [key for account in _accounts() for key in _keys(account)],
        "routes": [route for service in _services() for route in _routes(service)],
        "services": [{"name": service} for service in _services()],
        "data_centres": [{"name": f"dc{number}"} for number in range(DATA_CENTRES)],
    }
    return json.dumps({"revision": revision, "resources": resources}).encode()


def _accounts() -> list[str]:
    return [f"account-{number:02d}" for number in range(ACCOUNTS)]


def _services() -> list[str]:
    return [f"service-{number:02d}" for number in range(SERVICES)]


def _keys(account: str) -> list[dict[str, Any]]:
    names = [f"{account}-key-{number}" for number in range(KEYS_PER_ACCOUNT)]
    return [
        {
            "name": name,
            "client_account": account,
            "sha256": hashlib.sha256(name.encode()).hexdigest(),
        }
        for name in names
    ]


def _routes(service: str) -> list[dict[str, Any]]:
    return [
        {
            "name": f"{service}-{number}",
            "path_prefix": f"/{service}/{number}",
            "service": service,
            "priority": number,
            "is_idempotent": number % 2 == 0,
        }
        for number in range(ROUTES_PER_SERVICE)
    ]
