"""Scenarios of the whole fleet; each prints its resource usage."""

import os
import statistics
from collections.abc import Callable

from benchmarks.capacity._catalogue import catalogue
from benchmarks.capacity._cores import CountingCores, build
from benchmarks.capacity._size import SERVERS
from benchmarks.processes import resident_bytes
from knapweedlead.configuration import ApplyResource

SETTLE_SECONDS = 60.0
WINDOW_SECONDS = 20.0
STEP_SECONDS = 0.25
MAX_WAIT_SECONDS = 180.0

_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000


def settled_fleet(servers: int) -> CountingCores:
    """Return a fleet in a steady state, with its counts reset."""
    cores = build(servers, catalogue())
    cores.run_for(SETTLE_SECONDS)
    cores.reset()
    return cores


def rest(servers: int = SERVERS) -> None:
    """Print the resource usage of a daemon in an idle fleet."""
    before = resident_bytes(os.getpid())
    cores = settled_fleet(servers)
    cores.run_for(WINDOW_SECONDS)
    growth = resident_bytes(os.getpid()) - before
    print_window(cores, f"rest, {servers} daemons", WINDOW_SECONDS)
    size = len(catalogue())
    links = [len(core.open_links) for core in cores.by_name.values()]
    print(f"  links of one daemon {statistics.mean(links):.1f}, max {max(links)}")
    print(
        f"  state of one daemon {growth / servers / _BYTES_PER_MB:.2f} MB "
        f"(catalogue document {size} bytes)"
    )


def start(servers: int = SERVERS) -> None:
    """Print the cost per second of starting all daemons at the same time."""
    cores = build(servers, catalogue())
    seconds = 0
    while not (is_membership_complete(cores) and is_active(cores, 1)):
        cores.reset()
        cores.run_for(1.0)
        seconds += 1
        print_window(cores, f"second {seconds} of a start of {servers}", 1.0)
        if seconds >= MAX_WAIT_SECONDS:
            print("  membership or revision still incomplete at the time limit")
            return
    print(f"membership complete and revision active after {seconds} s")


def change(servers: int = SERVERS, changes: int = 10) -> None:
    """Print how long changes take to become active on all daemons, and their cost."""
    cores = settled_fleet(servers)
    at = next(iter(cores.by_name))
    durations = []
    for number in range(changes):
        document = {"rate_per_s": 20_000 + number, "burst": 100}
        revision = cores.by_name[at].composition.configuration.revision
        cores.send_operator_request(
            at, ApplyResource("client_accounts", "account-00", document, None, "")
        )
        expected_revision = revision + 1
        durations.append(run_until(cores, lambda: is_active(cores, expected_revision)))  # noqa: B023
        cores.run_for(2.0)
    seconds = sum(durations) + 2.0 * changes
    print(
        f"{changes} changes at {servers} daemons: active on all after "
        f"{statistics.median(durations):.2f} s (median), {max(durations):.2f} s (max), "
        f"checked every {STEP_SECONDS} s"
    )
    print_window(cores, "with a change every few seconds", seconds)


def data_centre(servers: int = SERVERS) -> None:
    """Print the time to detect the loss of a data centre, and the cost meanwhile."""
    cores = settled_fleet(servers)
    lost = [
        n for n, core in cores.by_name.items() if core.settings.data_centre == "dc0"
    ]
    for name in lost:
        cores.crash(name)
    seconds = run_until(cores, lambda: is_excluded(cores, set(lost)))
    print(
        f"{len(lost)} of {servers} daemons lost: "
        f"removed from all tables after {seconds:.2f} s"
    )
    print_window(cores, "until then", max(seconds, STEP_SECONDS))


def partition(servers: int = SERVERS, minutes: float = 3.0) -> None:
    """Print the cost of a network partition between regions, and of its recovery."""
    cores = settled_fleet(servers)
    by_region: dict[str, list[str]] = {}
    for name, core in cores.by_name.items():
        by_region.setdefault(core.settings.region, []).append(name)
    left, right = by_region.values()
    for one in left:
        for other in right:
            cores.cut(one, other)
    for minute in range(int(minutes)):
        cores.reset()
        cores.run_for(60.0)
        print_window(cores, f"minute {minute + 1} of the partition", 60.0)
    cores.heal()
    cores.reset()
    seconds = run_until(cores, lambda: is_membership_complete(cores))
    print(f"healed: all membership tables complete after {seconds:.2f} s")
    print_window(cores, "until then", max(seconds, STEP_SECONDS))


def restart(servers: int = SERVERS, restarts: int = 10) -> None:
    """Print the cost to the fleet of restarting daemons one after another."""
    cores = settled_fleet(servers)
    for name in list(cores.by_name)[:restarts]:
        cores.crash(name)
        cores.run_for(2.0)
        cores.restart(name)
        cores.run_for(4.0)
    print_window(cores, f"a restart every 6 s, {servers} daemons", 6.0 * restarts)


def run_until(cores: CountingCores, is_done: Callable[[], bool]) -> float:
    """Advance until a condition holds, at most `MAX_WAIT_SECONDS`; return the time."""
    started_at = cores.now
    while not is_done() and cores.now - started_at < MAX_WAIT_SECONDS:
        cores.run_for(STEP_SECONDS)
    return cores.now - started_at


def is_membership_complete(cores: CountingCores) -> bool:
    """Return whether all running daemons are routable in each running one's table."""
    up = {name for name, core in cores.by_name.items() if core.is_up}
    return all(len(_routable(cores, name) & up) == len(up) for name in up)


def is_excluded(cores: CountingCores, lost: set[str]) -> bool:
    """Return whether no lost daemon is routable in a running daemon's table."""
    up = [name for name, core in cores.by_name.items() if core.is_up]
    return not any(_routable(cores, name) & lost for name in up)


def is_active(cores: CountingCores, revision: int) -> bool:
    """Return whether a revision, or a later one, is active on all running daemons."""
    return all(
        core.composition.configuration.revision >= revision
        for core in cores.by_name.values()
        if core.is_up
    )


def _routable(cores: CountingCores, name: str) -> set[str]:
    membership = cores.by_name[name].composition.membership
    return {
        member.name
        for member in membership.by_name.values()
        if member.state in ("alive", "suspect")
    }


def print_window(cores: CountingCores, title: str, seconds: float) -> None:
    """Print messages, bytes, processor time and store calls since the last reset."""
    tally = cores.tally
    up = sum(core.is_up for core in cores.by_name.values())
    sent = tally.bytes_by_sender.values()
    received = tally.bytes_by_receiver
    totals = [size + received[name] for name, size in tally.bytes_by_sender.items()]
    scale = seconds * up
    print(
        f"{title}: {tally.messages_by_class.total() / scale:.2f} messages/s sent, "
        f"{sum(sent) / scale:.0f} B/s sent (mean), "
        f"{max(totals, default=0) / seconds:.0f} B/s in both directions (max), "
        f"decisions {tally.processor_s / scale * _MS_PER_S:.2f} ms/s (mean) "
        f"{max(tally.processor_by_core.values()) / seconds * _MS_PER_S:.2f} (max), "
        f"store {cores.store_writes / seconds:.1f} writes/s "
        f"{cores.store_reads / seconds:.1f} reads/s (all daemons)"
    )
    for name, count in tally.messages_by_class.most_common(6):
        size = tally.bytes_by_class[name]
        print(f"  {name}: {count / scale:.3f} /s, {size / scale:.1f} B/s")
