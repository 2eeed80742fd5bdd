"""Frames that arrive in parts."""

import time

import pytest

from knapweedlead.sidecar._frames import FrameConnection, encode_frame

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
