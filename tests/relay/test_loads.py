"""What hosts tell each other of load and demand, and who hears it."""

import unittest
from unittest.mock import Mock, patch

from peridotdock.decisions.draft import Demand
from peridotdock.links import Link
from peridotdock.membership import Member
from peridotdock.relay.aggregation import encode_runs, encode_work
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.peers import HUB_TOPICS, Peers
from peridotdock.relay.requests import InferenceSpec
from peridotdock.relay.settings import Address, HostSettings, Listen
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

    def receive(self, peers, origin, topic, fact, epoch=1):
        """Take in a fact of another host."""
        board = type(peers.facts)(origin, epoch, self.clock)
        board.publish(topic, fact)
        peers.facts.merge(facts_of(board))

    def host_fact(self, name, power):
        return HostFact(name, f"{name}-1", "north", "", "", "live", 1, power)

    def load(self, fleet):
        return fleet.states["i-1"].load(self.clock.monotonic())

    async def test_the_hub_publishes_the_sum(self):
        peers, fleet = self.host("hub")
        for name, row in (("h1", (2, 500)), ("h2", (3, 700))):
            self.receive(peers, name, "host", self.host_fact(name, 0))
            self.receive(peers, name, "work", encode_work({"i-1": row}))
        peers.publish_loads()
        self.assertEqual((5, 1200), self.load(fleet))
        self.assertEqual(encode_work({"i-1": (5, 1200)}), peers.facts.get("hub", "loads").fact)

    async def test_a_host_leaves_its_own_work_out_of_the_sum(self):
        """Requests go away from an engine that seems twice as busy as it is.

        The sum of all hosts' work has this host's own in it, which it counts itself.
        """
        peers, fleet = self.host("h1", link_mbps=10.0)
        self.receive(peers, "hub", "host", self.host_fact("hub", 1))
        peers.facts.publish("work", encode_work({"i-1": (2, 500)}))
        self.receive(peers, "hub", "loads", encode_work({"i-1": (5, 1200)}))
        self.assertEqual((3, 700), self.load(fleet))

    async def test_an_old_sum_no_longer_counts(self):
        peers, fleet = self.host("h1", link_mbps=10.0)
        self.receive(peers, "hub", "host", self.host_fact("hub", 1))
        self.receive(peers, "hub", "loads", encode_work({"i-1": (5, 1200)}))
        self.clock.advance(10.0)
        self.assertEqual((0, 0), self.load(fleet))

    async def test_waiting_requests_are_sent_to_the_lease_holder_alone(self):
        """With 67 hosts each spends more on hearing of the others than on its own requests."""
        peers, _ = self.host("hub")
        self.receive(peers, "h1", "orders", OrdersFact(3, []))
        to = {
            name: Link(Mock(), Hello("hello", name, f"{name}-1", b"", b""), dialled=False)
            for name in ("h1", "h2")
        }
        passed = {
            (link.peer.host, topic)
            for topic in (*HUB_TOPICS, "host")
            for link in peers._select_links(("h3", topic), to.values())
        }
        expected = {("h1", topic) for topic in ("wants", "demand", "runs", "host")}
        expected.add(("h2", "host"))
        self.assertEqual(expected, passed)

    async def test_running_requests_are_added_up_by_endpoint_and_item(self):
        peers, fleet = self.host("h1")
        self.receive(peers, "h2", "host", self.host_fact("h2", 0))
        rows = {("i-1", "m0"): 2, ("i-1", "m0/a1"): 1, ("i-2", "m1"): 4}
        self.receive(peers, "h2", "runs", encode_runs(rows))
        wish = InferenceSpec("m0", "a1", 10, 1, ())
        fleet.request_sent(fleet.states["i-1"], "a1", wish, 10)
        peers.publish_runs()
        expected = {"i-1": {"m0": 2, "m0/a1": 2}, "i-2": {"m1": 4}}
        self.assertEqual(expected, peers.running())

    async def test_requests_queued_on_the_hub_are_published(self):
        peers, _ = self.host("hub")
        peers.queued = lambda: {"m0": 1500}
        peers.publish_wants()
        self.assertEqual(Demand(0, 0.0, 0.0, 1500), peers.demand()["m0"])

    async def test_a_load_in_progress_is_published_once(self):
        """Each look at a load under way goes to all hosts, though only its time has changed."""
        peers, _ = self.host("h1")
        told = []
        peers.facts.listen(lambda slots: told.extend(slots))
        for left in (1.2, 0.9, 0.6):
            peers.publish_orders(1, [EngineNews("i-1", ["m0"], [], {"m1": left})], {})
            self.clock.advance(0.3)
        peers.publish_orders(1, [EngineNews("i-1", ["m0", "m1"], [], {})], {})
        self.assertEqual([("h1", "orders")] * 2, told)

    async def test_a_host_with_a_slow_link_is_no_hub(self):
        peers, _ = self.host("h1", link_mbps=10.0)
        for number in range(9):
            self.receive(peers, f"n{number}", "host", self.host_fact(f"n{number}", number % 2))
        order = peers.rank([f"n{n}" for n in range(9)] + ["h1"])
        self.assertEqual({"n1", "n3", "n5", "n7"}, {*order[:4]})

    async def test_members_are_evaluated_when_their_facts_arrive(self):
        """With 83 hosts each spends a sixth of its control work on who lives.

        A dozen looks a second judged all hosts, though a heartbeat changes one of them.
        """
        peers, _ = self.host("h1")
        with patch("peridotdock.membership.Member", wraps=Member) as judged:
            for number in range(40):
                self.receive(peers, f"n{number}", "host", self.host_fact(f"n{number}", 0))
                peers.membership.members()
                self.clock.advance(0.01)
        self.assertLessEqual(judged.call_count, 2 * 40)
        self.assertEqual(41, len(peers.membership.live()))
        self.clock.advance(5.0)
        self.assertEqual(["h1"], peers.membership.live())
        self.receive(peers, "n7", "host", self.host_fact("n7", 0), epoch=2)
        self.assertEqual(["h1", "n7"], peers.membership.live())

    async def test_work_facts_of_other_hosts_scan_no_links(self):
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
        self.receive(peers, "h1", "work", encode_work({"i-1": (1, 100)}))
        self.assertEqual([], looked)
        self.receive(peers, "h1", "host", self.host_fact("h1", 0))
        self.assertEqual({("h1", "host")}, link.dirty)
