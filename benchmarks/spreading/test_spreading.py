"""Regression bounds of spreading changes, as ratios to the target of 7 s."""

import pytest

from benchmarks.control import TARGET_PROPAGATION_SECONDS
from benchmarks.spreading._measure import measure_spreads

COUNT = 60
CHANGES = 3
MAX_RATIO = 0.5
MAX_MESSAGES = 16.0
"""Messages per change and daemon."""


@pytest.mark.parametrize("spreading", ["flood", "gossip", "partitioned_tree"])
@pytest.mark.parametrize(("loss", "relays_lost"), [(0.0, 0), (0.1, 0), (0.0, 12)])
def test_change_is_active_on_all_daemons_well_within_the_target(
    spreading: str, loss: float, relays_lost: int
) -> None:
    spreads = measure_spreads(spreading, COUNT, loss, CHANGES, 1, relays_lost)
    assert (
        max(spread.seconds for spread in spreads) / TARGET_PROPAGATION_SECONDS
        < MAX_RATIO
    )
    assert max(spread.messages for spread in spreads) < MAX_MESSAGES
