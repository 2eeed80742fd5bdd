"""The HTTP client with each fault that the stand-in store can inject."""

import subprocess
import sys

import pytest
from result import Err, Ok

from knapweedlead.errors import StoreFault
from knapweedlead.positions import StorePosition
from knapweedlead.store import (
    ABSENT,
    CompareAndSwap,
    CreateLease,
    Delete,
    Get,
    HttpStore,
    List,
    RenewLease,
    RevokeLease,
    Watch,
)
from standins.fleet import call, free_address, wait_until_listening

TIMEOUT = 1.0
WAIT = 0.3


@pytest.fixture(scope="module")
def address():
    address = free_address()
    process = subprocess.Popen([sys.executable, "-m", "standins.store", address])
    try:
        wait_until_listening(address, process)
        yield address
    finally:
        process.kill()
        process.wait()


@pytest.fixture
def store(address):
    set_fault(address, "none")
    yield HttpStore(address, TIMEOUT)
    set_fault(address, "none")


def set_fault(address, mode, delay=0.0):
    body = f'{{"mode": "{mode}", "delay_s": {delay}}}'.encode()
    headers = {"Content-Type": "application/json"}
    assert call(address, "/faults", "PUT", headers, body)[0] == 200


def fault_of(result):
    assert isinstance(result, Err)
    return result.err_value.fault


async def write(store, key, value=b"value"):
    entry = (await store.call(Get(key))).unwrap()
    assert isinstance(await store.call(CompareAndSwap(key, value, entry.position)), Ok)
    return (await store.call(Get(key))).unwrap()


async def test_operations_read_write_list_and_delete_keys(store):
    first = await write(store, "plain/a")
    position = StorePosition(first.position.era, first.position.revision - 1)
    stale = CompareAndSwap("plain/a", b"other", position)
    assert fault_of(await store.call(stale)) is StoreFault.CONFLICT
    listing = (await store.call(List("plain/"))).unwrap()
    assert [entry.key for entry in listing.entries] == ["plain/a"]
    assert isinstance(await store.call(Delete("plain/a", first.position)), Ok)
    assert (await store.call(Get("plain/a"))).unwrap().position.revision == 0


async def test_revoking_a_lease_deletes_its_keys(store):
    lease = (await store.call(CreateLease(10.0))).unwrap().lease
    leased_write = CompareAndSwap("leased/a", b"value", ABSENT, lease)
    assert isinstance(await store.call(leased_write), Ok)
    assert isinstance(await store.call(RenewLease(lease)), Ok)
    assert isinstance(await store.call(RevokeLease(lease)), Ok)
    assert (await store.call(Get("leased/a"))).unwrap().position.revision == 0
    assert fault_of(await store.call(RenewLease(lease))) is StoreFault.CONFLICT


async def test_write_with_lost_answer_has_an_unknown_outcome(store, address):
    set_fault(address, "lose_answers")
    result = await store.call(CompareAndSwap("lost/a", b"value", ABSENT))
    assert fault_of(result) is StoreFault.UNKNOWN_OUTCOME
    set_fault(address, "none")
    assert (await store.call(Get("lost/a"))).unwrap().value == b"value"


async def test_every_operation_fails_while_the_store_is_down(store, address):
    set_fault(address, "down")
    operations = [
        Get("a"),
        List("a"),
        Watch("a", ABSENT, WAIT),
        CompareAndSwap("a", b"", ABSENT),
    ]
    for operation in operations:
        assert isinstance(await store.call(operation), Err)


async def test_watch_without_notification_returns_the_current_value_after_its_wait(
    store, address
):
    before = await write(store, "silent/a")
    set_fault(address, "silent_watches")
    after = await write(store, "silent/a", b"newer")
    result = await store.call(Watch("silent/a", before.position, WAIT))
    assert result.unwrap() == after


async def test_watch_of_a_compacted_revision_is_reported_as_such(store, address):
    set_fault(address, "compacted_watches")
    result = await store.call(Watch("compacted/a", StorePosition(0, 1), WAIT))
    assert fault_of(result) is StoreFault.COMPACTED


async def test_call_to_a_slow_store_fails_after_the_timeout(store, address):
    set_fault(address, "none", delay=TIMEOUT + 1.0)
    assert fault_of(await store.call(Get("slow/a"))) is StoreFault.UNKNOWN_OUTCOME
    write_result = await store.call(CompareAndSwap("slow/a", b"", ABSENT))
    assert fault_of(write_result) is StoreFault.UNKNOWN_OUTCOME


async def test_refused_connection_means_that_the_store_is_unavailable():
    store = HttpStore(free_address(), TIMEOUT)
    assert fault_of(await store.call(Get("a"))) is StoreFault.UNAVAILABLE


async def test_condition_that_was_read_before_the_store_came_back_is_not_met(
    store, address
):
    # Guards against a write over another value, which has the revision that was read.
    await write(store, "again/a", b"kept")
    assert call(address, "/copies", "PUT")[0] == 200
    lost = await write(store, "again/a", b"lost")
    assert call(address, "/restored", "PUT")[0] == 200
    other = await write(store, "again/a", b"other")
    assert other.position.revision == lost.position.revision
    assert other.position > lost.position
    for operation in (
        CompareAndSwap("again/a", b"wrong", lost.position),
        Delete("again/a", lost.position),
    ):
        assert fault_of(await store.call(operation)) is StoreFault.CONFLICT
    assert (await store.call(Get("again/a"))).unwrap() == other
