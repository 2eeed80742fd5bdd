"""Schema of the daemon's settings."""

import ipaddress
from typing import Any, ClassVar

import attrs

from knapweedlead.admission import COLD_STARTS, LIMITERS, QUEUES
from knapweedlead.ownership import OwnershipTimes
from knapweedlead.parameters import Choice, Constraint, InstanceOf, Interval

MAX_PORT = 65535
MIN_SECRET_LENGTH = 16


@attrs.frozen
class Address:
    """Constraint: ``IP:PORT`` with a literal IP address."""

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is an address with a literal IP and a valid port."""
        if not isinstance(value, str):
            return False
        host, separator, port = value.rpartition(":")
        if not separator or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
            return False
        try:
            ipaddress.ip_address(host.strip("[]"))
        except ValueError:
            return False
        return True

    def describe(self) -> str:
        """Return the expected value as a phrase for error messages."""
        return "an address 'IP:PORT' with a literal IP"


@attrs.frozen
class Secret:
    """Constraint: a secret string of at least 16 characters."""

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is a string of sufficient length."""
        return isinstance(value, str) and len(value) >= MIN_SECRET_LENGTH

    def describe(self) -> str:
        """Return the expected value as a phrase for error messages."""
        return f"a secret of at least {MIN_SECRET_LENGTH} characters"


@attrs.frozen
class Name:
    """Constraint: a name of 1 to 128 characters without ``/``."""

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is a string of valid length without ``/``."""
        return isinstance(value, str) and 0 < len(value) <= 128 and "/" not in value

    def describe(self) -> str:
        """Return the expected value as a phrase for error messages."""
        return "a name of 1 to 128 characters without '/'"


@attrs.frozen
class BackendServerSettings:
    """The backend server co-located with the daemon.

    Parameters
    ----------
    address : str
        ``IP:PORT`` at which the backend server accepts HTTP connections.
    slots : int
        Number of calls that the backend server can run concurrently.
    cold_slots : int
        Number of calls that the backend server can run concurrently in a cold start.
    cold_start_s : float
        Duration of a cold start, in seconds.
    connections : int
        Maximum number of connections that the backend server accepts.
    """

    address: str
    slots: int
    cold_slots: int
    cold_start_s: float
    connections: int

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "address": Address(),
        "slots": Interval(int, 1, 100_000, "calls"),
        "cold_slots": Interval(int, 1, 100_000, "calls"),
        "cold_start_s": Interval(float, 0.0, 3600.0, "s"),
        "connections": Interval(int, 1, 100_000, "connections"),
    }


@attrs.frozen
class StoreSettings:
    """The platform's store.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store's HTTP interface.
    timeout_s : float
        Timeout of a call to the store, in seconds.
    """

    address: str
    timeout_s: float = 2.0

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "address": Address(),
        "timeout_s": Interval(float, 0.05, 60.0, "s"),
    }


@attrs.frozen
class AdmissionSettings:
    """Admission policies of the guard.

    Parameters
    ----------
    limiter, queue, cold_start : str
        Names registered in `knapweedlead.admission`.
    """

    limiter: str = "adaptive"
    queue: str = "priority_fair"
    cold_start: str = "ramp"

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "limiter": Choice(tuple(sorted(LIMITERS.by_name))),
        "queue": Choice(tuple(sorted(QUEUES.by_name))),
        "cold_start": Choice(tuple(sorted(COLD_STARTS.by_name))),
    }


@attrs.frozen
class RoutingSettings:
    """Names of the entry's routing and retry policies."""

    balancer: str = "two_choices"
    ejector: str = "outlier"
    credit_policy: str = "keep_one"
    backoff: str = "full_jitter"
    retry_budget: str = "success_share"

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "balancer": Choice(("least_latency", "random", "two_choices")),
        "ejector": Choice(("none", "outlier")),
        "credit_policy": Choice(("keep_one", "lend_all", "per_hop")),
        "backoff": Choice(("full_jitter", "none")),
        "retry_budget": Choice(("success_share", "unlimited")),
    }


@attrs.frozen
class ConfigurationSettings:
    """Name of the policy that distributes configuration among daemons."""

    spreading: str = "flood"

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "spreading": Choice(("flood", "gossip", "partitioned_tree"))
    }


@attrs.frozen
class AccountsSettings:
    """Name of the policy that meters the calls of client accounts."""

    meter: str = "escrowed"

    parameter_constraints: ClassVar[dict[str, Constraint]] = {"meter": InstanceOf(str)}


@attrs.frozen
class OwnershipSettings:
    """Slots of the fleet's shared state; must be the same on every daemon.

    Parameters
    ----------
    slots : int
        Number of slots in the fleet.
    times : OwnershipTimes
        Times that bound the authority of an owner.
    """

    slots: int = 64
    times: OwnershipTimes = OwnershipTimes()

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "slots": Interval(int, 1, 4096, "slots")
    }


@attrs.frozen
class TelemetrySettings:
    """Logging; `log_level` is the lowest level that is written."""

    log_level: str = "info"

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "log_level": Choice(("debug", "info", "warning", "error"))
    }


@attrs.frozen
class DaemonSettings:
    """All settings of a daemon.

    Parameters
    ----------
    name : str
        Member name, unique in the fleet.
    instance, region, data_centre, service : str
        Location of the daemon, and the service of its backend server.
    link_address, caller_address, operator_address : str
        ``IP:PORT`` of the listeners for daemons, callers and operators.
    fleet_secret : str
        Secret shared by all daemons; authenticates links.
    operator_credential : str
        Bearer token that the operator API requires.
    backend_server : BackendServerSettings
        The backend server co-located with the daemon.
    store : StoreSettings
        The platform's store.
    seed : int
        Seed of the daemon's random generator; 0 uses the operating system's entropy.
    """

    name: str
    instance: str
    region: str
    data_centre: str
    service: str
    link_address: str
    caller_address: str
    operator_address: str
    fleet_secret: str = attrs.field(repr=False)
    operator_credential: str = attrs.field(repr=False)
    backend_server: BackendServerSettings = attrs.field()
    store: StoreSettings = attrs.field()
    seed: int = 0
    admission: AdmissionSettings = AdmissionSettings()
    routing: RoutingSettings = RoutingSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    telemetry: TelemetrySettings = TelemetrySettings()
    ownership: OwnershipSettings = OwnershipSettings()
    accounts: AccountsSettings = AccountsSettings()

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "name": Name(),
        "instance": Name(),
        "region": Name(),
        "data_centre": Name(),
        "service": Name(),
        "link_address": Address(),
        "caller_address": Address(),
        "operator_address": Address(),
        "fleet_secret": Secret(),
        "operator_credential": Secret(),
        "seed": Interval(int, 0, 2**63 - 1),
    }
