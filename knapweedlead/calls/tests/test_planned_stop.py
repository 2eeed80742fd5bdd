"""Calls that arrive while a daemon stops as planned."""

import pytest

from knapweedlead.calls import STOP_ANSWER_TIME
from knapweedlead.node import ShutdownRequested
from standins.chains import CALLER, WARM_UP_SECONDS, apply, catalogue, route
from standins.cores import CoreBackendServer, Cores

SERVICE_TIME = 40.0
"""Seconds; longer than a stopping daemon awaits answers."""


def build():
    """Return a stopping entry and a server that is slow on one route."""
    cores = Cores(1)
    routes = [route("slow", timeout_ms=60_000), route("quick", timeout_ms=2000)]
    apply(cores, catalogue(routes))
    for service, seconds in (("slow", SERVICE_TIME), ("quick", 0.03)):
        server = CoreBackendServer(slots=10, service_s=seconds)
        cores.add(f"{service}-0", service, backend_server=server)
    cores.add("entry-0", "entry")
    cores.run_for(WARM_UP_SECONDS)
    cores.report(cores.by_name["entry-0"], ShutdownRequested())
    return cores


@pytest.mark.parametrize("late", [0.1, 6.0])
def test_call_that_outlasts_a_planned_stop_is_cut(late):
    cores = build()
    cores.run_for(late)
    reply = cores.call("entry-0", "/slow/x", CALLER)
    cores.run_for(1.0)
    assert reply.status == 503
    assert b"not_run" in reply.body
    assert not cores.by_name["slow-0"].backend_server.journal


def test_call_that_ends_within_a_planned_stop_is_refused():
    cores = build()
    cores.run_for(6.0)
    reply = cores.call("entry-0", "/quick/x", CALLER)
    cores.run_for(1.0)
    assert reply.status == 200
    assert STOP_ANSWER_TIME > 6.0
