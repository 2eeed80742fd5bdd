"""Servers that close in the middle of an answer's head, which is then no answer."""

import asyncio

import pytest

from knapweedlead.http.tests.test_endless_answers import Run

STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
HEADS = {
    "length": STATUS_LINE + b"id: mine\r\nseal: s\r\ncontent-length: 12\r\n\r\n",
    "chunks": STATUS_LINE
    + b"id: mine\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n",
    "no length": STATUS_LINE + b"id: mine\r\nseal: s\r\n\r\n",
    "line feeds": b"HTTP/1.1 200 OK\nid: mine\nseal: s\ncontent-length: 12\n\n",
}
BEFORE = {
    "first bytes of the connection": b"",
    "after an interim response": b"HTTP/1.1 100 Continue\r\n\r\n",
    "after a late answer": STATUS_LINE + b"id: other\r\ncontent-length: 2\r\n\r\nno",
    "after a late answer without a length": STATUS_LINE
    + b"id: other\r\ntransfer-encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
}


def close_after(data, is_split):
    """Return the outcomes of a run whose server sends `data` and closes."""
    run = Run(request_id="mine")
    parts = [data[i : i + 1] for i in range(len(data))] if is_split else [data]
    for part in parts:
        if not run.protocol.is_closed:
            run.protocol.data_received(part)
    if not run.protocol.is_closed:
        run.protocol.eof_received()
    run.protocol.connection_lost(None)
    return run.outcomes


@pytest.mark.parametrize("is_split", [False, True])
@pytest.mark.parametrize("before", sorted(BEFORE))
@pytest.mark.parametrize("name", sorted(HEADS))
async def test_head_that_is_cut_short_is_no_answer(name, before, is_split):
    head = HEADS[name]
    for end in range(len(head)):
        outcomes = close_after(BEFORE[before] + head[:end], is_split)
        assert outcomes == [True], head[:end]
    await asyncio.sleep(0)


@pytest.mark.parametrize("is_split", [False, True])
@pytest.mark.parametrize("name", ["length", "chunks", "line feeds"])
async def test_whole_head_with_a_body_that_is_cut_short_is_no_answer(name, is_split):
    body = b"5\r\nwhole\r\n" if name == "chunks" else b"whole"
    for end in range(len(body) + 1):
        assert close_after(HEADS[name] + body[:end], is_split) == [True]


@pytest.mark.parametrize("request_id", ["mine", ""])
@pytest.mark.parametrize("name", sorted(HEADS))
async def test_head_that_is_cut_short_on_a_kept_connection_is_no_answer(
    name, request_id
):
    head = HEADS[name]
    for end in range(len(head)):
        run = Run(request_id=request_id)
        run.protocol.data_received(HEADS["length"] + b"twelve bytes")
        (whole,) = run.outcomes
        assert whole.body == b"twelve bytes"
        run.protocol.start(2, False, b"", 5.0, request_id)
        run.protocol.data_received(head[:end])
        run.protocol.eof_received()
        run.protocol.connection_lost(None)
        assert run.outcomes == [whole, True], head[:end]


@pytest.mark.parametrize("coding", [b"gzip, chunked", b"x,chunked", b"gzip"])
async def test_answer_in_a_transfer_coding_that_is_not_removed_fails_its_run(coding):
    # Guards against a coded body that is passed on without the name of its coding.
    body = b"2\r\nhi\r\n0\r\n\r\n" if coding.endswith(b"chunked") else b"hi"
    data = HEADS["chunks"].replace(b"chunked", coding) + body
    for split in range(1, len(data)):
        run = Run(request_id="mine")
        run.protocol.data_received(data[:split])
        if not run.protocol.is_closed:
            run.protocol.data_received(data[split:])
        assert run.protocol.is_closed
        run.protocol.connection_lost(None)
        assert run.outcomes == [True]
