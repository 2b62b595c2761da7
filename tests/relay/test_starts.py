"""Tests that nothing known of an endpoint applies after it restarts under the same id."""

import asyncio
import json
import unittest
from dataclasses import replace

from nose2.tools import params

from peridotdock.clients.engines import Action, EngineOrder, EngineState, OrderAnswer
from peridotdock.decisions.adapters import count_adapters
from peridotdock.decisions.draft import Draft
from peridotdock.decisions.eviction import EvictionLevel, find_victims
from peridotdock.errors import Failure, Kind
from peridotdock.platform.endpoints import decode_report
from peridotdock.relay.endpoint import RemoteLoad
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.ordering import Orderer
from peridotdock.relay.records import EngineRecord
from peridotdock.relay.requests import EndpointEntry, InferenceSpec, LoadedModel, PromptPart
from peridotdock.relay.unanswered_orders import MAX_ORDER_DELAY_SECONDS, UnansweredOrders
from peridotdock.schema.messages import EngineNews
from tests.builders import make_ctx
from tests.fakes import FakeClock, PermanentLease
from tests.relay.deployment import BOUNDS, Deployment
from tests.relay.test_decisions import SPEC, engine

FIRST, SECOND = 1_000, 2_000
# Start of the fake clock.
NOW = 1000.0
WISH = InferenceSpec("m0", "", 900, 20, (PromptPart("aa", 600), PromptPart("bb", 300)))


def held(*models):
    return {name: LoadedModel(1, frozenset()) for name in models}


def entry(born, *models, leaving=False, service="s"):
    return EndpointEntry(
        "e1", service, "10.0.0.1:80", "north", 8, leaving, held(*models), started_ms=born
    )


def report(born, seq, *models):
    none = frozenset()
    return EngineState(seq, False, held(*models), none, none, none, born)


def news(born, items=(), coming=()):
    return EngineNews("e1", list(items), [], dict(coming), born)


def order(expected, model="m1", adapter="", action=Action.LOAD):
    return EngineOrder(action, model, adapter, expected, "h0", 1)


class FleetTest(unittest.IsolatedAsyncioTestCase):
    """What one host knows of an endpoint."""

    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.fleet = RelayFleet("north", self.clock)
        self.fleet.replace([entry(FIRST, "m0")])

    def state(self):
        return self.fleet.states["e1"]

    async def test_nothing_of_an_earlier_start_counts_for_the_next(self):
        """Guards against requests to an endpoint for prompt parts that it lost, or not at all.

        The endpoint crashed and restarted under its id, empty and healthy. This host still took the
        parts for cached, its own and other hosts' requests for running there, and its failures for
        recent.
        """
        state = self.state()
        self.fleet.request_sent(state, "a1", WISH, 900)
        state.remote_load = RemoteLoad(5, 4000, self.clock.monotonic())
        state.health.record_unreachable(self.clock.monotonic())
        self.fleet.apply_updates([news(FIRST, ["m0"])], NOW)
        self.fleet.update({"e1": entry(SECOND, "m0")})
        found, now = self.state(), self.clock.monotonic()
        self.assertEqual(0, found.cached_tokens(WISH))
        self.assertEqual((0, 0), found.load(now))
        self.assertFalse(found.health.absent(now) or found.health.suspect(now))
        self.assertIsNone(found.last_update)
        self.fleet.request_ended(state, "a1", "s", complete=False)
        self.assertEqual((0, 0), found.load(now))

    async def test_an_end_counts_once_the_next_start_has_answered(self):
        """Guards against a crash that counts for nothing, as the next start answers at once."""
        state, broken_at = self.state(), self.clock.monotonic()
        state.answered_sent_at = broken_at + 1.0
        self.assertFalse(self.fleet.has_ended(state.start, broken_at))
        state.seen_start = SECOND
        self.assertTrue(self.fleet.has_ended(state.start, broken_at))

    async def test_a_heartbeat_of_the_same_start_keeps_what_is_known(self):
        state = self.state()
        self.fleet.request_sent(state, "a1", WISH, 900)
        self.fleet.update({"e1": entry(FIRST, "m0", leaving=True)})
        self.assertIs(state, self.state())
        self.assertEqual(900, state.cached_tokens(WISH))
        self.assertTrue(state.entry.draining)

    async def test_an_endpoint_that_was_leaving_takes_work_after_its_next_start(self):
        self.fleet.update({"e1": entry(FIRST, "m0", leaving=True)})
        self.fleet.update({"e1": entry(SECOND, "m0")})
        self.assertEqual([self.state()], self.fleet.usable("s", WISH))

    @params(
        ("of the start before", FIRST, SECOND, True),
        ("of this start", SECOND, SECOND, False),
        ("of a start that its entry does not show", SECOND, FIRST, False),
        ("of a host that reports no start", 0, SECOND, False),
    )
    def test_an_update_counts_for_its_start_only(self, name, told, known, holds):
        """Guards against requests to an engine without the model, or waits beside one with it.

        An update of the lease holder is about one start and arrives before or after the entry of
        the next.
        """

        async def play():
            fleet = RelayFleet("north", FakeClock())
            fleet.replace([entry(known, "m0")])
            fleet.apply_updates([news(told)], NOW)
            self.assertEqual(holds, bool(fleet.usable("s", WISH)), name)

        asyncio.run(play())

    async def test_an_update_received_before_the_entry_of_its_start_is_kept(self):
        self.fleet.apply_updates([news(SECOND, [], {"m0": 4.0})], NOW)
        self.fleet.update({"e1": entry(SECOND)})
        self.assertEqual(4.0, self.fleet.seconds_until_loaded("s", "m0"))

    async def test_an_endpoint_of_another_service_serves_the_first_no_more(self):
        self.fleet.update({"e1": entry(FIRST, "m0", service="nowhere")})
        self.assertEqual([], self.fleet.usable("s", WISH))


class ReportTest(unittest.TestCase):
    def test_a_report_identifies_its_start(self):
        raw = json.dumps({"seq": 2, "busy": False, "models": [], "born": SECOND}).encode()
        self.assertEqual(SECOND, decode_report(raw).started_ms)


class EngineRecordTest(unittest.TestCase):
    """What the lease holder knows of an engine."""

    def setUp(self):
        self.record = EngineRecord(entry(FIRST, "m0"))
        self.record.apply_report(report(FIRST, 7, "m0"), 0.0)

    def test_a_report_of_an_earlier_start_is_ignored(self):
        """Guards against a model that is never loaded: a restarted engine seems to hold it.

        The engine's entry shows its new start, and the report is some hundred milliseconds older.
        """
        record = EngineRecord(entry(SECOND))
        record.apply_report(report(FIRST, 7, "m0"), 1.0)
        self.assertTrue(record.unreported and record.needs_report)
        self.assertEqual({}, dict(record.view(1.0).models))

    def test_an_entry_of_an_earlier_start_does_not_apply_to_this_one(self):
        """An engine that restarts while the store is unavailable keeps its old entry in it."""
        record = EngineRecord(entry(FIRST, "m0"), started_ms=SECOND)
        record.apply_report(report(SECOND, 0), 1.0)
        record.update_entry(entry(FIRST, "m0", leaving=True))
        self.assertFalse(record.needs_report)
        self.assertTrue(record.has_update(1.0))
        self.assertEqual(
            (SECOND, []), (record.make_update(1.0).born, record.make_update(1.0).items)
        )

    def test_an_update_identifies_its_start(self):
        self.assertEqual(FIRST, self.record.make_update(1.0).born)


class UnansweredOrdersTest(unittest.TestCase):
    """Orders without an answer, and what the next start may still load by them."""

    def setUp(self):
        self.orders = UnansweredOrders()

    def items(self, born=SECOND, seq=0, now=1.0):
        return self.orders.possible_items("e1", born, seq, now)

    @params(
        ("no order is out", frozenset(), 3),
        ("one that may arrive takes a slot", frozenset({"m0/a9"}), 4),
        ("one that is held already takes no other", frozenset({"m0/a1"}), 3),
        ("a model takes none", frozenset({"m1"}), 3),
    )
    def test_slots_are_kept_for_adapters_that_may_still_arrive(self, name, late, expected):
        models = {"m0": frozenset({"a1", "a2", "a3"})}
        self.assertEqual(
            expected, count_adapters(engine("e1", models=models, unanswered=late)), name
        )

    @params(
        ("a model", order(0), SECOND, 0, 1.0, {"m1"}),
        ("an adapter", order(0, "m1", "a1"), SECOND, 0, 1.0, {"m1/a1"}),
        ("its count may still match", order(3), SECOND, 0, 1.0, {"m1"}),
        ("its count has passed", order(0), SECOND, 1, 1.0, set()),
        ("an unload takes no capacity", order(0, action=Action.UNLOAD), SECOND, 0, 1.0, set()),
        ("the same start counts on", order(0), FIRST, 0, 1.0, set()),
        ("the last moment", order(0), SECOND, 0, MAX_ORDER_DELAY_SECONDS, {"m1"}),
        ("too late to arrive", order(0), SECOND, 0, MAX_ORDER_DELAY_SECONDS + 0.1, set()),
    )
    def test_items_that_may_still_arrive(self, name, sent, born, seq, now, expected):
        self.orders.add("e1", FIRST, sent, 0.0)
        self.assertEqual(expected, self.items(born, seq, now), name)

    def test_an_answered_order_is_not_expected_again(self):
        sent = order(0)
        self.orders.add("e1", FIRST, sent, 0.0)
        self.orders.discard("e1", sent)
        self.assertEqual(frozenset(), self.items())

    def test_old_orders_are_forgotten(self):
        for number in range(100):
            self.orders.add("e1", FIRST, order(number), float(number))
        self.assertLessEqual(len(self.orders), MAX_ORDER_DELAY_SECONDS + 1)


class CapacityTest(unittest.TestCase):
    def test_capacity_is_kept_for_items_that_may_still_arrive(self):
        """Guards against an engine that crashes, ordered to load beyond its capacity.

        A load got no answer, the engine restarted, and the load was carried out by the new start
        after another load had filled it.
        """
        plain = engine("e1", "m0", "m1")
        late = engine("e1", "m0", "m1", unanswered=frozenset({"m2"}))
        for model, view, expected in (("m3", plain, True), ("m3", late, False), ("m2", late, True)):
            plan = Draft(SPEC, {"e1": view}, {}, 5, {}, {}, True)
            victims = find_victims(plan, view, SPEC.models[model], EvictionLevel.SURPLUS)
            self.assertEqual(expected, victims == (), model)


class SilentEngines:
    """Engines with preset answers; ``orders`` are the orders sent."""

    def __init__(self, answer, found):
        self.answer = answer
        self.found = found
        self.orders = []

    async def order(self, entry, order):
        self.orders.append(order)
        return self.answer

    async def report(self, entry):
        return self.found


LOST = Failure(Kind.OUTCOME_UNKNOWN, "no answer")
UNREACHABLE = Failure(Kind.ENDPOINT_UNREACHABLE, "refused")


class OrdererTest(unittest.IsolatedAsyncioTestCase):
    """The lease holder, through a restart of an engine."""

    def start(self, answer=OrderAnswer.ACCEPTED, found=None):
        self.clock = FakeClock()
        self.fleet = RelayFleet("north", self.clock)
        self.engines = SilentEngines(answer, found or report(FIRST, 7, "m0"))
        self.orderer = Orderer(
            make_ctx(self.clock), self.fleet, self.engines, PermanentLease(), BOUNDS
        )
        self.register(entry(FIRST, "m0"))

    def register(self, *entries):
        self.fleet.replace(entries)
        self.orderer._follow_entries()

    def record(self):
        return self.orderer.records["e1"]

    async def read_report(self, found):
        self.engines.found = found
        await self.orderer._read_report(self.record())

    async def send_order(self, sent):
        """Send one order as a plan's step would."""
        record = self.record()
        await self.orderer._send_order(record, sent)

    async def test_the_next_start_is_a_new_engine(self):
        """Guards against a model that a restarted engine never gets again, or refused orders.

        The count of orders and the held models were those of the start before.
        """
        self.start()
        await self.read_report(report(FIRST, 7, "m0"))
        old = self.record()
        self.assertEqual(7, old.seq)
        self.register(entry(SECOND))
        self.assertIsNot(old, self.record())
        self.assertEqual(
            (0, {}, True), (self.record().seq, self.record().models, self.record().unreported)
        )

    async def test_a_report_shows_a_start_before_the_entry_does(self):
        self.start()
        await self.read_report(report(FIRST, 7, "m0"))
        await self.read_report(report(SECOND, 0))
        self.assertEqual(
            (SECOND, 0, {}), (self.record().started_ms, self.record().seq, self.record().models)
        )
        self.register(replace(entry(FIRST, "m0"), slots=9))
        self.assertEqual({}, self.record().models)
        known = self.record()
        self.register(entry(SECOND))
        self.assertIs(known, self.record())

    @params(
        ("lost", LOST, {"m1"}),
        ("never delivered", UNREACHABLE, set()),
        ("refused", OrderAnswer.BUSY, set()),
        ("accepted", OrderAnswer.ACCEPTED, set()),
    )
    def test_an_order_without_an_answer_may_reach_the_next_start(self, name, answer, expected):
        async def play():
            self.start(answer)
            await self.send_order(order(0))
            self.register()
            self.register(entry(SECOND))
            self.assertEqual(expected, self.orderer.unanswered_items(self.record()), name)

        asyncio.run(play())


class DeploymentTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_request_goes_over_a_connection_to_the_start_before(self):
        """Guards against a request without an answer, though its endpoint has restarted.

        The endpoint crashed during a network partition, so its connections were not closed. The
        request was sent over a kept connection.
        """
        async with Deployment() as found:
            host, runner = found.hosts[0], found.pages["p1"]
            status, _, _ = await found.send("/fetch/", "a1")
            self.assertEqual(200, status)
            runner.restart()
            await found.until(lambda: host.fleet.states["p1"].entry.started_ms == runner.started_ms)
            status, _, body = await found.send("/fetch/", "a2")
            self.assertEqual(200, status, body)

    async def test_a_restarted_engine_gets_its_models_again(self):
        """Guards against a model whose requests are refused forever after a restart.

        The engine is back under its id, empty, with its count of orders at zero.
        """
        async with Deployment(engines=(("e1", ("m0",)),)) as found:
            host, runner = found.hosts[0], found.engines["e1"]
            await found.until(lambda: "m1" in runner.models)
            runner.restart()
            await found.until(lambda: host.fleet.states["e1"].entry.started_ms == runner.started_ms)
            self.assertEqual(0, host.fleet.states["e1"].cached_tokens(WISH))
            await found.until(lambda: {"m0", "m1"} <= {*runner.models}, 10.0)
            status, _, _ = await found.send("/recap/", "a1", "m0")
            self.assertEqual(200, status)
            self.assertEqual(["a1"], runner.executed)
