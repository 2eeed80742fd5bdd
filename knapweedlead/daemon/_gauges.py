"""Values of the daemon's gauges, read at each scrape."""

import resource
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING

from knapweedlead.telemetry import Reading
from knapweedlead.transport import Traffic

if TYPE_CHECKING:
    from knapweedlead.daemon._shell import Shell


def read_gauges(shell: "Shell") -> Iterator[Reading]:
    """Yield the gauges of the roles, the transports and the process."""
    yield from _guard_readings(shell)
    yield from _state_readings(shell)
    yield from _transport_readings(shell)
    yield from _traffic_readings("transmit", shell.links.sent)
    yield from _traffic_readings("receive", shell.links.received)
    yield from _process_readings()


def _guard_readings(shell: "Shell") -> Iterator[Reading]:
    load = shell.composition.guard.load_report(time.monotonic())
    yield Reading("knapweedlead.guard.limit", load.limit)
    yield Reading("knapweedlead.guard.in_flight", load.in_flight)
    yield Reading("knapweedlead.guard.queued", load.queued)
    yield Reading("knapweedlead.guard.cold", int(load.is_cold))
    yield Reading("knapweedlead.guard.draining", int(load.is_draining))


def _state_readings(shell: "Shell") -> Iterator[Reading]:
    composition = shell.composition
    revision = composition.configuration.revision
    yield Reading("knapweedlead.configuration.revision", revision)
    slots = len(composition.ownership.owned_by_slot)
    yield Reading("knapweedlead.slots.owned", slots)
    tokens_by_account = composition.accounts.meter.held_by_account(time.monotonic())
    for account, tokens in tokens_by_account.items():
        yield Reading("knapweedlead.tokens", tokens, (("client_account", account),))
    members = composition.membership.by_name.values()
    for state, count in Counter(member.state for member in members).items():
        yield Reading("knapweedlead.members", count, (("state", state),))


def _transport_readings(shell: "Shell") -> Iterator[Reading]:
    yield Reading("knapweedlead.links", shell.links.open_links)
    yield Reading("knapweedlead.link.waiting", shell.links.queued_messages)
    callers = shell.callers
    yield Reading("knapweedlead.caller.connections", callers.open_connections)
    yield Reading("knapweedlead.caller.exchanges", callers.open_exchanges)
    connections = shell.backend_server.open_connections
    yield Reading("knapweedlead.backend_server.connections", connections)


def _traffic_readings(direction: str, traffic: Traffic) -> Iterator[Reading]:
    label = ("direction", direction)
    for message_class, count in traffic.messages_by_class.items():
        labels = (label, ("message", message_class.__name__))
        yield Reading("knapweedlead.link.messages", count, labels)
    size_by_purpose = {"call": traffic.call_bytes, "control": traffic.control_bytes}
    for purpose, size in size_by_purpose.items():
        yield Reading("knapweedlead.link.io", size, (label, ("purpose", purpose)))


def _process_readings() -> Iterator[Reading]:
    yield Reading("process.cpu.time", time.process_time())
    pages = int(Path("/proc/self/statm").read_text("ascii").split()[1])
    size = pages * resource.getpagesize()
    yield Reading("process.memory.usage", size)
