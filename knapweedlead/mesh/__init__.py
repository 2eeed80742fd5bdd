"""Decision logic of a daemon that serves calls together with others of its fleet.

Nothing in this package does I/O or reads a clock: callers pass the current time.
"""

from knapweedlead.mesh._calls import (
    AttemptTimes,
    Call,
    Failure,
    Reason,
    ServerAnswer,
)
from knapweedlead.mesh._cold_start_limiter import ColdStartLimiter
from knapweedlead.mesh._configuration import (
    ClientAccount,
    MeshConfiguration,
    RequestLimits,
    Route,
    Service,
    WeightedService,
)
from knapweedlead.mesh._demand import RouteDemand
from knapweedlead.mesh._demand_exchange import (
    DemandExchange,
    DemandSum,
    Outbox,
    add_sums,
)
from knapweedlead.mesh._departures import Departures
from knapweedlead.mesh._entry import Entry
from knapweedlead.mesh._entry_calls import EntryCall, EntrySettings
from knapweedlead.mesh._fleet_state import (
    DepartedStart,
    FleetChange,
    FleetState,
    Member,
    apply_change,
    checked_departure,
    checked_member,
    departure_key,
)
from knapweedlead.mesh._freshness import Freshness
from knapweedlead.mesh._guard import Guard
from knapweedlead.mesh._lending import TokenExchange
from knapweedlead.mesh._link_monitor import PROBE_PERIOD, LinkAction, LinkMonitor
from knapweedlead.mesh._placement import PLACEMENTS, Target
from knapweedlead.mesh._quarantine import (
    FINGERPRINT_BYTES,
    Announcement,
    Completion,
    LostRun,
    Quarantined,
    RequestQuarantine,
    ServerEnd,
)
from knapweedlead.mesh._quotas import QuotaShares
from knapweedlead.mesh._relays import RelayChoice, RelayPeer
from knapweedlead.mesh._reports import BackendServer, ServerReport
from knapweedlead.mesh._retry_budget import RetryBudget
from knapweedlead.mesh._roster import Roster
from knapweedlead.mesh._server_monitor import MAX_CLOCK_LEAD
from knapweedlead.mesh._server_notices import ServerNotice
from knapweedlead.mesh._settings import MeshSettings
from knapweedlead.mesh._shedding import ServiceLoad, Shedder
from knapweedlead.mesh._slot_times import slot_time_by_service, slot_times_by_route
from knapweedlead.mesh._stop_schedule import StopSchedule
from knapweedlead.mesh._store import LeaseGrant, StorePurpose
from knapweedlead.mesh._tickets import Sender, ServerState, Ticket

__all__ = [
    "checked_departure",
    "departure_key",
    "FINGERPRINT_BYTES",
    "MAX_CLOCK_LEAD",
    "PROBE_PERIOD",
    "PLACEMENTS",
    "Outbox",
    "add_sums",
    "Announcement",
    "AttemptTimes",
    "BackendServer",
    "Call",
    "Completion",
    "LostRun",
    "Quarantined",
    "RequestQuarantine",
    "ServerEnd",
    "ClientAccount",
    "ColdStartLimiter",
    "DemandExchange",
    "DepartedStart",
    "Departures",
    "DemandSum",
    "Entry",
    "EntryCall",
    "EntrySettings",
    "Failure",
    "Freshness",
    "Guard",
    "MeshConfiguration",
    "MeshSettings",
    "QuotaShares",
    "Reason",
    "RetryBudget",
    "RequestLimits",
    "Route",
    "ServerAnswer",
    "ServerNotice",
    "ServerReport",
    "Sender",
    "ServerState",
    "Service",
    "Target",
    "Ticket",
    "LeaseGrant",
    "LinkAction",
    "LinkMonitor",
    "Member",
    "Roster",
    "StopSchedule",
    "StorePurpose",
    "WeightedService",
    "FleetChange",
    "FleetState",
    "RelayChoice",
    "RelayPeer",
    "TokenExchange",
    "apply_change",
    "checked_member",
    "RouteDemand",
    "slot_time_by_service",
    "slot_times_by_route",
    "checked_member",
    "ServiceLoad",
    "Shedder",
]
