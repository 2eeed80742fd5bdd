"""Calls that a stopping daemon still accepts."""

import pytest

from knapweedlead.mesh import StopSchedule


@pytest.mark.parametrize(
    ("shutdown_time", "late"), [(1.0, 100.6), (6.0, 102.6), (10.0, 103.1)]
)
def test_call_that_could_outlast_a_stop_after_callers_were_told(shutdown_time, late):
    end = 100.0 + shutdown_time
    schedule = StopSchedule.begin(100.0, shutdown_time, answer_until=end - 0.4)
    assert schedule.accepts(end + 1.0, 100.4)
    assert schedule.accepts(end - 0.5, late)
    assert not schedule.accepts(end, late)
