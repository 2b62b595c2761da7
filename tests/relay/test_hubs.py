"""Tests how hosts find each other and link to one hub."""

import unittest

from nose2.tools import params

from peridotdock.decisions.hubs import NEWCOMER_SECONDS, choose_hub
from tests.relay.deployment import Deployment, free_address
from tests.relay.test_relay import run


def hubs(found):
    """Return the hosts that have more than one link."""
    return [h for h in found.hosts if len(h.peers.mesh.peers()) > 1]


def all_live(found):
    return all(len(h.peers.membership.live()) == len(found.hosts) for h in found.hosts)


class ChoiceTest(unittest.TestCase):
    @params(
        ("the highest rank", "ab", "", 9.0, "c"),
        ("another of higher rank", "abd", "", 9.0, "d"),
        ("one that has the role, as this host has just started", "ab", "a", 0.0, "a"),
        ("the highest rank, some seconds after the start", "ab", "a", NEWCOMER_SECONDS, "c"),
        ("this host, as all have just started", "ab", "", 0.0, "c"),
        ("the higher rank of two that have the role", "abd", "ab", 0.0, "b"),
    )
    def test_the_hub_is(self, name, others, offering, started_for, hub):
        """Guards against a hub that was lost, starts again and waits for hosts that avoid it."""
        self.assertEqual(hub, choose_hub("c", others, offering, started_for, ord), name)


class HubTest(unittest.TestCase):
    @run
    async def test_groups_that_found_different_seeds_become_one(self):
        """Guards against a third of the callers waiting for models that are already loaded.

        Hosts that started together found different seeds and formed groups with one hub each. The
        groups never received each other's load, waiting requests and orders.
        """
        async with Deployment(hosts=1) as found:
            first = found.hosts[0].settings.listen.peers
            await found.add_host("h1", (first,))
            other = await found.add_host("h2", ())
            await found.add_host("h3", (other.settings.listen.peers,))
            await found.until(lambda: all_live(found))
            await found.until(lambda: len(hubs(found)) == 1)

    @run
    async def test_two_hosts_have_one_link(self):
        """Guards against a saturated CPU on the hub at 83 hosts, with each fact sent three times.

        A host dials its seeds again whenever a link is established. The link to a seed is up
        before the seed's own fact has arrived, so the seed still counts as an address where no
        host is known.
        """
        async with Deployment(hosts=4) as found:
            await found.until(lambda: all_live(found) and len(hubs(found)) == 1)
            for host in found.hosts:
                peers = [link.peer.host for link in host.peers.mesh.links()]
                self.assertEqual(sorted({*peers}), sorted(peers))

    @run
    async def test_the_hub_receives_work_from_hosts_that_it_dialled(self):
        """Guards against busy engines that look idle, and against models that are never loaded.

        The hub found a host as its seed and dialled it, so that host dials no hub, and its load on
        endpoints and waiting requests only went over links that a host had dialled itself.
        """
        async with Deployment(hosts=4) as found:
            await found.until(lambda: all_live(found) and len(hubs(found)) == 1)
            [hub] = hubs(found)
            names = {host.settings.host for host in found.hosts}
            await found.until(lambda: names == {*hub.peers.facts.by_origin("work")})

    @run
    async def test_stale_seeds_are_ignored(self):
        """Guards against a new host that serves alone because its three seeds are long gone."""
        async with Deployment(hosts=2) as found:
            await found.until(lambda: any(h.leadership.holds() for h in found.hosts))
            await found.add_host("h2", (free_address(), free_address()))
            await found.until(lambda: all_live(found))

    @run
    async def test_hosts_recover_from_the_loss_of_the_hub(self):
        """Guards against hosts that lose contact with all others when the hub is lost."""
        async with Deployment(hosts=4) as found:
            await found.until(lambda: all_live(found) and len(hubs(found)) == 1)
            [hub] = hubs(found)
            found.hosts.remove(hub)
            await hub.stop()
            await found.until(lambda: len(hubs(found)) == 1 and all_live(found))


class NoConfigurationTest(unittest.TestCase):
    @run
    async def test_one_host_reads_the_store_before_there_is_a_configuration(self):
        """Guards against more store calls before the first configuration than ever after.

        No host took the lease without one, so no host read the store for the others.
        """
        async with Deployment(hosts=3) as found:
            await found.until(lambda: any(h.leadership.holds() for h in found.hosts))
            [holder] = [h for h in found.hosts if h.leadership.holds()]
            for host in found.hosts:
                host.request_handler.deployment = None
            await holder.leadership.release()
            await found.until(lambda: any(h.leadership.holds() for h in found.hosts))


class RefusedHostTest(unittest.TestCase):
    @run
    async def test_a_configuration_arrives_over_links_where_the_store_refuses_a_host(self):
        """Guards against one host without a new route: the store answers all hosts but this one."""
        async with Deployment(hosts=3) as found:
            await found.until(lambda: all_live(found))
            await found.until(lambda: any(h.leadership.holds() for h in found.hosts))
            await found.until(lambda: all(h.peers.has_lease_holder() for h in found.hosts))
            refused = next(h for h in found.hosts if not h.leadership.holds())
            refused.store._url = f"http://{free_address()}"
            refused.store.renew_connections()
            found.configure(version=7)
            await found.until(lambda: refused.request_handler.deployment.version == 7, seconds=4.0)
