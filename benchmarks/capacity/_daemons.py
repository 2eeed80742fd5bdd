"""Processor time, memory and messages of idle daemons in real processes."""

import time
import urllib.request

from prometheus_client.parser import text_string_to_metric_families

from benchmarks.capacity._catalogue import catalogue
from benchmarks.capacity._cores import server_identities
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
BATCH_SIZE = 10
"""Daemons that start at the same time."""
SCRAPED_DAEMONS = 10
"""Number of daemons whose metrics are scraped."""

_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000


def scrape_metrics(server: FleetServer) -> dict[str, float]:
    """Return the metric samples of a daemon, summed over their labels."""
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
    """Print the resource usage of idle daemons in a fleet of `servers` daemons."""
    with Fleet() as fleet:
        url = "/v1/kv/knapweedlead/catalogue?cas=0"
        call(fleet.store_address, url, "PUT", body=catalogue())
        identities = list(server_identities(servers))
        for first in range(0, servers, BATCH_SIZE):
            _start(fleet, identities[first : first + BATCH_SIZE])
        time.sleep(SETTLE_SECONDS)
        _print_window(fleet, servers)


def _start(fleet: Fleet, identities: list[tuple[str, str, str, str]]) -> None:
    """Start daemons at the same time and wait until they listen."""
    servers = [
        fleet.prepare(*identity, connections=CONNECTIONS) for identity in identities
    ]
    for server in servers:
        server.settings.update(_addresses(server.name))
        fleet.start_daemon(server)
    for server in servers:
        assert server.daemon is not None
        wait_until_listening(server.caller_address, server.daemon)


def _addresses(name: str) -> dict[str, str]:
    """Return addresses with ports outside the system's ephemeral port range."""
    host = f"127.20.0.{1 + int(name.rpartition('-')[2])}"
    names = ("link_address", "caller_address", "operator_address")
    return {key: f"{host}:{FIRST_PORT + number}" for number, key in enumerate(names)}


def _print_window(fleet: Fleet, servers: int) -> None:
    fleet_servers = list(fleet.by_name.values())
    pids = [server.daemon.pid for server in fleet_servers if server.daemon is not None]
    metrics_before = [
        scrape_metrics(server) for server in fleet_servers[:SCRAPED_DAEMONS]
    ]
    store_before = call(fleet.store_address, "/calls")[1]
    processor_s_before = [processor_seconds(pid) for pid in pids]
    started_at = time.monotonic()
    time.sleep(WINDOW_SECONDS)
    seconds = time.monotonic() - started_at
    processor_s = [processor_seconds(pid) for pid in pids]
    store = call(fleet.store_address, "/calls")[1]
    metrics = [scrape_metrics(server) for server in fleet_servers[:SCRAPED_DAEMONS]]
    shares = sorted(
        (after - before) / seconds
        for after, before in zip(processor_s, processor_s_before, strict=True)
    )

    def rate(name: str) -> float:
        pairs = zip(metrics, metrics_before, strict=True)
        increases = [
            after.get(name, 0.0) - before.get(name, 0.0) for after, before in pairs
        ]
        return sum(increases) / len(increases) / seconds

    store_rates = {
        name: round((count - store_before.get(name, 0)) / seconds, 2)
        for name, count in store.items()
    }
    print(
        f"{servers} daemons: processor {shares[len(shares) // 2]:.3%} of a core "
        f"(median) {shares[-1]:.3%} (max), "
        f"messages {rate('knapweedlead_link_messages_total'):.2f} /s and "
        f"{rate('knapweedlead_link_io_bytes_total'):.0f} B/s in both directions, "
        f"links {sum(m['knapweedlead_links'] for m in metrics) / len(metrics):.1f}, "
        f"members {min(m['knapweedlead_members'] for m in metrics):.0f}, "
        f"resident {_mean_mb([resident_bytes(pid) for pid in pids]):.1f} MB, "
        f"private {_mean_mb([private_bytes(pid) for pid in pids]):.1f} MB, "
        f"store calls/s of all daemons {store_rates}"
    )


def _mean_mb(sizes: list[int]) -> float:
    return sum(sizes) / len(sizes) / _BYTES_PER_MB
