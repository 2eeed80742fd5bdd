"""When a daemon questions its peers, and when it doubts them."""

from knapweedlead.mesh import ASK_PERIOD, LinkStep, LinkWatch

START = 100.0
NEEDED = True
IDLE = False


def look_until(watch, step, is_needed=NEEDED, links=14, start=START):
    """Look until a step comes; return the time of that look."""
    for number in range(1, 100):
        now = start + number * ASK_PERIOD
        found = watch.look(is_needed, links, now)
        if found is step:
            return now
        if found in (LinkStep.ASK, LinkStep.SUSPECT):
            watch.asked(now)
    raise AssertionError(f"no {step} within 100 looks")


def test_silent_peer_is_doubted_within_a_second_and_dropped_within_five():
    watch = LinkWatch(START)
    assert look_until(watch, LinkStep.SUSPECT) - START < 1.0
    watch = LinkWatch(START)
    assert look_until(watch, LinkStep.DROP) - START < 5.0


def test_answer_ends_the_doubt():
    watch = LinkWatch(START)
    doubted_at = look_until(watch, LinkStep.SUSPECT)
    watch.heard(doubted_at)
    assert watch.look(NEEDED, 14, doubted_at + ASK_PERIOD) is LinkStep.ASK


def test_idle_links_of_a_large_fleet_share_few_questions():
    links = 569
    watches = [LinkWatch(START + number / links) for number in range(links)]
    asked = 0
    looks = 200
    for number in range(looks):
        now = START + 1.0 + number * ASK_PERIOD
        for watch in watches:
            if watch.look(IDLE, links, now) is LinkStep.ASK:
                watch.asked(now)
                watch.heard(now)
                asked += 1
    assert asked / (looks * ASK_PERIOD) < 50.0


def test_awaited_link_of_a_large_fleet_is_questioned_as_often_as_in_a_small_one():
    small = look_until(LinkWatch(START), LinkStep.SUSPECT, links=3)
    large = look_until(LinkWatch(START), LinkStep.SUSPECT, links=569)
    assert small == large


def test_daemon_that_was_paused_does_not_doubt_peers_whose_answers_are_unread():
    watch = LinkWatch(START)
    assert watch.look(NEEDED, 14, START + ASK_PERIOD) is LinkStep.ASK
    watch.asked(START + ASK_PERIOD)
    woken_at = START + 8.0
    assert watch.look(NEEDED, 14, woken_at) is LinkStep.ASK
    watch.asked(woken_at)
    assert look_until(watch, LinkStep.SUSPECT, start=woken_at) - woken_at < 1.0
