"""Distribution of calls over backend servers, simulated with cores."""

import random
from functools import partial

import attrs

from knapweedlead.settings import RoutingSettings
from standins.chains import CALLER, WARM_UP_SECONDS, apply, catalogue, route
from standins.cores import CallerReply, CoreBackendServer, Cores

SERVICE_S = 0.02
RATE = 200
"""Calls per second over all entries."""
ENTRIES = 3
SERVERS = 3


def routing_settings(balancer: str, ejector: str) -> RoutingSettings:
    """Return settings with a balancer and an ejector; the rest are defaults."""
    return RoutingSettings(balancer=balancer, ejector=ejector)


@attrs.frozen
class Spread:
    """Distribution and outcome of the calls of a run.

    Parameters
    ----------
    faulty_share : float
        Share of the calls that the faulty server received.
    answered_share : float
        Share of the calls answered with status 200.
    mean_ms, p99_ms : float
        Latency in milliseconds.
    """

    faulty_share: float
    answered_share: float
    mean_ms: float
    p99_ms: float


def build(settings: RoutingSettings, seed: int) -> Cores:
    """Return a running fleet of entries and the servers of one service.

    The route has no retry credits, so that retries don't affect the distribution.
    """
    cores = Cores(seed)
    apply(cores, catalogue([route("wear", retry_credits=0, is_open=True)]))
    for number in range(ENTRIES):
        cores.add(f"edge-{number}", "edge", routing=settings)
    for number in range(SERVERS):
        add_server(cores, number, settings)
    cores.run_for(WARM_UP_SECONDS)
    return cores


def add_server(cores: Cores, number: int, settings: RoutingSettings) -> None:
    """Start one server of the service."""
    backend_server = CoreBackendServer(slots=16, service_s=SERVICE_S)
    cores.add(f"wear-{number}", "wear", backend_server=backend_server, routing=settings)


def offer(cores: Cores, seconds: float, seed: int) -> list[CallerReply]:
    """Send calls with Poisson arrivals and wait until they have completed."""
    rng = random.Random(seed)
    replies: list[CallerReply] = []
    at = cores.now
    end = at + seconds

    def send(entry: str) -> None:
        replies.append(cores.call(entry, "/wear/x", CALLER))

    while (at := at + rng.expovariate(RATE)) < end:
        entry = f"edge-{rng.randrange(ENTRIES)}"
        cores.at(at, partial(send, entry))
    cores.run_until(end + 6.0)
    return replies


def measure_spread(
    balancer: str, ejector: str, service_s: float, status: int, seed: int = 1
) -> Spread:
    """Measure the distribution of calls while one of the servers is faulty.

    Parameters
    ----------
    balancer, ejector : str
        Names of the policies.
    service_s : float
        Service time of the faulty server, in seconds.
    status : int
        Status that the faulty server answers with; 0 breaks the connection.
    seed : int
        Seed of the run.
    """
    cores = build(routing_settings(balancer, ejector), seed)
    faulty_server = cores.by_name["wear-0"].backend_server
    faulty_server.service_s, faulty_server.status = service_s, status
    replies = offer(cores, 10.0, seed)
    latencies = sorted(reply.replied_at - reply.sent_at for reply in replies)
    return Spread(
        faulty_share=len(faulty_server.journal) / len(replies),
        answered_share=sum(reply.status == 200 for reply in replies) / len(replies),
        mean_ms=1000 * sum(latencies) / len(latencies),
        p99_ms=1000 * latencies[int(0.99 * len(latencies))],
    )


def new_member_share(balancer: str, seconds: float, seed: int = 1) -> float:
    """Return the share of calls that a newly joined server receives in `seconds`."""
    settings = routing_settings(balancer, "outlier")
    cores = build(settings, seed)
    offer(cores, 15.0, seed)
    add_server(cores, SERVERS, settings)
    new_server = cores.by_name[f"wear-{SERVERS}"].backend_server
    while not _is_known(cores):
        cores.run_for(0.1)
    replies = offer(cores, seconds, seed + 1)
    return len(new_server.journal) / len(replies)


def _is_known(cores: Cores) -> bool:
    name = f"wear-{SERVERS}"
    edges = [cores.by_name[f"edge-{number}"] for number in range(ENTRIES)]
    return all(name in edge.composition.membership.by_name for edge in edges)
