"""Tests of the change feed behind watches."""

import asyncio

from knapweedlead.configuration import Catalogue, Service
from knapweedlead.operators import ChangeFeed


def catalogue(revision, *names):
    services = {name: Service(name) for name in names}
    return Catalogue(revision, {"services": services})


def test_changes_after_a_revision_are_returned_in_order():
    feed = ChangeFeed()
    feed.publish(catalogue(1, "a"))
    feed.publish(catalogue(2, "a", "b"))
    feed.publish(catalogue(3, "b"))
    records = feed.changes_after(1, "services")
    assert [(r.revision, r.change, r.name) for r in records] == [
        (2, "applied", "b"),
        (3, "deleted", "a"),
    ]


def test_watch_yields_a_change_published_later():
    async def follow():
        feed = ChangeFeed()
        feed.publish(catalogue(1, "a"))
        asyncio.get_running_loop().call_soon(feed.publish, catalogue(2, "a", "b"))
        async for records in feed.watch(1, "services", 5.0):
            return [record.name for record in records]

    assert asyncio.run(follow()) == ["b"]


def test_idle_watch_yields_an_empty_list():
    async def follow():
        feed = ChangeFeed()
        async for records in feed.watch(0, "services", 0.001):
            return records

    assert asyncio.run(follow()) == []


def test_oldest_revision_is_that_of_the_first_published_catalogue():
    feed = ChangeFeed()
    feed.publish(catalogue(5, "a"))
    assert feed.oldest_revision == 5
