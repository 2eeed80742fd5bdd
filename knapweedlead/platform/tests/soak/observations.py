"""Requests observed at callers and backend servers, and the checks applied to them."""

import bisect
import math
from collections import defaultdict
from collections.abc import Callable

import attrs

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses which guarantee that a request has not run and will not run."""
WITHDRAWAL_LIMIT = 5.0
"""Seconds after which no request with a withdrawn key may run."""
DRAIN_LIMIT = 2.0
"""Seconds after an acknowledged drain in which a server may still get requests."""
COLD_RATE = 40.0
COLD_RATE_TOLERANCE = 1.5
COLD_BURST = 5.0
"""A cold server may get `COLD_RATE * COLD_RATE_TOLERANCE + COLD_BURST` requests in any
second."""
RATE_LIMIT_DELAY = 3.0
"""Seconds after the first statement of a rate limit from which it binds."""
RATE_LIMIT_WINDOW = 4.0
RATE_LIMIT_TOLERANCE = 1.5
RATE_LIMIT_BURST = 5
"""A limited server may get its rate times `RATE_LIMIT_TOLERANCE`, and
`RATE_LIMIT_BURST`, in any window of `RATE_LIMIT_WINDOW` seconds."""
MIN_SERVED_SHARE = 0.9
"""Minimum share of calls served once faults have ended and the fleet has settled."""
MAX_FINDINGS = 5

CHECKS: dict[str, Callable] = {}


@attrs.define
class SentRequest:
    """A caller's request and its outcome; status 0 stands for no answer."""

    request_id: str
    path: str
    key: str
    daemon: str
    is_idempotent: bool
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    detail: str = "unanswered"


@attrs.define
class ExecutedRequest:
    """A request that a backend server started to run."""

    request_id: str
    path: str
    account: str
    has_key: bool
    server: str
    at: float


@attrs.define
class LimitedSpan:
    """Time in which a server stated a rate limit in its answers."""

    server: str
    rate: float
    begin: float = math.inf
    end: float = math.inf


@attrs.define
class Observations:
    """Everything observed in one run; all times are in seconds of the same clock."""

    account_by_key: dict = attrs.field(factory=dict)
    sent_by_id: dict = attrs.field(factory=dict)
    runs: list = attrs.field(factory=list)
    withdrawn_at_by_key: dict = attrs.field(factory=dict)
    drained_at_by_instance: dict = attrs.field(factory=dict)
    left_at_by_instance: dict = attrs.field(factory=dict)
    cold_spans: list = attrs.field(factory=list)
    limited_spans: list = attrs.field(factory=list)
    interruptions: list = attrs.field(factory=list)
    kills: list = attrs.field(factory=list)
    exits: list = attrs.field(factory=list)
    recovered_from: float = 0.0

    def runs_by_id(self):
        """Return the executions of each request, by request id."""
        by_id = defaultdict(list)
        for run in self.runs:
            by_id[run.request_id].append(run)
        return by_id

    def violations(self):
        """Return the findings of each failed check, `MAX_FINDINGS` at most."""
        found = {name: check(self) for name, check in CHECKS.items()}
        return {
            name: list(lines)[:MAX_FINDINGS] for name, lines in found.items() if lines
        }


def check(function):
    """Register a check, which returns its findings."""
    CHECKS[function.__name__] = function
    return function


@check
def non_idempotent_requests_run_once(observations):
    """Find non-idempotent requests that ran more than once."""
    return [
        f"{request_id} ran at {', '.join(f'{r.server} {r.at:.3f}' for r in runs)}"
        for request_id, runs in observations.runs_by_id().items()
        if len(runs) > 1
        and request_id in observations.sent_by_id
        and not observations.sent_by_id[request_id].is_idempotent
    ]


@check
def refused_requests_do_not_run(observations):
    """Find non-idempotent requests that were refused as not run, but did run."""
    runs_by_id = observations.runs_by_id()
    return [
        f"{sent.request_id} got {sent.status} from {sent.daemon} and ran"
        for sent in observations.sent_by_id.values()
        if sent.status in REFUSALS
        and not sent.is_idempotent
        and runs_by_id.get(sent.request_id)
    ]


@check
def answers_are_complete_and_correct(observations):
    """Find successful answers that differ from those of the servers that ran them."""
    servers_by_id = {
        request_id: {run.server for run in runs}
        for request_id, runs in observations.runs_by_id().items()
    }
    return [
        f"{sent.request_id} got {sent.body[:80]!r}"
        for sent in observations.sent_by_id.values()
        if sent.status == 200
        and sent.body
        not in {
            f"{server} {sent.path} ".encode()
            for server in servers_by_id.get(sent.request_id, ())
        }
    ]


@check
def only_sent_requests_run(observations):
    """Find executions of unknown requests, or for another account than the key's."""
    found = []
    for run in observations.runs:
        sent = observations.sent_by_id.get(run.request_id)
        if sent is None or sent.path != run.path:
            found.append(f"{run.request_id} {run.path} was not sent")
        elif run.has_key or run.account != observations.account_by_key[sent.key]:
            found.append(f"{run.request_id} ran for {run.account!r}")
    return found


@check
def withdrawn_keys_run_nothing(observations):
    """Find requests that ran but were sent over `WITHDRAWAL_LIMIT` after withdrawal."""
    found = []
    for run in observations.runs:
        sent = observations.sent_by_id.get(run.request_id)
        at = observations.withdrawn_at_by_key.get(sent.key) if sent else None
        if at is not None and sent.sent_at > at + WITHDRAWAL_LIMIT:
            late = sent.sent_at - at
            found.append(
                f"{run.request_id} ran, sent {late:.3f} s after the withdrawal"
            )
    return found


@check
def draining_servers_get_no_requests(observations):
    """Find requests that reached a server `DRAIN_LIMIT` after an acknowledged drain."""
    return [
        f"{run.request_id} reached {run.server} {run.at - at:.3f} s after its drain"
        for run in observations.runs
        if (at := observations.drained_at_by_instance.get(run.server)) is not None
        and run.at > at + DRAIN_LIMIT
    ]


@check
def servers_that_state_to_leave_get_no_requests(observations):
    """Find requests that reached a server `DRAIN_LIMIT` after it stated to leave.

    Restarted and frozen daemons may not know it any more.
    """
    found = []
    for run in observations.runs:
        at = observations.left_at_by_instance.get(run.server, math.inf)
        sent = observations.sent_by_id.get(run.request_id)
        if sent is None or sent.sent_at <= at + DRAIN_LIMIT:
            continue
        if not any(
            daemon == sent.daemon and interrupted_at > at
            for daemon, interrupted_at in observations.interruptions
        ):
            late = run.at - at
            found.append(f"{run.request_id} reached {run.server} {late:.3f} s later")
    return found


@check
def limited_servers_stay_within_their_rate(observations):
    """Find windows with more requests than a stated rate limit allows."""
    found = []
    for span in observations.limited_spans:
        begin = span.begin + RATE_LIMIT_DELAY
        times = sorted(
            r.at
            for r in observations.runs
            if r.server == span.server and begin <= r.at <= span.end
        )
        most = RATE_LIMIT_TOLERANCE * RATE_LIMIT_WINDOW * span.rate + RATE_LIMIT_BURST
        for first, at in enumerate(times):
            count = bisect.bisect(times, at + RATE_LIMIT_WINDOW) - first
            if count > most:
                found.append(f"{span.server} got {count} in a window from {at:.3f}")
    return found


@check
def cold_servers_stay_within_their_rate(observations):
    """Find seconds of a cold start with more requests than the limit."""
    found = []
    most = COLD_RATE * COLD_RATE_TOLERANCE + COLD_BURST
    for server, begin, end in observations.cold_spans:
        times = sorted(r.at for r in observations.runs if r.server == server)
        for at in (t for t in times if begin <= t and t + 1.0 <= end):
            count = bisect.bisect(times, at + 1.0) - bisect.bisect_left(times, at)
            if count > most:
                found.append(f"{server} got {count} in a second from {at:.3f}")
    return found


@check
def accepted_requests_are_answered(observations):
    """Find executed requests without an answer, except timeouts and killed daemons."""
    runs_by_id = observations.runs_by_id()
    return [
        f"{sent.request_id} at {sent.daemon}: {sent.detail}"
        for sent in observations.sent_by_id.values()
        if sent.ended_at
        and not sent.status
        and sent.detail != "timeout"
        and runs_by_id.get(sent.request_id)
        and not any(
            daemon == sent.daemon and sent.sent_at <= at <= sent.ended_at
            for daemon, at in observations.kills
        )
    ]


@check
def daemons_exit_only_on_request(observations):
    """Find daemons that exited without a signal to do so."""
    return observations.exits


@check
def service_recovers(observations):
    """Check that nearly all calls are served once all faults are over."""
    valid = [
        sent
        for sent in observations.sent_by_id.values()
        if sent.sent_at >= observations.recovered_from
        and sent.ended_at
        and sent.key not in observations.withdrawn_at_by_key
    ]
    served = sum(s.status == 200 for s in valid)
    if served >= MIN_SERVED_SHARE * len(valid) and valid:
        return []
    statuses = sorted({(s.status, s.detail) for s in valid if s.status != 200})
    return [f"{served} of {len(valid)} served at the end; {statuses[:6]}"]
