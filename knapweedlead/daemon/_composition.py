"""Builds the node and its roles from the settings."""

import random

import attrs

from knapweedlead.accounts import AccountsRole, MeterContext
from knapweedlead.calls import EntryRole, GuardRole
from knapweedlead.configuration import (
    SPREADING,
    ConfigurationRole,
    OperatorRole,
    StatusRole,
)
from knapweedlead.membership import BootstrapRole, MembershipRole
from knapweedlead.node import Identity, Node, StoreCallIds
from knapweedlead.operators import CatalogueFeedRole
from knapweedlead.ownership import OwnershipRole
from knapweedlead.requests import OnceRole
from knapweedlead.retries import RetryPolicy
from knapweedlead.routing import Router
from knapweedlead.settings import DaemonSettings


@attrs.frozen
class Composition:
    """A node and its roles, for direct access by the shell and by tests."""

    identity: Identity
    node: Node
    configuration: ConfigurationRole
    membership: MembershipRole
    bootstrap: BootstrapRole
    ownership: OwnershipRole
    accounts: AccountsRole
    once: OnceRole
    guard: GuardRole
    entry: EntryRole


def compose(
    settings: DaemonSettings, incarnation: int, rng: random.Random
) -> Composition:
    """Build a daemon's roles and the node that runs them.

    Parameters
    ----------
    settings : DaemonSettings
        Validated settings.
    incarnation : int
        Incarnation number of this start; higher than that of every earlier start.
    rng : random.Random
        Random number generator shared by all roles.
    """
    identity = Identity(
        name=settings.name,
        incarnation=incarnation,
        link_address=settings.link_address,
        caller_address=settings.caller_address,
        region=settings.region,
        data_centre=settings.data_centre,
        service=settings.service,
        instance=settings.instance,
    )
    backend_server = settings.backend_server
    store_calls = StoreCallIds()
    membership = MembershipRole(
        identity,
        backend_server.slots,
        backend_server.cold_slots,
        backend_server.connections,
        rng,
    )
    spreading = SPREADING.create(settings.configuration.spreading, rng=rng)
    configuration = ConfigurationRole(store_calls, membership, spreading, rng)
    bootstrap = BootstrapRole(membership, store_calls, rng)
    ownership = OwnershipRole(
        identity,
        membership,
        store_calls,
        settings.ownership.times,
        settings.ownership.slots,
    )
    accounts = AccountsRole(
        configuration,
        MeterContext(identity, membership, ownership),
        settings.accounts.meter,
    )
    once = OnceRole(identity, membership, ownership, store_calls)
    guard = GuardRole(identity, backend_server, settings.admission, configuration, rng)
    status = StatusRole(membership, configuration, lambda now: guard.load_report(now))
    routing = settings.routing
    router = Router(identity, membership, routing.balancer, routing.ejector, rng)
    retries = RetryPolicy(
        routing.credit_policy, routing.backoff, routing.retry_budget, rng
    )
    entry = EntryRole(configuration, accounts, once, guard, router, retries, rng)
    operator = OperatorRole(identity, configuration, status, store_calls)
    roles = [
        membership,
        bootstrap,
        configuration,
        status,
        operator,
        accounts,
        once,
        ownership,
        guard,
        entry,
        CatalogueFeedRole(),
    ]
    return Composition(
        identity=identity,
        node=Node(roles),
        configuration=configuration,
        membership=membership,
        bootstrap=bootstrap,
        ownership=ownership,
        accounts=accounts,
        once=once,
        guard=guard,
        entry=entry,
    )
