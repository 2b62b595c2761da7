"""No accelerator is ever committed beyond its capacity, whatever the order of events."""

import asyncio
import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from nose2.tools import params

from peridotdock import ledger as ledgers
from peridotdock.clients.endpoint import LoadedItem
from peridotdock.controllers import (
    DRAIN_SECONDS,
    IDLE_CHECK_SECONDS,
    RESEND_SECONDS,
    Controller,
    EngineRecord,
)
from peridotdock.drafts import Move
from peridotdock.errors import Kind, failed
from peridotdock.ledger import Ledger, State
from tests import builders
from tests.fakes import (
    FakeClock,
    FakeEndpoints,
    FakeEngine,
    FakeLease,
    FakeLeaseTable,
    FakePlatform,
    settle,
)

LATENESS_SECONDS = 30.0
CAPACITY = (100, 60)
SIZES = {"m0": 60, "m1": 50, "m2": 40}
HOSTS = st.sampled_from(["h0", "h1"])
PAUSES = st.sampled_from(
    [0.1, DRAIN_SECONDS, RESEND_SECONDS, IDLE_CHECK_SECONDS, LATENESS_SECONDS + 1]
)
MOVES = st.builds(
    lambda action, engine, item, index: Move(action, engine, f"{item}@1", (index,)),
    st.sampled_from(["load", "load", "unload"]),
    st.sampled_from(["e0", "e1"]),
    st.sampled_from(sorted(SIZES)),
    st.sampled_from([0, 0, 1]),
)
ORDER_FATES = st.sampled_from(["now", "now", "lost", "late", "unanswered", "twice"])
COMMIT_FAULTS = st.sampled_from(["ok", "ok", "down", "lost", "late"])


class World:
    """Two engines, a platform, and controllers of two hosts, all in memory."""

    def __init__(self, fencing):
        self.clock = FakeClock()
        self.platform = FakePlatform()
        rows = [builders.engine(name, CAPACITY, fencing=fencing) for name in ("e0", "e1")]
        self.accepted = builders.accepted(
            engines=rows, models=[builders.model(n, size) for n, size in SIZES.items()]
        )
        self.engines = {row["url"]: FakeEngine(CAPACITY, fencing) for row in rows}
        self.endpoints = FakeEndpoints(self.engines, self.clock)
        self.lease_table = FakeLeaseTable()
        self.leases = {}
        self.controllers = {}
        self.loop = asyncio.new_event_loop()
        for name in ("h0", "h1"):
            self.add_host(name)

    def add_host(self, name):
        ctx = builders.make_ctx(self.clock, name, lateness_seconds=LATENESS_SECONDS)
        self.leases[name] = FakeLease()
        self.controllers[name] = Controller(
            ctx, self.platform, self.endpoints, self.leases[name], self.lease_table
        )
        self.incarnation = ctx.incarnation
        return ctx.incarnation

    def engine(self, name):
        return self.engines[self.accepted.engines[name].url]

    def reconcile(self, host, moves=()):
        """Run one round of a host's controller for both engines, with ``moves`` as its plan."""
        controller = self.controllers[host]
        controller.moves = {}
        for move in moves:
            controller.moves.setdefault(move.endpoint, []).append(move)

        async def work():
            controller.read_rows(self.platform.ledger_rows())
            for row in self.accepted.engines.values():
                await controller.reconcile(row, True, self.accepted)
                await settle()

        self.loop.run_until_complete(work())

    def close(self):
        self.loop.run_until_complete(settle())
        self.loop.close()


class MemoryMachine(RuleBasedStateMachine):
    """Interleaves plans, rounds, faults, pauses, late orders and restarts."""

    fencing = True

    @initialize(fates=st.lists(ORDER_FATES, max_size=2))
    def begin(self, fates):
        self.world = World(self.fencing)
        copies = [Move("load", engine, "m0@1", (0,)) for engine in ("e0", "e1")]
        self.world.endpoints.deliveries = fates
        for _ in range(4):
            self.world.reconcile("h0", copies)
            self.world.clock.advance(RESEND_SECONDS)
        self.incarnations = {name: s._ctx.incarnation for name, s in self.world.controllers.items()}

    def teardown(self):
        if hasattr(self, "world"):
            self.world.close()

    @rule(
        host=HOSTS,
        moves=st.lists(MOVES, min_size=1, max_size=3),
        pauses=st.lists(PAUSES, min_size=1, max_size=4),
    )
    def work(self, host, moves, pauses):
        """A host follows a plan for some rounds."""
        self.plan(host, moves, pauses)

    def plan(self, host, moves, pauses):
        for seconds in pauses:
            self.world.reconcile(host, moves)
            self.world.clock.advance(seconds)
            self.every_engine_fits()

    @rule(seconds=PAUSES)
    def wait(self, seconds):
        self.world.clock.advance(seconds)

    @rule(fates=st.lists(ORDER_FATES, min_size=1, max_size=4))
    def inject_order_faults(self, fates):
        self.world.endpoints.deliveries = fates

    @rule(commits=st.lists(COMMIT_FAULTS, min_size=1, max_size=4))
    def inject_platform_faults(self, commits):
        self.world.platform.faults = commits

    @rule()
    def apply_late_writes(self):
        self.world.platform.apply_delayed()

    @rule(index=st.integers(0, 5))
    def deliver_late_order(self, index):
        if self.world.endpoints.undelivered:
            self.world.endpoints.deliver(index, LATENESS_SECONDS)

    @rule(host=HOSTS, moves=st.lists(MOVES, max_size=2), pauses=st.lists(PAUSES, max_size=3))
    def hand_over(self, host, moves, pauses):
        """A host is paused, the other takes over and follows a plan; the first resumes later."""
        other = "h1" if host == "h0" else "h0"
        self.world.lease_table.lapsed.add(self.incarnations[host])
        self.world.lease_table.lapsed.discard(self.incarnations[other])
        self.plan(other, moves, [0.1, *pauses])

    @rule(engine=st.sampled_from(["e0", "e1"]))
    def restart_engine(self, engine):
        url = self.world.accepted.engines[engine].url
        self.world.engine(engine).restart()
        # A restart closes the engine's connections, so orders in flight to it are lost.
        flying = self.world.endpoints.undelivered
        self.world.endpoints.undelivered = [row for row in flying if row[1] != url]

    @invariant()
    def every_engine_fits(self):
        if hasattr(self, "world"):
            for engine in self.world.engines.values():
                assert engine.fits(), (engine.used(), engine.capacity)


class MemoryMachineIgnoring(MemoryMachine):
    fencing = False


class RestoringMachine(MemoryMachine):
    """Beside all that, the platform comes back from an older copy of its rows."""

    copy = None

    @rule()
    def copy_rows(self):
        self.copy = self.world.platform.copy()

    @rule()
    def restore(self):
        if self.copy is not None:
            self.world.platform.restore(self.copy)

    @rule(host=HOSTS, moves=st.lists(MOVES, max_size=2), pauses=st.lists(PAUSES, max_size=3))
    def hand_over(self, host, moves, pauses):
        """A host's lease ends before the other takes over."""
        other = "h1" if host == "h0" else "h0"
        self.world.leases[host].is_valid, self.world.leases[other].is_valid = False, True
        super().hand_over(host, moves, pauses)


class RestoringMachineIgnoring(RestoringMachine):
    fencing = False


QUICK = settings(
    max_examples=300,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)


class NeverBeyondCapacity(unittest.TestCase):
    def test_any_interleaving_with_engines_that_fence(self):
        run_state_machine_as_test(MemoryMachine, settings=QUICK)

    def test_any_interleaving_with_engines_that_ignore_numbers(self):
        run_state_machine_as_test(MemoryMachineIgnoring, settings=QUICK)

    def test_any_interleaving_with_a_restored_platform(self):
        run_state_machine_as_test(RestoringMachine, settings=QUICK)

    def test_any_interleaving_with_a_restored_platform_and_engines_that_ignore_numbers(self):
        run_state_machine_as_test(RestoringMachineIgnoring, settings=QUICK)


class RestoredPlatform(unittest.TestCase):
    """Bytes stay reserved for a load whose reservation the platform has lost."""

    def check(self, host, fencing, lose_row=False):
        """Lose the reservation of a load in transit; let ``host`` go on, then deliver the load.

        The whole row of the ledger is lost if ``lose_row`` is set.
        """
        world = World(fencing)
        self.addCleanup(world.close)
        empty = world.platform.copy()
        world.reconcile("h0")
        copy = empty if lose_row else world.platform.copy()
        world.endpoints.deliveries = ["late"]
        world.reconcile("h0", [Move("load", "e0", "m0@1", (0,))])
        world.platform.restore(copy)
        if host != "h0":
            world.leases["h0"].is_valid = False
            world.lease_table.lapsed.add(world.controllers["h0"]._ctx.incarnation)
        for _ in range(2):
            world.reconcile(host, [Move("load", "e0", "m2@1", (1,))])
        for _ in range(2):
            world.reconcile(host, [Move("load", "e0", "m1@1", (0,))])
        while world.endpoints.undelivered:
            world.endpoints.deliver(0, LATENESS_SECONDS)
        self.assertTrue(world.engine("e0").fits(), world.engine("e0").items)
        world.clock.advance(LATENESS_SECONDS)
        for _ in range(3):
            world.reconcile(host, [Move("load", "e0", "m2@1", (1,))])
            world.clock.advance(RESEND_SECONDS)
        self.assertIn("m2@1", world.engine("e0").items)

    def test_a_ledger_is_written_again_without_work(self):
        """Guards against a takeover by an older ledger long after the platform was restored."""
        world = World(fencing=True)
        self.addCleanup(world.close)
        world.reconcile("h0")
        copy = world.platform.copy()
        world.reconcile("h0", [Move("load", "e0", "m0@1", (0,))])
        for _ in range(2):
            world.reconcile("h0")
        world.platform.restore(copy)
        world.reconcile("h0")
        stored = world.platform.ledger_rows()["e0"].value
        self.assertEqual(["m0@1"], [row["item"] for row in stored["reservations"]])

    def test_its_controller_goes_on(self):
        self.check("h0", fencing=False)

    def test_another_host_takes_over(self):
        self.check("h1", fencing=False)

    def test_another_host_takes_over_an_engine_that_fences(self):
        self.check("h1", fencing=True)

    @params(("its controller", "h0", False), ("another host", "h1", False), ("fences", "h1", True))
    def test_a_ledger_that_is_missing(self, name, host, fencing):
        """Guards against an accelerator beyond its capacity: the very first row was lost."""
        self.check(host, fencing, lose_row=True)

    def test_a_ledger_that_was_written_across_a_restore_is_judged_again(self):
        """Guards against an accelerator beyond its capacity: the takeover met the new era."""
        world = World(fencing=False)
        self.addCleanup(world.close)
        empty, commit = world.platform.copy(), world.platform.commit

        async def restore_and_commit(tx):
            world.platform.commit = commit
            world.platform.restore(empty)
            return await commit(tx)

        world.platform.commit = restore_and_commit
        world.reconcile("h1")
        self.assertNotIn("e0", world.controllers["h1"].records)
        world.reconcile("h1")
        record = world.controllers["h1"].records["e0"]
        self.assertEqual(world.clock.monotonic() + LATENESS_SECONDS, record.loads_from)

    def test_a_missing_ledger_is_not_taken_over_while_its_controller_may_act(self):
        """Guards against two controllers of one engine: one has written its very first row."""
        world = World(fencing=False)
        self.addCleanup(world.close)
        empty = world.platform.copy()
        world.reconcile("h0")
        world.platform.restore(empty)
        for after_lost, holders in ((-1.0, []), (0.01, ["e0", "e1"])):
            world.lease_table.after_lost = after_lost
            world.reconcile("h1")
            self.assertEqual(holders, sorted(world.controllers["h1"].records))


class LateOrders(unittest.TestCase):
    def setUp(self):
        self.world = World(fencing=False)
        self.addCleanup(self.world.close)

    def load(self, item, engine="e0", index=0):
        self.world.reconcile("h0", [Move("load", engine, item, (index,))])
        self.world.reconcile("h0")

    def test_bytes_wait_for_a_late_load_on_an_engine_that_ignores_numbers(self):
        """
        A load order is delayed and sent again; the item is loaded, then unloaded. Another item
        needs the memory. Then the first load order arrives. If the bytes were freed at once, the
        accelerator would hold both items.
        """
        world = self.world
        world.reconcile("h0")
        world.endpoints.deliveries = ["late"]
        self.load("m0@1")
        world.clock.advance(RESEND_SECONDS)
        self.load("m0@1")
        self.load("m0@1", "e1")
        world.reconcile("h0", [Move("unload", "e0", "m0@1")])
        world.clock.advance(DRAIN_SECONDS)
        world.reconcile("h0")
        world.reconcile("h0")
        self.assertNotIn("m0@1", world.engine("e0").items)
        self.load("m1@1")
        self.assertNotIn("m1@1", world.engine("e0").items)
        world.endpoints.deliver(0, LATENESS_SECONDS)
        self.assertTrue(world.engine("e0").fits())

    def test_a_revoked_load_that_has_not_arrived_keeps_its_bytes_until_it_is_fenced(self):
        """
        A load order is in flight when the plan changes. The engine's list does not show the item,
        but the load can still arrive until the engine has answered an order with a newer number.
        If the bytes were freed before that, the late load and the next item would both be loaded.
        """
        world = World(fencing=True)
        self.addCleanup(world.close)
        self.world = world
        world.reconcile("h0")
        self.load("m0@1", "e1")
        world.endpoints.deliveries = ["late"]
        world.reconcile("h0", [Move("load", "e0", "m0@1", (0,))])
        for _ in range(3):
            world.reconcile("h0", [Move("unload", "e0", "m0@1")])
        world.endpoints.deliveries = ["late"]
        world.reconcile("h0", [Move("load", "e0", "m1@1", (0,))])
        while world.endpoints.undelivered:
            world.endpoints.deliver(0, LATENESS_SECONDS)
        self.assertTrue(world.engine("e0").fits(), world.engine("e0").items)

    def test_bytes_are_freed_once_the_lateness_bound_has_passed(self):
        world = self.world
        world.reconcile("h0")
        self.load("m0@1")
        self.load("m0@1", "e1")
        world.reconcile("h0", [Move("unload", "e0", "m0@1")])
        world.clock.advance(DRAIN_SECONDS)
        for seconds in (0, 0, LATENESS_SECONDS, 0):
            world.clock.advance(seconds)
            world.reconcile("h0")
        self.load("m1@1")
        self.assertIn("m1@1", world.engine("e0").items)

    def test_an_item_nobody_ordered_is_charged(self):
        world = self.world
        world.engine("e0").items["stray@1"] = LoadedItem([0], 70, True)
        world.reconcile("h0")
        self.load("m1@1")
        self.assertNotIn("m1@1", world.engine("e0").items)

    def test_an_engine_that_restarts_empty_gets_its_items_back_in_place(self):
        world = self.world
        world.reconcile("h0")
        self.load("m0@1")
        world.engine("e0").restart()
        world.clock.advance(IDLE_CHECK_SECONDS)
        for _ in range(3):
            world.reconcile("h0")
        self.assertIn("m0@1", world.engine("e0").items)

    def test_nothing_is_sent_while_the_platform_is_down(self):
        world = self.world
        world.reconcile("h0")
        world.platform.down = True
        self.load("m0@1")
        self.assertEqual(world.engine("e0").items, {})

    def test_a_lost_answer_of_the_reservation_does_not_reserve_twice(self):
        """
        The row is written but the answer is lost. The retry conflicts, and the row read back shows
        that the first write was this controller's: the load goes on, once.
        """
        world = self.world
        world.reconcile("h0")
        world.platform.faults = ["lost"]
        self.load("m0@1")
        self.assertEqual(world.engine("e0").used(), [60, 0])
        row = world.platform.ledger_rows()["e0"]
        self.assertEqual(len(ledgers.read_ledger(row.value).reservations), 1)

    def test_a_resumed_controller_changes_nothing_under_an_old_term(self):
        """
        A host is paused; its lease lapses, another host becomes controller and fills the engine.
        The paused host resumes and still considers its lease valid. Its write must fail.
        """
        world = self.world
        world.reconcile("h0")
        world.lease_table.lapsed.add(world.controllers["h0"]._ctx.incarnation)
        world.reconcile("h1")
        world.reconcile("h1", [Move("load", "e0", "m0@1", (0,))])
        world.reconcile("h0", [Move("load", "e0", "m1@1", (0,))])
        self.assertEqual(set(world.engine("e0").items), {"m0@1"})
        self.assertNotIn("e0", world.controllers["h0"].records)


class LastCopy(unittest.TestCase):
    def setUp(self):
        self.world = World(fencing=True)
        self.addCleanup(self.world.close)

    def run_rounds(self, host, moves=(), count=4):
        self.world.reconcile(host, moves)
        for _ in range(count):
            self.world.clock.advance(DRAIN_SECONDS)
            self.world.reconcile(host)

    def test_the_only_copy_is_not_unloaded_whatever_the_plan_says(self):
        self.world.reconcile("h0")
        self.run_rounds("h0", [Move("load", "e0", "m0@1", (0,))])
        self.run_rounds("h0", [Move("unload", "e0", "m0@1")])
        self.assertIn("m0@1", self.world.engine("e0").items)

    def test_two_controllers_do_not_unload_the_last_two_copies(self):
        """
        Two copies are on two engines with different controllers. The plans of two racing planners
        unload one each, and each controller has seen the other's copy. One copy must stay.
        """
        world = self.world
        world.reconcile("h0")
        self.run_rounds("h0", [Move("load", e, "m0@1", (0,)) for e in ("e0", "e1")])
        rows = world.platform.ledger_rows()
        record = world.controllers["h0"].records.pop("e1")
        ledger = ledgers.take_over(record.ledger, world.controllers["h1"]._ctx.incarnation)
        key = ledgers.row_key("e1")
        world.platform.rows[key] = type(rows["e1"])(ledger.to_value(), rows["e1"].version)
        other = world.controllers["h1"]
        other.records["e1"] = EngineRecord(record.endpoint, ledger, rows["e1"].version)

        async def both():
            for host, engine in (("h0", "e0"), ("h1", "e1")):
                controller = world.controllers[host]
                controller.read_rows(rows)
                controller.moves = {engine: [Move("unload", engine, "m0@1")]}
                await controller.reconcile(world.accepted.engines[engine], True, world.accepted)

        world.loop.run_until_complete(both())
        for _ in range(4):
            world.clock.advance(DRAIN_SECONDS)
            world.reconcile("h0")
            world.reconcile("h1")
        held = ["m0@1" in world.engine(name).items for name in ("e0", "e1")]
        self.assertIn(True, held)


class LedgerTables(unittest.TestCase):
    @params(
        ("fits", "m0@1", 60, (0,), None),
        ("too large", "m0@1", 101, (0,), Kind.NO_ROOM),
        ("no such accelerator", "m0@1", 10, (7,), Kind.NO_ROOM),
        ("no accelerator", "m0@1", 10, (), Kind.NO_ROOM),
        ("one accelerator twice", "m0@1", 10, (0, 0), Kind.NO_ROOM),
        ("held already", "there@1", 10, (0,), Kind.CONFLICT),
        ("beside another", "m0@1", 61, (1,), Kind.NO_ROOM),
    )
    def test_reserve(self, _, item, size, accelerators, expected):
        ledger = ledgers.reserve(Ledger("e0"), (100, 60), "there@1", 40, (0,))
        outcome = ledgers.reserve(ledger, (100, 60), item, size, accelerators)
        self.assertEqual(outcome.kind if failed(outcome) else None, expected)

    @params(*ledgers.TRANSITIONS)
    def test_no_single_report_frees_bytes(self, state, presence):
        row = ledgers.Reservation("m0@1", state, 40, (0,), 1)
        ledger = Ledger("e0", reservations=(row,), order=1)
        held = {ledgers.Presence.READY: True, ledgers.Presence.PARTIAL: False}
        items = {"m0@1": LoadedItem([0], 40, held[presence])} if presence in held else {}
        report = FakeEngine((100,), True).report()
        report.items.update(items)
        after = ledgers.observe(ledger, report)
        self.assertEqual(after.used(1), [40])

    def test_only_quarantine_is_released(self):
        report = FakeEngine((100,), True).report()
        for state in State:
            row = ledgers.Reservation("m0@1", state, 40, (0,), 1)
            outcome = ledgers.release(Ledger("e0", reservations=(row,)), "m0@1", report)
            self.assertEqual(failed(outcome), state is not State.QUARANTINE)
