"""Accepted changes reach all daemons within seconds and are never reverted."""

import pytest

from knapweedlead.configuration import ApplyResource, GetStatus
from knapweedlead.configuration._messages import CataloguePush, PullReply
from knapweedlead.node import MessageReceived
from knapweedlead.settings import ConfigurationSettings
from standins.control_cores import ControlCores

PROPAGATION_SECONDS = 7.0


def start_fleet(count=24, data_centres=4, seed=2, spreading="flood"):
    cores = ControlCores(seed=seed)
    for number in range(count):
        data_centre = number % data_centres
        cores.add(
            f"m{number}",
            "front",
            f"dc{data_centre}",
            f"region{data_centre % 2}",
            configuration=ConfigurationSettings(spreading),
        )
    cores.run_for(6.0)
    apply_change(cores)
    cores.run_for(5.0)
    return cores


def apply_change(cores, at="m0", name="crew", burst=20):
    """Apply a change and return the reply, which arrives within 0.01 s."""
    document = {"rate_per_s": 10, "burst": burst}
    request = ApplyResource("client_accounts", name, document, None, "")
    exchange = cores.send_operator_request(at, request)
    cores.run_for(0.01)
    return cores.by_name[at].reply_by_operator_exchange.get(exchange)


def configuration_of(cores, name):
    return cores.by_name[name].composition.configuration


def local_time(cores, name):
    core = cores.by_name[name]
    return core.clock_offset + core.clock_rate * cores.now


def is_fresh(cores, name):
    return configuration_of(cores, name).is_fresh(local_time(cores, name))


def running_names(cores):
    return [name for name, core in cores.by_name.items() if core.is_up]


def revisions(cores):
    return {configuration_of(cores, name).revision for name in running_names(cores)}


def serving_outdated(cores, revision):
    """Return the running daemons that serve a revision lower than `revision`."""
    return [
        name
        for name in running_names(cores)
        if not cores.by_name[name].is_paused
        and configuration_of(cores, name).revision < revision
        and is_fresh(cores, name)
    ]


def relay_names(cores):
    return [n for n in running_names(cores) if configuration_of(cores, n).is_relay]


def cut_links(cores, left, right):
    for one in left:
        for other in right:
            cores.cut(one, other)


@pytest.mark.parametrize("spreading", ["flood", "partitioned_tree", "gossip"])
def test_accepted_change_is_applied_by_all_daemons_within_two_seconds(spreading):
    cores = start_fleet(spreading=spreading)
    assert apply_change(cores).status == 200
    cores.run_for(2.0)
    assert revisions(cores) == {2}
    assert all(is_fresh(cores, name) for name in running_names(cores))


@pytest.mark.parametrize("spreading", ["flood", "partitioned_tree", "gossip"])
def test_change_is_propagated_despite_lost_messages(spreading):
    cores = start_fleet(spreading=spreading)
    cores.loss = 0.2
    for burst in range(30, 40):
        apply_change(cores, burst=burst)
        cores.run_for(PROPAGATION_SECONDS)
        accepted = configuration_of(cores, "m0").revision
        assert serving_outdated(cores, accepted) == []


def test_change_is_propagated_after_all_relays_crash():
    cores = start_fleet()
    lost = relay_names(cores)
    assert len(lost) == 8
    operator = next(name for name in running_names(cores) if name not in lost)
    for name in lost:
        cores.crash(name)
    assert apply_change(cores, at=operator).status == 200
    cores.run_for(PROPAGATION_SECONDS)
    assert revisions(cores) == {2}


def test_change_is_propagated_if_the_store_fails_after_acceptance():
    cores = start_fleet()
    cores.loss = 0.3
    accepted = apply_change(cores)
    cores.store.mode = "down"
    cores.run_for(PROPAGATION_SECONDS)
    assert accepted.status == 200
    assert revisions(cores) == {2}


def test_change_is_propagated_if_watches_miss_it_and_its_daemon_crashes():
    cores = start_fleet()
    cores.store.mode = "silent_watches"
    assert apply_change(cores).status == 200
    cores.crash("m0")
    cores.run_for(PROPAGATION_SECONDS)
    assert revisions(cores) == {2}


def test_daemon_restarted_during_store_outage_serves_revision_of_its_peers():
    cores = start_fleet()
    cores.store.mode = "down"
    cores.run_for(60.0)
    cores.crash("m5")
    cores.run_for(1.0)
    cores.restart("m5")
    assert not is_fresh(cores, "m5")
    cores.run_for(10.0)
    assert configuration_of(cores, "m5").revision == 1
    assert is_fresh(cores, "m5")


def test_daemon_without_a_revision_does_not_serve():
    cores = start_fleet(count=3)
    cores.store.mode = "down"
    for name in list(cores.by_name):
        cores.crash(name)
    cores.restart("m0")
    cores.run_for(20.0)
    assert not is_fresh(cores, "m0")


def test_paused_daemon_does_not_serve_an_outdated_revision_after_resuming():
    cores = start_fleet()
    cores.pause("m5")
    apply_change(cores)
    cores.run_for(PROPAGATION_SECONDS)
    assert configuration_of(cores, "m5").revision == 1
    assert not is_fresh(cores, "m5")
    cores.resume("m5")
    cores.run_for(1.0)
    assert configuration_of(cores, "m5").revision == 2
    assert is_fresh(cores, "m5")


def test_change_reaches_a_daemon_with_slow_links_in_time():
    cores = start_fleet()
    cores.delay_of = lambda a, b: 0.4 if "m5" in (a.name, b.name) else 0.0005
    cores.run_for(5.0)
    apply_change(cores)
    cores.run_for(PROPAGATION_SECONDS)
    assert serving_outdated(cores, 2) == []
    assert configuration_of(cores, "m5").revision == 2


def test_isolated_daemon_stops_serving_in_time():
    cores = start_fleet()
    cores.cut_from_store.add("m5")
    cut_links(cores, ["m5"], [name for name in running_names(cores) if name != "m5"])
    apply_change(cores)
    cores.run_for(PROPAGATION_SECONDS)
    assert serving_outdated(cores, 2) == []
    cores.run_for(120.0)
    assert not is_fresh(cores, "m5")
    cores.heal()
    cores.run_for(15.0)
    assert is_fresh(cores, "m5")
    assert revisions(cores) == {2}


def test_daemon_cut_off_only_from_the_store_keeps_serving():
    cores = start_fleet()
    cut = relay_names(cores)[0]
    cores.cut_from_store.add(cut)
    for _ in range(60):
        cores.run_for(1.0)
        assert is_fresh(cores, cut)


def test_all_daemons_keep_serving_during_a_store_outage():
    cores = start_fleet()
    cores.store.mode = "down"
    for _ in range(600):
        cores.run_for(1.0)
        assert all(is_fresh(cores, name) for name in running_names(cores))


def test_region_partitioned_from_the_store_stops_serving_outdated_revision():
    cores = start_fleet()
    far = [n for n, c in cores.by_name.items() if c.settings.region == "region1"]
    near = [name for name in running_names(cores) if name not in far]
    cores.cut_from_store |= set(far)
    cut_links(cores, near, far)
    apply_change(cores, at=near[0])
    cores.run_for(PROPAGATION_SECONDS)
    assert serving_outdated(cores, 2) == []
    assert all(is_fresh(cores, name) for name in near)
    cores.heal()
    cores.run_for(20.0)
    assert revisions(cores) == {2}
    assert all(is_fresh(cores, name) for name in running_names(cores))


def test_partitioned_regions_that_reach_the_store_keep_serving():
    cores = start_fleet()
    far = [n for n, c in cores.by_name.items() if c.settings.region == "region1"]
    near = [name for name in running_names(cores) if name not in far]
    cut_links(cores, near, far)
    apply_change(cores, at=near[0])
    for _ in range(40):
        cores.run_for(1.0)
        assert all(is_fresh(cores, name) for name in running_names(cores))
    assert revisions(cores) == {2}


def test_replayed_old_revision_is_ignored():
    cores = start_fleet()
    apply_change(cores, burst=30)
    apply_change(cores, burst=40)
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


def test_malformed_catalogue_does_not_confirm_the_revision():
    cores = start_fleet()
    entry = cores.store.state.by_key["knapweedlead/catalogue"]
    cores.store.state.compare_and_swap(
        "knapweedlead/catalogue", b"junk", entry.revision, ""
    )
    cores.run_for(10.0)
    assert revisions(cores) == {1}
    assert not any(is_fresh(cores, name) for name in running_names(cores))


def test_status_counts_the_daemons_that_applied_each_revision():
    cores = start_fleet()
    cut_links(cores, ["m5"], [name for name in running_names(cores) if name != "m5"])
    apply_change(cores)
    cores.run_for(2.0)
    exchange = cores.send_operator_request("m7", GetStatus())
    cores.run_for(2.0)
    document = cores.by_name["m7"].reply_by_operator_exchange[exchange].document
    assert document["in_force_on"] == {"2": 23, "0": 1}
    cores.heal()
    cores.run_for(10.0)
    exchange = cores.send_operator_request("m7", GetStatus())
    cores.run_for(0.1)
    document = cores.by_name["m7"].reply_by_operator_exchange[exchange].document
    assert document["in_force_on"] == {"2": 24}
    assert {member["revision"] for member in document["members"]} == {2}


def test_status_queries_members_missed_by_the_tree_directly():
    cores = start_fleet()
    cores.loss = 0.1
    exchange = cores.send_operator_request("m7", GetStatus())
    cores.run_for(0.5)
    cores.loss = 0.0
    cores.run_for(1.0)
    document = cores.by_name["m7"].reply_by_operator_exchange[exchange].document
    assert document["in_force_on"] == {"1": 24}


def test_number_of_store_calls_does_not_grow_with_fleet_size():
    def calls_of(count):
        cores = start_fleet(count)
        before = cores.store.calls.total()
        cores.run_for(60.0)
        return cores.store.calls.total() - before

    assert calls_of(48) <= 1.1 * calls_of(24)


@pytest.mark.parametrize("mode", ["silent_watches", "compacted_watches"])
def test_change_is_propagated_despite_failing_watches(mode):
    cores = start_fleet()
    cores.store.mode = mode
    cores.run_for(5.0)
    apply_change(cores)
    cores.run_for(PROPAGATION_SECONDS)
    assert revisions(cores) == {2}
    assert all(is_fresh(cores, name) for name in running_names(cores))


def test_isolated_relay_of_the_only_data_centre_stops_serving_in_time():
    cores = start_fleet(count=5, data_centres=1)
    cut = next(name for name in relay_names(cores) if name != "m0")
    cores.cut_from_store.add(cut)
    cut_links(cores, [cut], [name for name in running_names(cores) if name != cut])
    apply_change(cores, at=next(name for name in running_names(cores) if name != cut))
    cores.run_for(PROPAGATION_SECONDS)
    assert serving_outdated(cores, 2) == []
    cores.run_for(60.0)
    assert not is_fresh(cores, cut)


def test_catalogue_that_the_store_lost_is_written_again_and_changed_further():
    # Guards against changes that are accepted and dropped, since their revisions are
    # lower than those that the store has lost, while the applied one is confirmed.
    cores = start_fleet()
    saved = cores.store.state.copy()
    for burst in (30, 40, 50):
        apply_change(cores, burst=burst)
        cores.run_for(1.0)
    assert revisions(cores) == {4}
    cores.store.state.restore(saved)
    assert apply_change(cores, at="m3", burst=60).status == 200
    cores.run_for(PROPAGATION_SECONDS)
    assert revisions(cores) == {5}
    assert burst_of(cores) == {60}
    cores.store.state.restore(saved)
    cores.run_for(PROPAGATION_SECONDS)
    assert revisions(cores) == {5}
    content = cores.store.state.by_key["knapweedlead/catalogue"].value
    assert b'"revision":5' in content
    assert all(is_fresh(cores, name) for name in running_names(cores))


def test_older_catalogue_in_the_store_confirms_nothing():
    cores = start_fleet()
    saved = cores.store.state.copy()
    apply_change(cores, burst=30)
    cores.run_for(1.0)
    cores.store.state.restore(saved)
    cores.store.mode = "lose_writes"
    cores.run_for(10.0)
    assert revisions(cores) == {2}
    assert not any(is_fresh(cores, name) for name in running_names(cores))


def burst_of(cores):
    """Return the bursts of the account on the running daemons."""
    catalogues = [configuration_of(cores, n).catalogue for n in running_names(cores)]
    return {each.resource("client_accounts", "crew").burst for each in catalogues}
