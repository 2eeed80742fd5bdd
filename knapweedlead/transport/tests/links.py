"""Several link tables on loopback addresses, in one process."""

import asyncio
import contextlib

import attrs

from knapweedlead.node import Identity
from knapweedlead.transport import LinkTable
from standins.fleet import free_address

SECRET = "fleet-secret-of-the-tests"


def make_identity(name, address, incarnation=1):
    return Identity(name, incarnation, address, "-", "r", "dc", "s", f"i-{name}")


@attrs.define(eq=False)
class Endpoint:
    """A link table that records its callbacks."""

    address: str
    table: LinkTable = attrs.field(init=False)
    messages: list = attrs.field(factory=list)
    opened_links: list = attrs.field(factory=list)
    lost_links: list = attrs.field(factory=list)
    unsent_messages: list = attrs.field(factory=list)
    errors: list = attrs.field(factory=list)

    def build(self, secret=SECRET, incarnation=1):
        self.table = LinkTable(
            make_identity(f"n{self.address}", self.address, incarnation),
            secret,
            lambda peer, message: self.messages.append((peer, message)),
            lambda peer, name, start: self.opened_links.append((peer, start)),
            lambda peer, is_refused: self.lost_links.append((peer, is_refused)),
            lambda peer, message: self.unsent_messages.append(message),
            self.errors.append,
        )
        return self


@contextlib.asynccontextmanager
async def open_endpoints(count, secrets=()):
    addresses = sorted(free_address() for _ in range(count))
    endpoints = [Endpoint(address) for address in addresses]
    for index, endpoint in enumerate(endpoints):
        endpoint.build(secrets[index] if secrets else SECRET)
        await endpoint.table.start(endpoint.address)
    try:
        yield endpoints
    finally:
        for endpoint in endpoints:
            await endpoint.table.stop()
        await asyncio.sleep(0)


async def wait_until(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)
