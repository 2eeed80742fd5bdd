"""Concurrent changes under combined faults are neither reverted nor lost."""

import attrs
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from knapweedlead.configuration import ApplyResource, DeleteResource, parse_catalogue
from standins.control_cores import ControlCores

NAMES = ("a0", "a1", "a2", "b0", "b1", "b2")
ACCOUNTS = ("crew", "desk")
PROPAGATION_SECONDS = 7.0
CHECK_PERIOD_SECONDS = 0.5

core_names = st.sampled_from(NAMES)


@attrs.define
class RequestedChange:
    """A change requested by an operator, and its reply once received."""

    at: str
    exchange: int
    change_id: str
    expected: int | None
    account: str
    status: int | None = None
    version: int | None = None
    outcome: str = ""
    answered_at: float = 0.0


class ConfigurationMachine(RuleBasedStateMachine):
    """State machine of changes, faults and elapsed time in arbitrary order."""

    @initialize(seed=st.integers(0, 2**32))
    def start(self, seed):
        self.cores = ControlCores(seed=seed)
        self.requested_changes = []
        self.content_by_revision = {}
        self.highest_revision_by_start = {}
        for name in NAMES:
            self.cores.add(name, "front", f"dc-{name[0]}", f"region-{name[0]}")
        self.cores.run_for(5.0)

    @rule(
        at=core_names,
        account=st.sampled_from(ACCOUNTS),
        burst=st.integers(1, 9),
        has_expected=st.booleans(),
        is_deletion=st.booleans(),
    )
    def change(self, at, account, burst, has_expected, is_deletion):
        core = self.cores.by_name[at]
        if not core.is_up or core.is_paused:
            return
        catalogue = core.composition.configuration.catalogue
        known = catalogue.version_of("client_accounts", account) if catalogue else 0
        expected = known if has_expected else None
        change_id = f"change-{len(self.requested_changes)}"
        document = {"rate_per_s": 1, "burst": burst}
        request = ApplyResource(
            "client_accounts", account, document, expected, change_id
        )
        if is_deletion:
            request = DeleteResource("client_accounts", account, expected, change_id)
        exchange = self.cores.send_operator_request(at, request)
        self.requested_changes.append(
            RequestedChange(at, exchange, change_id, expected, account)
        )

    @rule(seconds=st.sampled_from([0.0005, 0.01, 0.3, 2.0, 10.0]))
    def let_time_pass(self, seconds):
        end = self.cores.now + seconds
        while self.cores.now < end:
            self.cores.run_until(min(end, self.cores.now + CHECK_PERIOD_SECONDS))
            self.check_state()

    @rule(name=core_names)
    def crash_or_restart(self, name):
        if self.cores.by_name[name].is_up:
            self.cores.crash(name)
        else:
            self.cores.restart(name)

    @rule(name=core_names)
    def pause_or_resume(self, name):
        core = self.cores.by_name[name]
        if core.is_up and core.is_paused:
            self.cores.resume(name)
        elif core.is_up:
            self.cores.pause(name)

    @rule(left=core_names, right=core_names, is_one_way=st.booleans())
    def cut(self, left, right, is_one_way):
        self.cores.cut_pairs.add((left, right))
        if not is_one_way:
            self.cores.cut_pairs.add((right, left))

    @rule(name=core_names)
    def cut_from_store(self, name):
        self.cores.cut_from_store = {name}

    @rule(
        mode=st.sampled_from(["none", "none", "down", "lose_answers", "silent_watches"])
    )
    def set_store_fault(self, mode):
        self.cores.store.mode = mode

    @precondition(lambda self: self.cores.cut_pairs or self.cores.cut_from_store)
    @rule()
    def heal(self):
        self.cores.heal()

    @invariant()
    def check_state(self):
        if not hasattr(self, "cores"):
            return
        for name, core in self.cores.by_name.items():
            if core.is_up:
                self.check_core(name, core)
        for requested in self.requested_changes:
            self.record_reply(requested)

    def check_core(self, name, core):
        role = core.composition.configuration
        start = (name, core.composition.identity.incarnation)
        assert role.revision >= self.highest_revision_by_start.get(start, 0)
        self.highest_revision_by_start[start] = role.revision
        if role.catalogue is not None:
            content = (
                {k: dict(v) for k, v in role.catalogue.by_kind.items()},
                role.catalogue.changes,
            )
            known = self.content_by_revision.setdefault(role.revision, content)
            assert content == known
        if not core.is_paused and role.is_fresh(self.cores.now):
            due = [
                requested.version
                for requested in self.requested_changes
                if requested.status == 200
                and requested.answered_at + PROPAGATION_SECONDS < self.cores.now
            ]
            assert role.revision >= max(due, default=0)

    def record_reply(self, requested):
        core = self.cores.by_name[requested.at]
        reply = core.reply_by_operator_exchange.get(requested.exchange)
        if reply is not None and requested.status is None:
            requested.status = reply.status
            requested.version = reply.version
            requested.outcome = reply.document.get("outcome", "")
            requested.answered_at = self.cores.now

    def teardown(self):
        if not hasattr(self, "cores"):
            return
        cores = self.cores
        cores.heal()
        cores.store.mode = "none"
        for name, core in cores.by_name.items():
            if not core.is_up:
                cores.restart(name)
            elif core.is_paused:
                cores.resume(name)
        self.let_time_pass(40.0)
        self.check_changes(self.check_convergence())

    def check_convergence(self):
        entry = self.cores.store.state.by_key.get("knapweedlead/catalogue")
        roles = [c.composition.configuration for c in self.cores.by_name.values()]
        if entry is None:
            assert {role.revision for role in roles} == {0}
            return None
        catalogue = parse_catalogue(entry.value).unwrap()
        assert {role.revision for role in roles} == {catalogue.revision}
        assert all(role.is_fresh(self.cores.now) for role in roles)
        return catalogue

    def check_changes(self, catalogue):
        changes = catalogue.changes if catalogue else ()
        revision_by_id = {change.change_id: change.revision for change in changes}
        assert len(revision_by_id) == len(changes)
        for requested in self.requested_changes:
            revision = revision_by_id.get(requested.change_id)
            if requested.status == 200:
                assert revision == requested.version
            elif requested.status is not None and requested.outcome == "not_applied":
                assert revision is None
        accepted = [
            (requested.account, requested.expected)
            for requested in self.requested_changes
            if requested.change_id in revision_by_id and requested.expected
        ]
        assert len(accepted) == len(set(accepted))


TestConfigurationMachine = ConfigurationMachine.TestCase
TestConfigurationMachine.settings = settings(
    max_examples=30,
    stateful_step_count=25,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
