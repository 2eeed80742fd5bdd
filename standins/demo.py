"""Demo of overload protection with fake backend servers, in under a minute.

Two data centres run a chain of three services with high- and low-priority routes.
One of two client accounts surges, and a backend server is killed and restarted cold
during the load.
"""

import hashlib
import json
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

from knapweedlead.load import (
    LoadPlan,
    LoadReportDocument,
    StreamPlan,
    SurgePlan,
    render_report,
)
from standins.deployment import apply_resources, send_load, wait_until_known
from standins.fleet import Fleet

DURATION = 16.0
"""Duration of the load, in seconds."""
KILL_AFTER = 4.0
"""Seconds from the start of the load until a backend server is killed."""
RESTART_AFTER = 2.0
"""Seconds from the kill until the backend server is restarted."""

KEY_BY_ACCOUNT = {"steady": "demo-key-of-steady", "surging": "demo-key-of-surging"}

RESOURCES: dict[str, Any] = {
    "services": [
        {"name": name, "cold_slots": 4, "cold_start_s": 4.0}
        for name in ("front", "middle", "deep")
    ],
    "data_centres": [{"name": "east"}, {"name": "west"}],
    "client_accounts": [
        {"name": "steady", "rate_per_s": 200, "burst": 100},
        {"name": "surging", "rate_per_s": 200, "burst": 100},
    ],
    "keys": [
        {
            "name": f"{account}_1",
            "client_account": account,
            "sha256": hashlib.sha256(key.encode()).hexdigest(),
        }
        for account, key in KEY_BY_ACCOUNT.items()
    ],
    "routes": [
        {
            "name": "orders",
            "path_prefix": "/orders",
            "service": "front",
            "priority": 0,
            "is_idempotent": False,
        },
        {
            "name": "browse",
            "path_prefix": "/browse",
            "service": "front",
            "priority": 6,
            "is_idempotent": True,
        },
        {
            "name": "middle",
            "path_prefix": "/middle",
            "service": "middle",
            "priority": 6,
            "is_idempotent": True,
        },
        {
            "name": "deep",
            "path_prefix": "/deep",
            "service": "deep",
            "priority": 6,
            "is_idempotent": True,
        },
    ],
}


def _start_servers(fleet: Fleet) -> None:
    plans = [
        ("front", ["/middle/step"]),
        ("middle", ["/deep/step"]),
        ("deep", []),
    ]
    for service, child_paths in plans:
        for data_centre in ("east", "west"):
            server = fleet.prepare(
                f"{service}-{data_centre}",
                service,
                data_centre,
                "region-1",
                1000,
                slots=16,
                service_s=0.02,
                cold_slots=4,
                cold_s=4.0,
                child_paths=child_paths,
            )
            fleet.start_backend_server(server)
            fleet.start_daemon(server)
    for server in fleet.by_name.values():
        fleet.wait_for(server)


def _kill_and_restart(fleet: Fleet) -> None:
    server = fleet.by_name["deep-east"]
    time.sleep(KILL_AFTER)
    assert server.backend_server is not None
    server.backend_server.kill()
    print("backend server deep-east killed", flush=True)
    time.sleep(RESTART_AFTER)
    fleet.start_backend_server(server)
    print("backend server deep-east restarted cold", flush=True)


def _plan() -> LoadPlan:
    def stream(name: str, account: str, path: str, rate: float, **more: Any) -> Any:
        return StreamPlan(
            name=name,
            client_account=account,
            key=KEY_BY_ACCOUNT[account],
            path=path,
            rate_per_s=rate,
            retries=1,
            deadline_ms=2000,
            **more,
        )

    surge = (SurgePlan(start_s=3.0, duration_s=8.0, factor=10.0),)
    order = {"method": "POST", "priority": 0, "sends_idempotency_key": True}
    return LoadPlan(
        targets=("127.0.0.1:1",),
        duration_s=DURATION,
        streams=(
            stream("orders", "steady", "/orders/new", 15.0, **order),
            stream("browse", "steady", "/browse/list", 40.0, priority=6),
            stream("surge", "surging", "/browse/list", 40.0, priority=6, surges=surge),
        ),
    )


def _summary(report: LoadReportDocument) -> str:
    refusals: Counter[str] = Counter()
    for stream in report.streams:
        refusals.update(stream.refusals_by_reason)
    reasons = ", ".join(f"{k} {n}" for k, n in refusals.most_common()) or "none"
    return "\n".join(
        [
            f"goodput: {sum(s.goodput_per_s for s in report.streams):.1f} calls/s",
            f"refusals and failures by reason: {reasons}",
            f"caller retries: {sum(s.retries for s in report.streams)}",
        ]
    )


def main() -> None:
    """Run the demo."""
    with Fleet() as fleet:
        _start_servers(fleet)
        print(f"{len(fleet.by_name)} backend servers and daemons started", flush=True)
        wait_until_known(fleet)
        path = Path(fleet.directory) / "resources.json"
        path.write_text(json.dumps(RESOURCES), "utf-8")
        apply_resources(fleet, path)
        print("resources are active; sending load", flush=True)
        restart_thread = threading.Thread(target=_kill_and_restart, args=(fleet,))
        restart_thread.start()
        report = send_load(fleet, _plan())
        restart_thread.join()
    print(render_report(report))
    print(_summary(report))


if __name__ == "__main__":
    main()
