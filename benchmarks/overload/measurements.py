"""Overload scenarios, each run with the policies of one variant."""

import functools

import attrs

from benchmarks.overload.variants import VARIANT_BY_NAME
from standins.model_server import ModelServer
from standins.scenarios import Client, Model, Scenario, crimpline, granite_span

SEED = 11
SERVICE_SECONDS = 0.4
CLIENT_TIMEOUT_SECONDS = 2.0
FIRST_ACCOUNT_WEIGHT = 3.0
SURGE_SECONDS = 6.0
SETTLE_SECONDS = 1.5
"""Initial part of a surge that is excluded from its figures."""

MEAN_OVER_MEDIAN = 1.046
"""Ratio of the mean of the lognormal service time to its median."""

MODEL_BY_NAME = {
    "granite-span": granite_span(service_s=SERVICE_SECONDS),
    "crimpline": crimpline(service_s=SERVICE_SECONDS),
}

SMALL_MODEL_BY_NAME = {
    "granite-span": granite_span(10, SERVICE_SECONDS),
    "crimpline": crimpline(10, SERVICE_SECONDS),
}
"""The same models with half as many slots, to shorten the long runs."""

BROWSING_SERVICE_BY_MODEL = {"granite-span": "wear", "crimpline": "catalogue"}

IMPORTANT_SERVICES_BY_MODEL = {
    "granite-span": ("closures", "signoffs"),
    "crimpline": ("bookings",),
}


CHAIN_BY_MODEL = {
    "granite-span": ("ticketing", "wear"),
    "crimpline": ("bookings", "billing"),
}
"""A service and the service that it calls."""


@attrs.frozen
class SurgeFigures:
    """Results of a run at three times the capacity of a service.

    Parameters
    ----------
    goodput : float
        Requests to the browsing service served per second, as a ratio to its
        capacity, which calls from other services use too.
    important : float
        Lowest share of requests served among the important services.
    wasted : float
        Share of all processing time spent on requests that failed.
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
    """Return a scenario that uses the policies of a variant."""
    policies = VARIANT_BY_NAME[variant]
    return Scenario(
        model,
        SEED,
        client,
        stops_on_cancel=policies.stops_on_cancel,
        cold_start_s=cold_start_s,
        true_cold_s=true_cold_s,
        admission=policies.admission,
    )


def true_capacity(model: Model, service: str) -> float:
    """Return the calls per second that a service's backend servers can process."""
    return model.by_name[service].capacity / MEAN_OVER_MEDIAN


def important_rates(name: str, load: float) -> dict[str, float]:
    """Return requests per second that load the slots of the important services.

    The rate is halved because a call with a child call occupies its slot for the
    duration of both.
    """
    model = MODEL_BY_NAME[name]
    return {
        service: load * model.by_name[service].capacity / 2
        for service in IMPORTANT_SERVICES_BY_MODEL[name]
    }


@functools.cache
def surge(name: str, variant: str) -> SurgeFigures:
    """Load the browsing service at three times its capacity."""
    model = MODEL_BY_NAME[name]
    scenario = build(model, variant, Client(CLIENT_TIMEOUT_SECONDS))
    browsing = BROWSING_SERVICE_BY_MODEL[name]
    capacity = true_capacity(model, browsing)
    rates = {**important_rates(name, 0.6), browsing: 3.0 * capacity}
    start = scenario.cores.now + SETTLE_SECONDS
    scenario.drive(rates, SURGE_SECONDS)
    end = scenario.cores.now
    scenario.cores.run_for(CLIENT_TIMEOUT_SECONDS + 0.5)
    important = [
        scenario.share_served(start, end, service)
        for service in IMPORTANT_SERVICES_BY_MODEL[name]
    ]
    return SurgeFigures(
        goodput=scenario.served_per_s(browsing, start, end) / capacity,
        important=min(important),
        wasted=scenario.wasted_share(),
    )


@functools.cache
def more_important_share(name: str, variant: str) -> float:
    """Return the share served of important calls that need an overloaded service.

    The child service is loaded at three times its capacity. The calls measured go
    to its parent service; they have a higher priority and call the child service.
    """
    model = MODEL_BY_NAME[name]
    parent, deep = CHAIN_BY_MODEL[name]
    scenario = build(model, variant, Client(CLIENT_TIMEOUT_SECONDS))
    capacity = true_capacity(model, deep)
    start = scenario.cores.now + SETTLE_SECONDS
    scenario.drive({deep: 3.0 * capacity, parent: 0.15 * capacity}, SURGE_SECONDS)
    end = scenario.cores.now
    scenario.cores.run_for(CLIENT_TIMEOUT_SECONDS + 0.5)
    return scenario.share_served(start, end, parent)


@functools.cache
def worst_served_account(name: str, variant: str) -> float:
    """Return the lowest share served among accounts within their fair share.

    One account offers ten times its share of the capacity and the others 0.8 of
    theirs, so that each of the others stays within its weighted max-min share.
    """
    model = MODEL_BY_NAME[name]
    scenario = build(model, variant, Client(CLIENT_TIMEOUT_SECONDS))
    browsing = BROWSING_SERVICE_BY_MODEL[name]
    accounts = list(model.share_by_account)
    share = true_capacity(model, browsing) / len(accounts)
    start = scenario.cores.now + SETTLE_SECONDS
    scenario.start_arrivals(browsing, 10.0 * share, SURGE_SECONDS, accounts[0])
    for account in accounts[1:]:
        scenario.start_arrivals(browsing, 0.8 * share, SURGE_SECONDS, account)
    scenario.cores.run_for(SURGE_SECONDS)
    end = scenario.cores.now
    scenario.cores.run_for(CLIENT_TIMEOUT_SECONDS + 0.5)
    return min(
        scenario.share_served(start, end, browsing, account) for account in accounts[1:]
    )


@functools.cache
def weighted_shares(name: str, variant: str) -> float:
    """Return the lowest ratio of an account's served rate to its weighted share.

    Each account offers three times its share; the first has three times the
    weight of the others.
    """
    plain = MODEL_BY_NAME[name]
    accounts = list(plain.share_by_account)
    model = attrs.evolve(plain, weight_by_account={accounts[0]: FIRST_ACCOUNT_WEIGHT})
    scenario = build(model, variant, Client(CLIENT_TIMEOUT_SECONDS))
    browsing = BROWSING_SERVICE_BY_MODEL[name]
    weights = [model.weight_by_account.get(account, 1.0) for account in accounts]
    unit = true_capacity(model, browsing) / sum(weights)
    start = scenario.cores.now + SETTLE_SECONDS
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
    """Return the share of requests not served at 0.8 of the capacity."""
    model = MODEL_BY_NAME[name]
    scenario = build(model, variant, Client(CLIENT_TIMEOUT_SECONDS))
    browsing = BROWSING_SERVICE_BY_MODEL[name]
    rates = {
        **important_rates(name, 0.6),
        browsing: 0.8 * true_capacity(model, browsing),
    }
    start = scenario.cores.now
    scenario.drive(rates, 10.0)
    end = scenario.cores.now
    scenario.cores.run_for(CLIENT_TIMEOUT_SECONDS + 0.5)
    return 1.0 - scenario.share_served(start, end)


@attrs.frozen
class ColdStartFigures:
    """Results of a cold start of one backend server under load.

    Parameters
    ----------
    overruns : int
        Requests that started while the cold capacity was already in use.
    served : float
        Share of the requests started before the server was warm that were served.
    seconds_cold : float
        Seconds until the backend server reached full capacity, at most
        `COLD_LIMIT_SECONDS`.
    """

    overruns: int
    served: float
    seconds_cold: float


COLD_SECONDS = 4.0
COLD_LIMIT_SECONDS = 30.0


@functools.cache
def cold_start(
    variant: str, is_announced: bool, true_cold_s: float = COLD_SECONDS
) -> ColdStartFigures:
    """Start a cold start of one browsing server while the service runs at 0.7 load."""
    name = "granite-span"
    model = MODEL_BY_NAME[name]
    scenario = build(
        model, variant, Client(CLIENT_TIMEOUT_SECONDS), COLD_SECONDS, true_cold_s
    )
    browsing = BROWSING_SERVICE_BY_MODEL[name]
    rates = {browsing: 0.7 * true_capacity(model, browsing)}
    scenario.drive(rates, 7.0)
    server = scenario.servers_by_service[browsing][0]
    start = scenario.cores.now
    server.start_cold(start)
    if is_announced:
        scenario.report_restart(browsing, 0)
    warm_after = COLD_LIMIT_SECONDS
    while scenario.cores.now < start + COLD_LIMIT_SECONDS:
        scenario.drive(rates, 0.5)
        if _is_warm(server, scenario.cores.now):
            warm_after = scenario.cores.now - start
            break
    end = scenario.cores.now
    scenario.cores.run_for(CLIENT_TIMEOUT_SECONDS + 0.5)
    return ColdStartFigures(
        len(server.overruns), scenario.share_served(start, end), warm_after
    )


def _is_warm(server: ModelServer, now: float) -> bool:
    return server.capacity_at(now) >= server.capacity


@attrs.frozen
class RecoveryFigures:
    """Share of requests served around an overload trigger, and the recovery time.

    Parameters
    ----------
    before, during, after : float
        Share of the requests started in each phase that were served.
    seconds : float
        Seconds after the trigger until the share stays at or above 95 % of
        `before`; infinite if the share does not recover.
    wasted : float
        Share of all processing time spent on attempts that failed.
    """

    before: float
    during: float
    after: float
    seconds: float
    wasted: float


ATTEMPTS_PER_REQUEST = 6
TRIGGER_SECONDS = 4.0
TRIGGER_FACTOR = 3.0
RECOVERY_SECONDS = 12.0


@functools.cache
def metastability(
    name: str,
    variant: str,
    cold_start_s: float = 0.0,
    slowdown: float = TRIGGER_FACTOR,
) -> RecoveryFigures:
    """Slow down the child service and triple the load for `TRIGGER_SECONDS`.

    Clients make up to `ATTEMPTS_PER_REQUEST` attempts, which can keep a service
    overloaded after the trigger has ended.
    """
    model = SMALL_MODEL_BY_NAME[name]
    parent, deep = CHAIN_BY_MODEL[name]
    scenario = build(
        model,
        variant,
        Client(CLIENT_TIMEOUT_SECONDS, ATTEMPTS_PER_REQUEST),
        cold_start_s,
    )
    capacity = true_capacity(model, deep)
    normal_rates = {deep: 0.5 * capacity, parent: 0.2 * capacity}
    surge_rates = {
        service: TRIGGER_FACTOR * normal_rates[service] for service in normal_rates
    }
    scenario.drive(normal_rates, 5.0 + 2.0 * cold_start_s)
    begin = scenario.cores.now
    _set_slowdown(scenario, deep, slowdown)
    scenario.drive(surge_rates, TRIGGER_SECONDS)
    end = scenario.cores.now
    _set_slowdown(scenario, deep, 1.0)
    scenario.drive(normal_rates, RECOVERY_SECONDS)
    last = scenario.cores.now
    scenario.cores.run_for(CLIENT_TIMEOUT_SECONDS + 0.5)
    before = scenario.share_served(begin - 3.0, begin)
    return RecoveryFigures(
        before=before,
        during=scenario.share_served(begin, end),
        after=scenario.share_served(last - 4.0, last),
        seconds=scenario.seconds_to_recover(end, last, 0.95 * before),
        wasted=scenario.wasted_share(),
    )


def _set_slowdown(scenario: Scenario, service: str, slowdown: float) -> None:
    for server in scenario.servers_by_service[service]:
        server.slowdown = slowdown


@functools.cache
def goodput_at_reduced_capacity(variant: str, seconds: float = 6.0) -> float:
    """Return the ratio of goodput to the capacity left after a loss of 60 %."""
    name = "granite-span"
    model = MODEL_BY_NAME[name]
    scenario = build(model, variant, Client(CLIENT_TIMEOUT_SECONDS))
    capacity = true_capacity(model, "wear")
    scenario.drive({"wear": 0.9 * capacity}, 6.0)
    for server in scenario.servers_by_service["wear"]:
        server.capacity = 0.4 * server.capacity
    scenario.drive({"wear": 1.5 * capacity}, seconds)
    start = scenario.cores.now
    scenario.drive({"wear": 1.5 * capacity}, 6.0)
    end = scenario.cores.now
    return scenario.served_per_s("wear", start, end) / (0.4 * capacity)
