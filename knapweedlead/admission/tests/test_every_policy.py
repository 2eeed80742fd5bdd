"""Checks that every registered policy must pass."""

import ast
import inspect
import random
import sys
from pathlib import Path

import pytest

import knapweedlead.admission
from knapweedlead.admission import (
    COLD_STARTS,
    LIMITERS,
    QUEUES,
    AdmissionControl,
    CallMeasurement,
    QueuedCall,
)
from knapweedlead.errors import ParameterError
from knapweedlead.parameters import check_parameters
from knapweedlead.settings import AdmissionSettings

PARAMETERS = {"slots": 40, "cold_slots": 4, "cold_start_s": 5.0}

POLICIES = [
    pytest.param(cls, id=f"{registry.family}-{name}")
    for registry in (LIMITERS, QUEUES, COLD_STARTS)
    for name, cls in sorted(registry.by_name.items())
]

FORBIDDEN_MODULES = {"time", "asyncio", "random", "datetime", "threading"}


def parameters_of(cls):
    if cls.__init__ is object.__init__:
        return []
    return list(inspect.signature(cls.__init__).parameters)[1:]


def build(cls, **changes):
    names = parameters_of(cls)
    return cls(**{name: {**PARAMETERS, **changes}[name] for name in names})


@pytest.mark.parametrize("cls", POLICIES)
def test_constructor_stores_each_parameter_unchanged(cls):
    built = build(cls)
    for name in parameters_of(cls):
        assert getattr(built, name) == PARAMETERS[name]


@pytest.mark.parametrize("cls", POLICIES)
def test_each_parameter_has_a_constraint_that_rejects_invalid_values(cls):
    assert set(parameters_of(cls)) == set(cls.parameter_constraints)
    check_parameters(build(cls))
    for name in parameters_of(cls):
        with pytest.raises(ParameterError, match=name):
            check_parameters(build(cls, **{name: -1}))


@pytest.mark.parametrize("cls", POLICIES)
def test_each_time_dependent_method_receives_the_current_time(cls):
    time_dependent = {"observe", "advance", "fire", "push", "pop", "reserve"}
    for name, method in inspect.getmembers(cls, inspect.isfunction):
        if name in time_dependent:
            assert "now" in inspect.signature(method).parameters


@pytest.mark.parametrize("cls", POLICIES)
def test_module_of_a_policy_imports_no_clock_or_event_loop(cls):
    tree = ast.parse(Path(sys.modules[cls.__module__].__file__).read_text())
    imported = {
        alias.name.split(".")[0]
        for node in ast.walk(tree)
        if isinstance(node, ast.Import)
        for alias in node.names
    } | {
        node.module.split(".")[0]
        for node in ast.walk(tree)
        if isinstance(node, ast.ImportFrom)
    }
    assert not imported & FORBIDDEN_MODULES


@pytest.mark.parametrize("cls", POLICIES)
def test_policy_and_its_parameters_are_documented(cls):
    assert inspect.getdoc(cls)
    assert all(name in inspect.getdoc(cls) for name in parameters_of(cls))


def count_items(value, depth=0):
    """Count a value and, recursively, the items of its containers."""
    if depth > 8 or isinstance(value, str | bytes | int | float | type(None)):
        return 1
    if isinstance(value, dict):
        return sum(count_items(item, depth + 1) for item in value.values()) + 1
    if isinstance(value, list | set | tuple) or type(value).__name__ == "deque":
        return sum(count_items(item, depth + 1) for item in value) + 1
    names = getattr(type(value), "__slots__", ()) or vars(value)
    return 1 + sum(count_items(getattr(value, n, None), depth + 1) for n in names)


def start_all(control, now):
    return list(iter(lambda: control.dequeue(now), None))


@pytest.mark.parametrize("queue", sorted(QUEUES.by_name))
@pytest.mark.parametrize("limiter", sorted(set(LIMITERS.by_name) - {"none"}))
@pytest.mark.parametrize("cold_start", sorted(COLD_STARTS.by_name))
def test_state_stays_bounded_and_no_more_calls_run_than_slots(
    queue, limiter, cold_start
):
    control = AdmissionControl(40, 4, 1.0, limiter, queue, cold_start)
    rng = random.Random(5)
    running, sizes = [], []
    for run in range(12_000):
        now = run / 1000
        call = QueuedCall(
            run,
            f"account-{rng.randrange(3000)}",
            f"route-{rng.randrange(1000)}",
            rng.randrange(10),
            1.0,
            now,
            now + 1.0,
        )
        control.offer(call, now)
        running += start_all(control, now)
        assert control.in_flight <= 40
        if running and rng.random() < 0.5:
            ended = running.pop(rng.randrange(len(running)))
            times = CallMeasurement(
                ended.route, 0.02, 0.02, False, rng.random() < 0.1, True
            )
            control.end(ended.run, times, now)
        if run % 3000 == 2999:
            sizes.append(count_items(control))
    assert sizes[-1] <= 1.5 * sizes[1] + 1000


@pytest.mark.parametrize(
    ("field", "registry"),
    [("limiter", LIMITERS), ("queue", QUEUES), ("cold_start", COLD_STARTS)],
)
def test_settings_accept_exactly_the_registered_policies(field, registry):
    for name in registry.by_name:
        check_parameters(AdmissionSettings(**{field: name}))
    with pytest.raises(ParameterError, match=field):
        check_parameters(AdmissionSettings(**{field: "unregistered"}))


def test_each_exported_name_exists():
    for name in knapweedlead.admission.__all__:
        assert hasattr(knapweedlead.admission, name)
