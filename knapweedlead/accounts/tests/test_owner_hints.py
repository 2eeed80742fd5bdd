"""Requests for tokens while the owner of an account's slot changes."""

from types import SimpleNamespace

import pytest

from knapweedlead.accounts._escrow import (
    REPLY_TIMEOUT_SECONDS,
    RETRY_DELAY_SECONDS,
    EscrowedMeter,
)
from knapweedlead.accounts._messages import TokenRequest
from knapweedlead.configuration import ClientAccount
from knapweedlead.node import SendMessage
from knapweedlead.ownership import OwnerAttempts

ACCOUNT = ClientAccount("crew", 10.0, 10.0)


class KnownOwners:
    """Stand-in for the ownership role: an owner, its backup and other members."""

    number_of_slots = 1

    def __init__(self):
        self.owner, self.backup = "first", "first-backup"

    def owner_address(self, slot):
        return self.owner

    def peer_of(self, slot, attempt):
        known = [self.owner, self.backup]
        return known[attempt] if attempt < len(known) else f"other-{attempt}"

    def refresh(self, slot, now):
        return iter(())


class Asking:
    """A meter with one waiting call."""

    def __init__(self):
        self.ownership = KnownOwners()
        identity = SimpleNamespace(name="edge", incarnation=1)
        self.meter = EscrowedMeter(
            SimpleNamespace(identity=identity, ownership=self.ownership)
        )
        self.now = 100.0
        _, effects = self.meter.acquire(ACCOUNT, 1, self.now)
        self.asked = self._peers(effects)

    def _peers(self, effects):
        sent = [effect for effect in effects if isinstance(effect, SendMessage)]
        return [e.peer for e in sent if isinstance(e.message, TokenRequest)]

    def wait(self, seconds):
        """Let time pass; return whom the meter asked."""
        self.now += seconds
        self.asked = self._peers(self.meter.on_tick(self.now))
        return self.asked

    def hint(self):
        """Handle the reply of a member that does not own the slot."""
        list(self.meter.on_hint(0, self.now))
        return self.wait(RETRY_DELAY_SECONDS)


def test_owner_named_by_a_hint_is_asked_next():
    # Guards against calls that wait for tokens while backups and others are asked.
    asking = Asking()
    assert asking.asked == ["first"]
    asking.ownership.owner, asking.ownership.backup = "second", "second-backup"
    assert asking.hint() == ["second"]


def test_hint_that_names_no_other_owner_does_not_repeat_the_same_request():
    asking = Asking()
    assert asking.hint() == ["first-backup"]
    assert asking.hint() == ["other-2"]


def test_owner_that_does_not_reply_is_followed_by_its_backup_and_others():
    asking = Asking()
    asked = [
        asking.wait(REPLY_TIMEOUT_SECONDS) + asking.wait(RETRY_DELAY_SECONDS)
        for _ in range(2)
    ]
    assert asked == [["first-backup"], ["other-2"]]


@pytest.mark.parametrize("failed", [0, 1, 5])
def test_attempts_begin_with_an_owner_that_took_the_slot_over(failed):
    ownership = KnownOwners()
    attempts = OwnerAttempts()
    attempts.peer(ownership, 0)
    attempts.failed = failed
    ownership.owner = "second"
    assert attempts.peer(ownership, 0) == "second"
