"""Runs of scenarios, each of which gives the figures of one variant."""

import attrs

from benchmarks.overload.variants import VARIANT_BY_NAME
from standins.model_server import ModelServer
from standins.scenarios import Client, Model, Scenario, crimpline, granite_span

SEED = 11
SERVICE_SECONDS = 0.4
PATIENCE_SECONDS = 2.0
MEAN_OVER_MEDIAN = 1.046
"""Mean of the lognormal service time over its median."""

MODEL_BY_NAME = {
    "granite-span": granite_span(service_s=SERVICE_SECONDS),
    "crimpline": crimpline(service_s=SERVICE_SECONDS),
}

BROWSING_BY_MODEL = {"granite-span": "wear", "crimpline": "catalogue"}

IMPORTANT_BY_MODEL = {
    "granite-span": ("closures", "signoffs"),
    "crimpline": ("bookings",),
}


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
        heeds_cancel=chosen.heeds_cancel,
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


def surge(name: str, variant: str) -> SurgeFigures:
    """Drive the browsing service at three times its capacity."""
    model = MODEL_BY_NAME[name]
    scenario = build(model, variant, Client(PATIENCE_SECONDS))
    browsing = BROWSING_BY_MODEL[name]
    capacity = true_capacity(model, browsing)
    rates = {**important_rates(name, 0.6), browsing: 3.0 * capacity}
    start = scenario.cores.now + 2.0
    scenario.drive(rates, 8.0)
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
    start = scenario.cores.now + 2.0
    scenario.start_arrivals(browsing, 10.0 * share, 8.0, accounts[0])
    for account in accounts[1:]:
        scenario.start_arrivals(browsing, 0.8 * share, 8.0, account)
    scenario.cores.run_for(8.0)
    end = scenario.cores.now
    scenario.cores.run_for(PATIENCE_SECONDS + 0.5)
    return min(
        scenario.share_served(start, end, browsing, account) for account in accounts[1:]
    )


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
    scenario.drive(rates, 15.0)
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
    scenario.drive(rates, 14.0)
    server = scenario.servers_by_service[browsing][0]
    start = scenario.cores.now
    server.turn_cold(start)
    if is_announced:
        scenario.announce_start(browsing, 0)
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


AFTER_SECONDS = 15.0


def metastability(variant: str, is_hard: bool = True) -> RecoveryFigures:
    """Slow the deep service and triple demand for a while, with hard retries."""
    name = "granite-span"
    model = MODEL_BY_NAME[name]
    tries = 6 if is_hard else 1
    scenario = build(model, variant, Client(PATIENCE_SECONDS, tries))
    wear = 0.55 * true_capacity(model, "wear")
    tickets = 0.15 * true_capacity(model, "wear")
    usual = {"wear": wear, "ticketing": tickets}
    scenario.drive(usual, 5.0)
    trigger_at = scenario.cores.now
    for server in scenario.servers_by_service["wear"]:
        server.slowness = 3.0
    scenario.drive({"wear": 3.0 * wear, "ticketing": 3.0 * tickets}, 4.0)
    trigger_end = scenario.cores.now
    for server in scenario.servers_by_service["wear"]:
        server.slowness = 1.0
    scenario.drive(usual, AFTER_SECONDS)
    end = scenario.cores.now
    scenario.cores.run_for(PATIENCE_SECONDS + 0.5)
    before = scenario.share_served(trigger_at - 3.0, trigger_at)
    return RecoveryFigures(
        before=before,
        during=scenario.share_served(trigger_at, trigger_end),
        after=scenario.share_served(end - 4.0, end),
        seconds=scenario.seconds_to_recover(trigger_end, end, 0.95 * before),
        wasted=scenario.wasted_share(),
    )


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
