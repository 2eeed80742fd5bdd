"""Fake transport and servers for the HTTP protocols."""

from knapweedlead.http import CallerServer


class FakeTransport:
    """Keeps what is written."""

    def __init__(self):
        self.written = b""
        self.is_closed = False
        self.is_reading = True

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
    """A server whose requests are kept; replies are given by the test."""

    def __init__(self, max_connections=100, answer_at_once=False):
        self.requests = []
        self.gone = []
        self.bad = []
        self.answer_at_once = answer_at_once
        super().__init__(self._take, self.gone.append, self._refuse, max_connections)

    def _take(self, request):
        self.requests.append(request)
        if self.answer_at_once:
            self.reply(request.exchange, 200, {}, request.path.encode())

    def _refuse(self, reason):
        self.bad.append(reason)
        return 400, {"reason": reason}, b""
