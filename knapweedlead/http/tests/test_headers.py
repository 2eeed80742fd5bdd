"""Collection of the headers of a message."""

import time

from knapweedlead.http._headers import HeaderCollector

MANY = 60_000
MAX_SECONDS = 0.1
"""Processor time for the headers of some of the largest heads."""


def test_repeated_headers_are_joined_in_their_order():
    fields = HeaderCollector()
    for name, value in ((b"A", b"1"), (b"b", b"2"), (b"a", b"3"), (b"a", b"")):
        fields.add(name, value)
    assert fields.take() == {"a": "1, 3, ", "b": "2"}
    assert fields.take() == {}


def test_repeated_header_takes_time_in_proportion_to_its_count():
    # Guards against a head whose repeated header is copied with each repetition.
    fields = HeaderCollector()
    started_at = time.process_time()
    for _ in range(MANY):
        fields.add(b"a", b"xyz")
    assert len(fields.take()["a"]) == 5 * MANY - 2
    assert time.process_time() - started_at < MAX_SECONDS
