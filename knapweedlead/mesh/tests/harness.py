"""Small configurations, reports and fakes for the tests of `knapweedlead.mesh`."""

import math
import random

from knapweedlead.mesh import (
    PLACEMENTS,
    Call,
    ClientAccount,
    Entry,
    EntrySettings,
    Freshness,
    Guard,
    MeshConfiguration,
    QuotaShares,
    RequestLimits,
    RequestQuarantine,
    Route,
    ServerAnswer,
    ServerReport,
    ServerState,
    Service,
    Shedder,
    Target,
    Ticket,
    TokenExchange,
    WeightedService,
)

OK = ServerAnswer(200, {}, b"whole")


def make_route(name="read", prefix="/read/", service="lines", **changes):
    """Return an idempotent public route."""
    fields = {
        "name": name,
        "host": "example",
        "prefix": prefix,
        "services": (WeightedService(service, 1.0),),
        "is_idempotent": True,
        "timeout": 2.0,
        "target_latency": 0.5,
        "priority": 1,
        "max_attempts": 2,
        "is_public": True,
    }
    return Route(**(fields | changes))


def make_configuration(*routes, accounts=(), version=1, cold_rate=40.0):
    """Return a configuration of one service."""
    return MeshConfiguration(
        version=version,
        routes=routes or (make_route(),),
        service_by_name={"lines": Service("lines", "/health", 100, 3.0, cold_rate)},
        account_by_name={account.name: account for account in accounts},
        limits=RequestLimits(),
    )


def make_account(name="crew", rate=10.0, burst=10.0, priority=None):
    """Return an account whose key is its name."""
    return ClientAccount(name, (f"key-{name}",), priority, rate, burst)


def make_report(**changes):
    """Return the first heartbeat of a server with two slots."""
    fields = {
        "instance": "i-1",
        "service": "lines",
        "address": "10.0.0.1:80",
        "data_centre": "north",
        "version": "v1",
        "slots": 2,
        "is_draining": False,
        "sequence": 1,
        "cold_remaining": 0.0,
        "born": 1000,
    }
    return ServerReport(**(fields | changes))


def make_call(path="/read/7", key=None, request_id="r-1", caller_timeout=5.0):
    """Return a GET call of a caller."""
    return Call(
        request_id, "example", path, caller_timeout, key, lambda: b"GET /read/7", b""
    )


class RecordingRunner:
    """Records the calls that a guard starts and cancels."""

    def __init__(self):
        self.started = []
        self.cancelled = []

    def run(self, ticket, instance, remaining):
        self.started.append(ticket)

    def cancel(self, ticket):
        self.cancelled.append(ticket)


class RecordingSender:
    """Records the outcomes of calls at a guard."""

    def __init__(self):
        self.answers = []
        self.failures = []

    def answered(self, ticket, answer):
        self.answers.append((ticket, answer))

    def failed(self, ticket, failure):
        self.failures.append((ticket, failure))


class GuardHarness:
    """A guard with a recording runner and sender.

    Its server counts as one that has answered before, unless `is_proven` is False. If
    it is None, the guard decides by the age of the server at its first heartbeat.
    """

    def __init__(
        self,
        now=100.0,
        is_proven=True,
        started_at=0.0,
        age=math.inf,
        heartbeat_period=1.5,
        **report,
    ):
        self.announcements = []
        self.runner = RecordingRunner()
        self.sender = RecordingSender()
        self.guard = Guard(
            "lines",
            "north",
            self.runner,
            NullRecorder(),
            lambda: None,
            started_at,
            heartbeat_period,
            RequestQuarantine(self.announcements.append),
        )
        self.guard.apply_configuration(make_configuration(), frozenset(), now)
        self.guard.apply_report(make_report(**report), now, age)
        if is_proven is not None:
            self.guard.monitor.is_proven = is_proven
        self.numbers = iter(range(1, 1_000_000))

    def ticket(self, now, deadline=None, **changes):
        """Return a call with a deadline two seconds from `now` by default."""
        fields = {
            "number": next(self.numbers),
            "sender": self.sender,
            "request_id": "r",
            "service": "lines",
            "route": "read",
            "account": "",
            "priority": 1,
            "is_idempotent": True,
            "deadline": now + 2.0 if deadline is None else deadline,
            "head": b"",
            "body": b"",
        }
        return Ticket(**(fields | changes))

    def offer(self, now, **changes):
        """Offer a new call to the guard and return it."""
        ticket = self.ticket(now, **changes)
        self.guard.offer(ticket, now)
        return ticket


class RecordingChannel:
    """Records the calls that an entry sends to and cancels at a daemon."""

    def __init__(self):
        self.sent = []
        self.cancelled = []

    def send_call(self, call, remaining):
        self.sent.append((call, remaining))

    def cancel_call(self, call):
        self.cancelled.append(call)


class RecordingReplies:
    """Records answers and refusals; checks that an exchange has at most one of them."""

    def __init__(self):
        self.answer_by_exchange = {}
        self.refusal_by_exchange = {}

    def answer(self, exchange, answer):
        assert exchange not in self.refusal_by_exchange
        assert exchange not in self.answer_by_exchange
        self.answer_by_exchange[exchange] = answer

    def refuse(self, exchange, status, reason, retry_after):
        assert exchange not in self.refusal_by_exchange
        assert exchange not in self.answer_by_exchange
        self.refusal_by_exchange[exchange] = (status, reason, retry_after)


class NullRecorder:
    """Recorder of an entry and a guard that ignores everything but exceptions."""

    def fault(self, step, error):
        """Raise an unexpected exception."""
        raise error

    def sent(self, call, now):
        """Ignore an attempt."""

    def ended(self, call, status, now):
        """Ignore an answer."""

    def refused(self, request_id, reason, status, call):
        """Ignore a refusal."""

    def retried(self, call, failure):
        """Ignore a retry."""

    def attempt_started(self, ticket):
        """Ignore an attempt."""

    def server_noticed(self, ticket, notice, guard):
        """Ignore a notice."""

    def server_ended(self, end, quarantined):
        """Ignore the end of a server."""

    def attempt_failed(self, ticket, failure, guard):
        """Ignore a failed attempt."""

    def attempt_answered(self, ticket, answer, now):
        """Ignore an answered attempt."""


class EntryHarness:
    """An entry with recording channels and replies."""

    def __init__(
        self, *names, configuration=None, max_staleness=4.0, seed=1, lenders=()
    ):
        rng = random.Random(seed)
        state = ServerState("i", "lines", True, 0, 0, 10, 0.05)
        self.targets = []
        for name in names or ("a", "b", "c"):
            target = Target(name, "north", "lines", RecordingChannel(), True)
            target.apply_state(state)
            self.targets.append(target)
        self.replies = RecordingReplies()
        self.freshness = Freshness()
        self.quotas = QuotaShares("self", 5.0, 0.0)
        self.children = []
        self.quarantine = RequestQuarantine(lambda announcement: None)
        self.entry = Entry(
            EntrySettings(max_staleness, 0.1, 20.0),
            {"lines": self.targets},
            PLACEMENTS.create("least_cost", data_centre="north"),
            self.quotas,
            TokenExchange(self.quotas, lambda: lenders, rng),
            self.freshness,
            Shedder(rng),
            self.quarantine,
            lambda route, service: self.children.append((route, service)),
            self.replies,
            NullRecorder(),
            rng,
        )
        self.entry.configuration = configuration or make_configuration()

    def sent(self):
        """Return all attempts as pairs of target name and call."""
        return [
            (target.name, call)
            for target in self.targets
            for call, _ in target.channel.sent
        ]
