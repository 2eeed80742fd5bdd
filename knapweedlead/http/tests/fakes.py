"""Fake transport and servers for the HTTP protocols."""

from knapweedlead.http import CallerServer
from knapweedlead.http._steps import SteppedProtocol

MAX_PART_EVENTS = 2100
"""Events of the parser that one part of the input may cause."""


def count_events(monkeypatch):
    """Count the parser's events of all connections from now on, for each step."""
    counts = []
    parse_step = SteppedProtocol._parse_step

    def count(protocol):
        parse_step(protocol)
        counts.append(protocol._events)

    monkeypatch.setattr(SteppedProtocol, "_parse_step", count)
    return counts


class FakeTransport:
    """Transport that records the written bytes."""

    def __init__(self):
        self.written = b""
        self.is_closed = False
        self.is_reading = True
        self.unread = 0

    def get_write_buffer_size(self):
        return self.unread

    def write(self, data):
        if not self.is_closed:
            self.written += data

    def close(self):
        self.is_closed = True

    abort = close

    def is_closing(self):
        return self.is_closed

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def set_write_buffer_limits(self, high):
        pass

    def get_extra_info(self, name):
        return ("127.0.0.1", 1)


class RecordingServer(CallerServer):
    """Server that records requests; the test sends the replies."""

    def __init__(self, max_connections=100, replies_immediately=False, **options):
        self.requests = []
        self.abandoned_exchanges = []
        self.refusal_reasons = []
        self.replies_immediately = replies_immediately
        super().__init__(
            self._record_request,
            self.abandoned_exchanges.append,
            self._record_refusal,
            max_connections,
            **options,
        )

    def _record_request(self, request):
        self.requests.append(request)
        if self.replies_immediately:
            self.reply(request.exchange, 200, {}, request.path.encode())

    def _record_refusal(self, reason):
        self.refusal_reasons.append(reason)
        return 400, {"reason": reason}, b""
