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
# Seconds within which other hosts have told what a host can't read; the lease changes hands.
TOLD_SECONDS = 3.0
LEASE_SECONDS = 4.0


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
                found.hosts[0].peers.mesh.on_rows_wanted = lambda wanted: None
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


class StoreAwayTest(unittest.TestCase):
    """Guards against a host that serves nothing until the store is read, beside hosts that do."""

    @params(
        ("endpoints", (ENDPOINT_TABLE,)),
        ("configuration", (CONFIG_TABLE,)),
        ("both", (ENDPOINT_TABLE, CONFIG_TABLE)),
    )
    def test_other_hosts_tell_a_host_what_it_cannot_read(self, name, tables):
        async def play():
            async with Deployment() as found:
                found.store.faults["unread"] = tables
                late = await start_host(found)
                await found.until(lambda: late.peers.membership.own.state == "live", TOLD_SECONDS)
                status, _, _ = await found.send("/bind/", to=1)
                found.store.faults["unread"] = ()
                found.store.put("servers", "p1", b"")
                await found.until(lambda: "p1" not in late.fleet.states, TOLD_SECONDS)
                return status

        self.assertEqual(200, run(play()), name)


class LeaseTest(unittest.TestCase):
    """Guards against a host that orders engines before it knows of any, so that none loads."""

    def test_a_host_takes_the_lease_once_it_knows_endpoints(self):
        async def leave_lease():
            """Stand still in place of a step of the lease."""

        async def play():
            async with Deployment(hosts=2) as found:
                known = list(found.hosts)
                await found.until(lambda: any(host.leadership.holds() for host in known))
                holder, other = sorted(known, key=lambda host: not host.leadership.holds())
                found.store.faults["unread"] = (ENDPOINT_TABLE,)
                for host in known:
                    host.peers.mesh.on_rows_wanted = lambda wanted: None
                late = await start_host(found)
                await found.until(lambda: late.request_handler.deployment)
                await found.until(lambda: other.settings.host in late.peers.membership.live())
                other.leadership.step = leave_lease
                await holder.drain()
                await asyncio.sleep(LEASE_SECONDS)
                before = late.leadership.holds()
                found.store.faults["unread"] = ()
                await found.until(late.leadership.holds, LEASE_SECONDS)
                return before

        self.assertFalse(run(play()))
