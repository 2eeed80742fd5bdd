"""The rate of a client account holds while daemon processes are stopped and killed."""

import base64
import hashlib
import json
import os
import signal
import threading
import time
import urllib.error

import pytest

from knapweedlead.accounts.tests.metered import max_excess_over_rate
from knapweedlead.ownership import slot_of
from knapweedlead.settings import OwnershipSettings
from standins.fleet import Fleet, call

RATE = 20.0
BURST = 20.0
TIMEOUT_S = 0.3
ACCOUNTS = [f"crew-{number}" for number in range(12)]
ENTRIES = ("entry-1", "entry-2", "entry-3")
SETTLE_SECONDS = 5.0
FREEZE_SECONDS = 9.0


def catalogue():
    resources = {
        "client_accounts": [
            {"name": name, "rate_per_s": RATE, "burst": BURST} for name in ACCOUNTS
        ],
        "keys": [
            {
                "name": name,
                "client_account": name,
                "sha256": hashlib.sha256(f"key-{name}".encode()).hexdigest(),
            }
            for name in ACCOUNTS
        ],
        "routes": [
            {
                "name": "front",
                "path_prefix": "/front",
                "service": "front",
                "priority": 1,
                "is_idempotent": True,
                "timeout_ms": int(TIMEOUT_S * 1000),
                "retry_credits": 0,
            }
        ],
        "services": [{"name": "front"}, {"name": "none"}],
        "data_centres": [{"name": "dc1"}, {"name": "dc2"}],
    }
    return json.dumps({"revision": 1, "resources": resources}).encode()


@pytest.fixture
def fleet():
    with Fleet() as fleet:
        url = "/v1/kv/knapweedlead/catalogue?cas=0"
        call(fleet.store_address, url, "PUT", body=catalogue())
        for name in ENTRIES:
            fleet.add(name, "none", "dc2")
        fleet.add("front-1", "front", "dc1", slots=64, cold_slots=64)
        time.sleep(SETTLE_SECONDS)
        yield fleet


def owner_of(fleet, account):
    slot = slot_of(f"account/{account}", OwnershipSettings().slots)
    url = f"/v1/kv/knapweedlead/slots/{slot}"
    _, documents = call(fleet.store_address, url)
    return json.loads(base64.b64decode(documents[0]["Value"]))["owner"]


def send_until_stopped(address, account, stopped):
    headers = {"Authorization": f"Bearer key-{account}"}
    while not stopped.is_set():
        try:
            call(address, "/front/wear", headers=headers, timeout=2.0)
        except (OSError, urllib.error.URLError, ValueError):
            time.sleep(0.05)


def journal_times(fleet, account):
    address = fleet.by_name["front-1"].backend_server_address
    _, document = call(address, "/standin/journal")
    return sorted(entry["started_at"] for entry in document["entries"])


def test_rate_limit_holds_while_daemons_freeze_and_are_killed(fleet):
    owner_by_account = {account: owner_of(fleet, account) for account in ACCOUNTS}
    account = next(a for a, owner in owner_by_account.items() if owner in ENTRIES)
    owner = owner_by_account[account]
    stopped = threading.Event()
    threads = [
        threading.Thread(
            target=send_until_stopped, args=(server.caller_address, account, stopped)
        )
        for server in fleet.by_name.values()
        for _ in range(2)
    ]
    for thread in threads:
        thread.start()
    time.sleep(1.5)
    os.kill(fleet.by_name[owner].daemon.pid, signal.SIGSTOP)
    time.sleep(FREEZE_SECONDS)
    os.kill(fleet.by_name[owner].daemon.pid, signal.SIGCONT)
    time.sleep(0.5)
    other = next(name for name in ENTRIES if name != owner)
    fleet.by_name[other].daemon.kill()
    time.sleep(2.0)
    stopped.set()
    for thread in threads:
        thread.join()
    times = journal_times(fleet, account)
    started = times[0]
    assert max_excess_over_rate(times, RATE) <= BURST + RATE * TIMEOUT_S
    assert any(time > started + FREEZE_SECONDS for time in times)
