"""Tests which hosts count as alive by the links that hosts publish."""

import unittest
from dataclasses import replace

from nose2.tools import params

from peridotdock.fact_table import FactTable
from peridotdock.links import SILENT_SECONDS
from peridotdock.membership import DISCONNECTED_SECONDS, ISOLATED_SECONDS, Membership
from peridotdock.relay.reachability import Reachability
from peridotdock.schema.messages import HostFact, LinksFact
from tests.fakes import FakeClock
from tests.relay.deployment import Deployment
from tests.relay.test_hubs import all_live, hubs
from tests.relay.test_relay import run

MANY_HOSTS = 195


def host_fact(name):
    return HostFact(name, f"{name}-1", "north", f"10.0.0.1:{len(name)}", "", "live", 0, 1)


class World:
    """One host's fact table, the facts of other hosts in it, and its own links."""

    def __init__(self, own="h1"):
        self.clock = FakeClock()
        self.facts = FactTable(own, 1, self.clock)
        self.peers = set()
        self.heard_at = {}
        self.incarnations = {}
        self.reachability = Reachability(
            self.facts,
            self.clock,
            own,
            lambda: self.peers,
            lambda host: self.heard_at.get(host, self.clock.monotonic()),
            lambda host: self.incarnations.get(host, f"{host}-1"),
        )
        self.members = Membership(self.facts, host_fact(own), self.clock, self.reachability)
        self.fact_tables = {own: self.facts}

    def link(self, **links):
        """Let hosts publish their links: names by host, one letter each."""
        for host, peers in links.items():
            self.receive(host, "links", LinksFact(sorted(peers)))
            if self.fact_tables[host] is self.facts:
                self.peers = set(peers)

    def receive(self, host, topic, fact):
        table = self.fact_tables.setdefault(host, FactTable(host, 1, self.clock))
        table.publish(topic, fact)
        if table is not self.facts:
            self.facts.merge([table.get(host, topic).entry])

    def live(self):
        return self.members.live()


class RestartedHostTest(unittest.TestCase):
    """Guards against links of a process that has ended: they made a host that is off reachable.

    The hub loses its power, and a host that was linked to it a moment later. That host starts again
    and is linked to others before it has published its links anew.
    """

    @params(("its host fact came first", True), ("nothing of it came yet", False))
    def test_links_of_the_process_before_do_not_count(self, name, told):
        world = World()
        world.link(h1=["hub"], hub=["h1", "h2"], h2=["hub"])
        for host in ("hub", "h2"):
            world.receive(host, "host", host_fact(host))
        world.link(h1=[])
        world.clock.advance(ISOLATED_SECONDS + 1.0)
        self.assertNotIn("hub", world.live())
        world.fact_tables["h2"] = FactTable("h2", 2, world.clock)
        world.peers, world.incarnations["h2"] = {"h2"}, "h2-2"
        if told:
            world.receive("h2", "host", replace(host_fact("h2"), incarnation="h2-2"))
        world.link(h1=["h2"])
        self.assertNotIn("hub", world.live())


class LinkTest(unittest.TestCase):
    @params(
        ("no links", {"a": ""}, ""),
        ("own links need no second fact", {"a": "b"}, "b"),
        ("over two links", {"a": "b", "b": "ac", "c": "b"}, "bc"),
        ("over three", {"a": "b", "b": "ac", "c": "bd", "d": "c"}, "bcd"),
        ("the far end publishes no more", {"a": "b", "b": "ac", "c": ""}, "b"),
        ("the near end publishes no more", {"a": "b", "b": "a", "c": "b"}, "b"),
        ("another group", {"a": "b", "b": "a", "c": "d", "d": "c"}, "b"),
        ("a ring", {"a": "b", "b": "ac", "c": "bd", "d": "ca"}, "bcd"),
    )
    def test_a_link_counts_when_both_ends_publish_it(self, name, links, expected):
        world = World("a")
        world.link(**links)
        self.assertEqual(set(expected), world.reachability.hosts(), name)


class AliveTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = World("a")
        self.world.link(a="b", b="acd", c="b", d="b")
        for host in "abcd":
            self.world.receive(host, "host", host_fact(host))
        self.assertEqual([*"abcd"], self.world.live())

    async def test_a_linked_host_needs_no_heartbeat(self):
        """Guards against traffic of which half are heartbeats, forwarded to every host."""
        self.world.clock.advance(300.0)
        self.assertEqual([*"abcd"], self.world.live())
        self.assertEqual([], self.world.members.sweep())

    async def test_a_killed_host_is_not_listed_to_callers(self):
        """Guards against callers that are sent to a machine that is off, for eleven seconds.

        A host among 195 is killed. Its link ends at once, but it was listed until four heartbeats
        were missing, and the interval of heartbeats grows with the number of hosts.
        """
        for number in range(MANY_HOSTS):
            self.world.receive(f"n{number}", "host", host_fact(f"n{number}"))
        self.world.clock.advance(60.0)
        self.world.link(b="ac")
        self.assertIn("d", self.world.live())
        self.world.clock.advance(DISCONNECTED_SECONDS + 0.1)
        self.assertEqual([*"abc"], self.world.live())

    async def test_a_host_that_links_to_another_stays(self):
        """Guards against answers to callers without a third of the hosts after the hub is lost."""
        self.world.clock.advance(60.0)
        self.world.link(b="ac", d="c", c="b")
        self.world.clock.advance(DISCONNECTED_SECONDS / 2)
        self.world.link(c="bd")
        self.world.clock.advance(60.0)
        self.assertEqual([*"abcd"], self.world.live())

    async def test_a_host_without_links_waits_for_longer(self):
        """Guards against a host that lists only itself after a second without links."""
        self.world.clock.advance(60.0)
        self.world.link(a="")
        self.world.clock.advance(ISOLATED_SECONDS - 0.1)
        self.assertEqual([*"abcd"], self.world.live())
        self.world.clock.advance(0.2)
        self.assertEqual(["a"], self.world.live())

    @params(
        ("the hub, detected by this host", {"a": ""}, SILENT_SECONDS + 0.5, 0.0),
        (
            "another host, detected by the hub",
            {"b": "ac"},
            SILENT_SECONDS + 1.0,
            DISCONNECTED_SECONDS,
        ),
    )
    def test_a_machine_without_power_is_not_listed_for_long(self, name, links, found_after, more):
        """Guards against callers that connect to a machine that has been off for six seconds.

        It was the hub. Its links were detected as dead after two seconds, and the time for which a
        host may be unreachable started only then, with four seconds where no link was left.
        """
        world = self.world
        world.clock.advance(60.0)
        off = world.clock.monotonic()
        dead = "b" if "a" in links else "d"
        world.heard_at[dead] = off
        world.clock.advance(found_after)
        world.link(**links)
        world.live()
        world.clock.advance(more + 0.01)
        self.assertNotIn(dead, world.live(), name)
        self.assertLessEqual(world.clock.monotonic() - off, 4.1)

    async def test_a_host_with_an_old_fact_is_kept_until_its_links_are_received(self):
        """Guards against a newly started host that never lists some others to callers.

        It received their facts of two minutes ago in one frame and their links in the next, and
        had forgotten them in between.
        """
        new = World("e")
        new.clock.advance(200.0)
        old = self.world.fact_tables["b"]
        new.facts.merge([replace(old.get("b", "host").entry, age=200_000)])
        self.assertEqual([], new.members.sweep())
        new.link(e="b", b="e")
        self.assertEqual(["b"], new.live())


class KilledHostTest(unittest.TestCase):
    @run
    async def test_hosts_drop_a_killed_one_together(self):
        """Guards against a dead host's address in some hosts' answers and not in others."""
        async with Deployment(hosts=4) as found:
            await found.until(lambda: all_live(found) and len(hubs(found)) == 1)
            killed = next(h for h in found.hosts if h not in hubs(found))
            found.hosts.remove(killed)
            await killed.stop()
            await found.until(lambda: all_live(found), seconds=DISCONNECTED_SECONDS + 1.5)
