"""Keeps the daemon listed in the store, and its picture of the store up to date."""

import asyncio
import json
import random
from typing import Any, Protocol

import attrs
from result import Err

from knapweedlead.errors import StoreError, StoreFault
from knapweedlead.mesh import Change, Item, Listing, Member, OperatorState, StorePurpose
from knapweedlead.platform import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_PREFIX,
    PlatformStore,
)

MEMBER_PREFIX = "members/"
LEASE_TIME = 6.0
"""Seconds for which a daemon stays listed without renewing its lease; longer than a
daemon that is cut off goes on taking keys."""
RENEWAL_PERIOD = 2.0
"""Seconds between renewals; a third of the lease, so that two may fail."""
RETRY_PAUSE = 0.3
"""Seconds between tries while the store does not answer; an entry that lapsed in an
outage has to be back within two seconds of its end."""
OPERATOR_WATCH_TIME = 1.5
"""Seconds that a watch waits; its answer confirms the configuration."""
MEMBER_WATCH_TIME = 25.0
"""Seconds that a watch of the members waits."""


class SyncHost(Protocol):
    """What the synchronization needs of the daemon."""

    rng: random.Random

    def clock(self) -> float:
        """Return the present time."""

    def take_operator_state(self, state: OperatorState, source: str) -> None:
        """Take the operators' declarations."""

    def confirm(self, asked_at: float) -> None:
        """Note that the store knew nothing newer at a time."""

    def take_members(self, by_name: dict[str, Member], removed: set[str]) -> None:
        """Take members that were added or changed, and the names of removed ones."""

    def replace_members(self, by_name: dict[str, Member]) -> None:
        """Take the whole list of members."""

    def store_changed(self, step: str, is_reached: bool, detail: str) -> None:
        """Record that the store was lost or reached again for a purpose."""

    def registered(self, is_registered: bool) -> None:
        """Note whether the daemon is listed."""


class StoreSync:
    """Registration, watch of the operators' keys, watch of the members.

    Parameters
    ----------
    host : SyncHost
    store : PlatformStore
    own : Member
    """

    def __init__(self, host: SyncHost, store: PlatformStore, own: Member) -> None:
        self.host = host
        self.store = store
        self.own = own
        self._lease = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._operator = _OperatorKeys()

    def start(self) -> None:
        """Begin."""
        for coroutine in (
            self._keep_registered(),
            self._watch_operators(),
            self._watch_members(),
        ):
            self._tasks.append(asyncio.ensure_future(coroutine))

    async def stop(self) -> None:
        """End, and take the daemon off the list."""
        for task in self._tasks:
            task.cancel()
        if self._lease:
            await self.store.end_lease(self._lease)

    async def _keep_registered(self) -> None:
        key = MEMBER_PREFIX + self.own.name
        value = json.dumps(attrs.asdict(self.own)).encode()
        while True:
            if not self._lease:
                await self._register(key, value)
            else:
                await self._renew()
            await asyncio.sleep(RENEWAL_PERIOD if self._lease else self._pause())

    async def _register(self, key: str, value: bytes) -> None:
        granted = await self.store.grant_lease(LEASE_TIME)
        if isinstance(granted, Err):
            self._failed("register", granted.err_value)
            return
        lease = granted.ok_value.lease
        written = await self.store.put(key, value, lease)
        if isinstance(written, Err):
            self._failed("register", written.err_value)
            return
        self._lease = lease
        self.host.store_changed("register", True, "")
        self.host.registered(True)

    async def _renew(self) -> None:
        renewed = await self.store.renew_lease(self._lease)
        if not isinstance(renewed, Err):
            self.host.store_changed("renew", True, "")
            return
        self._failed("renew", renewed.err_value)
        if renewed.err_value.fault is StoreFault.CONFLICT:
            self._lease = 0
            self.host.registered(False)
            await self._register(
                MEMBER_PREFIX + self.own.name,
                json.dumps(attrs.asdict(self.own)).encode(),
            )

    async def _watch_operators(self) -> None:
        while True:
            asked_at = self.host.clock()
            listed = await self.store.list(OPERATOR_PREFIX, StorePurpose.CONFIGURATION)
            if isinstance(listed, Err):
                await self._retry_later("operator_keys.list", listed.err_value)
                continue
            self._operator.replace(listed.ok_value)
            self._apply_operator_keys(asked_at)
            await self._follow_operators(listed.ok_value.revision)

    async def _follow_operators(self, revision: int) -> None:
        while True:
            asked_at = self.host.clock()
            changed = await self.store.watch(
                OPERATOR_PREFIX,
                revision,
                OPERATOR_WATCH_TIME,
                StorePurpose.CONFIGURATION,
            )
            if isinstance(changed, Err):
                await self._retry_later("operator_keys.watch", changed.err_value)
                if changed.err_value.fault is StoreFault.COMPACTED:
                    return
                continue
            revision = changed.ok_value.revision
            self._operator.change(changed.ok_value)
            self._apply_operator_keys(asked_at)

    def _apply_operator_keys(self, asked_at: float) -> None:
        self.host.store_changed("operator_keys", True, "")
        self.host.take_operator_state(self._operator.state(), "store")
        self.host.confirm(asked_at)

    async def _watch_members(self) -> None:
        while True:
            listed = await self.store.list(MEMBER_PREFIX, StorePurpose.MEMBERSHIP)
            if isinstance(listed, Err):
                await self._retry_later("members.list", listed.err_value)
                continue
            members = [_member(item) for item in listed.ok_value.items]
            self.host.replace_members({m.name: m for m in members if m is not None})
            await self._follow_members(listed.ok_value.revision)

    async def _follow_members(self, revision: int) -> None:
        while True:
            changed = await self.store.watch(
                MEMBER_PREFIX, revision, MEMBER_WATCH_TIME, StorePurpose.MEMBERSHIP
            )
            if isinstance(changed, Err):
                await self._retry_later("members.watch", changed.err_value)
                if changed.err_value.fault is StoreFault.COMPACTED:
                    return
                continue
            change = changed.ok_value
            revision = change.revision
            members = [_member(item) for item in change.written]
            by_name = {m.name: m for m in members if m is not None}
            removed = {key.removeprefix(MEMBER_PREFIX) for key in change.removed}
            if by_name or removed:
                self.host.take_members(by_name, removed - set(by_name))

    async def _retry_later(self, step: str, error: StoreError) -> None:
        self._failed(step, error)
        await asyncio.sleep(self._pause())

    def _failed(self, step: str, error: StoreError) -> None:
        self.host.store_changed(step.partition(".")[0], False, str(error))

    def _pause(self) -> float:
        return RETRY_PAUSE * (0.5 + self.host.rng.random())


class _OperatorKeys:
    """Operators' keys as last read."""

    def __init__(self) -> None:
        self._item_by_key: dict[str, Item] = {}
        self._revision = 0

    def replace(self, listing: Listing) -> None:
        self._item_by_key = {item.key: item for item in listing.items}
        self._revision = max(self._revision, listing.revision)

    def change(self, change: Change) -> None:
        for key in change.removed:
            self._item_by_key.pop(key, None)
        for item in change.written:
            self._item_by_key[item.key] = item
        if change.removed or change.written:
            self._revision = max(self._revision, change.revision)

    def state(self) -> OperatorState:
        item = self._item_by_key.get(CONFIGURATION_KEY)
        prefix = EVACUATION_PREFIX
        return OperatorState(
            revision=self._revision,
            configuration=b"" if item is None else item.value,
            evacuated=frozenset(
                key.removeprefix(prefix)
                for key in self._item_by_key
                if key.startswith(prefix)
            ),
        )


def _member(item: Item) -> Member | None:
    """Return the member in an item; None for one that another writer left."""
    try:
        document: dict[str, Any] = json.loads(item.value)
        return Member(**document)
    except (ValueError, TypeError):
        return None
