"""Runs a deployment from files with fake backend servers and sends load to it.

A directory holds ``deployment.json`` (servers), ``resources.json`` and
``load.json``. ``python -m standins.deployment examples/granite_span`` starts the
processes on loopback, applies the resources, sends the load and prints a report.
"""

import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, ClassVar, TypeVar

import attrs
import fire
import uvloop
from result import Err

from knapweedlead.load import (
    LoadGenerator,
    LoadPlan,
    LoadReportDocument,
    build_report,
    render_report,
)
from knapweedlead.parameters import Constraint, InstanceOf, Interval
from knapweedlead.settings import load_settings
from standins.fleet import Fleet, call

T = TypeVar("T")

EXIT_BAD_FILE = 2

SETTLE_TIMEOUT = 30.0
"""Limit, in seconds, for all daemons to reach a common state."""
POLL_SECONDS = 0.1


@attrs.frozen
class NameList:
    """Constraint: a non-empty list of names."""

    def accepts(self, value: object) -> bool:
        """Return whether `value` is a non-empty list of strings."""
        return (
            isinstance(value, list | tuple)
            and bool(value)
            and all(isinstance(item, str) for item in value)
        )

    def describe(self) -> str:
        """Return a description of the expected value."""
        return "a list of names"


@attrs.frozen
class ServicePlan:
    """A service and its backend servers, assigned to data centres round-robin."""

    name: str
    data_centres: tuple[str, ...]
    servers: int
    slots: int
    connections: int
    cold_slots: int
    cold_start_s: float
    service_s: float
    child_paths: tuple[str, ...] = ()

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "name": InstanceOf(str),
        "data_centres": NameList(),
        "servers": Interval(int, 1, 1000, "servers"),
        "slots": Interval(int, 1, 100_000, "calls"),
        "connections": Interval(int, 1, 100_000, "connections"),
        "cold_slots": Interval(int, 1, 100_000, "calls"),
        "cold_start_s": Interval(float, 0.0, 3600.0, "s"),
        "service_s": Interval(float, 0.0, 60.0, "s"),
        "child_paths": NameList(),
    }


@attrs.frozen
class DeploymentPlan:
    """Region and services of a deployment."""

    region: str
    services: tuple[ServicePlan, ...]

    parameter_constraints: ClassVar[dict[str, Constraint]] = {"region": InstanceOf(str)}


def start_servers(fleet: Fleet, plan: DeploymentPlan) -> None:
    """Start every server of a plan and wait until all listen."""
    for service in plan.services:
        for number in range(service.servers):
            server = fleet.prepare(
                f"{service.name}-{number + 1}",
                service.name,
                service.data_centres[number % len(service.data_centres)],
                plan.region,
                service.connections,
                slots=service.slots,
                service_s=service.service_s,
                cold_slots=service.cold_slots,
                cold_s=service.cold_start_s,
                child_paths=list(service.child_paths),
            )
            fleet.start_backend_server(server)
            fleet.start_daemon(server)
    for server in fleet.by_name.values():
        fleet.wait_for(server)


def apply_resources(fleet: Fleet, path: Path) -> None:
    """Apply a resource file with ``knapweedleadctl`` and wait until it is active.

    Raises
    ------
    RuntimeError
        If the command fails.
    """
    done = fleet.run_operator_command("apply", f"--file={path}", "--wait")
    if done.returncode:
        raise RuntimeError(f"knapweedleadctl apply failed: {done.stdout}{done.stderr}")
    wait_until_in_force(fleet)


def wait_until_known(fleet: Fleet) -> None:
    """Wait until each daemon reports every member as alive."""

    def knows_all(status: dict[str, Any]) -> bool:
        alive = [m for m in status["members"] if m["state"] == "alive"]
        return len(alive) == len(fleet.by_name)

    _wait_for_each(fleet, "every member is alive", knows_all)


def wait_until_in_force(fleet: Fleet) -> None:
    """Wait until no daemon is below the highest revision reported at the start."""
    revisions = [_status(fleet, name)["revision"] for name in fleet.by_name]
    highest = max(revisions)
    _wait_for_each(
        fleet,
        f"revision {highest} is active",
        lambda status: bool(status["revision"] >= highest),
    )


def _status(fleet: Fleet, name: str) -> Any:
    headers = {"Authorization": f"Bearer {fleet.operator_credential}"}
    address = fleet.by_name[name].operator_address
    return call(address, "/v1/status", headers=headers)[1]


def _wait_for_each(
    fleet: Fleet, condition: str, is_reached: Callable[[dict[str, Any]], bool]
) -> None:
    deadline = time.monotonic() + SETTLE_TIMEOUT
    waiting = set(fleet.by_name)
    while waiting and time.monotonic() < deadline:
        name = next(iter(waiting))
        if is_reached(_status(fleet, name)):
            waiting.discard(name)
        else:
            time.sleep(POLL_SECONDS)
    if waiting:
        raise TimeoutError(f"{condition}: not reached at {sorted(waiting)}")


def send_load(fleet: Fleet, plan: LoadPlan) -> LoadReportDocument:
    """Send load to all daemons of the fleet and return the report."""
    targets = tuple(server.caller_address for server in fleet.by_name.values())
    plan = attrs.evolve(plan, targets=targets)
    generator = LoadGenerator(plan)
    return build_report(plan, uvloop.run(generator.run()))


def run_deployment(directory: str) -> LoadReportDocument:
    """Start the deployment in a directory, send its load and print the report."""
    root = Path(directory)
    deployment = _load(DeploymentPlan, root / "deployment.json")
    load = _load(LoadPlan, root / "load.json")
    with Fleet() as fleet:
        start_servers(fleet, deployment)
        print(f"{len(fleet.by_name)} servers and daemons started", flush=True)
        wait_until_known(fleet)
        apply_resources(fleet, root / "resources.json")
        print("resources are active on every member", flush=True)
        report = send_load(fleet, load)
    print(render_report(report))
    return report


def _load(cls: type[T], path: Path) -> T:
    loaded = load_settings(cls, str(path))
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        raise SystemExit(EXIT_BAD_FILE)
    return loaded.ok_value


def main(directory: str) -> None:
    """Run the deployment in a directory and print the load report."""
    run_deployment(directory)


if __name__ == "__main__":
    fire.Fire(main)
