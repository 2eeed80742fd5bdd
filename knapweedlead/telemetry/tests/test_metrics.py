"""Tests of the metrics: declared names, bounded label sets and text exposition."""

import ast
from pathlib import Path

import pytest
from prometheus_client.parser import text_string_to_metric_families

import knapweedlead
from knapweedlead.node import Count, Observe
from knapweedlead.requests import RefusalReason, RetryReason
from knapweedlead.telemetry import METRICS, Metrics, Reading
from knapweedlead.telemetry._catalogue import MAX_LABEL_SETS, SPEC_BY_NAME
from knapweedlead.telemetry._counters import OVERFLOW

PACKAGE = Path(knapweedlead.__file__).parent
METRICS_PAGE = PACKAGE.parent / "docs" / "METRICS.md"
SOURCES = [path for path in PACKAGE.rglob("*.py") if "tests" not in path.parts]


def parse_samples(metrics):
    families = text_string_to_metric_families(metrics.render().decode())
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in families
        for sample in family.samples
    }


def find_recorded_names(path):
    """Return the names passed to Count, Observe and Reading in a module."""
    tree = ast.parse(path.read_text("utf-8"))
    constants = {
        target.id: node.value.value
        for node in ast.walk(tree)
        if isinstance(node, ast.Assign) and isinstance(node.value, ast.Constant)
        for target in node.targets
        if isinstance(target, ast.Name)
    }
    for node in ast.walk(tree):
        is_call = isinstance(node, ast.Call) and isinstance(node.func, ast.Name)
        if not is_call or node.func.id not in ("Count", "Observe", "Reading"):
            continue
        first = node.args[0]
        if isinstance(first, ast.Constant):
            yield first.value
        elif isinstance(first, ast.Name) and first.id in constants:
            yield constants[first.id]


def test_recorded_names_are_exactly_the_declared_metrics():
    recorded = {name for path in SOURCES for name in find_recorded_names(path)}
    assert recorded | {OVERFLOW} == set(SPEC_BY_NAME)


def test_operator_api_problems_are_exactly_the_declared_reasons():
    trees = [ast.parse(path.read_text("utf-8")) for path in SOURCES]
    reasons = {
        node.args[1].value
        for tree in trees
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
        and isinstance(node.func, ast.Name)
        and node.func.id == "problem"
    }
    label = SPEC_BY_NAME["knapweedlead.operator.refusals"].labels[0]
    assert reasons == set(label.values)


def test_metric_is_declared_twice():
    names = [spec.name for spec in METRICS]
    assert len(names) == len(set(names))


def test_metrics_page_lists_every_metric_label_and_value_and_no_other_metric():
    page = METRICS_PAGE.read_text("utf-8")
    for spec in METRICS:
        assert f"`{spec.name}`" in page
        assert spec.description in page
        for label in spec.labels:
            assert f"`{label.name}`" in page
            assert all(f"`{value}`" in page for value in label.values)
    rows = [line.split("`")[1] for line in page.splitlines() if line[:3] == "| `"]
    assert {row for row in rows if "." in row} == set(SPEC_BY_NAME)


@pytest.mark.parametrize("reason", RefusalReason)
def test_each_refusal_reason_has_its_own_series(reason):
    metrics = Metrics()
    metrics.count(Count("knapweedlead.refusals", (("reason", reason.value),)))
    key = ("knapweedlead_refusals_total", (("reason", reason.value),))
    assert parse_samples(metrics)[key] == 1


@pytest.mark.parametrize("reason", RetryReason)
def test_each_retry_reason_has_its_own_series(reason):
    metrics = Metrics()
    metrics.count(Count("knapweedlead.retries", (("reason", reason.value),), 3))
    key = ("knapweedlead_retries_total", (("reason", reason.value),))
    assert parse_samples(metrics)[key] == 3


def test_counts_accumulate_across_scrapes():
    metrics = Metrics()
    for expected in (1, 2, 3):
        metrics.count(Count("knapweedlead.calls.answered"))
        samples = parse_samples(metrics)
        assert samples["knapweedlead_calls_answered_total", ()] == expected


@pytest.mark.parametrize(
    "effect",
    [
        Count("knapweedlead.nothing"),
        Count("knapweedlead.refusals", (("reason", "made_up"),)),
        Count("knapweedlead.refusals", (("caller", "cold"),)),
        Count("knapweedlead.refusals"),
    ],
)
def test_undeclared_measurement_counts_as_overflow_and_creates_no_series(effect):
    metrics = Metrics()
    metrics.count(effect)
    assert metrics.total_by_name_and_labels == {(OVERFLOW, ()): 1}


def test_label_sets_of_readings_are_limited():
    readings = [
        Reading("knapweedlead.members", 1, (("state", str(number)),))
        for number in range(MAX_LABEL_SETS * 2)
    ]
    samples = parse_samples(Metrics(read_gauges=lambda: readings))
    names = [name for name, _ in samples if name.startswith("knapweedlead_members")]
    assert len(names) == MAX_LABEL_SETS


def test_durations_are_exposed_as_cumulative_buckets_with_sum_and_count():
    metrics = Metrics()
    for seconds in (0.001, 0.002, 0.3, 60.0):
        metrics.observe(Observe("knapweedlead.guard.service_time", seconds))
    samples = parse_samples(metrics)
    name = "knapweedlead_guard_service_time_seconds"
    assert samples[f"{name}_bucket", (("le", "0.001"),)] == 1
    assert samples[f"{name}_bucket", (("le", "0.5"),)] == 3
    assert samples[f"{name}_bucket", (("le", "+Inf"),)] == 4
    assert samples[f"{name}_count", ()] == 4
    assert samples[f"{name}_sum", ()] == pytest.approx(60.303)
