"""State of a simulated node core, its backend server and its callers."""

from collections.abc import Callable
from typing import Any

import attrs

from knapweedlead.daemon import Composition
from knapweedlead.node import Effect, Event
from knapweedlead.settings import DaemonSettings


@attrs.define
class RunningRequest:
    """A running or queued request on a simulated backend server."""

    run: int
    path: str
    headers: dict[str, str]
    started_at: float
    is_cancelled: bool = False


@attrs.define(eq=False)
class CoreBackendServer:
    """A simulated backend server that answers after a service time.

    Parameters
    ----------
    slots : int
        Requests that run concurrently; further requests wait in order of arrival.
    service_s : float
        Service time of a request, in seconds.
    status : int
        Status of each answer; 0 closes the connection instead.
    child_paths : list of str
        Paths called through the local daemon for each request.
    is_parallel : bool
        Whether the child calls are concurrent, rather than sequential.
    child_retries : int
        Maximum number of retries of a failed child call.
    child_failure_status : int
        Status of the answer after a child call failed; 0 closes the connection.
    """

    slots: int = 16
    service_s: float = 0.005
    status: int = 200
    child_paths: list[str] = attrs.field(factory=list)
    is_parallel: bool = False
    child_retries: int = 0
    child_failure_status: int = 502
    journal: list[RunningRequest] = attrs.field(factory=list)
    waiting: list[RunningRequest] = attrs.field(factory=list)
    running_by_run: dict[int, RunningRequest] = attrs.field(factory=dict)
    most_running: int = 0

    def work_s(self, request: RunningRequest, now: float) -> float:
        """Return the service time of a request that starts, in seconds."""
        return self.service_s

    def status_of(self, request: RunningRequest) -> int:
        """Return the status of the answer; 0 closes the connection instead."""
        return self.status


@attrs.frozen
class BackendServerLimits:
    """Limits of the local backend server in a daemon's settings.

    Parameters
    ----------
    slots, cold_slots : int
        Concurrent calls, warm and cold.
    cold_start_s : float
        Duration of a cold start, in seconds.
    connections : int
        Maximum number of connections to the backend server.
    """

    slots: int
    cold_slots: int
    cold_start_s: float = 0.0
    connections: int = 1000


@attrs.define
class CallerReply:
    """The reply to a simulated caller; `status` is None until the reply arrives."""

    sent_at: float
    status: int | None = None
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    replied_at: float = 0.0


@attrs.define(eq=False)
class Core:
    """A node core with its simulated environment.

    Parameters
    ----------
    settings : DaemonSettings
        Settings from which the node was composed.
    composition : Composition
        The node and its roles.
    backend_server : CoreBackendServer
        The local simulated backend server.
    clock_rate, clock_offset : float
        The node's clock reads ``offset + rate * time``.
    """

    settings: DaemonSettings
    composition: Composition
    backend_server: CoreBackendServer
    clock_rate: float = 1.0
    clock_offset: float = 0.0
    is_up: bool = True
    is_paused: bool = False
    backlog: list[Event] = attrs.field(factory=list)
    open_links: set[str] = attrs.field(factory=set)
    reply_by_exchange: dict[int, CallerReply] = attrs.field(factory=dict)
    on_reply_by_exchange: dict[int, Callable[[CallerReply], None]] = attrs.field(
        factory=dict
    )
    reply_by_operator_exchange: dict[int, Any] = attrs.field(factory=dict)
    other_effects: list[Effect] = attrs.field(factory=list)

    @property
    def name(self) -> str:
        """Member name."""
        return self.settings.name

    @property
    def address(self) -> str:
        """Link address."""
        return self.settings.link_address
