"""Choice of the backend server for a call, in small and large fleets."""

import random
from collections import Counter

import pytest

from knapweedlead.mesh import PLACEMENTS, ServerState, Target

DATA_CENTRES = ("north", "south", "west")


def make_targets(count, **changes):
    """Return open targets, listed by data centre as in the store."""
    fields = {"is_open": True, "limit": 40, "service_time": 0.05}
    state = ServerState(**(fields | changes))
    return [
        Target(
            name=f"{data_centre}-{number}",
            data_centre=data_centre,
            service="lines",
            channel=None,
            is_up=True,
            state=state,
        )
        for data_centre in DATA_CENTRES
        for number in range(count // len(DATA_CENTRES))
    ]


@pytest.fixture(params=sorted(PLACEMENTS.by_name))
def placement(request):
    fields = {"data_centre": "north"} if request.param == "least_cost" else {}
    return PLACEMENTS.create(request.param, **fields)


def test_only_open_targets_are_chosen(placement):
    rng = random.Random(3)
    targets = make_targets(60, is_open=False)
    assert placement.choose(targets, rng) is None
    targets[37].state = ServerState(is_open=True, limit=4)
    chosen = {placement.choose(targets, rng).name for _ in range(40)}
    assert chosen == {targets[37].name}


def test_tried_targets_are_excluded(placement):
    rng = random.Random(4)
    targets = make_targets(3)
    assert placement.choose(targets, rng, {t.name for t in targets}) is None
    excluded = {targets[0].name, targets[1].name}
    assert placement.choose(targets, rng, excluded) is targets[2]


def test_large_service_is_loaded_evenly_with_outdated_loads():
    rng = random.Random(5)
    placement = PLACEMENTS.create("least_cost", data_centre="elsewhere")
    targets = make_targets(48)
    received = Counter(
        placement.choose(targets, rng).name for _ in range(len(targets) * 100)
    )
    assert len(received) == len(targets)
    assert max(received.values()) < 100 * 3


def test_local_targets_are_preferred_until_they_are_full():
    rng = random.Random(6)
    placement = PLACEMENTS.create("least_cost", data_centre="north")
    targets = make_targets(48)
    local = sum(
        placement.choose(targets, rng).data_centre == "north" for _ in range(500)
    )
    assert local == 500
    for target in targets:
        target.load = 60 if target.data_centre == "north" else 4
    remote = sum(
        placement.choose(targets, rng).data_centre != "north" for _ in range(500)
    )
    assert remote == 500
