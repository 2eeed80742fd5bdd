"""Frames that arrive in parts, and frames that are large."""

import asyncio
import time
import tracemalloc

import pytest

from knapweedlead.http import split_address
from knapweedlead.sidecar._frames import (
    MAX_WRITE_BUFFER_BYTES,
    FrameConnection,
    encode_frame,
)
from standins.fleet import free_address

MIB = 1 << 20
PART = 65536
LARGE = 32 * 1024 * 1024
MAX_SECONDS = 0.5
"""Processor time for a large frame; a peer counts as unresponsive after as many seconds
without an answer."""
FRAMES = [[1, b""], [2, b"x" * 700], [3], [4, {"a": [1.5, None]}], [5, b"y" * 70000]]


def received(parts):
    """Return the frames decoded from data in parts."""
    frames = []
    connection = FrameConnection(lambda _, frame: frames.append(frame), lambda *_: None)
    for part in parts:
        connection.data_received(part)
    return frames


@pytest.mark.parametrize("size", [1, 2, 3, 5, 7, 100, 4096, PART, 10**6])
def test_frames_are_decoded_however_they_are_split(size):
    data = b"".join(map(encode_frame, FRAMES))
    assert received(data[i : i + size] for i in range(0, len(data), size)) == FRAMES


def test_large_frame_takes_time_in_proportion_to_its_size():
    # Guards against a link that handles nothing else for seconds, since all bytes of a
    # frame were copied with each part.
    data = encode_frame([1, bytes(LARGE)])
    parts = [data[i : i + PART] for i in range(0, len(data), PART)]
    started_at = time.process_time()
    ((kind, body),) = received(parts)
    assert time.process_time() - started_at < MAX_SECONDS
    assert (kind, len(body)) == (1, LARGE)


def test_frame_is_released_before_it_is_handled():
    # Guards against a daemon that exceeds its memory with one large request.
    data = encode_frame([1, bytes(LARGE)])
    held = []
    connection = FrameConnection(
        lambda _, frame: held.append(tracemalloc.get_traced_memory()[0]),
        lambda *_: None,
    )
    tracemalloc.start()
    for start in range(0, len(data), PART):
        connection.data_received(data[start : start + PART])
    tracemalloc.stop()
    assert held[0] < 1.1 * LARGE


class Pair:
    """Two connected ends of a link on loopback; a context manager."""

    def __init__(self):
        self.kinds = []
        self.lost = []
        self.accepted = []

    def _end(self):
        return FrameConnection(
            lambda _, frame: self.kinds.append(frame[0]),
            lambda _, detail: self.lost.append(detail),
            self.accepted.append,
        )

    async def __aenter__(self):
        host, port = split_address(free_address())
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._end, host, port)
        _, self.sender = await loop.create_connection(self._end, host, port)
        while len(self.accepted) < 2:
            await asyncio.sleep(0.01)
        self.receiver = next(end for end in self.accepted if end is not self.sender)
        return self

    async def __aexit__(self, *exc_info):
        for end in self.accepted:
            end.abort("done")
        self.server.close()


async def test_frame_larger_than_the_limit_of_unsent_bytes_keeps_the_link():
    # Guards against a large request that ends all calls of its link.
    async with Pair() as pair:
        pair.sender.send([1, bytes(2 * LARGE)])
        for kind in range(2, 12):
            pair.sender.send([kind, b"small"])
            await asyncio.sleep(0)
        async with asyncio.timeout(10.0):
            while len(pair.kinds) < 11 and not pair.lost:
                await asyncio.sleep(0.01)
        assert (pair.kinds, pair.lost) == ([*range(1, 12)], [])


async def test_peer_that_does_not_read_loses_its_link():
    async with Pair() as pair:
        pair.receiver.transport.pause_reading()
        sent = 0
        while not pair.lost:
            pair.sender.send([1, bytes(MIB)])
            sent += 1
            await asyncio.sleep(0)
            assert sent < 2 * MAX_WRITE_BUFFER_BYTES / MIB
        assert pair.lost[0] == "peer does not read"
