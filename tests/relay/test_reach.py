"""Which hosts count as alive by the links that hosts tell of."""

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
    """One host's board, what others have told it, and its own links."""

    def __init__(self, own="h1"):
        self.clock = FakeClock()
        self.board = FactTable(own, 1, self.clock)
        self.peers = set()
        self.heard_at = {}
        self.reach = Reachability(
            self.board,
            self.clock,
            own,
            lambda: self.peers,
            lambda host: self.heard_at.get(host, self.clock.monotonic()),
        )
        self.members = Membership(self.board, host_fact(own), self.clock, self.reach)
        self.boards = {own: self.board}

    def link(self, **links):
        """Let hosts tell of their links: names by host, one letter each."""
        for host, peers in links.items():
            self.receive(host, "links", LinksFact(sorted(peers)))
            if self.boards[host] is self.board:
                self.peers = set(peers)

    def receive(self, host, topic, fact):
        board = self.boards.setdefault(host, FactTable(host, 1, self.clock))
        board.publish(topic, fact)
        if board is not self.board:
            self.board.merge([board.get(host, topic).entry])

    def live(self):
        return self.members.live()


class LinkTest(unittest.TestCase):
    @params(
        ("nobody", {"a": ""}, ""),
        ("its own links need no word", {"a": "b"}, "b"),
        ("over two links", {"a": "b", "b": "ac", "c": "b"}, "bc"),
        ("over three", {"a": "b", "b": "ac", "c": "bd", "d": "c"}, "bcd"),
        ("the far end tells no more", {"a": "b", "b": "ac", "c": ""}, "b"),
        ("the near end tells no more", {"a": "b", "b": "a", "c": "b"}, "b"),
        ("another group", {"a": "b", "b": "a", "c": "d", "d": "c"}, "b"),
        ("a ring", {"a": "b", "b": "ac", "c": "bd", "d": "ca"}, "bcd"),
    )
    def test_a_link_counts_when_both_ends_publish_it(self, name, links, expected):
        world = World("a")
        world.link(**links)
        self.assertEqual(set(expected), world.reach.hosts(), name)


class AliveTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.world = World("a")
        self.world.link(a="b", b="acd", c="b", d="b")
        for host in "abcd":
            self.world.receive(host, "host", host_fact(host))
        self.assertEqual([*"abcd"], self.world.live())

    async def test_a_linked_host_needs_no_heartbeat(self):
        """Half of what hosts say to each other are heartbeats, passed on to every one of them."""
        self.world.clock.advance(300.0)
        self.assertEqual([*"abcd"], self.world.live())
        self.assertEqual([], self.world.members.sweep())

    async def test_a_killed_host_is_not_listed_to_callers(self):
        """Callers are sent to a machine that is off, for eleven seconds.

        A host is killed among 195. Its link ends at once, but it was named for as long as four
        heartbeats take to go missing, which come the seldomer the more hosts there are.
        """
        for number in range(MANY_HOSTS):
            self.world.receive(f"n{number}", "host", host_fact(f"n{number}"))
        self.world.clock.advance(60.0)
        self.world.link(b="ac")
        self.assertIn("d", self.world.live())
        self.world.clock.advance(DISCONNECTED_SECONDS + 0.1)
        self.assertEqual([*"abc"], self.world.live())

    async def test_a_host_that_links_to_another_stays(self):
        """A third of the hosts are dropped from callers' answers whenever the hub is lost."""
        self.world.clock.advance(60.0)
        self.world.link(b="ac", d="c", c="b")
        self.world.clock.advance(DISCONNECTED_SECONDS / 2)
        self.world.link(c="bd")
        self.world.clock.advance(60.0)
        self.assertEqual([*"abcd"], self.world.live())

    async def test_a_host_without_links_waits_for_longer(self):
        """A host whose own links are lost for a second names itself alone to callers."""
        self.world.clock.advance(60.0)
        self.world.link(a="")
        self.world.clock.advance(ISOLATED_SECONDS - 0.1)
        self.assertEqual([*"abcd"], self.world.live())
        self.world.clock.advance(0.2)
        self.assertEqual(["a"], self.world.live())

    @params(
        ("the hub, found silent here", {"a": ""}, SILENT_SECONDS + 0.5, 0.0),
        (
            "another, found silent by the hub",
            {"b": "ac"},
            SILENT_SECONDS + 1.0,
            DISCONNECTED_SECONDS,
        ),
    )
    def test_a_machine_without_power_is_not_listed_for_long(self, name, links, found_after, more):
        """Callers connect to a machine that has been off for six seconds, and wait for nothing.

        It was the hub. Its links were found silent after two seconds, and the time for which a host
        may be out of reach was counted from there, at four seconds where no link was left.
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
        """A host that has just started never names some others to callers.

        It heard their words of two minutes ago in one frame and of their links in the next, and
        had forgotten them in between.
        """
        new = World("e")
        new.clock.advance(200.0)
        old = self.world.boards["b"]
        new.board.merge([replace(old.get("b", "host").entry, age=200_000)])
        self.assertEqual([], new.members.sweep())
        new.link(e="b", b="e")
        self.assertEqual(["b"], new.live())


class KilledHostTest(unittest.TestCase):
    @run
    async def test_hosts_drop_a_killed_one_together(self):
        """Callers get the address of a dead host from some hosts and not from others."""
        async with Deployment(hosts=4) as found:
            await found.until(lambda: all_live(found) and len(hubs(found)) == 1)
            killed = next(h for h in found.hosts if h not in hubs(found))
            found.hosts.remove(killed)
            await killed.stop()
            await found.until(lambda: all_live(found), seconds=DISCONNECTED_SECONDS + 1.5)
