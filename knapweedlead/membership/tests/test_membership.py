"""Membership through crashes, pauses, cuts, restarts and stale announcements."""

import json

import attrs
import pytest

from knapweedlead.node import ShutdownRequested
from standins.control_cores import ControlCores


def fleet(count, data_centres=2, seed=1, **options):
    cores = ControlCores(seed=seed, **options)
    for number in range(count):
        place = number % data_centres
        cores.add(
            f"m{number}",
            "front" if number % 2 else "back",
            f"dc{place}",
            f"region{place % 2}",
        )
    cores.run_for(6.0)
    return cores


def states_seen(cores, of, by=None):
    seers = [by] if by else [n for n, core in cores.by_name.items() if core.is_up]
    return {
        seer: cores.by_name[seer].composition.membership.table.by_name[of].state
        for seer in seers
        if seer != of
    }


def routable(cores, at):
    membership = cores.by_name[at].composition.membership
    services = ("front", "back")
    return {m.name for service in services for m in membership.members_of(service)}


def running(cores):
    return {name for name, core in cores.by_name.items() if core.is_up}


def assert_all_know_all(cores):
    for name in running(cores):
        assert routable(cores, name) == running(cores), name


def test_all_daemons_started_at_once_find_each_other():
    assert_all_know_all(fleet(12))


def test_crashed_member_receives_no_work_after_a_few_seconds():
    cores = fleet(12)
    cores.crash("m3")
    cores.run_for(3.0)
    assert all("m3" not in routable(cores, name) for name in running(cores))
    cores.run_for(4.0)
    assert set(states_seen(cores, "m3").values()) == {"dead"}


def test_silent_member_is_declared_dead_and_returns_when_it_wakes():
    cores = fleet(12)
    cores.pause("m3")
    cores.run_for(12.0)
    assert set(states_seen(cores, "m3").values()) == {"dead"}
    cores.resume("m3")
    cores.run_for(15.0)
    assert_all_know_all(cores)


def test_paused_member_blames_no_one_when_it_wakes():
    cores = fleet(12)
    cores.pause("m3")
    cores.run_for(20.0)
    cores.resume("m3")
    cores.run_for(0.05)
    assert len(routable(cores, "m3")) == 12


def test_false_suspicion_is_refuted_and_no_one_is_declared_dead():
    cores = fleet(12)
    deaths = []
    for _ in range(20):
        cores.pause("m5")
        cores.run_for(1.8)
        cores.resume("m5")
        cores.run_for(1.5)
        deaths += [s for s in states_seen(cores, "m5").values() if s == "dead"]
    cores.run_for(4.0)
    assert deaths == []
    assert_all_know_all(cores)


def test_link_cut_one_way_between_two_members_kills_neither():
    cores = fleet(12)
    cores.cut_pairs.add(("m3", "m4"))
    cores.run_for(30.0)
    assert_all_know_all(cores)


def test_lost_messages_kill_no_living_member():
    cores = fleet(12)
    cores.loss = 0.05
    for _ in range(60):
        cores.run_for(1.0)
        for name in running(cores):
            assert "dead" not in states_seen(cores, name).values()


def test_leaving_member_receives_no_new_work_after_a_second():
    cores = fleet(16)
    cores.report(cores.by_name["m3"], ShutdownRequested())
    cores.run_for(1.0)
    assert all("m3" not in routable(cores, name) for name in running(cores))
    cores.crash("m3")
    cores.run_for(10.0)
    assert set(states_seen(cores, "m3").values()) <= {"gone"}


@pytest.mark.parametrize("seconds", [30.0, 300.0])
def test_two_groups_split_and_heal(seconds):
    cores = fleet(12)
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
    assert_all_know_all(cores)


def test_healing_split_takes_no_living_member_out_of_its_own_group():
    cores = fleet(12)
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


def test_whole_data_centre_lost_leaves_the_others_whole():
    cores = fleet(18, data_centres=3)
    lost = {
        name
        for name, core in cores.by_name.items()
        if core.settings.data_centre == "dc1"
    }
    for name in lost:
        cores.crash(name)
    cores.run_for(10.0)
    assert_all_know_all(cores)


def test_all_daemons_restarted_at_once_find_each_other_again():
    cores = fleet(12)
    for name in cores.by_name:
        cores.crash(name)
    cores.run_for(1.0)
    for name in cores.by_name:
        cores.restart(name)
    cores.run_for(8.0)
    assert_all_know_all(cores)


def test_daemon_restarted_while_the_store_is_down_is_taken_in_again():
    cores = fleet(12)
    cores.store.mode = "down"
    cores.crash("m3")
    cores.run_for(60.0)
    cores.restart("m3")
    cores.run_for(15.0)
    assert_all_know_all(cores)


def test_announcement_of_an_earlier_start_is_refused():
    cores = fleet(6)
    view = cores.by_name["m1"].composition.membership.view
    old = attrs.evolve(
        view.table.by_name["m2"], incarnation=0, version=99, state="leaving"
    )
    assert view.take_up([old], cores.now) == []
    cores.run_for(3.0)
    assert_all_know_all(cores)


def test_false_announcement_about_a_living_member_is_refuted():
    cores = fleet(6)
    view = cores.by_name["m1"].composition.membership.view
    record = view.table.by_name["m2"]
    view.take_up([attrs.evolve(record, version=50, state="gone")], cores.now)
    cores.run_for(20.0)
    assert_all_know_all(cores)


def test_unreachable_seeds_do_not_keep_a_daemon_from_starting():
    cores = ControlCores(seed=4)
    stale = fleet(2).by_name["m0"].composition.membership.own
    stale = attrs.evolve(stale, name="stale", link_address="127.0.9.9:1")
    value = json.dumps(attrs.asdict(stale)).encode()
    cores.store.state.compare_and_swap("knapweedlead/seeds/dc0/0", value, 0, "")
    cores.store.state.compare_and_swap("knapweedlead/seeds/dc0/1", b"junk", 0, "")
    for number in range(4):
        cores.add(f"m{number}", "front", "dc0")
    cores.run_for(10.0)
    assert_all_know_all(cores)


def test_store_holds_a_bounded_number_of_announcements():
    cores = fleet(24, data_centres=2)
    assert len(cores.store.state.under("knapweedlead/seeds/")) <= 4
    cores.run_for(60.0)
    assert len(cores.store.state.under("knapweedlead/seeds/")) <= 4


def test_suspect_member_is_the_last_resort_of_its_service():
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
