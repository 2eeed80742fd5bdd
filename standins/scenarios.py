"""Overload scenarios over simulated daemons: services, accounts, arrivals, results."""

import hashlib
import itertools
import json
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import attrs

from standins.cores import BackendServerLimits, CallerReply, Cores
from standins.model_server import REQUEST_HEADER, ModelServer, WorkLedger

AMPLE_RATE = 100_000
"""Account rate, in requests a second, that is never exceeded in a scenario."""

SETTLE_SECONDS = 3.0
"""Simulated time for membership and configuration to spread before a scenario."""

CLIENT_BACKOFF_SECONDS = 0.05

RECOVERY_WINDOW_SECONDS = 2.0
RECOVERY_STEP_SECONDS = 0.5


@attrs.frozen
class ServiceModel:
    """A service of a scenario.

    Parameters
    ----------
    name : str
        Name of the service, of its route and its path prefix.
    servers, slots : int
        Number of backend servers, and concurrent calls on each.
    service_s : float
        Median service time in seconds, without child calls.
    priority : int
        Priority of the route.
    child : str
        Service that each call makes one child call to; empty for none.
    """

    name: str
    servers: int
    slots: int
    service_s: float
    priority: int
    child: str = ""

    @property
    def capacity(self) -> float:
        """Calls a second of all servers, from slots and median service time."""
        return self.servers * self.slots / self.service_s


@attrs.frozen
class Model:
    """Services, client accounts with their shares of the requests, data centres."""

    name: str
    services: tuple[ServiceModel, ...]
    share_by_account: dict[str, float]
    weight_by_account: dict[str, float] = attrs.field(factory=dict)
    data_centres: tuple[str, ...] = ("dc1", "dc2", "dc3")

    @property
    def by_name(self) -> dict[str, ServiceModel]:
        """Services by name."""
        return {service.name: service for service in self.services}


@attrs.frozen
class Client:
    """Behaviour of callers.

    Parameters
    ----------
    timeout_s : float
        Seconds from sending after which an answer no longer counts as served.
    max_attempts : int
        Maximum number of requests sent for a user request, one after another.
    """

    timeout_s: float = 1.5
    max_attempts: int = 1


@attrs.define
class UserRequest:
    """A request of a user, which the caller sends in one or more attempts."""

    number: int
    service: str
    account: str
    started_at: float
    attempts: int = 0
    ended_at: float = 0.0
    is_served: bool = False


class Scenario:
    """A run of a model under load.

    Parameters
    ----------
    model : Model
        Services and accounts.
    seed : int
        Seed of all random numbers.
    client : Client
        Behaviour of callers.
    stops_on_cancel : bool
        Whether backend servers stop working on cancelled requests.
    cold_start_s : float
        Cold start duration in the daemons' settings.
    true_cold_s : float or None
        Real cold start duration; `cold_start_s` if None.
    **settings : Any
        Additional settings of each daemon.
    """

    def __init__(
        self,
        model: Model,
        seed: int,
        client: Client | None = None,
        stops_on_cancel: bool = True,
        cold_start_s: float = 0.0,
        true_cold_s: float | None = None,
        **settings: Any,
    ) -> None:
        self.model = model
        self.client = client or Client()
        self.stops_on_cancel = stops_on_cancel
        self.cold_start_s = cold_start_s
        self.true_cold_s = cold_start_s if true_cold_s is None else true_cold_s
        self.settings = settings
        self.rng = random.Random(seed)
        self.ledger = WorkLedger()
        self.cores = Cores(seed=seed)
        self.user_requests: list[UserRequest] = []
        self.sent = 0
        self.refusals: Counter[str] = Counter()
        self.servers_by_service: dict[str, list[ModelServer]] = {}
        self._names: list[str] = []
        self._numbers = itertools.count(1)
        self._headers_by_account = {
            account: {"authorization": f"Bearer key-of-{account}"}
            for account in model.share_by_account
        }
        self._build()

    def _build(self) -> None:
        document = json.dumps(self._catalogue()).encode()
        self.cores.store.state.compare_and_swap(
            "knapweedlead/catalogue", document, 0, ""
        )
        for service in self.model.services:
            for number in range(service.servers):
                self._add(service, number)
        self.cores.run_for(SETTLE_SECONDS)

    def _add(self, service: ServiceModel, number: int) -> None:
        cold_slots = max(1, service.slots // 8)
        server = ModelServer(
            service_s=service.service_s,
            child_paths=[f"/{service.child}/part"] if service.child else [],
            rng=random.Random(self.rng.getrandbits(64)),
            ledger=self.ledger,
            capacity=service.slots,
            cold_slots=cold_slots,
            cold_s=self.true_cold_s,
            stops_on_cancel=self.stops_on_cancel,
        )
        name = f"{service.name}-{number}"
        self._names.append(name)
        self.servers_by_service.setdefault(service.name, []).append(server)
        self.cores.add(
            name,
            service.name,
            self.model.data_centres[number % len(self.model.data_centres)],
            backend_server=server,
            limits=BackendServerLimits(service.slots, cold_slots, self.cold_start_s),
            **self.settings,
        )

    def _catalogue(self) -> dict[str, Any]:
        services = self.model.services
        weights = self.model.weight_by_account
        accounts = self.model.share_by_account
        resources = {
            "client_accounts": [
                {
                    "name": name,
                    "rate_per_s": AMPLE_RATE,
                    "burst": AMPLE_RATE,
                    "weight": weights.get(name, 1.0),
                }
                for name in accounts
            ],
            "keys": [
                {
                    "name": f"{name}-1",
                    "client_account": name,
                    "sha256": hashlib.sha256(f"key-of-{name}".encode()).hexdigest(),
                }
                for name in accounts
            ],
            "routes": [
                {
                    "name": service.name,
                    "path_prefix": f"/{service.name}",
                    "service": service.name,
                    "priority": service.priority,
                    "is_idempotent": True,
                }
                for service in services
            ],
            "services": [
                {
                    "name": service.name,
                    "cold_slots": max(1, service.slots // 8),
                    "cold_start_s": self.cold_start_s,
                }
                for service in services
            ],
            "data_centres": [{"name": name} for name in self.model.data_centres],
        }
        return {"revision": 1, "resources": resources}

    def drive(self, rate_by_service: dict[str, float], seconds: float) -> None:
        """Generate random arrivals and run the simulated clock meanwhile.

        Parameters
        ----------
        rate_by_service : dict of str to float
            User requests a second.
        seconds : float
            Simulated duration.
        """
        for service, rate in rate_by_service.items():
            self.start_arrivals(service, rate, seconds)
        self.cores.run_for(seconds)

    def start_arrivals(
        self, service: str, rate: float, seconds: float, account: str = ""
    ) -> None:
        """Start Poisson arrivals at a service, from one client account or from all."""
        if rate > 0.0:
            self._schedule_arrival(service, rate, self.cores.now + seconds, account)

    def report_restart(self, service: str, number: int) -> None:
        """Report a restart of a backend server to its daemon."""
        core = self.cores.by_name[f"{service}-{number}"]
        core.composition.guard.control.fire("start_seen", self.cores.now)

    def _schedule_arrival(
        self, service: str, rate: float, until: float, only: str
    ) -> None:
        at = self.cores.now + self.rng.expovariate(rate)
        if at >= until:
            return

        def on_arrival() -> None:
            account = only or self._account()
            user_request = UserRequest(
                next(self._numbers), service, account, self.cores.now
            )
            self.user_requests.append(user_request)
            self._send(user_request)
            self._schedule_arrival(service, rate, until, only)

        self.cores.at(at, on_arrival)

    def _account(self) -> str:
        shares = self.model.share_by_account
        return self.rng.choices(list(shares), list(shares.values()))[0]

    def _send(self, user_request: UserRequest) -> None:
        user_request.attempts += 1
        self.sent += 1
        headers = {
            **self._headers_by_account[user_request.account],
            REQUEST_HEADER: f"{user_request.number}-{user_request.attempts}",
            "knapweedlead-deadline-ms": str(int(self.client.timeout_s * 1000)),
        }
        path = f"/{user_request.service}/{user_request.number}"
        name = self.rng.choice(self._names)
        self.cores.call(name, path, headers, on_reply=self._reply_handler(user_request))

    def _reply_handler(
        self, user_request: UserRequest
    ) -> Callable[[CallerReply], None]:
        def replied(reply: CallerReply) -> None:
            user_request.ended_at = self.cores.now
            is_success = reply.status == 200
            is_timely = reply.replied_at - reply.sent_at <= self.client.timeout_s
            user_request.is_served = is_success and is_timely
            if user_request.is_served:
                return
            self.refusals[_reason_of(reply)] += 1
            if user_request.attempts < self.client.max_attempts:
                at = self.cores.now + CLIENT_BACKOFF_SECONDS
                self.cores.at(at, lambda: self._send(user_request))

        return replied

    def served_per_s(
        self, service: str, start: float, end: float, account: str = ""
    ) -> float:
        """Return the user requests a second of a service served between two times."""
        served = sum(
            user_request.is_served and start <= user_request.ended_at < end
            for user_request in self.user_requests
            if user_request.service == service and account in ("", user_request.account)
        )
        return served / (end - start)

    def seconds_to_recover(self, start: float, end: float, level: float) -> float:
        """Return the seconds after `start` until the share served stays at `level`.

        Returns infinity if the last window is below `level`. The share is taken over
        windows of 2 s that start every 0.5 s, so that random variation of the arrival
        rate has no effect.
        """
        count = int((end - start - RECOVERY_WINDOW_SECONDS) / RECOVERY_STEP_SECONDS)
        window_starts = [start + n * RECOVERY_STEP_SECONDS for n in range(count + 1)]
        below_level = [
            begin
            for begin in window_starts
            if self.share_served(begin, begin + RECOVERY_WINDOW_SECONDS) < level
        ]
        if not below_level:
            return 0.0
        if below_level[-1] == window_starts[-1]:
            return float("inf")
        return below_level[-1] + RECOVERY_STEP_SECONDS - start

    def share_served(
        self, start: float, end: float, service: str = "", account: str = ""
    ) -> float:
        """Return the share served of the user requests that arrived between two times.

        Returns 1 if none arrived.
        """
        outcomes = [
            user_request.is_served
            for user_request in self.user_requests
            if start <= user_request.started_at < end
            and (not service or user_request.service == service)
            and (not account or user_request.account == account)
        ]
        return sum(outcomes) / len(outcomes) if outcomes else 1.0

    def wasted_share(self) -> float:
        """Return the share of all work that was spent on requests not served."""
        useful = {
            f"{user_request.number}-{user_request.attempts}"
            for user_request in self.user_requests
            if user_request.is_served
        }
        spent = self.ledger.seconds_by_request
        total = sum(spent.values())
        useful_s = sum(
            seconds for request, seconds in spent.items() if request in useful
        )
        return 1.0 - useful_s / total if total else 0.0


def _reason_of(reply: CallerReply) -> str:
    if "problem" not in reply.headers.get("content-type", ""):
        return f"status_{reply.status}"
    reason: str = json.loads(reply.body)["reason"]
    return reason


def granite_span(scale: int = 5, service_s: float = 0.2) -> Model:
    """Return Granite Span's services with slots divided by `scale`."""
    return Model(
        "granite-span",
        (
            ServiceModel("wear", 6, 150 // scale, service_s, 5),
            ServiceModel("ticketing", 3, 300 // scale, service_s, 2, child="wear"),
            ServiceModel("closures", 3, 300 // scale, service_s, 0),
            ServiceModel("signoffs", 3, 40 // scale, service_s, 0, child="closures"),
        ),
        _accounts("crew"),
    )


def crimpline(scale: int = 5, service_s: float = 0.2) -> Model:
    """Return Crimpline's services with slots divided by `scale`."""
    return Model(
        "crimpline",
        (
            ServiceModel("catalogue", 5, 120 // scale, service_s, 7),
            ServiceModel("bookings", 4, 150 // scale, service_s, 0, child="billing"),
            ServiceModel("billing", 3, 200 // scale, service_s, 0),
            ServiceModel("routes", 3, 30 // scale, service_s, 3),
        ),
        _accounts("gym"),
    )


def _accounts(prefix: str) -> dict[str, float]:
    """Return the shares of 8 client accounts, three of them large."""
    shares = (5.0, 4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0)
    return {f"{prefix}-{number}": share for number, share in enumerate(shares, 1)}
