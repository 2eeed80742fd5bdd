"""Load plan: targets and streams of calls."""

from typing import Any, ClassVar

import attrs

from knapweedlead.parameters import Choice, Constraint, InstanceOf, Interval
from knapweedlead.settings import Address

MAX_RATE = 20_000.0


@attrs.frozen
class AddressList:
    """Constraint: a non-empty list of addresses ``IP:PORT``."""

    def accepts(self, value: Any) -> bool:
        """Return whether `value` is a non-empty list of valid addresses."""
        address = Address()
        return (
            isinstance(value, list | tuple)
            and bool(value)
            and all(address.accepts(item) for item in value)
        )

    def describe(self) -> str:
        """Return the expected value as a phrase for error messages."""
        return "a list of addresses 'IP:PORT'"


@attrs.frozen
class SurgePlan:
    """Interval during which the rate of a stream is multiplied.

    Parameters
    ----------
    start_s, duration_s : float
        Start, counted from the beginning of the run, and length, in seconds.
    factor : float
        Multiplier of the stream's rate.
    """

    start_s: float
    duration_s: float
    factor: float

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "start_s": Interval(float, 0.0, 3600.0, "s"),
        "duration_s": Interval(float, 0.0, 3600.0, "s"),
        "factor": Interval(float, 0.0, 1000.0),
    }


@attrs.frozen
class StreamPlan:
    """Stream of calls from one client account to one path.

    Parameters
    ----------
    name : str
        Name in the report.
    client_account : str
        Account in the report.
    key : str
        Key sent as bearer token; none if empty.
    path, method : str
        Path and method of the request.
    rate_per_s : float
        Mean arrival rate in calls per second, independent of responses.
    priority : int
        Priority in the report; the route determines the actual priority.
    deadline_ms : int
        Value of the deadline header, in milliseconds; 0 sends no header.
    retries : int
        Maximum number of retries after a refusal or a failure.
    retry_delay_ms : float
        Mean delay before a retry, in milliseconds.
    sends_idempotency_key : bool
        Whether each call carries an ``Idempotency-Key`` (UUIDv7).
    body_bytes : int
        Size of the request body.
    surges : tuple of SurgePlan
        Intervals with a multiplied rate.
    """

    name: str
    client_account: str
    path: str
    rate_per_s: float
    key: str = attrs.field(default="", repr=False)
    method: str = "GET"
    priority: int = 5
    deadline_ms: int = 0
    retries: int = 0
    retry_delay_ms: float = 50.0
    sends_idempotency_key: bool = False
    body_bytes: int = 0
    surges: tuple[SurgePlan, ...] = ()

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "name": InstanceOf(str),
        "client_account": InstanceOf(str),
        "key": InstanceOf(str),
        "path": InstanceOf(str),
        "method": Choice(("GET", "POST", "PUT", "DELETE")),
        "rate_per_s": Interval(float, 0.0, MAX_RATE, "calls/s"),
        "priority": Interval(int, 0, 9),
        "deadline_ms": Interval(int, 0, 600_000, "ms"),
        "retries": Interval(int, 0, 100),
        "retry_delay_ms": Interval(float, 0.0, 60_000.0, "ms"),
        "sends_idempotency_key": InstanceOf(bool),
        "body_bytes": Interval(int, 0, 4 * 1024 * 1024, "bytes"),
    }

    def rate_at(self, elapsed: float) -> float:
        """Return the arrival rate `elapsed` seconds into the run, in calls per second.

        Where surges overlap, the largest factor applies.
        """
        factors = [
            surge.factor
            for surge in self.surges
            if surge.start_s <= elapsed < surge.start_s + surge.duration_s
        ]
        return self.rate_per_s * max(factors, default=1.0)


@attrs.frozen
class LoadPlan:
    """Run of one or more streams for a limited time.

    Parameters
    ----------
    targets : tuple of str
        ``IP:PORT`` of daemons; each attempt goes to a random one.
    duration_s : float
        Time during which calls arrive, in seconds.
    streams : tuple of StreamPlan
        Streams to send.
    seed : int
        Seed of arrival times and choice of targets.
    max_outstanding : int
        Maximum number of outstanding calls; further arrivals are recorded as not sent.
    timeout_s : float
        Timeout of an attempt, in seconds.
    """

    targets: tuple[str, ...]
    duration_s: float
    streams: tuple[StreamPlan, ...]
    seed: int = 1
    max_outstanding: int = 5000
    timeout_s: float = 10.0

    parameter_constraints: ClassVar[dict[str, Constraint]] = {
        "targets": AddressList(),
        "duration_s": Interval(float, 0.1, 3600.0, "s"),
        "seed": Interval(int, 0, 2**63 - 1),
        "max_outstanding": Interval(int, 1, 100_000, "calls"),
        "timeout_s": Interval(float, 0.1, 600.0, "s"),
    }
