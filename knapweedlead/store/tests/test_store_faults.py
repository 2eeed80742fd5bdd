"""The HTTP client against the stand-in store under each of its faults."""

import subprocess
import sys

import pytest
from result import Err, Ok

from knapweedlead.errors import StoreFault
from knapweedlead.store import (
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
    assert isinstance(await store.call(CompareAndSwap(key, value, entry.revision)), Ok)
    return (await store.call(Get(key))).unwrap()


async def test_operations_do_what_they_say(store):
    first = await write(store, "plain/a")
    stale = CompareAndSwap("plain/a", b"other", first.revision - 1)
    assert fault_of(await store.call(stale)) is StoreFault.CONFLICT
    listing = (await store.call(List("plain/"))).unwrap()
    assert [entry.key for entry in listing.entries] == ["plain/a"]
    assert isinstance(await store.call(Delete("plain/a", first.revision)), Ok)
    assert (await store.call(Get("plain/a"))).unwrap().revision == 0


async def test_key_of_a_revoked_lease_is_gone(store):
    lease = (await store.call(CreateLease(10.0))).unwrap().lease
    held = CompareAndSwap("leased/a", b"value", 0, lease)
    assert isinstance(await store.call(held), Ok)
    assert isinstance(await store.call(RenewLease(lease)), Ok)
    assert isinstance(await store.call(RevokeLease(lease)), Ok)
    assert (await store.call(Get("leased/a"))).unwrap().revision == 0
    assert fault_of(await store.call(RenewLease(lease))) is StoreFault.CONFLICT


async def test_answer_lost_after_a_write_is_an_unknown_outcome(store, address):
    set_fault(address, "lose_answers")
    result = await store.call(CompareAndSwap("lost/a", b"value", 0))
    assert fault_of(result) is StoreFault.UNKNOWN_OUTCOME
    set_fault(address, "none")
    assert (await store.call(Get("lost/a"))).unwrap().value == b"value"


async def test_store_that_is_down_fails_every_operation(store, address):
    set_fault(address, "down")
    operations = [Get("a"), List("a"), Watch("a", 0, WAIT), CompareAndSwap("a", b"", 0)]
    for operation in operations:
        assert isinstance(await store.call(operation), Err)


async def test_silent_watch_ends_with_its_wait_and_brings_the_present_value(
    store, address
):
    before = await write(store, "silent/a")
    set_fault(address, "silent_watches")
    after = await write(store, "silent/a", b"newer")
    result = await store.call(Watch("silent/a", before.revision, WAIT))
    assert result.unwrap() == after


async def test_compacted_watch_says_so(store, address):
    set_fault(address, "compacted_watches")
    result = await store.call(Watch("compacted/a", 1, WAIT))
    assert fault_of(result) is StoreFault.COMPACTED


async def test_slow_store_is_given_up_after_the_timeout(store, address):
    set_fault(address, "none", delay=TIMEOUT + 1.0)
    assert fault_of(await store.call(Get("slow/a"))) is StoreFault.UNKNOWN_OUTCOME
    write_result = await store.call(CompareAndSwap("slow/a", b"", 0))
    assert fault_of(write_result) is StoreFault.UNKNOWN_OUTCOME


async def test_store_that_refuses_connections_is_unavailable():
    store = HttpStore(free_address(), TIMEOUT)
    assert fault_of(await store.call(Get("a"))) is StoreFault.UNAVAILABLE
