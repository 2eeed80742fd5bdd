"""The list of daemons among which rates are divided, and when it counts as whole."""

from knapweedlead.mesh import Member
from knapweedlead.mesh._roster import ABSENCE_TIME, RETENTION, SETTLING_TIME, Roster

NAMES = frozenset(f"d{number}" for number in range(5))


def members(*names):
    """Return members by name."""
    return {name: Member(name, "10.0.0.1:1", "front", "north") for name in names}


def test_list_with_this_daemon_is_whole_at_once():
    # Guards against sound starts that have to wait for their share of the rates.
    for listed, known in ((NAMES, frozenset()), ((), NAMES)):
        roster = Roster("d0")
        assert not roster.is_whole(0.0)
        roster.replace(members(*listed), known, 0.0)
        assert roster.is_whole(0.0)
        assert roster.names(0.0) == NAMES


def test_list_without_this_daemon_is_whole_once_it_has_settled():
    roster = Roster("d0")
    roster.replace(members("d1"), frozenset(), 0.0)
    joined_at = SETTLING_TIME - 0.1
    roster.replace(members("d0", "d1", "d2"), frozenset(), joined_at)
    assert not roster.is_whole(joined_at + SETTLING_TIME - 0.1)
    assert roster.is_whole(joined_at + SETTLING_TIME)
    roster.replace(members("d0", "d1", "d2", "d3"), frozenset(), 9.0)
    assert roster.is_whole(9.0)


def test_daemon_that_is_not_listed_has_no_share():
    # Guards against a share that the other daemons do not leave to it.
    roster = Roster("d0")
    roster.replace(members("d1"), frozenset(), 0.0)
    assert not roster.is_whole(100.0)


def test_daemons_whose_leases_end_together_still_count():
    roster = Roster("d0")
    roster.replace(members(*NAMES), NAMES, 0.0)
    roster.replace({}, NAMES, 1.0)
    assert roster.is_whole(1.0)
    assert roster.names(1.0 + 2 * RETENTION) == NAMES


def test_daemon_is_gone_after_its_absence_and_not_before():
    roster = Roster("d0")
    roster.replace(members("d0", "d1"), frozenset({"d0", "d1"}), 0.0)
    roster.replace(members("d0"), frozenset({"d0", "d1"}), 1.0)
    assert roster.gone_names(1.0 + ABSENCE_TIME) == []
    roster.replace(members("d0"), frozenset({"d0", "d1"}), 5.0)
    assert roster.gone_names(1.1 + ABSENCE_TIME) == ["d1"]
    roster.replace(members("d0", "d1"), frozenset({"d0", "d1"}), 20.0)
    assert roster.gone_names(100.0) == []
