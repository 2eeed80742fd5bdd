"""Non-idempotent requests run at most once, whichever entries receive them."""

import pytest

from knapweedlead.node import ShutdownRequested
from knapweedlead.ownership.tests.fleets import run_until
from knapweedlead.requests import OnceDecision
from knapweedlead.requests._once_records import (
    MAX_ANSWER_BYTES,
    RETENTION_SECONDS,
    Records,
)
from knapweedlead.requests.tests.claiming import ANSWER, claiming

CLAIMED = OnceDecision.CLAIMED
ANSWERED = OnceDecision.ANSWERED
UNKNOWN = OnceDecision.UNKNOWN


def claimed(cores, **options):
    """Return a key and its claim, granted at an entry other than the slot owner."""
    key = cores.create_key()
    entry = cores.others(cores.owner_of(key))[0]
    claim = cores.claim_and_wait(entry, key, **options)
    assert claim.decision is CLAIMED
    return key, claim


def test_retry_during_the_first_attempt_is_in_progress():
    cores = claiming(1)
    key, claim = claimed(cores)
    for name in cores.others(claim.core):
        assert cores.claim_and_wait(name, key).decision is OnceDecision.IN_PROGRESS


def test_retry_after_completion_gets_the_stored_answer_at_any_entry():
    cores = claiming(2)
    key, claim = claimed(cores)
    cores.settle(claim)
    cores.run_for(0.5)
    retries = [cores.claim_and_wait(name, key) for name in cores.by_name]
    assert [(r.decision, r.answer) for r in retries] == [(ANSWERED, ANSWER)] * 4


def test_released_key_may_be_claimed_again():
    cores = claiming(3)
    key, claim = claimed(cores)
    cores.settle(claim, "release")
    cores.run_for(0.5)
    assert cores.claim_and_wait("d1", key).decision is CLAIMED


def test_request_that_may_have_run_stays_unknown():
    cores = claiming(4)
    key, claim = claimed(cores)
    cores.settle(claim, "mark_unknown")
    cores.run_for(0.5)
    assert cores.claim_and_wait("d1", key).decision is UNKNOWN


def test_key_used_with_another_request_is_a_mismatch():
    cores = claiming(5)
    key, _ = claimed(cores)
    decision = cores.claim_and_wait("d1", key, body=b"other").decision
    assert decision is OnceDecision.MISMATCH


@pytest.mark.parametrize("is_settled", [True, False])
def test_backup_has_the_record_after_the_owner_crashed(is_settled):
    cores = claiming(6)
    key, claim = claimed(cores)
    if is_settled:
        cores.settle(claim)
        cores.run_for(0.5)
    owner = cores.owner_of(key)
    cores.crash(owner)
    run_until(cores, lambda: cores.owner_of(key), limit=30.0)
    name = cores.others(claim.core)[0]
    expected = ANSWERED if is_settled else OnceDecision.IN_PROGRESS
    assert cores.claim_and_wait(name, key).decision is expected


def test_successor_with_all_copies_accepts_keys_from_before_the_takeover():
    cores = claiming(7)
    key = cores.create_key()
    cores.crash(cores.owner_of(key))
    run_until(cores, lambda: cores.owner_of(key), limit=30.0)
    assert cores.claim_and_wait(cores.others()[0], key).decision is CLAIMED


def lose_owner_and_backup(cores, key):
    """Crash owner and backups together, so that every record is lost."""
    owner = cores.owner_of(key)
    ownership = cores.by_name[owner].composition.ownership
    backups = {o.record.backup for o in ownership.owned_by_slot.values()}
    cores.crash(owner)
    for name in backups:
        cores.crash(name)
    run_until(cores, lambda: cores.owner_of(key), limit=120.0)


@pytest.mark.parametrize("is_timed", [True, False])
def test_successor_without_the_records_never_grants_an_old_key(is_timed):
    cores = claiming(8, size=5, slots=1)
    key = cores.create_key() if is_timed else "ticket-4711"
    owner = cores.owner_of(key)
    assert cores.claim_and_wait(owner, key).decision is CLAIMED
    lose_owner_and_backup(cores, key)
    assert cores.claim_and_wait(cores.others()[0], key).decision is UNKNOWN
    cores.run_for(120.0)
    fresh = cores.claim_and_wait(cores.others()[0], cores.create_key())
    assert fresh.decision is CLAIMED


def test_durable_claim_survives_the_loss_of_owner_and_backup():
    cores = claiming(9, size=5, slots=1)
    key = "sign-off-17"
    assert cores.claim_and_wait("d0", key, is_durable=True).decision is CLAIMED
    lose_owner_and_backup(cores, key)
    name = cores.others()[0]
    assert cores.claim_and_wait(name, key, is_durable=True).decision is UNKNOWN
    assert (
        cores.claim_and_wait(name, "sign-off-18", is_durable=True).decision is CLAIMED
    )


def test_durable_claim_without_the_store_is_refused_and_not_run():
    cores = claiming(10)
    cores.store.mode = "down"
    decision = cores.claim_and_wait("d0", cores.create_key(), is_durable=True).decision
    assert decision is OnceDecision.UNAVAILABLE


def test_durable_claim_whose_answer_was_lost_is_read_back():
    cores = claiming(11)
    cores.store.mode = "lose_answers"
    assert (
        cores.claim_and_wait("d0", cores.create_key(), is_durable=True).decision
        is CLAIMED
    )


def test_claims_that_are_not_durable_need_no_store():
    cores = claiming(12)
    cores.store.mode = "down"
    writes = cores.store.calls["CompareAndSwap"]
    claimed(cores)
    cores.run_for(1.0)
    assert cores.store.calls["CompareAndSwap"] == writes


def test_handover_moves_the_records():
    cores = claiming(13)
    key, claim = claimed(cores)
    cores.settle(claim)
    cores.run_for(0.5)
    owner = cores.owner_of(key)
    cores.report(cores.by_name[owner], ShutdownRequested())
    cores.run_for(1.0)
    assert cores.owner_of(key) not in ("", owner)
    assert cores.claim_and_wait(claim.core, key).decision is ANSWERED


def test_claim_of_a_crashed_entry_becomes_unknown():
    cores = claiming(14)
    key, claim = claimed(cores)
    cores.crash(claim.core)
    cores.run_for(1.0)
    cores.restart(claim.core)
    cores.run_for(3.0)
    assert cores.claim_and_wait(cores.owner_of(key), key).decision is UNKNOWN


def test_concurrent_claims_of_a_key_are_granted_once():
    cores = claiming(15)
    key = cores.create_key()
    claims = [cores.claim(name, key) for name in cores.by_name]
    cores.run_for(1.5)
    assert [c.decision for c in claims].count(CLAIMED) == 1


def test_key_of_an_evicted_record_is_unknown_and_not_new():
    cores = claiming(16, slots=1)
    key, claim = claimed(cores)
    cores.settle(claim)
    cores.run_for(1.0)
    owner = cores.owner_of(key)
    slots = cores.by_name[owner].composition.once.owner._slot_by_number
    list(slots[0].records.evict(cores.now + RETENTION_SECONDS + 10.0))
    assert cores.claim_and_wait(claim.core, key).decision is UNKNOWN
    assert cores.claim_and_wait(claim.core, cores.create_key()).decision is CLAIMED


def test_stored_answers_stay_within_the_byte_limit():
    cores = claiming(17)
    _, claim = claimed(cores)
    records = Records()
    state = cores.by_name[claim.core].composition.once._state(claim.key, 1, "answered")
    for number in range(10):
        answer = type(state.answer)(200, {}, b"x" * (MAX_ANSWER_BYTES // 4))
        key = f"key-{number}"
        records.put(
            type(state)("crew", key, b"", False, state.claimant, "answered", answer),
            0,
            float(number),
            0.0,
        )
        list(records.evict(float(number)))
    kept = [record.state.state for record in records.by_key.values()]
    assert kept == ["unknown"] * 6 + ["answered"] * 4
