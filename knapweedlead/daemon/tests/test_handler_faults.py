"""An exception in any handler of any role costs at most the work of that handler."""

import functools
import itertools
import random
from collections import Counter

import pytest

from knapweedlead.accounts._ledger import SHARE_LIFETIME_SECONDS
from knapweedlead.calls._guard_scheduler import LOST_RUN_SECONDS
from knapweedlead.configuration import GetStatus
from knapweedlead.load._keys import make_idempotency_key
from knapweedlead.node import HandlerFailed, ShutdownRequested
from knapweedlead.ownership import OwnershipTimes
from knapweedlead.ownership.tests.fleets import run_until
from knapweedlead.requests._once_records import MAX_FUTURE_SECONDS
from knapweedlead.settings import OwnershipSettings
from standins.chains import CALLER, apply, catalogue, route
from standins.cores import CoreBackendServer, Cores

TIMES = OwnershipTimes(lapse_s=8.0, renewal_s=2.0, list_s=1.0, list_s_per_member=0.0)
SETTLED_SECONDS = 8.0
FAULT_SECONDS = 8.0
RECOVERY_SECONDS = 30.0 + MAX_FUTURE_SECONDS
"""Keys of this future are unknown to a successor without the records of its slot."""
LAST_CALLS = 40
"""Calls at the end of the faults of which most must be served."""
MAX_FAULTS = 3
"""Exceptions of the handler at each core."""
DEADLINE_SECONDS = 5.0
ROUTES = [
    route("s00"),
    route("s01"),
    route("once", service="s00", is_idempotent=False),
    route("durable", service="s00", is_idempotent=False, is_durable=True),
]


class InjectedError(Exception):
    pass


def handlers_of(core):
    """Return the handlers of a core by ``Role.method``."""
    roles = core.composition.node.roles
    methods = itertools.chain.from_iterable(
        role.event_handlers() + role.message_handlers() for role in roles
    )
    return {method.__qualname__: method for _, method in methods}


def all_handlers():
    cores = Cores()
    return sorted(handlers_of(cores.add("a", "s00")))


class FaultyCores(Cores):
    """Cores in whose nodes one handler raises exceptions.

    Parameters
    ----------
    name : str
        Handler that raises.
    is_after : bool
        Whether it raises after its work instead of before.
    """

    def __init__(self, name, is_after, seed):
        super().__init__(seed)
        self.name, self.is_after = name, is_after
        self.has_injected_faults = True
        self.is_faulty = True
        self.faults_by_core = Counter()

    def _compose(self, settings):
        composition = super()._compose(settings)
        node = composition.node
        for table in (node._handlers_by_event, node._handlers_by_message):
            for handlers in table.values():
                handlers[:] = [self._wrap(settings.name, one) for one in handlers]
        return composition

    def _wrap(self, core, handler):
        if handler.__qualname__ != self.name:
            return handler

        @functools.wraps(handler)
        def raising(*args):
            fails = self.is_faulty and self.faults_by_core[core] < MAX_FAULTS
            self.faults_by_core[core] += fails
            if fails and not self.is_after:
                raise InjectedError(self.name)
            yield from handler(*args)
            if fails:
                raise InjectedError(self.name)

        return raising


class FaultyFleet:
    """A fleet under traffic and changes, in which one handler raises exceptions."""

    def __init__(self, name, is_after, seed=1):
        self.calls = 0
        self.cut = []
        self.cores = FaultyCores(name, is_after, seed)
        apply(self.cores, catalogue(ROUTES))
        for number in range(6):
            self._add(number)
        self.cores.run_for(SETTLED_SECONDS)

    def _add(self, number):
        service = f"s0{number % 2}"
        paths = ["/s01/x"] if service == "s00" else []
        self.cores.add(
            f"{service}-{number}",
            service,
            f"dc{1 + number // 3}",
            backend_server=CoreBackendServer(child_paths=paths, service_s=0.01),
            ownership=OwnershipSettings(4, TIMES),
        )

    def crash(self, name):
        """Crash a core; its callers' connections end without replies."""
        self.cut += self.cores.by_name[name].reply_by_exchange.values()
        self.cores.crash(name)

    def call(self, name, path="/s00/x"):
        """Send a call of a caller; return its reply."""
        self.calls += 1
        key = make_idempotency_key(self.cores.now, random.Random(self.calls))
        headers = {**CALLER, "idempotency-key": key}
        return self.cores.call(name, path, headers, method="POST")

    def run_traffic(self, seconds, period=0.2):
        """Send calls for some seconds; return their replies."""
        replies = []
        end = self.cores.now + seconds
        while self.cores.now < end:
            for name, core in self.cores.by_name.items():
                path = ("/s00/x", "/once/x", "/durable/x")[self.calls % 3]
                if core.is_up:
                    replies.append(self.call(name, path))
            self.cores.run_for(period)
        return replies

    def run_changes(self):
        """Let every handler run: changes, losses, restarts and shutdowns."""
        replies = []
        cores = self.cores
        self.crash("s01-5")
        replies += self.run_traffic(FAULT_SECONDS / 4)
        cores.restart("s01-5")
        cores.cut_from_store.update({"s00-4", "s01-5"})
        apply(cores, catalogue(ROUTES, revision=2))
        cores.send_operator_request("s00-0", GetStatus())
        cores.drop_links("s00-0", "s01-1")
        abandoned = self.call("s00-2")
        cores.disconnect_caller("s00-2", abandoned)
        replies += self.run_traffic(FAULT_SECONDS / 4)
        cores.heal()
        cores.pause("s00-4")
        cores.run_for(1.5)
        cores.resume("s00-4")
        cores.by_name["s00-2"].backend_server.status = 0
        replies += self.run_traffic(FAULT_SECONDS / 4)
        cores.by_name["s00-2"].backend_server.status = 200
        cores.report(cores.by_name["s01-3"], ShutdownRequested())
        replies += self.run_traffic(FAULT_SECONDS / 4)
        self.crash("s01-3")
        cores.restart("s01-3")
        replies += self.run_traffic(TIMES.lapse_s + SHARE_LIFETIME_SECONDS, 0.5)
        return replies

    def serves_all(self):
        """Return whether every core serves calls, once and repeatable ones."""
        replies = [
            self.call(name, path)
            for name in self.cores.by_name
            for path in ("/s00/x", "/once/x")
        ]
        self.cores.run_for(DEADLINE_SECONDS)
        return {reply.status for reply in replies} == {200}

    def runs_by_key(self):
        """Return how often each request that is not idempotent ran."""
        return Counter(
            request.headers["idempotency-key"]
            for core in self.cores.by_name.values()
            for request in core.backend_server.journal
            if not request.path.startswith("/s0")
        )

    def failures(self):
        """Return what was recorded about the exceptions."""
        effects = itertools.chain.from_iterable(
            core.other_effects for core in self.cores.by_name.values()
        )
        return [effect for effect in effects if isinstance(effect, HandlerFailed)]


def check(name, is_after):
    fleet = FaultyFleet(name, is_after)
    replies = fleet.run_changes()
    fleet.cores.is_faulty = False
    fleet.cores.run_for(DEADLINE_SECONDS + LOST_RUN_SECONDS)
    cut = {id(reply) for reply in fleet.cut}
    served = [reply.status == 200 for reply in replies[-LAST_CALLS:]]
    assert sum(served) > LAST_CALLS / 2
    unanswered = [r for r in replies if r.status is None and id(r) not in cut]
    assert unanswered == []
    assert all(isinstance(f.error, InjectedError) for f in fleet.failures())
    assert max(fleet.runs_by_key().values(), default=0) <= 1
    for core in fleet.cores.by_name.values():
        assert core.backend_server.running_by_run == {}
        assert core.composition.node.is_idle
    run_until(fleet.cores, fleet.serves_all, RECOVERY_SECONDS)
    return fleet


@pytest.mark.parametrize("name", all_handlers())
@pytest.mark.parametrize("is_after", [False, True])
def test_exception_in_a_handler_ends_neither_later_calls_nor_other_handlers(
    name, is_after
):
    check(name, is_after)
