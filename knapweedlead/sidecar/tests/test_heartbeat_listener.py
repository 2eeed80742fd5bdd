"""Acknowledgement of heartbeats and deregistrations."""

import asyncio

from knapweedlead.http import HttpRequest
from knapweedlead.platform import DEREGISTER_PATH
from knapweedlead.sidecar._frames import FrameConnection
from knapweedlead.sidecar._listeners import HeartbeatListener


class RecordingTransport:
    """A transport that notes in a list when it is written to."""

    def __init__(self, written):
        self.written = written

    def write(self, data):
        self.written.append("peer")

    def is_closing(self):
        return False

    def get_write_buffer_size(self):
        return 0


class AnnouncingHost:
    """Sends a frame to a peer when the backend server deregisters."""

    def __init__(self, transport):
        self.link = FrameConnection(lambda *frame: None, lambda *detail: None)
        self.link.connection_made(transport)

    def handle_deregistration(self, instance):
        self.link.send([1, instance])


async def test_leave_acknowledged_before_it_is_sent_to_peers():
    written = []
    listener = HeartbeatListener(AnnouncingHost(RecordingTransport(written)))
    listener.server.reply = lambda *answer: written.append("acknowledgement")
    request = HttpRequest(1, "POST", f"{DEREGISTER_PATH}i-1", {}, b"", None)
    listener._on_request(request)
    await asyncio.sleep(0.01)
    assert written == ["peer", "acknowledgement"]
