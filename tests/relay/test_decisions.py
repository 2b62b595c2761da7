"""The decision functions, each with the load pattern that it is made for."""

import random
import unittest
from dataclasses import replace

from nose2.tools import params

from peridotdock.clients.engines import Action
from peridotdock.decisions.choice import Candidate, RequestCost, choose, predict
from peridotdock.decisions.copies import OVERLOADED_TOKENS
from peridotdock.decisions.draft import Demand, EngineView
from peridotdock.decisions.health import FIRST_PAUSE_SECONDS, MAX_PAUSE_SECONDS, Health
from peridotdock.decisions.loads import UNREPORTED_LOADS, LoadRateLimiter
from peridotdock.decisions.overload import (
    HostState,
    RefusalReason,
    check_host,
    check_send,
    retry_after,
)
from peridotdock.decisions.placing import make_plan
from peridotdock.decisions.retry_budget import SharedRetryBudget
from peridotdock.decisions.stopping import (
    MAX_ROUTES,
    SILENCE_SECONDS,
    AnswerTimes,
    UnderWay,
    can_finish,
)
from peridotdock.decisions.waiting import Absence, decide_wait
from peridotdock.deployment import EngineSpec, Model

IDLE = Candidate("a", 0, 0, 64, 0, False, 1.0, True)
LONG = RequestCost(9000, 6000, 0.00003, 0.05)
PLAIN = RequestCost(0, 0, 0.0, 0.05)


def pick(*candidates, work=LONG):
    found = choose(candidates, work, random.Random(1))
    return found and found.candidate.key


class ChoiceTest(unittest.TestCase):
    @params(
        (
            "a cached prefix beats an idle engine",
            replace(IDLE, key="cached", cached_tokens=6000),
            IDLE,
            "cached",
        ),
        (
            "but not behind a queue longer than its prefill",
            replace(IDLE, key="cached", cached_tokens=6000, queued_tokens=20000),
            IDLE,
            "a",
        ),
        (
            "of equal ones the less occupied, also in another domain",
            replace(IDLE, key="full", running=3, slots=4, same_domain=True),
            replace(IDLE, running=1, slots=4),
            "a",
        ),
        (
            "a slow one is avoided",
            replace(IDLE, key="slow", slowness=5.0, same_domain=True),
            IDLE,
            "a",
        ),
        (
            "a suspect is avoided",
            replace(IDLE, key="bad", suspect=True, cached_tokens=9000),
            IDLE,
            "a",
        ),
        (
            "a full one is avoided",
            replace(IDLE, key="full", running=640, cached_tokens=8000),
            replace(IDLE, cached_tokens=7000),
            "a",
        ),
        (
            "of equal ones that in the same domain",
            replace(IDLE, key="far", same_domain=False),
            IDLE,
            "a",
        ),
    )
    def test_the_endpoint_predicted_to_answer_first_is_chosen(self, name, one, other, expected):
        self.assertEqual(expected, pick(one, other), name)
        self.assertEqual(expected, pick(other, one), name)

    def test_suspects_are_used_when_nothing_else_is_left(self):
        self.assertEqual("a", pick(replace(IDLE, suspect=True)))

    def test_nothing_to_choose_from(self):
        self.assertIsNone(pick())

    def test_a_plain_service_waits_for_a_slot(self):
        free = replace(IDLE, slots=6, running=5)
        full = replace(IDLE, slots=6, running=12)
        self.assertLess(predict(free, PLAIN), predict(full, PLAIN))


class HealthTest(unittest.TestCase):
    def test_a_lost_endpoint_is_excluded_longer_each_time(self):
        """An endpoint fails a part of its requests while its health check passes, so callers wait.

        Only outcomes of requests show it. The endpoint is excluded, tried once after a pause, and
        excluded for longer each time.
        """
        health, now, pauses = Health(), 0.0, []
        for _ in range(6):
            health.record_loss(now)
            began = now
            while health.suspect(now):
                now += 0.25
            pauses.append(now - began)
        self.assertEqual([FIRST_PAUSE_SECONDS, 1.0, 2.0, MAX_PAUSE_SECONDS], pauses[:4])
        self.assertEqual(MAX_PAUSE_SECONDS, max(pauses))

    def test_a_usual_share_of_failures_excludes_no_endpoint(self):
        health = Health()
        for number in range(200):
            health.record_error(number) if number % 7 == 0 else health.record_success()
            self.assertFalse(health.suspect(number))

    def test_only_an_unreachable_endpoint_counts_as_absent(self):
        health = Health()
        health.record_loss(0.0)
        self.assertFalse(health.absent(0.1))
        health.record_unreachable(0.1)
        self.assertTrue(health.absent(0.2))
        self.assertFalse(health.absent(60.0))

    def test_slowness_decays(self):
        health = Health()
        for _ in range(10):
            health.record_slowness(5.0, 0.0)
        self.assertGreater(health.slowness(0.0), 4.0)
        self.assertLess(health.slowness(20.0), 1.3)


class SharedRetryBudgetTest(unittest.TestCase):
    @params(1, 3, 9, 67, 350)
    def test_retries_of_all_hosts_stay_within_the_bound(self, hosts):
        """A failing service gets more retries over all hosts than its operators allow."""
        share, extra, window = 0.2, 58, 10.0
        budgets = [SharedRetryBudget(share, extra, window) for _ in range(hosts)]
        retries = []
        for step in range(400):
            now = step * 0.1
            for budget in budgets:
                budget.count_request(now)
                if budget.take(now, hosts):
                    retries.append(now)
        for step in range(300):
            start = step * 0.1
            within = sum(1 for at in retries if start <= at < start + window)
            self.assertLessEqual(within, share * hosts * 100 + extra)

    def test_hosts_that_restart_together_stay_within_the_bound(self):
        """A service gets more retries than allowed, as killed hosts lose their count of them."""
        share, extra, window, hosts = 0.2, 172, 10.0, 60
        retries, requests = 0, 0
        for began, first in ((-window, 0.0), (3.0, 3.0)):
            rows = [SharedRetryBudget(share, extra, window, began) for _ in range(hosts)]
            for step in range(5):
                for row in rows:
                    row.count_request(first + step * 0.1)
                    requests += 1
                    retries += row.take(first + step * 0.1, hosts)
        self.assertLessEqual(retries, share * requests + extra)

    def test_a_quiet_service_still_gets_a_few(self):
        budget = SharedRetryBudget(0.2, 58, 10.0)
        self.assertTrue(budget.take(0.0, 9))


class LoadRateLimiterTest(unittest.TestCase):
    def test_a_new_rate_applies_to_what_was_started_before_it(self):
        """Guards against more loads than the newest configuration allows."""
        limiter = LoadRateLimiter(2.0, 5.0, 1.0)
        most = limiter.available(0.0)
        limiter.record(0.0)
        limiter.set_rate(1.0)
        self.assertEqual(most - 5 - 1, limiter.available(0.0))

    def test_loads_in_any_window_stay_within_the_bound(self):
        limiter, begun, now = LoadRateLimiter(1.1, 5.0, 1.1), [], 0.0
        for step in range(600):
            now = step * 0.1
            while limiter.available(now) > 0:
                limiter.record(now)
                begun.append(now)
        for at in begun:
            self.assertLessEqual(sum(1 for b in begun if at <= b < at + 5.0), 1.1 * 5 * 1.1 + 3)

    def test_a_new_holder_assumes_the_window_used(self):
        limiter = LoadRateLimiter(1.1, 5.0, 1.1)
        limiter.take_over(0.0, None)
        self.assertEqual(1, limiter.available(0.0))
        self.assertGreater(limiter.available(7.0), 1)

    def test_a_new_holder_goes_by_the_reported_loads(self):
        """After a change of holder, a model that callers wait for is not loaded for six seconds."""
        limiter = LoadRateLimiter(1.1, 5.0, 1.1)
        whole = limiter.available(0.0)
        limiter.take_over(10.0, [1.0, 5.5])
        self.assertEqual(whole - 2 - UNREPORTED_LOADS, limiter.available(10.0))
        self.assertEqual(whole - 1 - UNREPORTED_LOADS, limiter.available(11.0))

    def test_a_refused_load_does_not_count(self):
        """A busy model gets no copy for six seconds, as loads refused by a busy engine counted."""
        limiter = LoadRateLimiter(1.1, 5.0, 1.1)
        whole = limiter.available(0.0)
        for step in range(20):
            limiter.record(step * 0.1)
            limiter.undo(step * 0.1)
        self.assertEqual(whole, limiter.available(2.0))


class WaitingTest(unittest.TestCase):
    @params(
        ("an adapter is worth waiting for", Absence(3.0, None, 0.0), True),
        ("a load that is done in time", Absence(15.0, None, 5.0), True),
        ("a load that is not", Absence(3.2, None, 5.0), False),
        ("one that is nearly done", Absence(3.2, 1.0, 5.0), True),
        ("no time left", Absence(0.3, None, 0.0), False),
    )
    def test_a_request_waits_only_for_what_is_ready_in_time(self, name, absence, waits):
        found = decide_wait(absence)
        self.assertEqual(waits, found.seconds > 0, name)
        self.assertLess(found.seconds, absence.time_left)
        self.assertGreater(found.retry_after, 0)


def model(name, size=60.0, adapters=0):
    return Model(name, size, 5.0, 1.0, 0.4, adapters, 1.0)


NAMES = ("m0", "m1", "m2", "m3")
SPEC = EngineSpec(
    slots=64,
    weights_mb=200.0,
    adapter_slots=4,
    cache_tokens=200_000,
    cache_token_bytes=1.0,
    loads_per_second=1.1,
    models={name: model(name, adapters=6) for name in NAMES},
)


def engine(key, *models, **more):
    rows = {name: frozenset() for name in models}
    rows |= more.pop("models", {})
    defaults = {
        "domain": "north",
        "loading": frozenset(),
        "unloading": frozenset(),
        "in_memory": frozenset(),
        "on_disk": frozenset(),
        "busy": False,
        "queued_tokens": 0.0,
    }
    return EngineView(key=key, models=rows, **(defaults | more))


def engine_full_of_adapters(**more):
    """An engine without a free slot for an adapter or free memory for a model."""
    models = {"m0": frozenset({"a1", "a2", "a3", "a4"})}
    return engine("a", "m1", "m2", models=models, busy=False, **more)


def plan(engines, demand, reserved=None, excluded=(), loads=5):
    steps = make_plan(SPEC, engines, demand, loads, reserved or {}, excluded)
    return [(s.engine, s.action.value, "/".join(filter(None, (s.model, s.adapter)))) for s in steps]


class CountedModels(dict):
    """The models that an engine holds, with a count of the scans of them."""

    scans = 0

    def __contains__(self, name):
        self.scans += 1
        return super().__contains__(name)

    def keys(self):
        self.scans += 1
        return super().keys()


class PlacingTest(unittest.TestCase):
    def test_a_plan_scans_each_engine_a_few_times(self):
        """Callers get their answers late whenever an order is sent.

        At 64 engines and 74 models a plan blocked a host's event loop for 50 ms. It searched all
        engines for the holders of a model, for each copy on each engine that could be evicted for
        each model.
        """
        names = [f"m{number}" for number in range(74)]
        spec = replace(SPEC, models={name: replace(SPEC.models["m0"], name=name) for name in names})
        engines = [engine(f"e{n:02}", *names[n % 30 : n % 30 + 3]) for n in range(64)]
        scans = [CountedModels(view.models) for view in engines]
        engines = [replace(v, models=row) for v, row in zip(engines, scans, strict=True)]
        make_plan(spec, engines, {name: Demand(0, 0.1) for name in names}, 5, {})
        self.assertLessEqual(max(row.scans for row in scans), 4 * len(names))

    @params(
        (
            "a model without a copy goes where it fits",
            [engine("a", "m0", "m1", "m2"), engine("b", "m2")],
            {"m3": Demand(1, 0.1)},
            [("b", "load", "m3")],
        ),
        (
            "and where its weights are cached",
            [engine("a", "m0", in_memory=frozenset({"m3"})), engine("b", "m1", "m2")],
            {"m3": Demand(1, 0.1)},
            [("a", "load", "m3")],
        ),
        (
            "an idle last copy is evicted for waiting requests",
            [engine("a", "m0", "m1", "m2")],
            {"m3": Demand(1, 0.1), "m0": Demand(0, 0.3), "m1": Demand(0, 0.3)},
            [("a", "unload", "m2")],
        ),
        (
            "a model that requests wait for is not evicted",
            [engine("a", "m0", "m1", "m2")],
            {name: Demand(1, 0.1) for name in NAMES},
            [],
        ),
        (
            "a busy engine gets no order for a model",
            [engine("a", "m0", "m1", "m2", busy=True)],
            {"m3": Demand(1, 0.1)},
            [],
        ),
        (
            "an adapter goes where a slot is free",
            [engine("a", "m1", "m2", models={"m0": frozenset({"a1"})})],
            {"m0/a2": Demand(1, 0.01)},
            [("a", "load", "m0/a2")],
        ),
        (
            "the adapter with the least demand is evicted",
            [engine_full_of_adapters()],
            {
                "m0/a5": Demand(1, 0.01),
                "m0/a1": Demand(0, 0.05),
                "m0/a2": Demand(1, 0.05),
                "m0/a4": Demand(0, 0.05),
            },
            [("a", "unload", "m0/a3")],
        ),
        (
            "one at a time: no order while a slot is being freed",
            [engine_full_of_adapters(freeing_adapter=True), engine("b", "m1", "m2", "m3")],
            {"m0/a5": Demand(1, 0.01)},
            [],
        ),
    )
    def test_orders(self, name, engines, demand, expected):
        self.assertEqual(expected, plan(engines, demand)[: max(1, len(expected))], name)

    def test_freed_memory_is_reserved_for_its_model(self):
        """Callers of a busy model are refused while models move between engines.

        An engine that unloads is busy. The next plan frees memory for the same model on a second
        engine, fills the freed memory of the first with another model, and so on: 23 loads on a
        calm day.
        """
        engines = [engine("a", "m0", "m1", busy=True), engine("b", "m0", "m1", "m2")]
        self.assertEqual([], plan(engines, {"m3": Demand(1, 0.1)}, {"a": "m3"}))
        engines[0] = engine("a", "m0", "m1")
        self.assertEqual(
            [("a", "load", "m3")], plan(engines, {"m3": Demand(1, 0.1)}, {"a": "m3"})[:1]
        )

    def test_an_engine_is_never_overfilled(self):
        """An engine crashes with everything on it, as it was ordered to load more than fits."""
        rng = random.Random(7)
        for _ in range(300):
            held = rng.sample(NAMES, rng.randint(0, 3))
            engines = [engine(str(n), *held, queued_tokens=rng.random() * 20000) for n in range(3)]
            demand = {n: Demand(rng.randint(0, 2), rng.random()) for n in NAMES}
            for key, action, item in plan(engines, demand):
                name, _, adapter = item.partition("/")
                if action == Action.LOAD and not adapter:
                    now = next(e for e in engines if e.key == key)
                    total = sum(SPEC.models[m].weights_mb for m in {*now.models, name})
                    self.assertLessEqual(total + SPEC.adapter_slots, SPEC.weights_mb)

    @params(
        ("one that requests wait for", Demand(1, 0.1), ("unload", "gone")),
        ("one that is requested", Demand(0, 0.1), ("unload", "gone")),
        ("one without requests", Demand(), ("unload", "gone")),
    )
    def test_a_model_that_is_no_longer_named_makes_room(self, name, found, expected):
        """Guards against a needed model that is never loaded beside one that nobody names.

        Its size is not known here, so nothing fits beside it.
        """
        steps = plan([engine("a", "gone", "m1", "m2")], {"m0": found, "m1": Demand(0, 0.3)})
        self.assertEqual([("a", *expected)], steps[:1], name)

    @params((0, []), (1, [("a", "unload", "gone")]))
    def test_nothing_is_loaded_beside_a_used_model_of_unknown_size(self, waiting, expected):
        """Guards against an engine that is ordered to load beyond its memory."""
        row = engine("a", "gone", running={"gone": 2})
        self.assertEqual(expected, plan([row], {"m0": Demand(waiting, 0.1)}))

    @params(
        ("its adapters have grown", 30.0, [("a", "unload", "m2")]),
        ("they fit", 1.0, [("a", "load", "m0/a1")]),
    )
    def test_an_adapter_is_loaded_where_its_memory_is_free(self, name, adapter_mb, expected):
        """Guards against an engine overfilled by adapters that a new configuration has enlarged."""
        models = {n: replace(row, adapter_mb=adapter_mb) for n, row in SPEC.models.items()}
        rows = [engine("a", "m0", "m1", "m2")]
        demand = {"m0/a1": Demand(1, 0.1), "m1": Demand(0, 0.1)}
        steps = make_plan(replace(SPEC, models=models), rows, demand, 5, {})
        found = [(s.engine, s.action.value, f"{s.model}/{s.adapter}".rstrip("/")) for s in steps]
        self.assertEqual(expected, found[:1], name)

    def test_an_overloaded_model_evicts_an_idle_one(self):
        """Callers of two busy models wait seconds at one engine while the other engines are idle.

        After a shift of demand both models are on the same engine, and last copies of idle models
        occupy the memory of the others.
        """
        on_disk = frozenset(NAMES)
        busy = engine("a", "m0", "m1", queued_tokens=OVERLOADED_TOKENS * 5, on_disk=on_disk)
        idle = engine("b", "m2", "m3", models={"m9": frozenset()}, on_disk=on_disk)
        demand = {"m0": Demand(0, 0.6), "m1": Demand(0, 0.5)}
        full = replace(idle, models={**idle.models})
        spec = replace(SPEC, weights_mb=140.0)
        steps = make_plan(spec, [busy, full], demand, 5, {})
        self.assertEqual(("b", Action.UNLOAD), (steps[0].engine, steps[0].action))
        calm = replace(busy, queued_tokens=0.0)
        little = {"m0": Demand(0, 0.3), "m1": Demand(0, 0.25)}
        self.assertEqual(
            [], [s for s in make_plan(spec, [calm, full], little, 5, {}) if not s.adapter]
        )

    @params(
        ("utilization alone, before requests wait", Demand(0, 0.9), Demand(0, 0.1), True),
        ("a past peak orders no copy", Demand(0, 0.9, 0.1), Demand(0, 0.1), False),
        ("demand that moved here counts at once", Demand(0, 0.1, 0.9), Demand(0, 0.9, 0.0), True),
    )
    def test_copies_follow_the_current_demand(self, name, busy, other, copied):
        """Callers of a model wait seconds at its one engine, and no further copy is loaded.

        Demand moved from another model, whose copies were kept for a peak half a minute old, and a
        copy was ordered only once a second's worth of prompts was queued.
        """
        spec = replace(SPEC, weights_mb=140.0)
        on_disk = frozenset(NAMES)
        engines = [engine("a", "m0", "m1"), engine("b", "m2", "m3", on_disk=on_disk)]
        demand = {"m0": busy, "m1": other}
        steps = [s for s in make_plan(spec, engines, demand, 5, {}) if not s.adapter]
        self.assertEqual(copied, bool(steps), name)

    @params((False, []), (True, [("a", "unload", "m0")]))
    def test_busy_models_keep_their_copies_in_the_first_seconds(self, demand_known, expected):
        """Callers of the busiest model are refused from the second second of traffic on.

        It had not been requested when the first requests for others arrived, so its copies were
        evicted for models without requests.
        """
        engines = [engine("a", "m0", "m1", "m2"), engine("b", "m0", "m1", "m2")]
        demand = {"m1": Demand(0, 0.3), "m2": Demand(0, 0.3)}
        steps = make_plan(SPEC, engines, demand, 5, {}, demand_known=demand_known)
        found = [(s.engine, s.action.value, s.model) for s in steps if not s.adapter]
        self.assertEqual(expected, found)

    @params((0.9, True), (0.3, False))
    def test_a_last_copy_in_use_is_evicted_only_for_much_more_demand(self, rate, evicted):
        """Two busy models evict each other on one engine, and callers of both wait for seconds."""
        engines = [engine("a", "m0", "m1", "m2")]
        demand = {"m3": Demand(3, rate), **{name: Demand(0, 0.25) for name in NAMES[:3]}}
        unloads = [step for step in plan(engines, demand) if step[1] == "unload"]
        self.assertEqual(evicted, bool(unloads))

    @params((1.2, True), (5.8, False))
    def test_a_quick_load_is_ordered_sooner(self, load, copied):
        """Requests wait a second at one engine while others are idle, as long as a load takes."""
        models = {name: replace(row, load_seconds=load) for name, row in SPEC.models.items()}
        spec = replace(SPEC, weights_mb=140.0, models=models)
        on_disk = frozenset(NAMES)
        engines = [engine("a", "m0", "m1"), engine("b", "m2", "m3", on_disk=on_disk)]
        demand = {"m0": Demand(0, 0.65)}
        steps = [s for s in make_plan(spec, engines, demand, 5, {}) if not s.adapter]
        self.assertEqual(copied, bool(steps))

    def test_a_load_is_ordered_right_after_the_unload_for_it(self):
        """A request waits a second longer than its model's load takes.

        The engine had unloaded at once, but the planner waited for a report of it.
        """
        emptied = engine("a", "m0", "m1", "m2", unloading=frozenset({"m2"}))
        demand = {"m3": Demand(1, 0.1)}
        self.assertEqual([("a", "load", "m3")], plan([emptied], demand, {"a": "m3"})[:1])
        self.assertEqual([], plan([emptied], demand))

    def test_the_adapter_requested_longest_ago_is_evicted(self):
        """Requests wait for an adapter until another's stream has ended.

        The adapter that was unloaded had been requested a moment ago, though rarely before.
        """
        demand = {
            "m0/a5": Demand(1, 0.01, 0.01),
            "m0/a1": Demand(0, 0.01, 0.01),
            "m0/a2": Demand(0, 0.09, 0.0),
            "m0/a3": Demand(0, 0.02, 0.02),
            "m0/a4": Demand(0, 0.01, 0.01),
        }
        self.assertEqual([("a", "unload", "m0/a2")], plan([engine_full_of_adapters()], demand)[:1])

    @params((False, []), (True, [("a", "unload", "m1")]))
    def test_nothing_is_evicted_before_hosts_have_reported_what_runs(self, running_known, expected):
        """Callers of the busiest models are refused for six seconds after all hosts were killed.

        A tenth of a second after its start the new planner evicted models for the first request
        that waited; the next requests were for these models.
        """
        engines = [engine("a", "m0", "m1", "m2", on_disk=frozenset({"m3"}))]
        demand = {"m3": Demand(1), "m0": Demand(0, 0.3), "m2": Demand(0, 0.3)}
        steps = make_plan(
            SPEC, engines, demand, 5, {}, demand_known=False, running_known=running_known
        )
        found = [(s.engine, s.action.value, s.model) for s in steps if not s.adapter]
        self.assertEqual(expected, found)

    def test_a_plan_evicts_no_more_copies_than_allowed(self):
        """A model with four copies has one left, and its callers wait.

        Each of three engines evicted its copy, as it saw three others.
        """
        others = ("x", "y", "z")
        engines = [engine(key, "m0", "m1", "m2", on_disk=frozenset(NAMES)) for key in others]
        spec = replace(SPEC, models=SPEC.models | {name: model(name) for name in ("m4", "m5")})
        engines.append(engine("w", "m0", "m1", "m2"))
        demand = {"m0": Demand(0, 0.5, 0.0), "m1": Demand(0, 0.5), "m2": Demand(0, 0.5)}
        steps = make_plan(spec, engines, demand, 5, {})
        dropped = [step for step in steps if step.action is Action.UNLOAD and step.model == "m0"]
        self.assertLessEqual(len(dropped), 3)
        demand = {name: Demand(0, 0.3) for name in NAMES[:3]}
        wanted = {"m3": Demand(1), "m4": Demand(1), "m5": Demand(1)}
        steps = make_plan(spec, engines[:3], demand | wanted, 5, {}, demand_known=False)
        left = {name: 3 for name in NAMES[:3]}
        for step in steps:
            left[step.model] -= 1
        self.assertGreaterEqual(min(left.values()), 2)

    @params(
        ("a copy without running requests is evicted", {"m1": 3, "m2": 1}, False, 1, ("b", "m0")),
        ("if its engine is busy, nothing is evicted yet", {"m1": 3, "m2": 1}, True, 1, None),
        (
            "unless more requests wait than run on a copy in use",
            {"m1": 3, "m2": 1},
            True,
            9,
            ("a", "m2"),
        ),
    )
    def test_a_copy_in_use_stays_where_an_idle_one_can_be_evicted(
        self, name, running, busy, waiting, evicted
    ):
        """An engine takes no order for five seconds, and callers of two models are refused.

        It was ordered to unload a model with running streams and waits for the last of them, while
        another engine had an unused copy.
        """
        used = engine("a", "m1", "m2", running=running, on_disk=frozenset(NAMES))
        idle = engine("b", "m0", "m4", running={"m4": 2}, on_disk=frozenset(NAMES), busy=busy)
        spec = replace(SPEC, weights_mb=140.0, models=SPEC.models | {"m4": model("m4")})
        demand = {"m3": Demand(waiting, 0.9), "m1": Demand(0, 0.3), "m2": Demand(0, 0.2)}
        steps = make_plan(
            spec, [used, idle], demand | {"m4": Demand(0, 0.6)}, 5, {}, stream_seconds=2.0
        )
        found = [(s.engine, s.model) for s in steps if s.evicted_for == "m3"]
        self.assertEqual([evicted] if evicted else [], found, name)

    def test_an_engine_with_free_memory_is_used_though_another_is_reserved(self):
        """Callers of a busy model wait for an engine's last streams while a new engine is empty."""
        emptied = engine("a", "m0", "m1", unloading=frozenset({"m1"}), models={"m2": frozenset()})
        demand = {"m3": Demand(5, 0.5), "m0": Demand(0, 0.5)}
        new = engine("b", on_disk=frozenset(NAMES))
        found = plan([replace(emptied, busy=True), new], demand, {"a": "m3"})
        self.assertIn(("b", "load", "m3"), found)

    def test_an_adapter_without_requests_is_evicted_first(self):
        """A request waits for the end of a stream on another adapter, beside an unused one."""
        used = {"m0/a2": 1, "m0/a3": 2, "m0/a4": 1}
        demand = {"m0/a5": Demand(1, 0.01), "m0/a1": Demand(0, 0.05, 0.05)}
        found = plan([engine_full_of_adapters(running=used)], demand)
        self.assertEqual([("a", "unload", "m0/a1")], found[:1])

    def test_loads_from_the_store_are_rate_limited(self):
        engines = [engine("a"), engine("b")]
        demand = {"m3": Demand(1, 0.1), "m2": Demand(1, 0.1)}
        self.assertEqual([], plan(engines, demand, loads=0))
        warm = [engine("a", in_memory=frozenset({"m3"})), engine("b")]
        self.assertEqual([("a", "load", "m3")], plan(warm, demand, loads=0))


class OverloadTest(unittest.TestCase):
    """A host that is behind sends only what can be answered in time."""

    @params(
        ("time is over", 0.0, 0.05, 0.0, RefusalReason.NO_TIME),
        ("a calm host tries", 0.001, 0.05, 0.01, None),
        ("too late with these iterations", 0.5, 0.05, 0.1, RefusalReason.TOO_LATE),
        ("in time with these iterations", 0.6, 0.05, 0.1, None),
        ("too late at this endpoint", 0.6, 0.2, 0.1, RefusalReason.TOO_LATE),
    )
    def test_what_can_not_be_answered_in_time_is_not_sent(
        self, name, left, expected, iteration, found
    ):
        self.assertEqual(found, check_send(left, expected, iteration), name)

    @params(
        ("calm", HostState(0.01, 0.0, 3000), None),
        ("one long iteration", HostState(3.0, 0.0, 3000), None),
        ("behind for long", HostState(0.3, 3.0, 3000), RefusalReason.BEHIND),
        ("caught up", HostState(0.1, 3.0, 3000), None),
        ("few descriptors", HostState(0.0, 0.0, 10), RefusalReason.DESCRIPTORS),
        ("descriptors unknown", HostState(0.0, 0.0, None), None),
    )
    def test_a_host_is_ready_when_it_can_take_something_new(self, name, state, found):
        self.assertEqual(found, check_host(state), name)

    def test_refused_callers_do_not_retry_together(self):
        rng = random.Random(5)
        times = {round(retry_after(rng.random), 3) for _ in range(20)}
        self.assertGreater(len(times), 10)
        self.assertLess(max(times) - min(times), 0.11)
        self.assertGreater(min(times), 0.14)


class StoppingTest(unittest.TestCase):
    @params(
        ("its deadline comes first", (4.0, 3.9, None, True), True),
        ("its deadline comes later, and nothing is known", (4.0, 6.0, None, True), False),
        ("the same while callers may not know of the stop", (4.0, 6.0, None, False), True),
        ("it ends in time though its endpoint falls silent", (4.0, 6.0, 2.4, False), True),
        ("it comes late, and ends in time though it takes longer", (4.0, 6.0, 1.2, True), True),
        ("it comes late, and ends too late if it takes longer", (4.0, 6.0, 1.3, True), False),
        ("it ends too late if its endpoint falls silent", (4.0, 6.0, 2.6, False), False),
        ("no time is left", (-0.1, 0.5, 0.0, True), False),
    )
    def test_a_stopping_host_takes_what_it_can_finish(self, name, row, taken):
        self.assertEqual(taken, can_finish(*row), name)
        self.assertGreaterEqual(SILENCE_SECONDS, 1.0)

    def test_an_answer_is_expected_to_take_as_long_as_the_longest_lately(self):
        times = AnswerTimes()
        self.assertIsNone(times.expect("recap", 100))
        for seconds in (1.0, 3.0, 2.0):
            times.record("recap", 100, 0.0, seconds)
        self.assertAlmostEqual(3.0, times.expect("recap", 100), delta=0.1)
        self.assertAlmostEqual(6.0, times.expect("recap", 200), delta=0.2)
        for _ in range(200):
            times.record("recap", 100, 0.0, 1.0)
        self.assertAlmostEqual(1.0, times.expect("recap", 100), delta=0.1)

    def test_the_time_until_an_answer_begins_does_not_depend_on_its_tokens(self):
        """Guards against short answers to long prompts that are taken and cut."""
        times = AnswerTimes()
        times.record("recap", 2000, 2.0, 4.0)
        for tokens, seconds in ((2000, 4.0), (20, 2.02), (0, 2.001), (4000, 6.0)):
            self.assertAlmostEqual(seconds, times.expect("recap", tokens), delta=0.001)

    def test_answers_under_way_show_that_endpoints_are_slower(self):
        """Guards against requests taken by the times of answers before the endpoints were slow."""
        times = AnswerTimes()
        times.record("recap", 100, 0.0, 1.0)
        for name, rows, expected in (
            ("none", [], 0.5),
            ("a young one", [UnderWay("recap", 100, 0.9)], 0.5),
            ("an old one of many tokens", [UnderWay("recap", 300, 2.9)], 0.5),
            ("an old one", [UnderWay("recap", 100, 3.0), UnderWay("recap", 100, 2.0)], 1.5),
            ("one of another route", [UnderWay("page", 100, 3.0)], 0.5),
        ):
            self.assertAlmostEqual(expected, times.expect("recap", 50, rows), 6, name)

    def test_an_answer_takes_as_long_as_its_caller_reads(self):
        times = AnswerTimes()
        times.record("files", 0, 0.1, 0.1, 1_000_000)
        for pace, expected in ((0.0, 0.1), (0.000_001, 1.1), (0.000_008, 8.1)):
            self.assertAlmostEqual(expected, times.expect("files", 0, (), pace), 6)

    def test_routes_that_are_gone_do_not_pile_up(self):
        times = AnswerTimes()
        for number in range(3 * MAX_ROUTES):
            times.record(f"route-{number}", 0, 0.0, 1.0)
        self.assertLessEqual(len(times), MAX_ROUTES)
