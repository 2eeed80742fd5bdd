"""Liveness of links: when a daemon probes, suspects and drops its peers."""

from knapweedlead.mesh import ASK_PERIOD, LinkStep, LinkWatch

START = 100.0
NEEDED = True
IDLE = False


def evaluate_until(watch, step, is_needed=NEEDED, links=14, start=START):
    """Evaluate until a step is returned; return the time of that evaluation."""
    for number in range(1, 100):
        now = start + number * ASK_PERIOD
        result = watch.look(is_needed, links, now)
        if result is step:
            return now
        if result in (LinkStep.ASK, LinkStep.SUSPECT):
            watch.asked(now)
    raise AssertionError(f"no {step} within 100 evaluations")


def test_unresponsive_peer_is_suspected_within_a_second_and_dropped_within_five():
    watch = LinkWatch(START)
    assert evaluate_until(watch, LinkStep.SUSPECT) - START < 1.0
    watch = LinkWatch(START)
    assert evaluate_until(watch, LinkStep.DROP) - START < 5.0


def test_reply_ends_the_suspicion():
    watch = LinkWatch(START)
    suspected_at = evaluate_until(watch, LinkStep.SUSPECT)
    watch.heard(suspected_at)
    assert watch.look(NEEDED, 14, suspected_at + ASK_PERIOD) is LinkStep.ASK


def test_idle_links_of_a_large_fleet_share_few_probes():
    links = 569
    watches = [LinkWatch(START + number / links) for number in range(links)]
    probes = 0
    evaluations = 200
    for number in range(evaluations):
        now = START + 1.0 + number * ASK_PERIOD
        for watch in watches:
            if watch.look(IDLE, links, now) is LinkStep.ASK:
                watch.asked(now)
                watch.heard(now)
                probes += 1
    assert probes / (evaluations * ASK_PERIOD) < 50.0


def test_needed_link_of_a_large_fleet_is_probed_as_often_as_in_a_small_one():
    small = evaluate_until(LinkWatch(START), LinkStep.SUSPECT, links=3)
    large = evaluate_until(LinkWatch(START), LinkStep.SUSPECT, links=569)
    assert small == large


def test_daemon_that_was_paused_does_not_suspect_peers_with_unread_replies():
    watch = LinkWatch(START)
    assert watch.look(NEEDED, 14, START + ASK_PERIOD) is LinkStep.ASK
    watch.asked(START + ASK_PERIOD)
    resumed_at = START + 8.0
    assert watch.look(NEEDED, 14, resumed_at) is LinkStep.ASK
    watch.asked(resumed_at)
    assert evaluate_until(watch, LinkStep.SUSPECT, start=resumed_at) - resumed_at < 1.0
