"""Scenarios over the cores of the whole fleet, each printing what it spent."""

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
GIVE_UP_SECONDS = 180.0

_MS_PER_S = 1000
_BYTES_PER_MB = 1_000_000


def settled(servers: int) -> CountingCores:
    """Return a fleet that has come to rest."""
    cores = build(servers, catalogue())
    cores.run_for(SETTLE_SECONDS)
    cores.reset()
    return cores


def rest(servers: int = SERVERS) -> None:
    """Print what a daemon spends at rest."""
    before = resident_bytes(os.getpid())
    cores = settled(servers)
    cores.run_for(WINDOW_SECONDS)
    grown = resident_bytes(os.getpid()) - before
    print_window(cores, f"rest, {servers} daemons", WINDOW_SECONDS)
    size = len(catalogue())
    links = [len(core.open_links) for core in cores.by_name.values()]
    print(f"  links of one daemon {statistics.mean(links):.1f}, most {max(links)}")
    print(
        f"  state of one daemon {grown / servers / _BYTES_PER_MB:.2f} MB "
        f"(catalogue document {size} bytes)"
    )


def start(servers: int = SERVERS) -> None:
    """Print what the start of all daemons at once costs, second by second."""
    cores = build(servers, catalogue())
    seconds = 0
    while not (is_whole(cores) and is_in_force(cores, 1)):
        cores.reset()
        cores.run_for(1.0)
        seconds += 1
        print_window(cores, f"second {seconds} of a start of {servers}", 1.0)
        if seconds >= GIVE_UP_SECONDS:
            print("  not whole by then")
            return
    print(f"all tables whole and the revision in force after {seconds} s")


def change(servers: int = SERVERS, changes: int = 10) -> None:
    """Print how long changes take to be in force everywhere, and their cost."""
    cores = settled(servers)
    at = next(iter(cores.by_name))
    taken = []
    for number in range(changes):
        document = {"rate_per_s": 20_000 + number, "burst": 100}
        revision = cores.by_name[at].composition.configuration.revision
        cores.send_operator_request(
            at, ApplyResource("client_accounts", "account-00", document, None, "")
        )
        wanted = revision + 1
        taken.append(run_until(cores, lambda: is_in_force(cores, wanted)))  # noqa: B023
        cores.run_for(2.0)
    seconds = sum(taken) + 2.0 * changes
    print(
        f"{changes} changes at {servers} daemons: in force everywhere after "
        f"{statistics.median(taken):.2f} s (median), {max(taken):.2f} s (most), "
        f"seen in steps of {STEP_SECONDS} s"
    )
    print_window(cores, "with a change every few seconds", seconds)


def data_centre(servers: int = SERVERS) -> None:
    """Print how the loss of a data centre is noticed, and what it costs."""
    cores = settled(servers)
    lost = [
        n for n, core in cores.by_name.items() if core.settings.data_centre == "dc0"
    ]
    for name in lost:
        cores.crash(name)
    seconds = run_until(cores, lambda: is_avoided(cores, set(lost)))
    print(
        f"{len(lost)} of {servers} daemons lost: out of all tables in {seconds:.2f} s"
    )
    print_window(cores, "until then", max(seconds, STEP_SECONDS))


def partition(servers: int = SERVERS, minutes: float = 3.0) -> None:
    """Print what the regions' loss of each other costs, and its healing."""
    cores = settled(servers)
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
    seconds = run_until(cores, lambda: is_whole(cores))
    print(f"healed: all tables whole after {seconds:.2f} s")
    print_window(cores, "until then", max(seconds, STEP_SECONDS))


def restart(servers: int = SERVERS, restarts: int = 10) -> None:
    """Print what the restart of single daemons costs the fleet."""
    cores = settled(servers)
    for name in list(cores.by_name)[:restarts]:
        cores.crash(name)
        cores.run_for(2.0)
        cores.restart(name)
        cores.run_for(4.0)
    print_window(cores, f"a restart every 6 s, {servers} daemons", 6.0 * restarts)


def run_until(cores: CountingCores, is_done: Callable[[], bool]) -> float:
    """Advance until something holds; return the seconds, bounded."""
    began_at = cores.now
    while not is_done() and cores.now - began_at < GIVE_UP_SECONDS:
        cores.run_for(STEP_SECONDS)
    return cores.now - began_at


def is_whole(cores: CountingCores) -> bool:
    """Return whether each daemon knows all that are up as routable."""
    up = {name for name, core in cores.by_name.items() if core.is_up}
    return all(len(_routable(cores, name) & up) == len(up) for name in up)


def is_avoided(cores: CountingCores, lost: set[str]) -> bool:
    """Return whether no daemon that is up would send work to the lost ones."""
    up = [name for name, core in cores.by_name.items() if core.is_up]
    return not any(_routable(cores, name) & lost for name in up)


def is_in_force(cores: CountingCores, revision: int) -> bool:
    """Return whether a revision is in force on all daemons that are up."""
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
    """Print messages, bytes, processor time and store calls of a window."""
    tally = cores.tally
    up = sum(core.is_up for core in cores.by_name.values())
    sent = tally.bytes_by_sender.values()
    received = tally.bytes_by_receiver
    both = [size + received[name] for name, size in tally.bytes_by_sender.items()]
    scale = seconds * up
    print(
        f"{title}: {tally.messages_by_class.total() / scale:.2f} messages/s sent, "
        f"{sum(sent) / scale:.0f} B/s sent (mean), "
        f"{max(both, default=0) / seconds:.0f} B/s both ways (most), "
        f"decisions {tally.processor_s / scale * _MS_PER_S:.2f} ms/s (mean) "
        f"{max(tally.processor_by_core.values()) / seconds * _MS_PER_S:.2f} (most), "
        f"store {cores.store_writes / seconds:.1f} writes/s "
        f"{cores.store_reads / seconds:.1f} reads/s (all daemons)"
    )
    for name, count in tally.messages_by_class.most_common(6):
        size = tally.bytes_by_class[name]
        print(f"  {name}: {count / scale:.3f} /s, {size / scale:.1f} B/s")
