"""Unit tests of routing, admission, caller limits, keys, retries, placement and addresses."""

import itertools
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from peridotdock.clients.endpoint import EngineLoad
from peridotdock.columns import pack, unpack
from peridotdock.discovery import order_addresses
from peridotdock.drafts import Copy, EngineView, make_draft
from peridotdock.errors import Failure, Kind, failed
from peridotdock.fleet import MAX_SENT, EndpointState
from peridotdock.keys import KEPT_PERIODS, PERIOD_SECONDS, KeyTable, Owner, Record, read_owner
from peridotdock.ledger import State
from peridotdock.limits import LOAN_SECONDS, CallerLimits
from peridotdock.membership import Member
from peridotdock.placement import find_floor_errors, make_plan
from peridotdock.prefix import BLOCK_CHARS, hash_blocks
from peridotdock.requests import Reply, RoutingProfile
from peridotdock.retries import RetryBudget
from peridotdock.routing import admit, choose, predict
from peridotdock.scaling import queue_cost, spread_load
from peridotdock.schema.messages import HostFact
from tests import builders
from tests.fakes import FakeClock

NOW = 1000.0
LIMITED = settings(max_examples=150, deadline=None, derandomize=True)


def state(name, running=0, waiting=0, prefill=0, **more):
    found = EndpointState(name, "", more.pop("domain", "north"))
    found.update_load(EngineLoad(running, waiting, prefill, 8, 8000.0, 10000), more.pop("at", NOW))
    for key, value in more.items():
        setattr(found, key, value)
    return found


def make_profile(tokens=800, blocks=(), priority=5, first_token=0.49):
    return RoutingProfile("m0@1", tokens, blocks, priority, first_token, "north")


class Routing(unittest.TestCase):
    def pick(self, *states, **more):
        return choose(states, make_profile(**more), NOW, random.Random(1))

    @params(
        ("idle before busy", state("a"), state("b", running=8, waiting=6)),
        ("little prefill before much", state("a"), state("b", prefill=8000)),
        ("up before down", state("a", running=8, waiting=9), state("b", down=True)),
        ("staying before leaving", state("a", running=8, waiting=9), state("b", leaving=True)),
        ("sound before ejected", state("a", running=8), state("b", excluded_until=NOW + 1)),
        ("fresh before stale", state("a"), state("b", at=NOW - 60)),
    )
    def test_choice_by_load_and_health(self, _, better, worse):
        for order in ((better, worse), (worse, better)):
            self.assertEqual(self.pick(*order).state.name, "a")

    def test_own_sends_count_before_any_report_shows_them(self):
        """
        A burst arrives between two load reports. With the report alone, a host would send all of
        it to the endpoint that was idle at the report.
        """
        states = [state("a"), state("b")]
        counts = {"a": 0, "b": 0}
        for number in range(20):
            found = choose(states, make_profile(), NOW, random.Random(number))
            found.state.note_sent(f"r{number}", NOW, 800)
            counts[found.state.name] += 1
        self.assertLessEqual(abs(counts["a"] - counts["b"]), 2)

    def test_work_done_since_the_report_is_subtracted(self):
        busy = state("a", prefill=4000, at=NOW - 0.5)
        self.assertLess(
            predict(busy, make_profile(), NOW, frozenset({"correction"})).predicted_seconds, 0.12
        )

    def test_a_cached_prefix_attracts_requests_until_hints_fail(self):
        text = "x" * BLOCK_CHARS * 8
        blocks = hash_blocks("m0@1", text)
        warm, cold = state("a"), state("b")
        warm.add_cached_blocks(blocks, NOW)
        self.assertEqual(self.pick(cold, warm, tokens=1024, blocks=blocks).state.name, "a")
        for _ in range(60):
            warm.learn_from_hits(1024, 0)
        self.assertEqual(warm.count_cached_blocks(blocks, NOW), 0)

    def test_cache_hints_expire_after_misses(self):
        """An engine reports no evictions: after a few misses, old cache hints no longer count."""
        blocks = hash_blocks("m0@1", "x" * BLOCK_CHARS * 4)
        warm = state("a")
        warm.add_cached_blocks(blocks, NOW - 20)
        self.assertEqual(warm.count_cached_blocks(blocks, NOW), 4)
        for _ in range(3):
            warm.learn_from_hits(500, 0)
        self.assertEqual(warm.count_cached_blocks(blocks, NOW), 0)

    def test_records_of_an_endpoint_without_reports_are_bounded(self):
        """A plain service sends no load reports, so no report ever clears the recorded sends."""
        service = EndpointState("s", "", "north")
        for number in range(MAX_SENT * 2):
            service.note_sent(f"r{number}", NOW, 3)
            service.note_finished(f"r{number}", NOW, True)
        self.assertEqual(len(service._sent_since_report), MAX_SENT)
        self.assertEqual(len(service._ended_since_report), MAX_SENT)
        self.assertEqual((service.tokens_since_report, service.prefill_tokens), (MAX_SENT * 3, 0))

    def test_all_ejected_is_not_an_outage(self):
        found = self.pick(state("a", excluded_until=NOW + 9))
        self.assertFalse(failed(found))

    def test_no_endpoint_left(self):
        found = self.pick(state("a", down=True), state("b", leaving=True))
        self.assertEqual(found.kind, Kind.NO_ENDPOINT)
        self.assertGreater(found.retry_after, 0)

    @LIMITED
    @given(
        st.lists(
            st.tuples(st.booleans(), st.booleans(), st.integers(0, 30), st.integers(0, 9000)),
            min_size=1,
            max_size=40,
        ),
        st.integers(0, 99),
    )
    def test_never_one_that_is_down_or_leaving(self, rows, seed):
        states = [
            state(f"e{n}", running=load, prefill=fill, down=down, leaving=leaving)
            for n, (down, leaving, load, fill) in enumerate(rows)
        ]
        found = choose(states, make_profile(), NOW, random.Random(seed))
        if failed(found):
            self.assertTrue(all(s.down or s.leaving for s in states))
        else:
            self.assertFalse(found.state.down or found.state.leaving)


class Admission(unittest.TestCase):
    def decide(self, predicted_prefill, priority=5, tokens=80):
        found = predict(
            state("a", prefill=predicted_prefill), make_profile(tokens), NOW, frozenset()
        )
        return admit(found, make_profile(tokens, priority=priority))

    @params((0, None), (1000, None), (8000, Kind.OVERLOADED))
    def test_by_predicted_wait(self, prefill, expected):
        refusal = self.decide(prefill)
        self.assertEqual(refusal and refusal.kind, expected)

    def test_low_classes_are_shed_first(self):
        outcomes = [self.decide(3000, priority) is None for priority in range(10)]
        self.assertEqual(outcomes, sorted(outcomes))
        self.assertIn(False, outcomes)
        self.assertIn(True, outcomes)

    def test_the_retry_delay_grows_with_the_queue(self):
        waits = [self.decide(prefill).retry_after for prefill in (8000, 16000, 32000)]
        self.assertEqual(waits, sorted(waits))
        self.assertGreater(waits[2], waits[0] + 1)

    def test_a_long_prompt_is_not_refused_for_its_own_length(self):
        found = predict(state("a"), make_profile(40_000), NOW, frozenset())
        self.assertIsNone(admit(found, make_profile(40_000)))


class Limits(unittest.TestCase):
    """The parts of a caller's limit that hosts use never add up to more than the limit."""

    @LIMITED
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["offer", "beat", "hear", "lend", "borrow", "wait"]),
                st.integers(0, 2),
                st.integers(0, 2),
                st.floats(0.1, LOAN_SECONDS),
            ),
            max_size=60,
        )
    )
    def test_in_any_order_of_messages(self, steps):
        world = LimitWorld(3)
        for what, one, other, seconds in steps:
            getattr(world, what)(one, other, seconds)
            total = sum(limits.allowed("c", 30.0, world.now) for limits in world.limits)
            self.assertLessEqual(total, 30.0 + 1e-6, (what, one, other))

    def test_a_host_that_sees_all_the_traffic_may_use_most_of_the_limit(self):
        world = LimitWorld(3)
        for _ in range(200):
            world.offer(0, 0, 0)
        world.beat(0, 0, 0)
        for lender in (1, 2):
            world.hear(lender, 0, 0)
            world.lend(lender, 0, 0)
            world.borrow(0, lender, 0)
        self.assertGreater(world.limits[0].allowed("c", 30.0, world.now), 20.0)

    def test_a_loan_that_arrives_late_is_not_used(self):
        """
        Host a lends to host b, and the message is delayed for longer than the loan lasts. By then
        a uses its share again. If b counted the loan from its receipt, both would use the share.
        """
        world = LimitWorld(2)
        for _ in range(10):
            world.offer(0, 0, 0)
        world.beat(0, 0, 0)
        world.hear(1, 0, 0)
        world.lend(1, 0, 0)
        world.now += LOAN_SECONDS + 1
        world.borrow(0, 1, 0)
        world.lend(1, 0, 0)
        total = sum(limits.allowed("c", 30.0, world.now) for limits in world.limits)
        self.assertLessEqual(total, 30.0 + 1e-6)

    def test_bucket(self):
        limits = CallerLimits("h0", lambda beat: None)
        taken = sum(limits.take("c", 10.0, NOW) is None for _ in range(50))
        self.assertEqual(taken, 10)
        refusal = limits.take("c", 10.0, NOW)
        self.assertEqual(refusal.kind, Kind.CALLER_LIMIT)
        self.assertIsNone(limits.take("c", 10.0, NOW + refusal.retry_after + 0.001))


class LimitWorld:
    def __init__(self, count):
        self.now = NOW
        self.beats = [{} for _ in range(count)]
        self.limits = [CallerLimits(f"h{n}", self.beats[n].get) for n in range(count)]
        self.heard = [{} for _ in range(count)]
        self.loans = [[] for _ in range(count)]
        for limits in self.limits:
            limits.hosts = count

    def offer(self, one, _, __):
        for _ in range(20):
            self.limits[one].usage.add("c", self.now)

    def beat(self, one, _, __):
        self.beats[one][len(self.beats[one])] = self.now

    def hear(self, one, other, _):
        if one != other and self.beats[other]:
            usage = self.limits[other].usage.rates(self.now)
            self.heard[one][f"h{other}"] = (len(self.beats[other]) - 1, self.now, usage)

    def lend(self, one, _, __):
        self.loans[one] = self.limits[one].lend({"c": 30.0}, self.heard[one], self.now)

    def borrow(self, one, other, _):
        if one != other:
            self.limits[one].borrow(f"h{other}", self.loans[other])

    def wait(self, _, __, seconds):
        self.now += seconds


class Keys(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.table = KeyTable("h0-" + "a" * 16, self.clock, 100)

    def begin(self, key, digest=b"m", caller="c", owner=None):
        return self.table.begin(caller, key, owner or read_owner(key), digest)

    def key(self, rest="12345678"):
        return self.table.prefix() + rest

    def test_the_second_finds_the_first_in_work(self):
        key = self.key()
        self.assertIsInstance(self.begin(key), Record)
        self.assertEqual(self.begin(key).kind, Kind.KEY_IN_PROGRESS)

    def test_callers_do_not_share_keys(self):
        key = self.key()
        self.assertIsInstance(self.begin(key), Record)
        self.assertIsInstance(self.begin(key, caller="d"), Record)

    @params(
        ("answered", Reply(200, (), b"done"), Reply),
        ("refused by the service", Reply(409, (), b"no"), Reply),
        ("lost", Failure(Kind.ENDPOINT_LOST), Failure),
        ("too long to keep", Reply(200, (), b"x" * 300_000), Failure),
        ("not run", Failure(Kind.OVERLOADED), Record),
    )
    def test_what_a_retry_gets(self, _, outcome, expected):
        key = self.key()
        self.table.end(self.begin(key), outcome)
        again = self.begin(key)
        self.assertIsInstance(again, expected)
        if expected is Failure:
            self.assertTrue(again.may_have_run)

    def test_a_full_table_refuses_and_forgets_nothing(self):
        keys = [self.key(f"number-{n:04}") for n in range(101)]
        outcomes = [self.begin(key) for key in keys]
        self.assertEqual(outcomes[-1].kind, Kind.KEYS_FULL)
        self.assertEqual(self.begin(keys[0]).kind, Kind.KEY_IN_PROGRESS)

    @LIMITED
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("run"), st.integers(0, 5)),
                st.tuples(st.just("issue"), st.integers(0, 5)),
                st.tuples(st.just("wait"), st.floats(1, PERIOD_SECONDS * 1.5)),
            ),
            max_size=40,
        )
    )
    def test_no_key_ever_runs_twice_however_long_after(self, steps):
        """Compares the table with a set of all keys that ever ran."""
        clock = FakeClock()
        table = KeyTable("h0-" + "b" * 16, clock, 1000)
        keys, ran = {}, set()
        for what, value in steps:
            if what == "wait":
                clock.advance(value)
            elif what == "issue":
                keys[value] = table.prefix() + f"key-number-{value}-{len(ran)}"
            elif value in keys:
                key = keys[value]
                record = table.begin("c", key, read_owner(key), b"m")
                if isinstance(record, Record):
                    self.assertNotIn(key, ran)
                    ran.add(key)
                    table.end(record, Reply(200, (), b"x"))

    @params(
        ("made up", "h0-" + "a" * 16 + ".7.12345678", Kind.BAD_REQUEST),
        ("old", "h0-" + "a" * 16 + ".0.12345678", Kind.KEY_EXPIRED),
    )
    def test_invalid_prefixes(self, _, key, expected):
        self.clock.advance(PERIOD_SECONDS * KEPT_PERIODS + 1)
        self.assertEqual(self.begin(key).kind, expected)

    @params("", "plain", "h0.0.12345678", "h0-" + "a" * 16 + ".x.12345678", "a" * 256)
    def test_keys_without_a_prefix(self, key):
        self.assertIsNone(read_owner(key))

    def test_an_expired_claim_is_refused(self):
        self.clock.advance(PERIOD_SECONDS * KEPT_PERIODS + 1)
        found = self.begin("plain", owner=Owner("h0-" + "a" * 16, 0))
        self.assertEqual(found.kind, Kind.KEY_EXPIRED)


class Retries(unittest.TestCase):
    def test_never_more_than_the_share(self):
        budget = RetryBudget(0.1, 10.0)
        retries = 0
        for _ in range(1000):
            budget.deposit()
            while budget.take():
                retries += 1
        self.assertLessEqual(retries, 1000 * 0.1 + 10)
        self.assertGreater(retries, 90)


class Placement(unittest.TestCase):
    def follow(self, accepted, views, demand=(), rounds=60, allow_additions=True):
        """Apply plans immediately until no moves are left; return the views and all moves."""
        moves = []
        by_name = {view.name: view for view in views}
        for _ in range(rounds):
            plan = make_plan(accepted, by_name.values(), dict(demand), allow_additions)
            if not plan.moves:
                break
            for move in plan.moves:
                self.check_move(accepted, by_name, move)
                by_name[move.endpoint] = self.carry_out(accepted, by_name[move.endpoint], move)
                moves.append(move)
            for view in by_name.values():
                used = [0] * len(view.capacity)
                for copy in view.copies:
                    for place in copy.accelerators:
                        used[place] += copy.bytes
                self.assertTrue(all(u <= c for u, c in zip(used, view.capacity, strict=True)))
        return by_name, moves

    def check_move(self, accepted, views, move):
        if move.action == "unload" and move.item in accepted.by_key:
            others = [
                v
                for v in views.values()
                if v.alive
                and v.name != move.endpoint
                and any(c.item == move.item for c in v.copies)
            ]
            self.assertGreaterEqual(len(others), accepted.by_key[move.item].copies)

    def carry_out(self, accepted, view, move):
        copies = tuple(c for c in view.copies if c.item != move.item)
        if move.action == "load":
            size = accepted.by_key[move.item].bytes
            copies += (Copy(move.item, State.HELD, size, move.places),)
        return EngineView(view.name, view.domain, view.capacity, view.alive, copies)

    def views(self, accepted, **down):
        return [
            EngineView(n, e.domain, tuple(a.bytes for a in e.accelerators), n not in down)
            for n, e in accepted.engines.items()
        ]

    def sample(self, engines=4, models=6, adapters=8, **more):
        return builders.accepted(
            engines=[builders.engine(f"e{n}", (100, 100), f"d{n}") for n in range(engines)],
            models=[builders.model(f"m{n}", 30) for n in range(models)],
            adapters=[builders.adapter(f"a{n}", f"m{n % models}") for n in range(adapters)],
            **more,
        )

    def test_the_floor_is_reached(self):
        accepted = self.sample()
        views, moves = self.follow(accepted, self.views(accepted))
        held = {copy.item for view in views.values() for copy in view.copies}
        self.assertEqual(held, set(accepted.by_key))
        self.assertEqual(len(moves), len(accepted.by_key))

    def test_two_copies_stand_in_two_domains(self):
        accepted = builders.accepted(
            engines=[builders.engine(f"e{n}", domain=f"d{n // 2}") for n in range(4)],
            models=[builders.model("m0", 30, copies=2)],
        )
        views, _ = self.follow(accepted, self.views(accepted))
        domains = {v.domain for v in views.values() if v.copies}
        self.assertEqual(len(domains), 2)

    def test_a_lost_copy_is_first_in_the_queue(self):
        accepted = self.sample()
        views, _ = self.follow(accepted, self.views(accepted))
        lost = next(v for v in views.values() if v.copies)
        views[lost.name] = EngineView(lost.name, lost.domain, lost.capacity, False, lost.copies)
        hot = {key: 5.0 for key in accepted.by_key}
        plan = make_plan(accepted, views.values(), hot)
        self.assertTrue(plan.unmet)
        self.assertTrue(all(move.reason == "floor" for move in plan.moves))

    def test_a_hot_model_gets_copies_until_the_plan_is_stable(self):
        accepted = self.sample()
        views, _ = self.follow(accepted, self.views(accepted))
        demand = {"m0@1": 2.5}
        views, moves = self.follow(accepted, views.values(), demand.items())
        copies = sum(c.item == "m0@1" for v in views.values() for c in v.copies)
        self.assertGreater(copies, 2)
        self.assertEqual(make_plan(accepted, views.values(), demand).moves, ())
        self.assertLessEqual(len(moves), 4)

    def test_idle_copies_are_left_where_they_are(self):
        accepted = self.sample()
        views, _ = self.follow(accepted, self.views(accepted))
        views, _ = self.follow(accepted, views.values(), {"m0@1": 2.5}.items())
        self.assertEqual(make_plan(accepted, views.values(), {}).moves, ())

    @params((0.5, True), (50.0, False))
    def test_the_price_of_a_move_decides(self, price, moved):
        deployment = {"name": "test", "move_price": price, "parallel_loads": 4}
        accepted = self.sample(deployment=deployment)
        views, _ = self.follow(accepted, self.views(accepted))
        _, moves = self.follow(accepted, views.values(), {"m0@1": 0.85}.items())
        self.assertEqual(bool(moves), moved)

    def test_a_hot_adapter_is_loaded_with_its_base_model(self):
        accepted = self.sample()
        views, _ = self.follow(accepted, self.views(accepted))
        views, _ = self.follow(accepted, views.values(), {"a0@1~m0@1": 3.0}.items())
        holders = [v for v in views.values() if any(c.item == "a0@1~m0@1" for c in v.copies)]
        self.assertGreater(len(holders), 1)
        for view in holders:
            self.assertIn("m0@1", [copy.item for copy in view.copies])

    def test_no_more_loads_at_once_than_the_weight_store_carries(self):
        narrow = {"name": "test", "move_price": 0.5, "parallel_loads": 2}
        accepted = self.sample(deployment=narrow)
        plan = make_plan(accepted, self.views(accepted), {})
        self.assertEqual(len(plan.moves), 2)

    @LIMITED
    @given(
        st.lists(st.integers(5, 60), min_size=1, max_size=5),
        st.lists(st.floats(0, 3), min_size=5, max_size=5),
        st.integers(2, 3),
    )
    def test_against_naive_and_the_best_of_all(self, sizes, rates, engines):
        """The cost is never above that of one copy each, nor above 4 times the optimum plus 60."""
        document = {
            "engines": [builders.engine(f"e{n}", (100,)) for n in range(engines)],
            "models": [builders.model(f"m{n}", size) for n, size in enumerate(sizes)],
            "deployment": {"name": "t", "move_price": 0.0, "parallel_loads": 9},
        }
        accepted = builders.accepted(**document)
        if find_floor_errors(accepted):
            return
        demand = {f"m{n}@1": rate for n, rate in enumerate(rates[: len(sizes)])}
        start = self.views(accepted)
        naive, _ = self.follow(accepted, start, allow_additions=False)
        ours, _ = self.follow(accepted, naive.values(), demand.items())
        cost = self.cost(accepted, ours.values(), demand)
        self.assertLessEqual(cost, self.cost(accepted, naive.values(), demand) + 1e-6)
        best = self.best_cost(accepted, sizes, demand, engines)
        self.assertLessEqual(cost, best * 4.0 + 60.0)

    def cost(self, accepted, views, demand):
        draft = make_draft(accepted, views)
        return sum(queue_cost(load) for load in spread_load(draft, demand).values())

    def best_cost(self, accepted, sizes, demand, engines):
        sets = [
            s
            for s in range(2 ** len(sizes))
            if sum(size for n, size in enumerate(sizes) if s >> n & 1) <= 100
        ]
        best = float("inf")
        for chosen in itertools.combinations_with_replacement(sets, engines):
            if all(any(s >> n & 1 for s in chosen) for n in range(len(sizes))):
                views = [
                    EngineView(
                        f"e{e}",
                        "d",
                        (100,),
                        True,
                        tuple(
                            Copy(f"m{n}@1", State.HELD, size, (0,))
                            for n, size in enumerate(sizes)
                            if s >> n & 1
                        ),
                    )
                    for e, s in enumerate(chosen)
                ]
                best = min(best, self.cost(accepted, views, demand))
        return best


class Addresses(unittest.TestCase):
    def test_own_domain_first_then_others_in_turn_and_spread(self):
        facts = [
            HostFact(f"h{n}", f"h{n}-1", f"d{n % 3}", f"e{n}", "", "live", 1) for n in range(9)
        ]
        members = [Member(fact, True, 0.0) for fact in facts]
        firsts = set()
        for seed in range(60):
            found = order_addresses(members, "d1", random.Random(seed))
            self.assertEqual(len({m.fact.host for m in found}), 9)
            self.assertEqual(found[0].fact.domain, "d1")
            self.assertEqual({m.fact.domain for m in found[1:3]}, {"d0", "d2"})
            firsts.add(found[0].fact.host)
        self.assertEqual(len(firsts), 3)


class Columns(unittest.TestCase):
    @LIMITED
    @given(st.lists(st.integers(-5, 70_000)))
    def test_packed_columns_come_back_within_their_range(self, values):
        expected = [min(65_535, max(0, value)) for value in values]
        self.assertEqual(list(unpack("H", pack("H", values))), expected)
