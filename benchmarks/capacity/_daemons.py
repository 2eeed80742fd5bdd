"""Idle daemons as real processes: processor time, memory, messages."""

import time
import urllib.request

from prometheus_client.parser import text_string_to_metric_families

from benchmarks.capacity._catalogue import catalogue
from benchmarks.capacity._cores import names_of
from benchmarks.processes import private_bytes, processor_seconds, resident_bytes
from standins.fleet import (
    OPERATOR_CREDENTIAL,
    Fleet,
    FleetServer,
    call,
    wait_until_listening,
)

SETTLE_SECONDS = 12.0
WINDOW_SECONDS = 10.0
CONNECTIONS = 1000
FIRST_PORT = 7001
BATCH = 10
"""Daemons that start side by side."""
PROBED = 10
"""Daemons whose metrics are scraped."""

_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000


def metrics_of(server: FleetServer) -> dict[str, float]:
    """Return the samples of a daemon, summed over their labels."""
    url = f"http://{server.settings['operator_address']}/metrics"
    request = urllib.request.Request(
        url, headers={"Authorization": f"Bearer {OPERATOR_CREDENTIAL}"}
    )
    with urllib.request.urlopen(request, timeout=5.0) as response:
        text = response.read().decode()
    total: dict[str, float] = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            total[sample.name] = total.get(sample.name, 0.0) + sample.value
    return total


def daemons(servers: int = 10) -> None:
    """Print what an idle daemon spends in a fleet of some daemons."""
    with Fleet() as fleet:
        url = "/v1/kv/knapweedlead/catalogue?cas=0"
        call(fleet.store_address, url, "PUT", body=catalogue())
        places = list(names_of(servers))
        for first in range(0, servers, BATCH):
            _start(fleet, places[first : first + BATCH])
        time.sleep(SETTLE_SECONDS)
        _print_window(fleet, servers)


def _start(fleet: Fleet, places: list[tuple[str, str, str, str]]) -> None:
    """Start some daemons side by side and wait until they listen."""
    servers = [fleet.prepare(*place, connections=CONNECTIONS) for place in places]
    for server in servers:
        server.settings.update(_addresses(server.name))
        fleet.start_daemon(server)
    for server in servers:
        assert server.daemon is not None
        wait_until_listening(server.caller_address, server.daemon)


def _addresses(name: str) -> dict[str, str]:
    """Return addresses outside the ports that the system hands out."""
    host = f"127.20.0.{1 + int(name.rpartition('-')[2])}"
    names = ("link_address", "caller_address", "operator_address")
    return {key: f"{host}:{FIRST_PORT + number}" for number, key in enumerate(names)}


def _print_window(fleet: Fleet, servers: int) -> None:
    probed = list(fleet.by_name.values())
    pids = [server.daemon.pid for server in probed if server.daemon is not None]
    metrics_before = [metrics_of(server) for server in probed[:PROBED]]
    store_before = call(fleet.store_address, "/calls")[1]
    spent_before = [processor_seconds(pid) for pid in pids]
    began_at = time.monotonic()
    time.sleep(WINDOW_SECONDS)
    seconds = time.monotonic() - began_at
    spent = [processor_seconds(pid) for pid in pids]
    store = call(fleet.store_address, "/calls")[1]
    metrics = [metrics_of(server) for server in probed[:PROBED]]
    shares = sorted(
        (after - before) / seconds
        for after, before in zip(spent, spent_before, strict=True)
    )

    def rate(name: str) -> float:
        pairs = zip(metrics, metrics_before, strict=True)
        grown = [
            after.get(name, 0.0) - before.get(name, 0.0) for after, before in pairs
        ]
        return sum(grown) / len(grown) / seconds

    store_rates = {
        name: round((count - store_before.get(name, 0)) / seconds, 2)
        for name, count in store.items()
    }
    print(
        f"{servers} daemons: processor {shares[len(shares) // 2]:.3%} of a core "
        f"(median) {shares[-1]:.3%} (most), "
        f"messages {rate('knapweedlead_link_messages_total'):.2f} /s and "
        f"{rate('knapweedlead_link_io_bytes_total'):.0f} B/s both ways, "
        f"links {sum(m['knapweedlead_links'] for m in metrics) / len(metrics):.1f}, "
        f"members {min(m['knapweedlead_members'] for m in metrics):.0f}, "
        f"resident {_mean_mb([resident_bytes(pid) for pid in pids]):.1f} MB, "
        f"private {_mean_mb([private_bytes(pid) for pid in pids]):.1f} MB, "
        f"store calls/s of all {store_rates}"
    )


def _mean_mb(sizes: list[int]) -> float:
    return sum(sizes) / len(sizes) / _BYTES_PER_MB
