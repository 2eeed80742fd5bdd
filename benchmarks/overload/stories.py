"""Runs of scenarios, each of which gives the figures of one variant."""

import functools

import attrs

from benchmarks.overload.variants import VARIANT_BY_NAME
from standins.model_server import ModelServer
from standins.scenarios import Client, Model, Scenario, crimpline, granite_span

SEED = 11
SERVICE_SECONDS = 0.4
PATIENCE_SECONDS = 2.0
FIRST_WEIGHT = 3.0
SURGE_SECONDS = 6.0
SETTLING_SECONDS = 1.5
"""Seconds of a surge before its figures are taken."""

MEAN_OVER_MEDIAN = 1.046
"""Mean of the lognormal service time over its median."""

MODEL_BY_NAME = {
    "granite-span": granite_span(service_s=SERVICE_SECONDS),
    "crimpline": crimpline(service_s=SERVICE_SECONDS),
}

SMALL_MODEL_BY_NAME = {
    "granite-span": granite_span(10, SERVICE_SECONDS),
    "crimpline": crimpline(10, SERVICE_SECONDS),
}
"""The same with half as many slots, for the long runs."""

BROWSING_BY_MODEL = {"granite-span": "wear", "crimpline": "catalogue"}

IMPORTANT_BY_MODEL = {
    "granite-span": ("closures", "signoffs"),
    "crimpline": ("bookings",),
}


CHAIN_BY_MODEL = {
    "granite-span": ("ticketing", "wear"),
    "crimpline": ("bookings", "billing"),
}
"""A service and the deep one that it calls."""


@attrs.frozen
class SurgeFigures:
    """What came of three times the demand that a service can serve.

    Parameters
    ----------
    goodput : float
        Whole answers of the browsing service a second over its capacity, its
        calls for other services included.
    important : float
        Share of the important requests served.
    wasted : float
        Share of all work that went into requests that failed.
    """

    goodput: float
    important: float
    wasted: float


def build(
    model: Model,
    variant: str,
    client: Client,
    cold_start_s: float = 0.0,
    true_cold_s: float | None = None,
) -> Scenario:
    """Return a scenario with the policies of a variant."""
    chosen = VARIANT_BY_NAME[variant]
    return Scenario(
        model,
        SEED,
        client,
        stops_on_cancel=chosen.stops_on_cancel,
        cold_start_s=cold_start_s,
        true_cold_s=true_cold_s,
        admission=chosen.admission,
    )


def true_capacity(model: Model, service: str) -> float:
    """Return the calls a second that a service's backend servers can do."""
    return model.by_name[service].capacity / MEAN_OVER_MEDIAN


def important_rates(name: str, load: float) -> dict[str, float]:
    """Return needs a second of the important services at a load of their slots.

    A call that has a child call holds its slot for both, hence the half.
    """
    model = MODEL_BY_NAME[name]
    return {
        service: load * model.by_name[service].capacity / 2
        for service in IMPORTANT_BY_MODEL[name]
    }


@functools.cache
def surge(name: str, variant: str) -> SurgeFigures:
    """Drive the browsing service at three times its capacity."""
    model = MODEL_BY_NAME[name]
    scenario = build(model, variant, Client(PATIENCE_SECONDS))
    browsing = BROWSING_BY_MODEL[name]
    capacity = true_capacity(model, browsing)
    rates = {**important_rates(name, 0.6), browsing: 3.0 * capacity}
    start = scenario.cores.now + SETTLING_SECONDS
    scenario.drive(rates, SURGE_SECONDS)
    end = scenario.cores.now
    scenario.cores.run_for(PATIENCE_SECONDS + 0.5)
    important = [
        scenario.share_served(start, end, service)
        for service in IMPORTANT_BY_MODEL[name]
    ]
    return SurgeFigures(
        goodput=scenario.served_per_s(browsing, start, end) / capacity,
        important=min(important),
        wasted=scenario.wasted_share(),
    )


@functools.cache
def more_important_share(name: str, variant: str) -> float:
    """Return the share served of calls that share servers with a flood.

    The deep service is driven at three times its capacity; the more important
    calls of the service above it need it too.
    """
    model = MODEL_BY_NAME[name]
    parent, deep = CHAIN_BY_MODEL[name]
    scenario = build(model, variant, Client(PATIENCE_SECONDS))
    capacity = true_capacity(model, deep)
    start = scenario.cores.now + SETTLING_SECONDS
    scenario.drive({deep: 3.0 * capacity, parent: 0.15 * capacity}, SURGE_SECONDS)
    end = scenario.cores.now
    scenario.cores.run_for(PATIENCE_SECONDS + 0.5)
    return scenario.share_served(start, end, parent)


@functools.cache
def worst_served_account(name: str, variant: str) -> float:
    """Return the least share served of an account within its fair share.

    One account brings ten times its share of the capacity, the others 0.8 of
    theirs, so that each of them fits into its weighted max-min share.
    """
    model = MODEL_BY_NAME[name]
    scenario = build(model, variant, Client(PATIENCE_SECONDS))
    browsing = BROWSING_BY_MODEL[name]
    accounts = list(model.share_by_account)
    share = true_capacity(model, browsing) / len(accounts)
    start = scenario.cores.now + SETTLING_SECONDS
    scenario.start_arrivals(browsing, 10.0 * share, SURGE_SECONDS, accounts[0])
    for account in accounts[1:]:
        scenario.start_arrivals(browsing, 0.8 * share, SURGE_SECONDS, account)
    scenario.cores.run_for(SURGE_SECONDS)
    end = scenario.cores.now
    scenario.cores.run_for(PATIENCE_SECONDS + 0.5)
    return min(
        scenario.share_served(start, end, browsing, account) for account in accounts[1:]
    )


@functools.cache
def weighted_shares(name: str, variant: str) -> float:
    """Return the least served rate of an account over its weighted share.

    Each account brings three times its share; the first has three times the
    weight of the others.
    """
    plain = MODEL_BY_NAME[name]
    accounts = list(plain.share_by_account)
    model = attrs.evolve(plain, weight_by_account={accounts[0]: FIRST_WEIGHT})
    scenario = build(model, variant, Client(PATIENCE_SECONDS))
    browsing = BROWSING_BY_MODEL[name]
    weights = [model.weight_by_account.get(account, 1.0) for account in accounts]
    unit = true_capacity(model, browsing) / sum(weights)
    start = scenario.cores.now + SETTLING_SECONDS
    for account, weight in zip(accounts, weights, strict=True):
        rate = 3.0 * weight * unit
        scenario.start_arrivals(browsing, rate, SURGE_SECONDS, account)
    scenario.cores.run_for(SURGE_SECONDS)
    end = scenario.cores.now
    return min(
        scenario.served_per_s(browsing, start, end, account) / (weight * unit)
        for account, weight in zip(accounts, weights, strict=True)
    )


@functools.cache
def wrongful_refusals(name: str, variant: str) -> float:
    """Return the share of needs not served at 0.8 of the capacity."""
    model = MODEL_BY_NAME[name]
    scenario = build(model, variant, Client(PATIENCE_SECONDS))
    browsing = BROWSING_BY_MODEL[name]
    rates = {
        **important_rates(name, 0.6),
        browsing: 0.8 * true_capacity(model, browsing),
    }
    start = scenario.cores.now
    scenario.drive(rates, 10.0)
    end = scenario.cores.now
    scenario.cores.run_for(PATIENCE_SECONDS + 0.5)
    return 1.0 - scenario.share_served(start, end)


@attrs.frozen
class ColdFigures:
    """What came of a cold start of one backend server under load.

    Parameters
    ----------
    overruns : int
        Requests that began above the cold capacity.
    served : float
        Share of all needs served meanwhile.
    seconds_cold : float
        Seconds until the backend server was warm at full capacity.
    """

    overruns: int
    served: float
    seconds_cold: float


COLD_SECONDS = 4.0
COLD_LIMIT_SECONDS = 30.0


@functools.cache
def cold_start(
    variant: str, is_announced: bool, true_cold_s: float = COLD_SECONDS
) -> ColdFigures:
    """Let one server of the browsing service turn cold at 0.7 of capacity."""
    name = "granite-span"
    model = MODEL_BY_NAME[name]
    scenario = build(
        model, variant, Client(PATIENCE_SECONDS), COLD_SECONDS, true_cold_s
    )
    browsing = BROWSING_BY_MODEL[name]
    rates = {browsing: 0.7 * true_capacity(model, browsing)}
    scenario.drive(rates, 7.0)
    server = scenario.servers_by_service[browsing][0]
    start = scenario.cores.now
    server.start_cold(start)
    if is_announced:
        scenario.report_restart(browsing, 0)
    warm_at = COLD_LIMIT_SECONDS
    while scenario.cores.now < start + COLD_LIMIT_SECONDS:
        scenario.drive(rates, 0.5)
        if _is_warm(server, scenario.cores.now):
            warm_at = scenario.cores.now - start
            break
    end = scenario.cores.now
    scenario.cores.run_for(PATIENCE_SECONDS + 0.5)
    return ColdFigures(len(server.overruns), scenario.share_served(start, end), warm_at)


def _is_warm(server: ModelServer, now: float) -> bool:
    return server.capacity_at(now) >= server.capacity


@attrs.frozen
class RecoveryFigures:
    """Needs served before, during and after a trigger, and the time to recover.

    Parameters
    ----------
    before, during, after : float
        Share of the needs begun that were served.
    seconds : float
        Seconds after the trigger until the share stays at 95 % of the one
        before; infinite if it never does.
    wasted : float
        Share of all work that went into tries that failed.
    """

    before: float
    during: float
    after: float
    seconds: float
    wasted: float


HARD_TRIES = 6
TRIGGER_SECONDS = 4.0
TRIGGER_FACTOR = 3.0
AFTER_SECONDS = 12.0


@functools.cache
def metastability(
    name: str,
    variant: str,
    cold_start_s: float = 0.0,
    slowdown: float = TRIGGER_FACTOR,
) -> RecoveryFigures:
    """Slow the deep service and triple demand for a while, with hard retries."""
    model = SMALL_MODEL_BY_NAME[name]
    parent, deep = CHAIN_BY_MODEL[name]
    scenario = build(model, variant, Client(PATIENCE_SECONDS, HARD_TRIES), cold_start_s)
    capacity = true_capacity(model, deep)
    usual = {deep: 0.5 * capacity, parent: 0.2 * capacity}
    surge_rates = {service: TRIGGER_FACTOR * usual[service] for service in usual}
    scenario.drive(usual, 5.0 + 2.0 * cold_start_s)
    begin = scenario.cores.now
    _set_slowness(scenario, deep, slowdown)
    scenario.drive(surge_rates, TRIGGER_SECONDS)
    end = scenario.cores.now
    _set_slowness(scenario, deep, 1.0)
    scenario.drive(usual, AFTER_SECONDS)
    last = scenario.cores.now
    scenario.cores.run_for(PATIENCE_SECONDS + 0.5)
    before = scenario.share_served(begin - 3.0, begin)
    return RecoveryFigures(
        before=before,
        during=scenario.share_served(begin, end),
        after=scenario.share_served(last - 4.0, last),
        seconds=scenario.seconds_to_recover(end, last, 0.95 * before),
        wasted=scenario.wasted_share(),
    )


def _set_slowness(scenario: Scenario, service: str, slowdown: float) -> None:
    for server in scenario.servers_by_service[service]:
        server.slowdown = slowdown


@functools.cache
def weakened(variant: str, seconds: float = 6.0) -> float:
    """Return goodput over what is left when servers lose 60 % of capacity."""
    name = "granite-span"
    model = MODEL_BY_NAME[name]
    scenario = build(model, variant, Client(PATIENCE_SECONDS))
    capacity = true_capacity(model, "wear")
    scenario.drive({"wear": 0.9 * capacity}, 6.0)
    for server in scenario.servers_by_service["wear"]:
        server.capacity = 0.4 * server.capacity
    scenario.drive({"wear": 1.5 * capacity}, seconds)
    start = scenario.cores.now
    scenario.drive({"wear": 1.5 * capacity}, 6.0)
    end = scenario.cores.now
    return scenario.served_per_s("wear", start, end) / (0.4 * capacity)
