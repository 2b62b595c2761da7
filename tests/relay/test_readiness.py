"""When a host that starts counts as able to serve callers."""

import asyncio
import json
import unittest

from nose2.tools import params

from peridotdock.platform.store import CONFIG_TABLE, ENDPOINT_TABLE
from tests.relay.deployment import Deployment

TIMEOUT_SECONDS = 30
READY, NOT_READY = 200, 503
# Seconds for which a host can't read a table, long enough for it to have read the other one.
UNREAD_SECONDS = 1.0


def run(work):
    return asyncio.run(asyncio.wait_for(work, TIMEOUT_SECONDS))


async def readiness(found, host):
    async with found.session.get(f"http://{host.settings.listen.readiness}/v1/ready") as resp:
        return resp.status


async def listed(found, asked):
    """Return the addresses where callers may connect, as a host answers."""
    url = f"http://{asked.settings.listen.directory}/v1/resolve?name=x"
    async with found.session.get(url) as resp:
        return json.loads(await resp.read())["addresses"]


async def start_host(found):
    """Start a host beside the others, without waiting for what it reads."""
    return await found.add_host("late", (found.hosts[0].settings.listen.peers,))


class StartingHostTest(unittest.TestCase):
    """Guards against callers that are sent to a host which knows no endpoint yet, and refused."""

    @params(("endpoints", ENDPOINT_TABLE), ("configuration", CONFIG_TABLE))
    def test_a_host_is_ready_once_it_has_read_both_tables(self, name, table):
        async def play():
            async with Deployment() as found:
                found.store.faults["unread"] = (table,)
                late = await start_host(found)
                address = str(late.settings.listen.callers)
                await asyncio.sleep(UNREAD_SECONDS)
                before = await readiness(found, late), address in await listed(found, late)
                before_elsewhere = address in await listed(found, found.hosts[0])
                found.store.faults["unread"] = ()
                await found.until(lambda: late.peers.membership.own.state == "live")
                known = late.request_handler.deployment is not None and bool(late.fleet.states)
                after = await readiness(found, late), address in await listed(found, late)
                return before, before_elsewhere, known, after

        before, before_elsewhere, known, after = run(play())
        self.assertEqual((NOT_READY, False), before)
        self.assertFalse(before_elsewhere)
        self.assertTrue(known)
        self.assertEqual((READY, True), after)

    def test_a_deployment_without_endpoints_has_ready_hosts(self):
        """Guards against hosts that wait for endpoints that there are none of."""

        async def play():
            async with Deployment(engines=(), pages=()) as found:
                host = found.hosts[0]
                await found.until(lambda: host.peers.membership.own.state == "live")
                return await readiness(found, host)

        self.assertEqual(READY, run(play()))

    def test_a_host_stays_ready_while_the_store_is_away(self):
        """Guards against hosts that are all taken out at once as one dependency fails."""

        async def play():
            async with Deployment() as found:
                host = found.hosts[0]
                await found.until(lambda: host.peers.membership.own.state == "live")
                found.store.faults["down"] = True
                await asyncio.sleep(UNREAD_SECONDS)
                return await readiness(found, host)

        self.assertEqual(READY, run(play()))
