"""A service whose servers end under one request, with guards, an entry and callers."""

import itertools
import random
from functools import partial

from knapweedlead.mesh import (
    Completion,
    Failure,
    Guard,
    Reason,
    RequestQuarantine,
    ServerAnswer,
    Target,
    Ticket,
)
from knapweedlead.mesh.tests.harness import (
    EntryHarness,
    NullRecorder,
    make_call,
    make_configuration,
    make_report,
)

STEP = 0.004
"""Seconds of a simulated step; messages between daemons arrive with the next one."""
RUN_TIME = 0.1
DOWN_TIME = 3.0
"""Seconds from the end of a server to its next start."""
HEARTBEAT_PERIOD = 1.5
SLOTS = 60


class SimulatedServer:
    """A backend server with its guard; channel, sender and runner of its calls.

    Parameters
    ----------
    fleet : PoisonedFleet
    number : int
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f"daemon-{number}"
        self.ends = 0
        self.is_up = False
        self.up_at = 0.0
        self.running = []
        self._starts = itertools.count(1)
        self.quarantine = RequestQuarantine(partial(fleet.announce, self))
        self.guard = Guard(
            "lines",
            "north",
            self,
            NullRecorder(),
            lambda: None,
            -10.0,
            HEARTBEAT_PERIOD,
            self.quarantine,
        )
        self.guard.apply_configuration(
            make_configuration(cold_rate=1000.0), frozenset(), 0.0
        )
        self.target = Target(self.name, "north", "lines", self, True)

    def step(self, now):
        """Start, report, complete the runs that are due, or end under one of them."""
        if not self.is_up and now >= self.up_at:
            self._start(now)
        elif self.is_up and now >= self._next_report_at:
            self._report(now)
        due = [run for run in self.running if run[1] <= now]
        if any(self.fleet.is_deadly(ticket) for ticket, _ in due):
            self.end(now)
        for ticket, _ in due if self.is_up else ():
            self.guard.answered(ticket, ServerAnswer(200, {}, b""), now)
        self.running = [run for run in self.running if run[1] > now]
        self.guard.tick(now)
        self.target.apply_state(self.guard.state(now))

    def _start(self, now):
        self.is_up = True
        self._start_number = next(self._starts)
        self._sequence = itertools.count(1)
        self._report(now)

    def _report(self, now):
        self._next_report_at = now + HEARTBEAT_PERIOD
        report = make_report(
            instance=f"{self.name}-{self._start_number}",
            born=self._start_number,
            sequence=next(self._sequence),
            slots=SLOTS,
        )
        self.guard.apply_report(report, now, 0.0)
        self.guard.monitor.is_proven = True

    def end(self, now):
        """End the server; all its runs are lost."""
        self.ends += 1
        self.is_up = False
        self.up_at = now + DOWN_TIME
        lost, self.running = self.running, []
        for ticket, _ in lost:
            self.guard.failed(ticket, Failure(Reason.FAILED, True, True), now)
        if lost:
            self.fleet.later.append(self._check_listening)

    def _check_listening(self):
        if not self.is_up:
            self.guard.record_refused_connection(self.fleet.now)

    def run(self, ticket, instance, remaining):
        """Run a call that the guard sends to the server."""
        self.fleet.runs.append(ticket)
        if self.is_up:
            self.running.append((ticket, self.fleet.now + RUN_TIME))
        else:
            self.fleet.later.append(partial(self._refuse, ticket))

    def _refuse(self, ticket):
        now = self.fleet.now
        self.guard.record_refused_connection(now)
        self.guard.failed(ticket, Failure(Reason.UNREACHABLE, False), now)

    def cancel(self, ticket):
        """Cancel a running call."""
        self.running = [run for run in self.running if run[0] is not ticket]

    def send_call(self, call, remaining):
        """Offer a call of the entry to the guard."""
        ticket = Ticket(
            number=call.number,
            sender=self,
            request_id=call.call.request_id,
            service=call.service,
            route=call.route.name,
            account="",
            priority=1,
            is_idempotent=True,
            deadline=self.fleet.now + remaining,
            head=call.call.head,
            body=b"",
        )
        self.guard.offer(ticket, self.fleet.now)

    def cancel_call(self, call):
        """Ignore a cancellation."""

    def answered(self, ticket, answer):
        """Pass an answer to the entry."""
        deliver = self.fleet.entry.answered
        self.fleet.later.append(lambda: deliver(ticket.number, answer, self.fleet.now))

    def failed(self, ticket, failure):
        """Pass a failure to the entry."""
        deliver = self.fleet.entry.failed
        self.fleet.later.append(
            lambda: deliver(ticket.number, failure, self.fleet.now, self.target)
        )


class PoisonedFleet:
    """Servers of one service, and an entry through which callers send requests.

    Parameters
    ----------
    servers : int
    deadly : str
        Path of the request under which servers end.
    seed : int

    Attributes
    ----------
    runs : list of Ticket
        Calls that were sent to servers.
    answered_by_path, refused_by_path : dict of str to list
        Outcomes of the callers' calls; status and reason of each refusal.
    """

    def __init__(self, servers=5, deadly="/read/deadly", seed=3):
        self.now = 0.0
        self.deadly = deadly
        self.rng = random.Random(seed)
        self.later = []
        self.runs = []
        self.answered_by_path = {}
        self.refused_by_path = {}
        self._path_by_exchange = {}
        self._exchanges = itertools.count(1)
        self.servers = [SimulatedServer(self, number) for number in range(servers)]
        harness = EntryHarness()
        self.entry = harness.entry
        self.entry.replies = self
        self.entry.targets_by_service["lines"] = [s.target for s in self.servers]
        self.step()

    def is_deadly(self, ticket):
        """Return whether a server ends under a call."""
        return ticket.head.startswith(f"GET {self.deadly} ".encode())

    def announce(self, sender, announcement):
        """Deliver an announcement to the other daemons, with the next step."""
        others = [s.quarantine for s in self.servers if s is not sender]
        for quarantine in (*others, self.entry.quarantine):
            if isinstance(announcement, Completion):
                apply = partial(quarantine.apply_completion, announcement)
            else:
                apply = partial(self._apply_end, quarantine, announcement)
            self.later.append(apply)

    def _apply_end(self, quarantine, end):
        quarantine.apply_end(end, self.now)

    def send(self, path):
        """Send a call of a caller."""
        exchange = next(self._exchanges)
        self._path_by_exchange[exchange] = path
        call = make_call(path, request_id=f"r{exchange}")
        call.encode_head = lambda: f"GET {path} HTTP/1.1\r\nhost: h\r\n".encode()
        self.entry.accept(exchange, call, self.now)

    def answer(self, exchange, answer):
        """Record an answer to a caller."""
        path = self._path_by_exchange.pop(exchange)
        self.answered_by_path.setdefault(path, []).append(answer.status)

    def refuse(self, exchange, status, reason, retry_after):
        """Record a refusal to a caller."""
        path = self._path_by_exchange.pop(exchange)
        self.refused_by_path.setdefault(path, []).append((status, reason))

    def step(self):
        """Let one step of time pass."""
        self.now += STEP
        later, self.later = self.later, []
        for deliver in later:
            deliver()
        for server in self.servers:
            server.step(self.now)
        self.entry.expire(self.now)

    def run_for(self, seconds, rate_by_path):
        """Send calls at random times; ``*`` in a path is replaced by a new number."""
        numbers = itertools.count(int(self.now * 1e6))
        for _ in range(int(seconds / STEP)):
            for path, rate in rate_by_path.items():
                if self.rng.random() < rate * STEP:
                    self.send(path.replace("*", str(next(numbers))))
            self.step()

    @property
    def ends(self):
        """Number of ends of servers so far."""
        return sum(server.ends for server in self.servers)

    def served_share(self, prefix):
        """Return the share of the calls under a prefix that were answered."""
        answered = sum(
            len(statuses)
            for path, statuses in self.answered_by_path.items()
            if path.startswith(prefix)
        )
        refused = sum(
            len(outcomes)
            for path, outcomes in self.refused_by_path.items()
            if path.startswith(prefix)
        )
        return answered / (answered + refused)
