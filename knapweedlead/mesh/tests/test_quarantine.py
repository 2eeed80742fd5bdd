"""Requests that end the backend servers which run them, and requests beside them."""

import pytest

from knapweedlead.mesh import (
    Completion,
    Failure,
    LostRun,
    Quarantined,
    Reason,
    RequestQuarantine,
    ServerEnd,
)
from knapweedlead.mesh._quarantine import (
    BODY_SAMPLE,
    FIRST_QUARANTINE,
    KNOWN_TIME,
    MAX_QUARANTINE,
    MAX_SUSPECTS,
    MIN_ENDS_IF_KNOWN,
    MIN_TIME_IF_KNOWN,
    SUSPICION_LIFETIME,
    RecentRequests,
    fingerprint,
)
from knapweedlead.mesh._server_ends import CONFIRMATION_TIME, ServerEnds
from knapweedlead.mesh.tests.harness import OK, GuardHarness, make_report
from knapweedlead.mesh.tests.poisoned_fleet import PoisonedFleet

HEAD = b"GET /read/1 HTTP/1.1\r\nhost: h\r\n"
REQUEST = "read", HEAD, b""
NAME = fingerprint(*REQUEST)
NORMAL = {"/read/normal-*": 300.0}
POISONED = NORMAL | {"/read/deadly": 9.0}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_request_that_ends_its_servers_takes_few_of_them(seed):
    # Guards against callers who repeat such a request, and retries of daemons, that
    # end all servers of a service again and again.
    fleet = PoisonedFleet(seed=seed)
    fleet.run_for(2.0, NORMAL)
    fleet.run_for(15.0, POISONED)
    assert fleet.ends <= 4
    assert fleet.served_share("/read/normal") > 0.97
    refusals = fleet.refused_by_path["/read/deadly"]
    assert (503, Reason.QUARANTINED) in refusals
    assert all(
        status == 502 or reason in (Reason.QUARANTINED, Reason.NO_BACKEND_SERVER)
        for status, reason in refusals
    )


def test_refused_request_has_not_run():
    fleet = PoisonedFleet()
    fleet.run_for(2.0, NORMAL)
    fleet.run_for(5.0, POISONED)
    fleet.runs.clear()
    fleet.run_for(5.0, POISONED)
    assert not any(fleet.is_deadly(ticket) for ticket in fleet.runs)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_frequent_request_beside_a_deadly_one_is_not_refused(seed):
    # Guards against quarantine of what merely runs wherever another request ends
    # servers.
    fleet = PoisonedFleet(seed=seed)
    popular = NORMAL | {"/read/popular": 100.0}
    fleet.run_for(2.0, popular)
    fleet.run_for(10.0, popular | {"/read/deadly": 9.0})
    refusals = fleet.refused_by_path.get("/read/popular", [])
    assert Reason.QUARANTINED not in {reason for _, reason in refusals}
    assert fleet.served_share("/read/popular") > 0.97


def test_requests_at_servers_that_all_end_at_once_are_served_after_their_return():
    fleet = PoisonedFleet(deadly="-")
    load = {"/read/popular": 200.0, "/read/rare": 3.0}
    fleet.run_for(2.0, load)
    for _ in range(3):
        for server in fleet.servers:
            server.end(fleet.now)
        fleet.run_for(6.0, load)
    fleet.answered_by_path.clear()
    fleet.refused_by_path.clear()
    fleet.run_for(3.0, load)
    assert fleet.served_share("/read/") == 1.0


def test_request_that_no_longer_ends_servers_is_served_after_its_quarantine():
    fleet = PoisonedFleet()
    fleet.run_for(2.0, NORMAL)
    fleet.run_for(3.0, POISONED)
    ends = fleet.ends
    fleet.deadly = "-"
    fleet.run_for(FIRST_QUARANTINE, {"/read/deadly": 2.0})
    fleet.refused_by_path.clear()
    fleet.run_for(2.0, {"/read/deadly": 9.0})
    assert fleet.ends == ends
    assert not fleet.refused_by_path


class Announced:
    """A quarantine with its announcements, and ends of servers under one request."""

    def __init__(self):
        self.announcements = []
        self.quarantine = RequestQuarantine(self.announcements.append)

    def end(self, now, ran=0.1, ended_ago=0.0, is_known=False, name=NAME):
        """Apply the end of a server; return what is quarantined by it."""
        run = LostRun(name, ran + ended_ago, ended_ago, is_known)
        end = ServerEnd("i", 1, (run,))
        return self.quarantine.apply_end(end, now)

    def remaining(self, now):
        return self.quarantine.remaining(*REQUEST, now)


def test_one_end_of_a_server_is_no_evidence():
    announced = Announced()
    assert announced.end(100.0) == []
    assert announced.remaining(100.0) == 0.0


def test_runs_at_the_same_time_count_once():
    announced = Announced()
    announced.end(100.0, ran=0.5)
    for number in range(10):
        assert announced.end(100.0 + 0.01 * number, ran=0.5) == []


def test_second_end_of_a_later_run_is_evidence():
    announced = Announced()
    announced.end(100.0)
    assert announced.end(100.3) == [Quarantined(NAME, FIRST_QUARANTINE)]
    assert announced.remaining(110.3) == pytest.approx(FIRST_QUARANTINE - 10.0)
    other = "read", HEAD.replace(b"/1 ", b"/2 "), b""
    assert announced.quarantine.remaining(*other, 110.3) == 0.0


def test_run_that_started_while_the_report_was_on_its_way_counts():
    announced = Announced()
    announced.end(100.2, ended_ago=0.2)
    assert announced.end(100.3, ran=0.2)


def test_request_that_completed_recently_needs_more_evidence():
    announced = Announced()
    for number in range(2 * MIN_ENDS_IF_KNOWN):
        assert announced.end(100.0 + 0.3 * number, is_known=number == 1) == []
    assert announced.end(100.0 + MIN_TIME_IF_KNOWN)


def test_request_that_completed_recently_needs_several_ends():
    announced = Announced()
    for number in range(MIN_ENDS_IF_KNOWN - 1):
        now = 100.0 + number * MIN_TIME_IF_KNOWN
        assert announced.end(now, is_known=True) == []
    assert announced.end(100.0 + MIN_ENDS_IF_KNOWN * MIN_TIME_IF_KNOWN)


def test_completed_run_ends_the_suspicion_and_is_announced():
    announced = Announced()
    announced.end(100.0)
    announced.quarantine.report_completion(*REQUEST, 100.1, 100.2)
    assert announced.announcements == [Completion((NAME,))]
    assert not announced.quarantine.has_suspects
    assert announced.end(100.5) == []


def test_run_that_began_before_the_first_end_proves_nothing():
    announced = Announced()
    announced.end(100.0)
    announced.quarantine.report_completion(*REQUEST, 99.9, 100.2)
    assert announced.announcements == []
    assert announced.end(100.5)


def test_one_end_after_a_quarantine_is_enough_for_a_longer_one():
    announced = Announced()
    announced.end(100.0)
    announced.end(101.0)
    now = 101.0
    seconds = FIRST_QUARANTINE
    for _ in range(8):
        now += seconds + 1.0
        assert announced.remaining(now) == 0.0
        seconds = min(MAX_QUARANTINE, 2.0 * seconds)
        assert announced.end(now) == [Quarantined(NAME, seconds)]


def test_suspicion_ends_after_a_while():
    announced = Announced()
    announced.end(100.0)
    assert announced.end(101.0 + SUSPICION_LIFETIME) == []


def test_number_of_suspects_is_bounded():
    announced = Announced()
    for number in range(MAX_SUSPECTS + 100):
        announced.end(100.0, name=b"%08d" % number)
    assert len(announced.quarantine._suspect_by_fingerprint) == MAX_SUSPECTS


def test_daemon_that_starts_learns_of_quarantines_from_a_peer():
    announced = Announced()
    announced.end(100.0)
    announced.end(101.0)
    newcomer = Announced()
    newcomer.quarantine.apply_quarantined(announced.quarantine.quarantined(111.0), 5.0)
    assert newcomer.remaining(5.0) == pytest.approx(FIRST_QUARANTINE - 10.0)
    assert newcomer.end(6.0 + FIRST_QUARANTINE) != []


def test_absurd_quarantine_of_a_peer_is_limited():
    announced = Announced()
    announced.quarantine.apply_quarantined([Quarantined(NAME, 1e12)], 5.0)
    assert announced.remaining(5.0) == MAX_QUARANTINE


@pytest.mark.parametrize(
    "other",
    [
        ("write", HEAD, b""),
        ("read", HEAD.replace(b"GET", b"POST"), b""),
        ("read", HEAD.replace(b"/1 ", b"/1?a=b "), b""),
        ("read", HEAD, b"body"),
    ],
)
def test_fingerprint_tells_requests_apart(other):
    assert fingerprint(*other) != NAME


def test_fingerprint_ignores_headers_and_reads_a_bounded_part_of_a_body():
    other = HEAD + b"knapweed-trace: 7\r\n"
    assert fingerprint("read", other, b"") == NAME
    large = bytes(10 * BODY_SAMPLE)
    middle = large[: 5 * BODY_SAMPLE] + b"x" + large[5 * BODY_SAMPLE + 1 :]
    assert fingerprint("read", HEAD, large) == fingerprint("read", HEAD, middle)
    assert fingerprint("read", HEAD, large) != fingerprint("read", HEAD, large + b"x")


def test_recent_requests_are_forgotten():
    recent = RecentRequests()
    recent.add(*REQUEST, 100.0)
    assert recent.contains(*REQUEST)
    for step in range(1, 4):
        other = "read", b"GET /%d HTTP/1.1\r\n" % step, b""
        recent.add(*other, 100.0 + step * KNOWN_TIME)
    assert not recent.contains(*REQUEST)


class LostRuns:
    """Runs at a server that lose their connection."""

    def __init__(self):
        self.ends = ServerEnds()
        self.harness = GuardHarness()

    def ticket(self, started_at, start=("i-1", 1000)):
        ticket = self.harness.ticket(started_at)
        ticket.head = HEAD
        ticket.started_at = started_at
        ticket.server_start = start
        return ticket


def test_lost_run_alone_does_not_show_that_the_server_ended():
    lost = LostRuns()
    lost.ends.record_lost(lost.ticket(100.0), 100.1)
    assert lost.ends.confirm(100.2, ("i-1", 1000)) is None
    lost.ends.record_answer(lost.ticket(100.2), 100.3)
    assert lost.ends.confirm(100.4, None) is None


def test_answer_to_an_earlier_call_does_not_show_that_the_server_goes_on():
    lost = LostRuns()
    lost.ends.record_lost(lost.ticket(100.0), 100.1)
    lost.ends.record_answer(lost.ticket(100.05), 100.1)
    end = lost.ends.confirm(100.2, None)
    assert (end.instance, end.born) == ("i-1", 1000)


def test_refused_connection_shows_that_the_server_ended():
    lost = LostRuns()
    lost.ends.record_lost(lost.ticket(100.0), 100.1)
    lost.ends.record_lost(lost.ticket(100.05), 100.1)
    end = lost.ends.confirm(100.2, None)
    times = [(run.started_ago, run.ended_ago) for run in end.runs]
    assert times == [pytest.approx((0.2, 0.1)), pytest.approx((0.15, 0.1))]
    assert lost.ends.confirm(100.3, None) is None


def test_heartbeat_of_another_start_shows_that_the_server_ended():
    lost = LostRuns()
    lost.ends.record_lost(lost.ticket(100.0), 100.1)
    assert lost.ends.confirm(100.2, ("i-1", 1000)) is None
    assert lost.ends.confirm(100.3, ("i-2", 2000)).instance == "i-1"


def test_end_long_after_a_lost_run_says_nothing_about_its_request():
    lost = LostRuns()
    lost.ends.record_lost(lost.ticket(100.0), 100.1)
    assert lost.ends.confirm(100.2 + CONFIRMATION_TIME, None) is None


def test_guard_refuses_a_quarantined_request_and_reports_the_end_of_its_server():
    harness = GuardHarness()
    guard = harness.guard
    for now, instance in ((100.0, "i-2"), (104.0, "i-3")):
        ticket = harness.offer(now, head=HEAD)
        guard.failed(ticket, Failure(Reason.FAILED, True, True), now + 0.1)
        report = make_report(instance=instance, born=int(now * 1000))
        guard.apply_report(report, now + 3.0)
        guard.monitor.is_proven = True
    assert [end.instance for end in harness.announcements] == ["i-1", "i-2"]
    harness.sender.failures.clear()
    harness.offer(108.0, head=HEAD)
    ((_, failure),) = harness.sender.failures
    assert failure.reason is Reason.QUARANTINED
    assert not failure.may_have_run
    assert 0.0 < failure.retry_after <= FIRST_QUARANTINE
    harness.offer(108.0, head=HEAD.replace(b"/1 ", b"/2 "))
    assert len(harness.sender.failures) == 1


def test_guard_announces_that_a_suspect_request_completed():
    harness = GuardHarness()
    guard = harness.guard
    ticket = harness.offer(100.0, head=HEAD)
    guard.failed(ticket, Failure(Reason.FAILED, True, True), 100.1)
    guard.record_refused_connection(100.2)
    guard.answered(harness.offer(101.0, head=HEAD), OK, 101.1)
    assert harness.announcements[1:] == [Completion((fingerprint("read", HEAD, b""),))]


def test_broken_off_answers_of_a_server_that_goes_on_are_no_ends():
    harness = GuardHarness()
    guard = harness.guard
    for number in range(20):
        now = 100.0 + number
        ticket = harness.offer(now, head=HEAD)
        guard.failed(ticket, Failure(Reason.FAILED, True, True), now + 0.1)
        guard.answered(harness.offer(now + 0.2, head=HEAD), OK, now + 0.3)
    guard.record_refused_connection(200.0)
    assert harness.announcements == []
