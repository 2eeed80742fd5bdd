"""The example deployments have the specified sizes, start and answer calls."""

import json
from pathlib import Path

import attrs
import pytest
from result import Ok

from knapweedlead.load import LoadPlan
from knapweedlead.operators import load_resources
from knapweedlead.settings import DaemonSettings, load_settings
from standins.deployment import DeploymentPlan, run_deployment

EXAMPLES = Path(__file__).resolve().parents[1]

SIZES = {
    "granite_span": {
        "wear_history": (6, 150, 1000),
        "ticketing": (3, 300, 2000),
        "closures": (3, 300, 2000),
        "sign_offs": (3, 40, 350),
    },
    "crimpline": {
        "catalogue": (5, 120, 800),
        "bookings": (4, 150, 1000),
        "billing": (3, 200, 1300),
        "routes": (3, 30, 300),
    },
}

RUN_ONCE_ROUTES = {
    "granite_span": {"sign_offs", "closures", "tickets_new"},
    "crimpline": {"bookings", "deposits", "route_changes"},
}


@pytest.mark.parametrize("name", SIZES)
def test_servers_slots_and_connections_are_as_specified(name):
    plan = load_settings(DeploymentPlan, str(EXAMPLES / name / "deployment.json"))
    services = plan.unwrap().services
    sizes = {s.name: (s.servers, s.slots, s.connections) for s in services}
    assert sizes == SIZES[name]
    assert {len(service.data_centres) for service in services} == {3}


@pytest.mark.parametrize("name", SIZES)
def test_resources_contain_the_accounts_and_run_once_routes(name):
    resources = load_resources(str(EXAMPLES / name / "resources.json")).unwrap()
    by_kind = dict.fromkeys(("client_accounts", "data_centres", "keys"), 0)
    for resource in resources:
        by_kind[resource.kind] = by_kind.get(resource.kind, 0) + 1
    assert (by_kind["client_accounts"], by_kind["data_centres"]) == (8, 3)
    routes = [r.document for r in resources if r.kind == "routes"]
    once = {route["name"] for route in routes if not route["is_idempotent"]}
    assert once == RUN_ONCE_ROUTES[name]


@pytest.mark.parametrize("name", SIZES)
def test_settings_of_a_daemon_are_valid(name):
    path = str(EXAMPLES / name / "daemon.json")
    assert isinstance(load_settings(DaemonSettings, path), Ok)


@pytest.mark.parametrize("name", SIZES)
def test_deployment_starts_and_answers_every_call(name, tmp_path):
    for file in ("deployment.json", "resources.json"):
        (tmp_path / file).write_text((EXAMPLES / name / file).read_text())
    plan = load_settings(LoadPlan, str(EXAMPLES / name / "load.json")).unwrap()
    short = attrs.evolve(
        plan,
        duration_s=3.0,
        streams=tuple(
            attrs.evolve(s, surges=(), rate_per_s=min(s.rate_per_s, 20.0))
            for s in plan.streams
        ),
    )
    (tmp_path / "load.json").write_text(json.dumps(attrs.asdict(short)))
    report = run_deployment(str(tmp_path))
    assert sum(stream.answered for stream in report.streams) > 0
    assert [s.refusals_by_reason for s in report.streams] == [{}] * len(report.streams)
