"""Simulated cores serve a call chain and are reproducible."""

import hashlib
import json

from standins.cores import CoreBackendServer, Cores

KEY = "key-of-the-cores"
CALLER = {"authorization": f"Bearer {KEY}"}


def catalogue():
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    routes = [
        {
            "name": service,
            "path_prefix": f"/{service}",
            "service": service,
            "priority": 1,
            "is_idempotent": True,
        }
        for service in ("front", "back")
    ]
    resources = {
        "client_accounts": [{"name": "crew", "rate_per_s": 50, "burst": 50}],
        "keys": [{"name": "crew-1", "client_account": "crew", "sha256": digest}],
        "routes": routes,
        "services": [{"name": "front"}, {"name": "back"}],
        "data_centres": [{"name": "dc1"}, {"name": "dc2"}],
    }
    return json.dumps({"revision": 1, "resources": resources}).encode()


def test_chain_of_two_services_answers_over_cores():
    cores = Cores(seed=1)
    cores.store.state.compare_and_swap("knapweedlead/catalogue", catalogue(), 0, "")
    front = CoreBackendServer(child_paths=["/back/part"])
    cores.add("front-1", "front", "dc1", backend_server=front)
    back = cores.add("back-1", "back", "dc2")
    cores.run_for(3.0)
    reply = cores.call("back-1", "/front/wear", CALLER)
    cores.run_for(1.0)
    assert reply.status == 200
    assert [request.path for request in back.backend_server.journal] == ["/back/part"]


def test_same_seed_gives_identical_runs():
    def run():
        cores = Cores(seed=7)
        cores.store.state.compare_and_swap("knapweedlead/catalogue", catalogue(), 0, "")
        cores.add("front-1", "front")
        cores.add("front-2", "front")
        cores.run_for(3.0)
        replies = [cores.call("front-1", f"/front/{i}", CALLER) for i in range(20)]
        cores.run_for(1.0)
        return [(reply.status, reply.replied_at) for reply in replies]

    assert run() == run()
