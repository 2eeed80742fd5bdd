"""Heartbeats of a start that is said to lie in the future."""

from knapweedlead.mesh._server_monitor import UNRESPONSIVE_AFTER, ServerMonitor
from knapweedlead.mesh.tests.harness import make_report

FUTURE = -3600.0
"""Age of a start an hour from now."""


def make_monitor():
    return ServerMonitor("lines", 1.5)


def test_start_in_the_future_does_not_replace_a_live_server():
    # Guards against one heartbeat of another writer that shuts out a server for good,
    # since all of its own heartbeats have an earlier start.
    monitor = make_monitor()
    assert monitor.apply_report(make_report(), 100.0, 50.0)
    odd = make_report(instance="i-odd", born=10**15)
    assert not monitor.apply_report(odd, 101.0, FUTURE)
    assert monitor.apply_report(make_report(sequence=2), 101.5, 51.5)


def test_server_returns_after_a_start_in_the_future_has_replaced_it():
    monitor = make_monitor()
    monitor.apply_report(make_report(), 100.0, 50.0)
    silent = 100.0 + UNRESPONSIVE_AFTER + 1.0
    odd = make_report(instance="i-odd", born=10**15)
    assert monitor.apply_report(odd, silent, FUTURE)
    assert monitor.apply_report(make_report(sequence=2), silent + 0.1, 60.0)
    assert monitor.server.report.instance == "i-1"


def test_server_whose_clock_was_set_back_is_used():
    monitor = make_monitor()
    assert monitor.apply_report(make_report(), 100.0, FUTURE)
    assert monitor.apply_report(make_report(sequence=2), 101.5, FUTURE)
    assert monitor.server.report.sequence == 2


def test_leave_is_remembered_over_the_replacement_of_a_start_in_the_future():
    monitor = make_monitor()
    monitor.apply_report(make_report(instance="i-odd", born=10**15), 100.0, FUTURE)
    monitor.server.record_leave("i-1", 101.0)
    assert monitor.apply_report(make_report(sequence=9), 102.0, 50.0)
    assert monitor.is_leaving
