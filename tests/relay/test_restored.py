"""Tests what hosts do when the store comes back from an older copy of its rows."""

import asyncio
import unittest

from tests.relay.deployment import BOUNDS, Deployment
from tests.relay.test_hubs import all_live
from tests.relay.test_relay import run

# Versions that the store gave out and lost.
LOST_VERSIONS = 40


def config_versions(found):
    return [host.request_handler.deployment.version for host in found.hosts]


def all_know_leaving(found, name):
    return all(host.fleet.states[name].leaving for host in found.hosts)


async def until_ready(found):
    await found.until(lambda: all_live(found))
    await found.until(lambda: any(host.leadership.holds() for host in found.hosts))
    await found.until(lambda: all(host.peers.has_lease_holder() for host in found.hosts))


async def lose_writes(found):
    """Let all hosts see a version of the store that it then loses; return the older copy."""
    copy = found.store.copy()
    for number in range(LOST_VERSIONS):
        found.store.put("other", "row", str(number).encode())
    found.configure(version=2)
    await found.until(lambda: config_versions(found) == [2] * len(found.hosts))
    return copy


def drain(found, name):
    """Write in the store that an endpoint of the plain service drains."""
    found.store.put("servers", name, found.pages[name].entry("pages") | {"state": "draining"})


async def check_changes_are_seen(case, versions_given_out):
    """Make changes right after a restore, give out more versions, and check all hosts in time."""
    async with Deployment(hosts=3, pages=("p1", "p2")) as found:
        await until_ready(found)
        copy = await lose_writes(found)
        found.store.restore(copy)
        found.configure(version=3)
        drain(found, "p1")
        for number in range(versions_given_out):
            found.store.put("other", "row", str(number).encode())
        await asyncio.sleep(BOUNDS.drain)
        case.assertEqual([3, 3, 3], config_versions(found))
        case.assertTrue(all_know_leaving(found, "p1"))


class ChangesAfterRestoreTest(unittest.TestCase):
    """Guards against hosts that keep an old configuration and send to draining endpoints."""

    @run
    async def test_changes_are_seen_while_versions_are_below_those_of_hosts(self):
        await check_changes_are_seen(self, 0)

    @run
    async def test_changes_are_seen_once_versions_have_passed_those_of_hosts(self):
        await check_changes_are_seen(self, 2 * LOST_VERSIONS)
