"""Answers whose status HTTP does not define (RFC 9110, section 15)."""

import pytest

from knapweedlead.http.tests.test_endless_answers import Run

FRAMINGS = {
    "length": b"content-length: 2\r\n\r\nhi",
    "empty": b"content-length: 0\r\n\r\n",
    "chunks": b"transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    "no length": b"\r\nhi",
}
BEFORE = {
    "first bytes": b"",
    "behind an interim response": b"HTTP/1.1 100 Continue\r\n\r\n",
    "behind a late answer": b"HTTP/1.1 200 OK\r\nid: other\r\n"
    b"content-length: 1\r\n\r\nx",
}
IDS = {"own": b"id: mine\r\n", "none": b""}
OWN = b"HTTP/1.1 200 OK\r\nid: mine\r\ncontent-length: 3\r\n\r\nyes"
UNDEFINED = [b"000", b"001", b"020", b"099", b"600", b"700", b"999"]
NO_STATUSES = [
    b"",
    b"0",
    b"20",
    b"0200",
    b"2000",
    b"-20",
    b"+20",
    b"2.0",
    b"OK",
    b"2x0",
]


def message(status, identity, framing, reason=b" odd"):
    head = b"HTTP/1.1 %b%b\r\nseal: s\r\n%b"
    return head % (status, reason, identity) + FRAMINGS[framing]


def outcomes_of(*parts, is_head=False):
    """Return how a run ends that receives some bytes; nothing if it still waits."""
    run = Run(request_id="mine")
    run.protocol._is_head = is_head
    for part in parts:
        if not run.protocol.is_closed:
            run.protocol.data_received(part)
    if run.protocol.is_closed:
        run.protocol.connection_lost(None)
    return run.outcomes


@pytest.mark.parametrize("is_head", [False, True])
@pytest.mark.parametrize("before", sorted(BEFORE))
@pytest.mark.parametrize("identity", sorted(IDS))
@pytest.mark.parametrize("framing", sorted(FRAMINGS))
@pytest.mark.parametrize("status", UNDEFINED + NO_STATUSES)
async def test_answer_with_an_undefined_status_fails_its_run_at_once(
    status, framing, identity, before, is_head
):
    # Guards against a status of 000 that is passed on, or awaited until the deadline.
    data = BEFORE[before] + message(status, IDS[identity], framing)
    assert outcomes_of(data, is_head=is_head) == [True]
    assert outcomes_of(*(bytes([byte]) for byte in data), is_head=is_head) == [True]


async def test_only_statuses_from_200_to_599_are_answers():
    for status in range(1000):
        data = message(b"%03d" % status, IDS["own"], "empty")
        (outcome,) = outcomes_of(data) or [None]
        if 200 <= status <= 599:
            assert outcome.status == status
        elif 100 <= status < 200 and status != 101:
            assert outcome is None
        else:
            assert outcome is True


@pytest.mark.parametrize("reason", [b"", b" "])
async def test_undefined_status_without_a_reason_fails_its_run(reason):
    assert outcomes_of(message(b"000", b"", "length", reason)) == [True]


@pytest.mark.parametrize("status", UNDEFINED)
async def test_late_answer_with_an_undefined_status_does_not_fail_another_run(status):
    late = message(status, b"id: other\r\n", "length")
    data = late + OWN
    for split in range(1, len(data)):
        (answer,) = outcomes_of(data[:split], data[split:])
        assert (answer.status, answer.body) == (200, b"yes")


@pytest.mark.parametrize("status", UNDEFINED)
async def test_undefined_status_behind_an_answer_is_not_part_of_it(status):
    run = Run(request_id="mine")
    run.protocol.data_received(OWN + message(status, b"id: mine\r\n", "length"))
    (answer,) = run.outcomes
    assert (answer.status, answer.body) == (200, b"yes")
    assert run.protocol.is_closed


@pytest.mark.parametrize("framing", ["length", "chunks"])
@pytest.mark.parametrize("status", [b"100", b"102", b"103", b"199"])
async def test_body_of_an_interim_response_is_not_part_of_the_answer(status, framing):
    # Guards against an answer that begins with the body of an interim response.
    data = message(status, b"", framing) + OWN
    for split in range(1, len(data)):
        assert outcomes_of(data[:split], data[split:]) == [True]
