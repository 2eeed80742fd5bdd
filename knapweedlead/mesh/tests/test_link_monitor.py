"""Liveness of links: when a daemon probes, suspects and drops its peers."""

import itertools

from knapweedlead.mesh import PROBE_PERIOD, LinkAction, LinkMonitor
from knapweedlead.mesh._relays import MAX_UNCONFIRMED

START = 100.0
NEEDED = True
IDLE = False


def evaluate_until(monitor, action, is_needed=NEEDED, links=14, start=START):
    """Evaluate until `action` is returned; return the time of that evaluation."""
    for number in range(1, 100):
        now = start + number * PROBE_PERIOD
        result = monitor.evaluate(is_needed, links, now)
        if result is action:
            return now
        if result in (LinkAction.PROBE, LinkAction.SUSPECT):
            monitor.record_probe(now)
    raise AssertionError(f"no {action} within 100 evaluations")


def test_unresponsive_peer_is_suspected_within_a_second_and_dropped_within_five():
    monitor = LinkMonitor(START)
    assert evaluate_until(monitor, LinkAction.SUSPECT) - START < 1.0
    monitor = LinkMonitor(START)
    assert evaluate_until(monitor, LinkAction.DROP) - START < 5.0


def test_reply_ends_the_suspicion():
    monitor = LinkMonitor(START)
    suspected_at = evaluate_until(monitor, LinkAction.SUSPECT)
    monitor.record_message(suspected_at)
    assert monitor.evaluate(NEEDED, 14, suspected_at + PROBE_PERIOD) is LinkAction.PROBE


def test_idle_links_of_a_large_fleet_share_few_probes():
    links = 569
    monitors = [LinkMonitor(START + number / links) for number in range(links)]
    probes = 0
    evaluations = 200
    for number in range(evaluations):
        now = START + 1.0 + number * PROBE_PERIOD
        for monitor in monitors:
            if monitor.evaluate(IDLE, links, now) is LinkAction.PROBE:
                monitor.record_probe(now)
                monitor.record_message(now)
                probes += 1
    assert probes / (evaluations * PROBE_PERIOD) < 50.0


def test_needed_link_of_a_large_fleet_is_probed_as_often_as_in_a_small_one():
    small = evaluate_until(LinkMonitor(START), LinkAction.SUSPECT, links=3)
    large = evaluate_until(LinkMonitor(START), LinkAction.SUSPECT, links=569)
    assert small == large


def test_daemon_that_was_paused_does_not_suspect_peers_with_unread_replies():
    monitor = LinkMonitor(START)
    assert monitor.evaluate(NEEDED, 14, START + PROBE_PERIOD) is LinkAction.PROBE
    monitor.record_probe(START + PROBE_PERIOD)
    resumed_at = START + 8.0
    assert monitor.evaluate(NEEDED, 14, resumed_at) is LinkAction.PROBE
    monitor.record_probe(resumed_at)
    assert (
        evaluate_until(monitor, LinkAction.SUSPECT, start=resumed_at) - resumed_at < 1.0
    )


def test_relay_of_a_large_fleet_is_probed_several_times_before_it_is_replaced():
    for links in (14, 195, 569):
        monitor = LinkMonitor(START)
        probed_at = [START]
        for number in range(1, 40):
            now = START + number * PROBE_PERIOD
            action = monitor.evaluate(IDLE, links, now, is_confirming=True)
            if action is LinkAction.PROBE:
                monitor.record_probe(now)
                monitor.record_message(now)
                probed_at.append(now)
        longest = max(b - a for a, b in itertools.pairwise(probed_at))
        assert longest <= MAX_UNCONFIRMED / 3.0
        per_second = len(probed_at) / (probed_at[-1] - START)
        assert per_second * links <= 700.0
