"""An accepted change is in force everywhere within seconds and never reverts."""

import pytest

from knapweedlead.configuration import ApplyResource, GetStatus
from knapweedlead.configuration._messages import CataloguePush, PullReply
from knapweedlead.node import MessageReceived
from knapweedlead.settings import ConfigurationSettings
from standins.control_cores import ControlCores

IN_FORCE_SECONDS = 7.0


def fleet(count=24, data_centres=4, seed=2, spreading="flood"):
    cores = ControlCores(seed=seed)
    for number in range(count):
        place = number % data_centres
        cores.add(
            f"m{number}",
            "front",
            f"dc{place}",
            f"region{place % 2}",
            configuration=ConfigurationSettings(spreading),
        )
    cores.run_for(6.0)
    change(cores)
    cores.run_for(5.0)
    return cores


def change(cores, at="m0", name="crew", burst=20):
    """Make a change and return the reply, which comes within 0.01 s."""
    document = {"rate_per_s": 10, "burst": burst}
    request = ApplyResource("client_accounts", name, document, None, "")
    exchange = cores.operate(at, request)
    cores.run_for(0.01)
    return cores.by_name[at].reply_by_operator_exchange.get(exchange)


def role(cores, name):
    return cores.by_name[name].composition.configuration


def clock(cores, name):
    core = cores.by_name[name]
    return core.clock_offset + core.clock_rate * cores.now


def is_fresh(cores, name):
    return role(cores, name).is_fresh(clock(cores, name))


def up(cores):
    return [name for name, core in cores.by_name.items() if core.is_up]


def revisions(cores):
    return {role(cores, name).revision for name in up(cores)}


def stale_and_serving(cores, revision):
    """Return the daemons that would serve on a revision before `revision`."""
    return [
        name
        for name in up(cores)
        if not cores.by_name[name].is_paused
        and role(cores, name).revision < revision
        and is_fresh(cores, name)
    ]


def relays(cores):
    return [n for n in up(cores) if role(cores, n).is_relay]


def cut_between(cores, left, right):
    for one in left:
        for other in right:
            cores.cut(one, other)


@pytest.mark.parametrize("spreading", ["flood", "partitioned_tree", "gossip"])
def test_accepted_change_is_in_force_everywhere_within_seconds(spreading):
    cores = fleet(spreading=spreading)
    assert change(cores).status == 200
    cores.run_for(2.0)
    assert revisions(cores) == {2}
    assert all(is_fresh(cores, name) for name in up(cores))


@pytest.mark.parametrize("spreading", ["flood", "partitioned_tree", "gossip"])
def test_change_comes_through_lost_messages(spreading):
    cores = fleet(spreading=spreading)
    cores.loss = 0.2
    for burst in range(30, 40):
        change(cores, burst=burst)
        cores.run_for(IN_FORCE_SECONDS)
        accepted = role(cores, "m0").revision
        assert stale_and_serving(cores, accepted) == []


def test_change_comes_through_when_all_relays_are_lost():
    cores = fleet()
    lost = relays(cores)
    assert len(lost) == 8
    operator = next(name for name in up(cores) if name not in lost)
    for name in lost:
        cores.crash(name)
    assert change(cores, at=operator).status == 200
    cores.run_for(IN_FORCE_SECONDS)
    assert revisions(cores) == {2}


def test_change_comes_through_when_the_store_is_lost_right_after_acceptance():
    cores = fleet()
    cores.loss = 0.3
    accepted = change(cores)
    cores.store.mode = "down"
    cores.run_for(IN_FORCE_SECONDS)
    assert accepted.status == 200
    assert revisions(cores) == {2}


def test_change_made_beside_the_relays_sight_comes_through():
    cores = fleet()
    cores.store.mode = "silent_watches"
    assert change(cores).status == 200
    cores.crash("m0")
    cores.run_for(IN_FORCE_SECONDS)
    assert revisions(cores) == {2}


def test_daemon_restarted_in_the_outage_serves_what_its_peers_have():
    cores = fleet()
    cores.store.mode = "down"
    cores.run_for(60.0)
    cores.crash("m5")
    cores.run_for(1.0)
    cores.restart("m5")
    assert not is_fresh(cores, "m5")
    cores.run_for(10.0)
    assert role(cores, "m5").revision == 1
    assert is_fresh(cores, "m5")


def test_daemon_that_knows_no_revision_does_not_serve():
    cores = fleet(count=3)
    cores.store.mode = "down"
    for name in list(cores.by_name):
        cores.crash(name)
    cores.restart("m0")
    cores.run_for(20.0)
    assert not is_fresh(cores, "m0")


def test_frozen_daemon_does_not_serve_on_an_old_revision_when_it_wakes():
    cores = fleet()
    cores.pause("m5")
    change(cores)
    cores.run_for(IN_FORCE_SECONDS)
    assert role(cores, "m5").revision == 1
    assert not is_fresh(cores, "m5")
    cores.resume("m5")
    cores.run_for(1.0)
    assert role(cores, "m5").revision == 2
    assert is_fresh(cores, "m5")


def test_slow_daemon_gets_the_change_in_time():
    cores = fleet()
    cores.delay_of = lambda a, b: 0.4 if "m5" in (a.name, b.name) else 0.0005
    cores.run_for(5.0)
    change(cores)
    cores.run_for(IN_FORCE_SECONDS)
    assert stale_and_serving(cores, 2) == []
    assert role(cores, "m5").revision == 2


def test_daemon_cut_off_from_all_stops_serving_in_time():
    cores = fleet()
    cores.cut_from_store.add("m5")
    cut_between(cores, ["m5"], [name for name in up(cores) if name != "m5"])
    change(cores)
    cores.run_for(IN_FORCE_SECONDS)
    assert stale_and_serving(cores, 2) == []
    cores.run_for(120.0)
    assert not is_fresh(cores, "m5")
    cores.heal()
    cores.run_for(15.0)
    assert is_fresh(cores, "m5")
    assert revisions(cores) == {2}


def test_daemon_cut_off_only_from_the_store_serves_on():
    cores = fleet()
    cut = relays(cores)[0]
    cores.cut_from_store.add(cut)
    for _ in range(60):
        cores.run_for(1.0)
        assert is_fresh(cores, cut)


def test_store_down_for_all_lets_every_daemon_serve_on():
    cores = fleet()
    cores.store.mode = "down"
    for _ in range(600):
        cores.run_for(1.0)
        assert all(is_fresh(cores, name) for name in up(cores))


def test_region_split_from_the_store_stops_serving_on_an_old_revision():
    cores = fleet()
    far = [n for n, c in cores.by_name.items() if c.settings.region == "region1"]
    near = [name for name in up(cores) if name not in far]
    cores.cut_from_store |= set(far)
    cut_between(cores, near, far)
    change(cores, at=near[0])
    cores.run_for(IN_FORCE_SECONDS)
    assert stale_and_serving(cores, 2) == []
    assert all(is_fresh(cores, name) for name in near)
    cores.heal()
    cores.run_for(20.0)
    assert revisions(cores) == {2}
    assert all(is_fresh(cores, name) for name in up(cores))


def test_region_split_with_the_store_on_both_sides_serves_on():
    cores = fleet()
    far = [n for n, c in cores.by_name.items() if c.settings.region == "region1"]
    near = [name for name in up(cores) if name not in far]
    cut_between(cores, near, far)
    change(cores, at=near[0])
    for _ in range(40):
        cores.run_for(1.0)
        assert all(is_fresh(cores, name) for name in up(cores))
    assert revisions(cores) == {2}


def test_old_revision_replayed_changes_nothing():
    cores = fleet()
    change(cores, burst=30)
    change(cores, burst=40)
    cores.run_for(2.0)
    sender = cores.by_name["m1"]
    content = cores.store.state.by_key["knapweedlead/catalogue"].value
    old = content.replace(b'"revision":3', b'"revision":1')
    replayed = [
        CataloguePush(0, 1, 0, old),
        CataloguePush(0, 9, 0, old),
        PullReply(0, 1, old),
        PullReply(7, 9, b"{}"),
        PullReply(2, 9, b"junk"),
    ]
    for message in replayed:
        cores.report(cores.by_name["m2"], MessageReceived(sender.address, message))
    cores.run_for(1.0)
    assert revisions(cores) == {3}


def test_catalogue_that_does_not_parse_confirms_nothing():
    cores = fleet()
    entry = cores.store.state.by_key["knapweedlead/catalogue"]
    cores.store.state.compare_and_swap(
        "knapweedlead/catalogue", b"junk", entry.revision, ""
    )
    cores.run_for(10.0)
    assert revisions(cores) == {1}
    assert not any(is_fresh(cores, name) for name in up(cores))


def test_status_counts_exactly_the_daemons_on_which_a_revision_is_in_force():
    cores = fleet()
    cut_between(cores, ["m5"], [name for name in up(cores) if name != "m5"])
    change(cores)
    cores.run_for(2.0)
    exchange = cores.operate("m7", GetStatus())
    cores.run_for(2.0)
    document = cores.by_name["m7"].reply_by_operator_exchange[exchange].document
    assert document["in_force_on"] == {"2": 23, "0": 1}
    cores.heal()
    cores.run_for(10.0)
    exchange = cores.operate("m7", GetStatus())
    cores.run_for(0.1)
    document = cores.by_name["m7"].reply_by_operator_exchange[exchange].document
    assert document["in_force_on"] == {"2": 24}
    assert {member["revision"] for member in document["members"]} == {2}


def test_status_asks_members_that_the_tree_did_not_reach():
    cores = fleet()
    cores.loss = 0.1
    exchange = cores.operate("m7", GetStatus())
    cores.run_for(0.5)
    cores.loss = 0.0
    cores.run_for(1.0)
    document = cores.by_name["m7"].reply_by_operator_exchange[exchange].document
    assert document["in_force_on"] == {"1": 24}


def test_waiting_watches_do_not_grow_with_the_fleet():
    def calls_of(count):
        cores = fleet(count)
        before = cores.store.calls.total()
        cores.run_for(60.0)
        return cores.store.calls.total() - before

    assert calls_of(48) <= 1.1 * calls_of(24)


@pytest.mark.parametrize("mode", ["silent_watches", "compacted_watches"])
def test_change_comes_through_watches_that_fail(mode):
    cores = fleet()
    cores.store.mode = mode
    cores.run_for(5.0)
    change(cores)
    cores.run_for(IN_FORCE_SECONDS)
    assert revisions(cores) == {2}
    assert all(is_fresh(cores, name) for name in up(cores))


def test_relay_cut_off_in_a_fleet_of_one_data_centre_stops_serving_in_time():
    cores = fleet(count=5, data_centres=1)
    cut = next(name for name in relays(cores) if name != "m0")
    cores.cut_from_store.add(cut)
    cut_between(cores, [cut], [name for name in up(cores) if name != cut])
    change(cores, at=next(name for name in up(cores) if name != cut))
    cores.run_for(IN_FORCE_SECONDS)
    assert stale_and_serving(cores, 2) == []
    cores.run_for(60.0)
    assert not is_fresh(cores, cut)
