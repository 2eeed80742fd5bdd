"""A start of a backend server that left stays closed at entries that know of it."""

import pytest

from knapweedlead.errors import ParameterError
from knapweedlead.mesh import Departures, ServerState


def state(instance="i-1", born=1000, **changes):
    """Return the state of an open server."""
    fields = {"service": "lines", "is_open": True, "limit": 4} | changes
    return ServerState(instance, born=born, **fields)


def test_server_that_left_is_open_again_after_a_restart_of_its_daemon():
    departures = Departures()
    departures.apply(state(is_open=False, is_leaving=True))
    corrected = departures.apply(state())
    assert not corrected.is_open
    assert corrected.is_leaving


def test_server_closed_for_another_reason_is_not_taken_for_one_that_left():
    departures = Departures()
    departures.apply(state(is_open=False))
    assert departures.apply(state()).is_open


def test_next_start_under_the_same_name_is_not_taken_for_the_one_that_left():
    departures = Departures()
    departures.apply(state(is_open=False, is_leaving=True))
    assert departures.apply(state(born=2000)).is_open


def test_server_without_a_known_start_time_is_never_kept_closed():
    departures = Departures()
    departures.apply(state(born=0, is_open=False, is_leaving=True))
    assert departures.apply(state(born=0)).is_open


def test_oldest_departures_are_forgotten_first():
    departures = Departures(max_count=2)
    for number in range(3):
        departures.apply(state(born=number + 1, is_open=False, is_leaving=True))
    assert departures.apply(state(born=1)).is_open
    assert not departures.apply(state(born=2)).is_open


def test_invalid_count_is_named():
    with pytest.raises(ParameterError, match="max_count"):
        Departures(max_count=0)
