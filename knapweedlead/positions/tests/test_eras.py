"""Eras of the store: odd ones cost one answer, and positions are ordered as pairs."""

import pytest

from knapweedlead.positions import MAX_ERA, EraTracker, StorePosition

ODD = ["", "-1", "x", "3, 3", "1.5", "٣", "9" * 400, str(MAX_ERA + 1), str(MAX_ERA)]


@pytest.mark.parametrize("text", [*ODD, None])
def test_odd_era_outdates_no_later_answer(text):
    # Guards against one damaged header after which all sound answers are rejected.
    tracker = EraTracker()
    assert tracker.observe("3") == 3
    with pytest.raises(ValueError, match="expected"):
        tracker.observe(text)
    assert tracker.observe("3") == 3
    assert tracker.observe("4") == 4


def test_late_answer_of_an_older_era_is_rejected():
    tracker = EraTracker()
    tracker.observe("4")
    with pytest.raises(ValueError, match="era 4 or later"):
        tracker.observe("3")


def test_store_without_eras_is_in_era_0():
    tracker = EraTracker()
    assert tracker.observe(None) == tracker.observe(None) == 0


def test_position_of_a_later_era_is_later_whatever_its_revision():
    assert StorePosition(2, 1) > StorePosition(1, 900) > StorePosition(1, 899)
