"""Membership under crashes, pauses, partitions, restarts and stale records."""

import json

import attrs
import pytest

from knapweedlead.node import ShutdownRequested
from standins.control_cores import ControlCores


def start_fleet(count, data_centres=2, seed=1, **options):
    cores = ControlCores(seed=seed, **options)
    for number in range(count):
        data_centre = number % data_centres
        cores.add(
            f"m{number}",
            "front" if number % 2 else "back",
            f"dc{data_centre}",
            f"region{data_centre % 2}",
        )
    cores.run_for(6.0)
    return cores


def states_of(cores, name, observer=None):
    observers = (
        [observer]
        if observer
        else [n for n, core in cores.by_name.items() if core.is_up]
    )
    return {
        other: cores.by_name[other].composition.membership.table.by_name[name].state
        for other in observers
        if other != name
    }


def routable(cores, observer):
    membership = cores.by_name[observer].composition.membership
    services = ("front", "back")
    return {m.name for service in services for m in membership.members_of(service)}


def running_names(cores):
    return {name for name, core in cores.by_name.items() if core.is_up}


def assert_membership_complete(cores):
    for name in running_names(cores):
        assert routable(cores, name) == running_names(cores), name


def test_daemons_started_together_discover_each_other():
    assert_membership_complete(start_fleet(12))


def test_crashed_member_is_not_routable_after_three_seconds():
    cores = start_fleet(12)
    cores.crash("m3")
    cores.run_for(3.0)
    assert all("m3" not in routable(cores, name) for name in running_names(cores))
    cores.run_for(4.0)
    assert set(states_of(cores, "m3").values()) == {"dead"}


def test_paused_member_is_declared_dead_and_rejoins_after_resuming():
    cores = start_fleet(12)
    cores.pause("m3")
    cores.run_for(12.0)
    assert set(states_of(cores, "m3").values()) == {"dead"}
    cores.resume("m3")
    cores.run_for(15.0)
    assert_membership_complete(cores)


def test_resumed_member_suspects_no_other_member():
    cores = start_fleet(12)
    cores.pause("m3")
    cores.run_for(20.0)
    cores.resume("m3")
    cores.run_for(0.05)
    assert len(routable(cores, "m3")) == 12


def test_false_suspicion_is_refuted_before_member_is_declared_dead():
    cores = start_fleet(12)
    deaths = []
    for _ in range(20):
        cores.pause("m5")
        cores.run_for(1.8)
        cores.resume("m5")
        cores.run_for(1.5)
        deaths += [s for s in states_of(cores, "m5").values() if s == "dead"]
    cores.run_for(4.0)
    assert deaths == []
    assert_membership_complete(cores)


def test_one_way_link_failure_declares_neither_member_dead():
    cores = start_fleet(12)
    cores.cut_pairs.add(("m3", "m4"))
    cores.run_for(30.0)
    assert_membership_complete(cores)


def test_message_loss_declares_no_running_member_dead():
    cores = start_fleet(12)
    cores.loss = 0.05
    for _ in range(60):
        cores.run_for(1.0)
        for name in running_names(cores):
            assert "dead" not in states_of(cores, name).values()


def test_leaving_member_is_not_routable_after_one_second():
    cores = start_fleet(16)
    cores.report(cores.by_name["m3"], ShutdownRequested())
    cores.run_for(1.0)
    assert all("m3" not in routable(cores, name) for name in running_names(cores))
    cores.crash("m3")
    cores.run_for(10.0)
    assert set(states_of(cores, "m3").values()) <= {"gone"}


@pytest.mark.parametrize("seconds", [30.0, 300.0])
def test_partitioned_groups_rejoin_after_healing(seconds):
    cores = start_fleet(12)
    groups = [{f"m{n}" for n in range(12) if n % 2 == side} for side in (0, 1)]
    for left in groups[0]:
        for right in groups[1]:
            cores.cut(left, right)
    cores.run_for(seconds)
    for group in groups:
        for name in group:
            assert routable(cores, name) == group
    cores.heal()
    cores.run_for(30.0)
    assert_membership_complete(cores)


def test_healing_partition_keeps_members_routable_within_their_group():
    cores = start_fleet(12)
    groups = [{f"m{n}" for n in range(12) if n % 2 == side} for side in (0, 1)]
    for left in groups[0]:
        for right in groups[1]:
            cores.cut(left, right)
    cores.run_for(60.0)
    cores.heal()
    for _ in range(100):
        cores.run_for(0.3)
        for group in groups:
            for name in group:
                assert group <= routable(cores, name)


def test_loss_of_a_data_centre_keeps_all_other_members():
    cores = start_fleet(18, data_centres=3)
    lost = {
        name
        for name, core in cores.by_name.items()
        if core.settings.data_centre == "dc1"
    }
    for name in lost:
        cores.crash(name)
    cores.run_for(10.0)
    assert_membership_complete(cores)


def test_daemons_restarted_together_rediscover_each_other():
    cores = start_fleet(12)
    for name in cores.by_name:
        cores.crash(name)
    cores.run_for(1.0)
    for name in cores.by_name:
        cores.restart(name)
    cores.run_for(8.0)
    assert_membership_complete(cores)


def test_daemon_restarted_during_store_outage_rejoins():
    cores = start_fleet(12)
    cores.store.mode = "down"
    cores.crash("m3")
    cores.run_for(60.0)
    cores.restart("m3")
    cores.run_for(15.0)
    assert_membership_complete(cores)


def test_record_of_an_earlier_incarnation_is_ignored():
    cores = start_fleet(6)
    view = cores.by_name["m1"].composition.membership.view
    old = attrs.evolve(
        view.table.by_name["m2"], incarnation=0, version=99, state="leaving"
    )
    assert view.merge([old], cores.now) == []
    cores.run_for(3.0)
    assert_membership_complete(cores)


def test_false_gone_record_of_a_running_member_is_refuted():
    cores = start_fleet(6)
    view = cores.by_name["m1"].composition.membership.view
    record = view.table.by_name["m2"]
    view.merge([attrs.evolve(record, version=50, state="gone")], cores.now)
    cores.run_for(20.0)
    assert_membership_complete(cores)


def test_unreachable_and_malformed_seeds_do_not_prevent_startup():
    cores = ControlCores(seed=4)
    stale = start_fleet(2).by_name["m0"].composition.membership.local_member
    stale = attrs.evolve(stale, name="stale", link_address="127.0.9.9:1")
    value = json.dumps(attrs.asdict(stale)).encode()
    cores.store.state.compare_and_swap("knapweedlead/seeds/dc0/0", value, 0, "")
    cores.store.state.compare_and_swap("knapweedlead/seeds/dc0/1", b"junk", 0, "")
    for number in range(4):
        cores.add(f"m{number}", "front", "dc0")
    cores.run_for(10.0)
    assert_membership_complete(cores)


def test_number_of_seeds_in_the_store_is_bounded():
    cores = start_fleet(24, data_centres=2)
    assert len(cores.store.state.list_prefix("knapweedlead/seeds/")) <= 4
    cores.run_for(60.0)
    assert len(cores.store.state.list_prefix("knapweedlead/seeds/")) <= 4


def test_suspect_member_is_used_if_its_service_has_no_alive_member():
    cores = ControlCores(seed=5)
    cores.add("front-1", "front")
    cores.add("back-1", "back")
    cores.run_for(5.0)
    cores.pause("back-1")
    membership = cores.by_name["front-1"].composition.membership
    for _ in range(50):
        cores.run_for(0.1)
        if membership.by_name["back-1"].state == "suspect":
            break
    assert membership.by_name["back-1"].state == "suspect"
    assert [m.name for m in membership.members_of("back")] == ["back-1"]
