"""Two or more tables of links on loopback, in one process."""

import asyncio
import contextlib

import attrs

from knapweedlead.node import Identity
from knapweedlead.transport import LinkTable
from standins.fleet import free_address

SECRET = "fleet-secret-of-the-tests"


def identity_of(name, address, incarnation=1):
    return Identity(name, incarnation, address, "-", "r", "dc", "s", f"i-{name}")


@attrs.define(eq=False)
class Side:
    """A table of links that records what it reports."""

    address: str
    table: LinkTable = attrs.field(init=False)
    messages: list = attrs.field(factory=list)
    ups: list = attrs.field(factory=list)
    downs: list = attrs.field(factory=list)
    send_failed: list = attrs.field(factory=list)
    errors: list = attrs.field(factory=list)

    def build(self, secret=SECRET, incarnation=1):
        self.table = LinkTable(
            identity_of(f"n{self.address}", self.address, incarnation),
            secret,
            lambda peer, message: self.messages.append((peer, message)),
            lambda peer, name, start: self.ups.append((peer, start)),
            lambda peer, is_refused: self.downs.append((peer, is_refused)),
            lambda peer, message: self.send_failed.append(message),
            self.errors.append,
        )
        return self


@contextlib.asynccontextmanager
async def sides(count, secrets=()):
    addresses = sorted(free_address() for _ in range(count))
    made = [Side(address) for address in addresses]
    for index, side in enumerate(made):
        side.build(secrets[index] if secrets else SECRET)
        await side.table.start(side.address)
    try:
        yield made
    finally:
        for side in made:
            await side.table.stop()
        await asyncio.sleep(0)


async def until(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.005)
