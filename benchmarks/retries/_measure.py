"""Cost and gain of retries, simulated with cores."""

import random
from functools import partial

import attrs

from knapweedlead.settings import RoutingSettings
from standins.chains import Chain, service_name
from standins.cores import CallerReply

NAIVE = RoutingSettings(
    balancer="random",
    ejector="none",
    credit_policy="per_hop",
    backoff="none",
    retry_budget="unlimited",
)


def with_credits(policy: str) -> RoutingSettings:
    """Return the naive settings with the given credit policy."""
    return attrs.evolve(NAIVE, credit_policy=policy)


def attempts_at_deepest(policy: str, depth: int, credits: int, seed: int = 1) -> int:
    """Return the attempts at the deepest service when every attempt fails.

    Parameters
    ----------
    policy : str
        Credit policy.
    depth : int
        Services in the chain.
    credits : int
        Retry credits of the route.
    seed : int
        Seed of the run.
    """
    chain = Chain.build(
        seed,
        depth,
        routing=with_credits(policy),
        backend_server={"status": 0, "child_failure_status": 0, "slots": 1000},
        retry_credits=credits,
        timeout_ms=60_000,
    )
    chain.call()
    chain.cores.run_for(10.0)
    return chain.attempts_at(depth - 1)


@attrs.frozen
class Gain:
    """Gain and cost of retries.

    Parameters
    ----------
    answered_share : float
        Share of the requests answered with status 200.
    attempts_per_request : float
        Mean number of attempts at the deepest service per request.
    """

    answered_share: float
    attempts_per_request: float


def gain_under_partial_failure(
    policy: str,
    credits: int,
    depth: int = 5,
    requests: int = 300,
    drops_per_s: float = 0.0,
    dropped_level: int = 0,
    seed: int = 1,
) -> Gain:
    """Measure a chain whose deepest service has one broken server of three.

    Parameters
    ----------
    policy : str
        Credit policy.
    credits : int
        Retry credits of the route.
    depth : int
        Services in the chain.
    requests : int
        Requests to send, at 100 per second.
    drops_per_s : float
        Links broken per second.
    dropped_level : int
        Level in the chain of the service whose incoming links are broken.
    seed : int
        Seed of the run.
    """
    chain = Chain.build(
        seed, depth, 3, routing=with_credits(policy), retry_credits=credits
    )
    cores = chain.cores
    deepest = service_name(depth - 1)
    cores.by_name[f"{deepest}-0"].backend_server.status = 0
    start = cores.now
    rng = random.Random(seed)
    for number in range(int(requests / 100 * drops_per_s)):
        above = service_name(max(0, dropped_level - 1))
        below = service_name(dropped_level)
        names = (f"{above}-{rng.randrange(3)}", f"{below}-{rng.randrange(3)}")
        at = start + number / drops_per_s
        cores.at(at, partial(cores.drop_links, *names))
    replies: list[CallerReply] = []

    def send(number: int) -> None:
        entry = f"{service_name(0)}-{number % 3}"
        replies.append(chain.call(number + 1, entry))

    for number in range(requests):
        cores.at(start + number / 100, partial(send, number))
    cores.run_for(requests / 100 + 6.0)
    attempts = sum(chain.attempts_at(depth - 1, n + 1) for n in range(requests))
    answered = sum(reply.status == 200 for reply in replies)
    return Gain(answered / requests, attempts / requests)
