"""Reload of the settings of a running daemon."""

import random

import attrs

from knapweedlead.platform.tests.fleets import Fleet
from knapweedlead.sidecar import Sidecar


def make_sidecar():
    """Return a daemon that is not started, and its settings."""
    settings = Fleet().settings(0, "front", "north")
    return Sidecar(settings, random.Random(1)), settings


async def test_limits_and_store_address_are_applied_at_once():
    sidecar, settings = make_sidecar()
    changed = attrs.evolve(
        settings, store_address="127.0.0.1:9", revocation_time=2.0, repeat_ratio=0.4
    )
    applied = sidecar.reload(changed).applied
    assert set(applied) == {"store_address", "revocation_time", "repeat_ratio"}
    assert sidecar.store.address == "127.0.0.1:9"
    assert sidecar.entry.settings.max_staleness < 2.0
    assert sidecar.entry.retry_budget.share == sidecar.entry.settings.repeat_share
    assert sidecar.settings == changed


async def test_identity_and_addresses_are_deferred_to_a_restart():
    sidecar, settings = make_sidecar()
    changed = attrs.evolve(settings, caller_address="127.0.0.1:9", service="deep")
    reload = sidecar.reload(changed)
    assert reload.applied == ()
    assert set(reload.deferred) == {"caller_address", "service"}
    assert sidecar.settings == settings


async def test_same_settings_change_nothing():
    sidecar, settings = make_sidecar()
    reload = sidecar.reload(attrs.evolve(settings))
    assert (reload.applied, reload.deferred) == ((), ())
