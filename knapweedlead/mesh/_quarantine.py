"""Quarantine of requests that end the backend servers which run them.

Such a request takes one server after the other out of service, with all other calls
that run there, for as long as callers repeat it. Idempotent calls are also retried by
the daemons themselves.
"""

import hashlib
import zlib
from collections.abc import Callable, Iterable

import attrs

MIN_ENDS = 2
"""Servers that end one after the other under a request, without a run of it that
completes, after which it is quarantined."""
MIN_ENDS_IF_KNOWN = 4
MIN_TIME_IF_KNOWN = 5.0
"""The same for a request that has completed recently, and the seconds from the first of
these ends. A frequent request may run wherever another one ends a server, and completes
somewhere within that time; servers start again within it."""
FIRST_QUARANTINE = 60.0
"""Seconds of the first quarantine of a request; each further one takes twice as long.
After it, a single end of a server is enough for the next one."""
MAX_QUARANTINE = 960.0
SUSPICION_LIFETIME = 600.0
"""Seconds after the last end of a server, or after a quarantine, for which a request
stays suspect."""
MAX_SUSPECTS = 4096
"""Requests that are remembered; the oldest ones are forgotten first."""
FINGERPRINT_BYTES = 8
BODY_SAMPLE = 4096
"""Bytes at the beginning and the end of a body that identify it, with its length."""
KNOWN_TIME = 30.0
"""Seconds for which completed requests are collected, and then remembered as long."""
_KNOWN_BITS = 19
"""Logarithm of the number of bits in which completed requests are remembered."""


def fingerprint(route: str, head: bytes, body: bytes) -> bytes:
    """Return a short identifier of equal requests: route, method, target and body."""
    digest = hashlib.blake2b(route.encode(), digest_size=FINGERPRINT_BYTES)
    for part in _identifying_parts(head, body):
        digest.update(part)
    return digest.digest()


def _identifying_parts(head: bytes, body: bytes) -> tuple[bytes, ...]:
    line = head[: head.find(b"\r\n")]
    if not body:
        return (line,)
    return line, b"%d" % len(body), body[:BODY_SAMPLE], body[-BODY_SAMPLE:]


class RecentRequests:
    """Remembers for a while which requests were completed, in bounded memory.

    A request that was not completed is sometimes taken for one that was.
    """

    def __init__(self) -> None:
        self._newer = bytearray(1 << (_KNOWN_BITS - 3))
        self._older = bytearray(1 << (_KNOWN_BITS - 3))
        self._rotated_at: float | None = None

    def add(self, route: str, head: bytes, body: bytes, now: float) -> None:
        """Remember a completed request."""
        if self._rotated_at is None or now - self._rotated_at >= KNOWN_TIME:
            self._newer, self._older = bytearray(len(self._newer)), self._newer
            self._rotated_at = now
        index, mask = _bit_of(route, head, body)
        self._newer[index] |= mask

    def contains(self, route: str, head: bytes, body: bytes) -> bool:
        """Return whether an equal request was completed recently."""
        index, mask = _bit_of(route, head, body)
        return bool((self._newer[index] | self._older[index]) & mask)


def _bit_of(route: str, head: bytes, body: bytes) -> tuple[int, int]:
    checksum = zlib.crc32(route.encode())
    for part in _identifying_parts(head, body):
        checksum = zlib.crc32(part, checksum)
    bit = checksum & ((1 << _KNOWN_BITS) - 1)
    return bit >> 3, 1 << (bit & 7)


@attrs.frozen
class LostRun:
    """A run that a backend server lost when it ended.

    Parameters
    ----------
    fingerprint : bytes
        Identifier of the request.
    started_ago, ended_ago : float
        Seconds since the start of the run, and since the server ended.
    is_known : bool
        Whether the server had completed an equal request recently.
    """

    fingerprint: bytes
    started_ago: float
    ended_ago: float
    is_known: bool


@attrs.frozen
class ServerEnd:
    """End of a start of a backend server, with the runs that were lost."""

    instance: str
    born: int
    runs: tuple[LostRun, ...]


@attrs.frozen
class Completion:
    """Requests that were suspect and have completed."""

    fingerprints: tuple[bytes, ...]


@attrs.frozen
class Quarantined:
    """A request in quarantine, and the seconds until its end."""

    fingerprint: bytes
    seconds: float


Announcement = ServerEnd | Completion
"""What daemons tell each other about suspect requests."""


@attrs.define(eq=False)
class _Suspect:
    first_end_at: float
    last_end_at: float
    is_known: bool
    ends: int = 1
    quarantines: int = 0
    until: float = 0.0

    def is_convicted(self, now: float) -> bool:
        """Return whether the ends so far are enough for a quarantine."""
        if self.quarantines:
            return self.ends >= 1
        if not self.is_known:
            return self.ends >= MIN_ENDS
        has_lasted = now - self.first_end_at >= MIN_TIME_IF_KNOWN
        return has_lasted and self.ends >= MIN_ENDS_IF_KNOWN


class RequestQuarantine:
    """Decides which requests are not sent to any backend server.

    A request is suspect if a backend server ended while it ran. Many other requests
    usually ran there too, so that one end is no evidence. It is quarantined if it was
    sent again, to a server that then ended too, and so on, and no run of it that
    started after the first end has completed. Runs at the same time count once: all
    servers of a service may end together for another reason.

    Parameters
    ----------
    announce : callable
        Called with each `Announcement` for the other daemons.
    """

    def __init__(self, announce: Callable[[Announcement], None]) -> None:
        self.announce = announce
        self._suspect_by_fingerprint: dict[bytes, _Suspect] = {}

    @property
    def has_suspects(self) -> bool:
        """Whether any request is suspect or in quarantine."""
        return bool(self._suspect_by_fingerprint)

    def remaining(self, route: str, head: bytes, body: bytes, now: float) -> float:
        """Return the seconds until the end of a request's quarantine; 0.0 for none."""
        if not self._suspect_by_fingerprint:
            return 0.0
        suspect = self._suspect_by_fingerprint.get(fingerprint(route, head, body))
        return 0.0 if suspect is None else max(0.0, suspect.until - now)

    def quarantined(self, now: float) -> list[Quarantined]:
        """Return the requests in quarantine."""
        return [
            Quarantined(name, suspect.until - now)
            for name, suspect in self._suspect_by_fingerprint.items()
            if suspect.until > now
        ]

    def report_end(self, end: ServerEnd, now: float) -> list[Quarantined]:
        """Apply and announce the end of the local backend server."""
        self.announce(end)
        return self.apply_end(end, now)

    def apply_end(self, end: ServerEnd, now: float) -> list[Quarantined]:
        """Apply the end of a server; return the requests that are quarantined now."""
        self._forget_old(now)
        applied = (self._apply_run(run, now) for run in end.runs)
        return [quarantined for quarantined in applied if quarantined is not None]

    def _apply_run(self, run: LostRun, now: float) -> Quarantined | None:
        ended_at = now - run.ended_ago
        suspect = self._suspect_by_fingerprint.get(run.fingerprint)
        if suspect is None:
            self._add(run.fingerprint, _Suspect(ended_at, ended_at, run.is_known))
            return None
        suspect.is_known |= run.is_known
        if now - run.started_ago <= suspect.last_end_at or suspect.until > now:
            return None
        suspect.ends += 1
        suspect.last_end_at = ended_at
        if not suspect.is_convicted(now):
            return None
        seconds = min(MAX_QUARANTINE, FIRST_QUARANTINE * 2**suspect.quarantines)
        suspect.quarantines += 1
        suspect.ends = 0
        suspect.until = now + seconds
        return Quarantined(run.fingerprint, seconds)

    def apply_quarantined(self, requests: Iterable[Quarantined], now: float) -> None:
        """Apply the quarantines that a peer knows."""
        self._forget_old(now)
        for request in requests:
            until = now + min(MAX_QUARANTINE, request.seconds)
            suspect = self._suspect_by_fingerprint.get(request.fingerprint)
            if suspect is None:
                suspect = _Suspect(now, now, False, ends=0, quarantines=1)
                self._add(request.fingerprint, suspect)
            suspect.quarantines = max(1, suspect.quarantines)
            suspect.until = max(suspect.until, until)

    def report_completion(
        self, route: str, head: bytes, body: bytes, started_at: float, now: float
    ) -> None:
        """Announce that a suspect request has completed at the local server.

        Only a run that started after the first end of a server counts: the request may
        have changed its effect at that time.
        """
        if not self._suspect_by_fingerprint:
            return
        name = fingerprint(route, head, body)
        suspect = self._suspect_by_fingerprint.get(name)
        if suspect is None or started_at <= suspect.first_end_at:
            return
        completion = Completion((name,))
        self.apply_completion(completion)
        self.announce(completion)

    def apply_completion(self, completion: Completion) -> None:
        """Apply the completion of suspect requests."""
        for name in completion.fingerprints:
            self._suspect_by_fingerprint.pop(name, None)

    def _add(self, name: bytes, suspect: _Suspect) -> None:
        suspects = self._suspect_by_fingerprint
        if len(suspects) >= MAX_SUSPECTS:
            del suspects[next(iter(suspects))]
        suspects[name] = suspect

    def _forget_old(self, now: float) -> None:
        oldest = now - SUSPICION_LIFETIME
        self._suspect_by_fingerprint = {
            name: suspect
            for name, suspect in self._suspect_by_fingerprint.items()
            if max(suspect.last_end_at, suspect.until) > oldest
        }
