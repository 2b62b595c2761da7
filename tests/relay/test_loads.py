"""What hosts tell each other of load and demand, and who hears it."""

import unittest
from unittest.mock import Mock, patch

from peridotdock.decisions.draft import Demand
from peridotdock.links import Link
from peridotdock.membership import Member
from peridotdock.relay.asks import ModelWish
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.peers import UPWARD, Peers
from peridotdock.relay.settings import Address, HostSettings, Listen
from peridotdock.relay.sums import write_runs, write_work
from peridotdock.schema.messages import EngineNews, Hello, HostFact, OrdersFact
from tests.builders import facts_of, make_ctx
from tests.fakes import FakeClock
from tests.relay.deployment import BOUNDS
from tests.relay.test_ordering import entry

HERE = Address("127.0.0.1", 1)


class LoadsTest(unittest.IsolatedAsyncioTestCase):
    """One host among others; ``strong`` ones come first as the hub."""

    def setUp(self):
        self.clock = FakeClock()

    def host(self, name, link_mbps=1000.0):
        listen = Listen(HERE, HERE, HERE, HERE)
        settings = HostSettings(name, "north", listen, (), HERE, BOUNDS, link_mbps=link_mbps)
        fleet = RelayFleet("north", self.clock)
        fleet.replace([entry("m0")])
        peers = Peers(make_ctx(self.clock, name), settings, fleet, lambda digest: b"")
        peers.membership.set_state("live")
        return peers, fleet

    def hear(self, peers, origin, topic, fact, epoch=1):
        """Take in a fact of another host."""
        board = type(peers.board)(origin, epoch, self.clock)
        board.publish(topic, fact)
        peers.board.merge(facts_of(board))

    def host_fact(self, name, power):
        return HostFact(name, f"{name}-1", "north", "", "", "live", 1, power)

    def load(self, fleet):
        return fleet.states["i-1"].load(self.clock.monotonic())

    async def test_the_hub_tells_the_sum(self):
        peers, fleet = self.host("hub")
        for name, row in (("h1", (2, 500)), ("h2", (3, 700))):
            self.hear(peers, name, "host", self.host_fact(name, 0))
            self.hear(peers, name, "work", write_work({"i-1": row}))
        peers.tell_loads()
        self.assertEqual((5, 1200), self.load(fleet))
        self.assertEqual(write_work({"i-1": (5, 1200)}), peers.board.get("hub", "loads").fact)

    async def test_a_host_leaves_its_own_work_out_of_the_sum(self):
        """Requests go away from an engine that seems twice as busy as it is.

        The sum of all hosts' work has this host's own in it, which it counts itself.
        """
        peers, fleet = self.host("h1", link_mbps=10.0)
        self.hear(peers, "hub", "host", self.host_fact("hub", 1))
        peers.board.publish("work", write_work({"i-1": (2, 500)}))
        self.hear(peers, "hub", "loads", write_work({"i-1": (5, 1200)}))
        self.assertEqual((3, 700), self.load(fleet))

    async def test_an_old_sum_no_longer_counts(self):
        peers, fleet = self.host("h1", link_mbps=10.0)
        self.hear(peers, "hub", "host", self.host_fact("hub", 1))
        self.hear(peers, "hub", "loads", write_work({"i-1": (5, 1200)}))
        self.clock.advance(10.0)
        self.assertEqual((0, 0), self.load(fleet))

    async def test_what_is_waited_for_goes_to_the_holder_of_the_lease_alone(self):
        """With 67 hosts each spends more on hearing of the others than on its own requests."""
        peers, _ = self.host("hub")
        self.hear(peers, "h1", "orders", OrdersFact(3, []))
        to = {
            name: Link(Mock(), Hello("hello", name, f"{name}-1", b"", b""), dialled=False)
            for name in ("h1", "h2")
        }
        passed = {
            (link.peer.host, topic)
            for topic in (*UPWARD, "host")
            for link in peers._audience(("h3", topic), to.values())
        }
        expected = {("h1", topic) for topic in ("wants", "demand", "runs", "host")}
        expected.add(("h2", "host"))
        self.assertEqual(expected, passed)

    async def test_what_runs_is_added_up_by_endpoint_and_item(self):
        peers, fleet = self.host("h1")
        self.hear(peers, "h2", "host", self.host_fact("h2", 0))
        rows = {("i-1", "m0"): 2, ("i-1", "m0/a1"): 1, ("i-2", "m1"): 4}
        self.hear(peers, "h2", "runs", write_runs(rows))
        wish = ModelWish("m0", "a1", 10, 1, ())
        fleet.began(fleet.states["i-1"], "a1", wish, 10)
        peers.tell_runs()
        expected = {"i-1": {"m0": 2, "m0/a1": 2}, "i-2": {"m1": 4}}
        self.assertEqual(expected, peers.running())

    async def test_what_the_hub_holds_back_is_told(self):
        peers, _ = self.host("hub")
        peers.queued = lambda: {"m0": 1500}
        peers.tell_wants()
        self.assertEqual(Demand(0, 0.0, 0.0, 1500), peers.demand()["m0"])

    async def test_a_load_that_goes_on_is_told_once(self):
        """Each look at a load under way goes to all hosts, though only its time has changed."""
        peers, _ = self.host("h1")
        told = []
        peers.board.listen(lambda slots: told.extend(slots))
        for left in (1.2, 0.9, 0.6):
            peers.tell_orders(1, [EngineNews("i-1", ["m0"], [], {"m1": left})], {})
            self.clock.advance(0.3)
        peers.tell_orders(1, [EngineNews("i-1", ["m0", "m1"], [], {})], {})
        self.assertEqual([("h1", "orders")] * 2, told)

    async def test_a_thin_link_makes_no_hub(self):
        peers, _ = self.host("h1", link_mbps=10.0)
        for number in range(9):
            self.hear(peers, f"n{number}", "host", self.host_fact(f"n{number}", number % 2))
        order = peers.rank([f"n{n}" for n in range(9)] + ["h1"])
        self.assertEqual({"n1", "n3", "n5", "n7"}, {*order[:4]})

    async def test_members_are_judged_when_they_are_heard_of(self):
        """With 83 hosts each spends a sixth of its control work on who lives.

        A dozen looks a second judged all hosts, though a heartbeat changes one of them.
        """
        peers, _ = self.host("h1")
        with patch("peridotdock.membership.Member", wraps=Member) as judged:
            for number in range(40):
                self.hear(peers, f"n{number}", "host", self.host_fact(f"n{number}", 0))
                peers.membership.members()
                self.clock.advance(0.01)
        self.assertLessEqual(judged.call_count, 2 * 40)
        self.assertEqual(41, len(peers.membership.live()))
        self.clock.advance(5.0)
        self.assertEqual(["h1"], peers.membership.live())
        self.hear(peers, "n7", "host", self.host_fact("n7", 0), epoch=2)
        self.assertEqual(["h1", "n7"], peers.membership.live())

    async def test_work_of_others_looks_at_no_link(self):
        """The hub reads its callers' requests late.

        For each of 400 words a second on work at endpoints it looked at each of 82 links, and sent
        none of them over any.
        """
        peers, _ = self.host("hub")
        looked = []

        class Links(list):
            def __iter__(self):
                looked.append(1)
                return super().__iter__()

        link = Link(Mock(), Hello("hello", "h2", "h2-1", b"", b""), dialled=False)
        peers.mesh._links = Links([link])
        self.hear(peers, "h1", "work", write_work({"i-1": (1, 100)}))
        self.assertEqual([], looked)
        self.hear(peers, "h1", "host", self.host_fact("h1", 0))
        self.assertEqual({("h1", "host")}, link.dirty)
