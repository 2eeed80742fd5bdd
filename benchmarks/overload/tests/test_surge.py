"""Overload at three times the capacity: goodput, important requests, fair shares."""

import pytest

from benchmarks.overload import measurements
from benchmarks.overload.variants import CURRENT

MODELS = sorted(measurements.MODEL_BY_NAME)

MIN_GOODPUT = 0.95
"""Ratio of goodput to capacity when three times the capacity is offered."""

MAX_WRONGFUL_SHARE = 0.001
"""Share of requests within rate and capacity that were not served."""

MIN_SERVED_SHARE = 0.95
"""Share served of the worst-served account within its weighted share."""


@pytest.mark.parametrize("model", MODELS)
def test_goodput_stays_at_capacity_at_three_times_the_load(model):
    assert measurements.surge(model, CURRENT).goodput >= MIN_GOODPUT


@pytest.mark.parametrize("model", MODELS)
def test_important_requests_are_all_served_while_they_fit_into_capacity(model):
    assert measurements.surge(model, CURRENT).important == 1.0


def test_important_requests_are_all_served_on_overloaded_servers():
    name = "granite-span"
    assert measurements.more_important_share(name, "static") < 0.9
    assert measurements.more_important_share(name, CURRENT) == 1.0


@pytest.mark.parametrize("model", MODELS)
def test_surge_wastes_less_work_than_the_uncontrolled_baseline(model):
    baseline = measurements.surge(model, "uncontrolled")
    assert baseline.goodput < 0.5
    assert measurements.surge(model, CURRENT).wasted <= 0.1 * baseline.wasted


@pytest.mark.parametrize("model", MODELS)
@pytest.mark.parametrize("variant", ["uncontrolled", "static", "static, fair"])
def test_present_policies_are_no_worse_than_earlier_ones(model, variant):
    current, earlier = (
        measurements.surge(model, CURRENT),
        measurements.surge(model, variant),
    )
    assert current.goodput >= 0.98 * earlier.goodput
    assert current.important >= earlier.important


@pytest.mark.parametrize("model", MODELS)
def test_account_within_its_share_is_served_while_another_floods(model):
    assert measurements.worst_served_account(model, "static") < MIN_SERVED_SHARE
    assert measurements.worst_served_account(model, CURRENT) >= MIN_SERVED_SHARE


@pytest.mark.parametrize("model", MODELS)
def test_backlogged_accounts_are_served_by_weight(model):
    assert measurements.weighted_shares(model, CURRENT) >= 0.9


@pytest.mark.parametrize("model", MODELS)
def test_requests_within_capacity_are_not_refused(model):
    assert measurements.wrongful_refusals(model, CURRENT) < MAX_WRONGFUL_SHARE


def test_goodput_stays_near_capacity_after_capacity_loss():
    assert measurements.goodput_at_reduced_capacity("static") < 0.5
    assert measurements.goodput_at_reduced_capacity(CURRENT) >= 0.75


def test_figures_are_reproducible():
    repeated = measurements.worst_served_account.__wrapped__("crimpline", CURRENT)
    assert repeated == measurements.worst_served_account("crimpline", CURRENT)
