"""Where the entries send their calls, over cores under a hand-driven clock."""

import random
from functools import partial

import attrs

from knapweedlead.settings import RoutingSettings
from standins.chains import CALLER, WARM_UP_SECONDS, apply, catalogue, route
from standins.cores import CallerReply, CoreBackendServer, Cores

SERVICE_S = 0.02
RATE = 200
"""Calls a second over all entries."""
ENTRIES = 3
SERVERS = 3


def routing(balancer: str, ejector: str) -> RoutingSettings:
    """Return settings without retries' influence on the choice."""
    return RoutingSettings(balancer=balancer, ejector=ejector)


@attrs.frozen
class Spread:
    """Where calls went and how they ended.

    Parameters
    ----------
    odd_share : float
        Share of the calls that the odd server received.
    answered_share : float
        Calls answered with status 200.
    mean_ms, p99_ms : float
        Milliseconds until the answer.
    """

    odd_share: float
    answered_share: float
    mean_ms: float
    p99_ms: float


def build(settings: RoutingSettings, seed: int) -> Cores:
    """Start entries and the servers of one service."""
    cores = Cores(seed)
    apply(cores, catalogue([route("wear", retry_credits=0, is_open=True)]))
    for number in range(ENTRIES):
        cores.add(f"edge-{number}", "edge", routing=settings)
    for number in range(SERVERS):
        add_server(cores, number, settings)
    cores.run_for(WARM_UP_SECONDS)
    return cores


def add_server(cores: Cores, number: int, settings: RoutingSettings) -> None:
    """Start one more server of the service."""
    fake = CoreBackendServer(slots=16, service_s=SERVICE_S)
    cores.add(f"wear-{number}", "wear", backend_server=fake, routing=settings)


def offer(cores: Cores, seconds: float, seed: int) -> list[CallerReply]:
    """Send calls with exponential gaps and wait for their ends."""
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


def spread(
    balancer: str, ejector: str, service_s: float, status: int, seed: int = 1
) -> Spread:
    """Measure with one odd server.

    Parameters
    ----------
    balancer, ejector : str
        Names of the policies.
    service_s : float
        Seconds that the odd server takes.
    status : int
        Status of its answers; 0 breaks the connection.
    seed : int
        Seed of the run.
    """
    cores = build(routing(balancer, ejector), seed)
    odd = cores.by_name["wear-0"].backend_server
    odd.service_s, odd.status = service_s, status
    replies = offer(cores, 10.0, seed)
    took = sorted(reply.replied_at - reply.sent_at for reply in replies)
    return Spread(
        odd_share=len(odd.journal) / len(replies),
        answered_share=sum(reply.status == 200 for reply in replies) / len(replies),
        mean_ms=1000 * sum(took) / len(took),
        p99_ms=1000 * took[int(0.99 * len(took))],
    )


def share_of_newcomer(balancer: str, seconds: float, seed: int = 1) -> float:
    """Return the share of calls that a member newly seen gets in `seconds`."""
    settings = routing(balancer, "outlier")
    cores = build(settings, seed)
    offer(cores, 15.0, seed)
    add_server(cores, SERVERS, settings)
    newcomer = cores.by_name[f"wear-{SERVERS}"].backend_server
    while not _is_known(cores):
        cores.run_for(0.1)
    replies = offer(cores, seconds, seed + 1)
    return len(newcomer.journal) / len(replies)


def _is_known(cores: Cores) -> bool:
    name = f"wear-{SERVERS}"
    edges = [cores.by_name[f"edge-{number}"] for number in range(ENTRIES)]
    return all(name in edge.composition.membership.by_name for edge in edges)
