"""Tests that engines are never overfilled while configurations change their models."""

import asyncio
import random
import unittest
from dataclasses import replace

from nose2.tools import params

from peridotdock.clients.engines import OrderAnswer
from peridotdock.decisions.draft import Demand
from peridotdock.decisions.loads import LoadRateLimiter
from peridotdock.decisions.permits import NO_WAIT
from peridotdock.deployment import Deployment, ModelSize, Service
from peridotdock.relay.fleet import RelayFleet
from peridotdock.relay.model_sizes import ModelSizes
from peridotdock.relay.ordering import Orderer
from tests.builders import make_ctx
from tests.fakes import FakeClock, PermanentLease, settle
from tests.relay.deployment import BOUNDS
from tests.relay.test_decisions import SPEC, model
from tests.relay.test_unanswered_orders import LateEngine

NAMES = tuple(f"m{number}" for number in range(7))
SIZES_MB = (20.0, 60.0, 90.0)
ADAPTER_SIZES_MB = (1.0, 10.0)
STEPS = 400
STEP = 0.25
CHANGE_SHARE = 0.04
# Steps without any change after which a model that requests wait for is there.
CALM_STEPS = 120


class SizedEngine(LateEngine):
    """An engine whose models keep the sizes of the configuration in which they were loaded."""

    def __init__(self, clock, rng):
        super().__init__(clock, rng)
        self.sizes = {}
        self.spec = SPEC

    def execute(self, order):
        before = set(self.models)
        answer = super().execute(order)
        loaded = set(self.models) - before
        self.sizes |= {name: self.spec.models[name] for name in loaded}
        return answer

    def change(self, there, name):
        if there is self.models and name not in there:
            self.sizes[name] = self.spec.models[name]
        super().change(there, name)

    def is_overfilled(self):
        held = [self.sizes[name] for name in self.models]
        adapters = [row.adapter_mb for row in held for _ in self.models[row.name]]
        total = sum(row.weights_mb for row in held) + sum(adapters)
        return total > self.spec.weights_mb or len(adapters) > self.spec.adapter_slots

    async def order(self, entry, order):
        if order.model not in self.spec.models and order.action == "load":
            return OrderAnswer.REFUSED
        return self.execute(order)


def random_spec(rng, resizes):
    """Return a configuration with some of the models."""
    adapter_mb = rng.choice(ADAPTER_SIZES_MB) if resizes else 1.0
    rows = {}
    for name in rng.sample(NAMES, 5):
        size = rng.choice(SIZES_MB) if resizes else SIZES_MB[NAMES.index(name) % len(SIZES_MB)]
        rows[name] = replace(model(name, size, adapters=2), adapter_mb=adapter_mb)
    return replace(SPEC, models=rows, loads_per_second=20.0)


class Play:
    """One engine, and a host that orders it by a configuration that changes."""

    def __init__(self, seed, resizes):
        self.rng, self.clock = random.Random(seed), FakeClock()
        self.resizes = resizes
        self.engine = SizedEngine(self.clock, self.rng)
        self.fleet = RelayFleet("north", self.clock)
        self.wanted, self.leases, self.terms = [], [], 0
        self.change_spec()
        self.start_host()
        self.standby = self.orderer
        self.start_host()

    def start_host(self):
        """Start a host that knows the newest configuration alone."""
        ctx, lease = make_ctx(self.clock), PermanentLease()
        lease.term = self.terms = self.terms + 1
        self.leases.append(lease)
        self.orderer = Orderer(ctx, self.fleet, self.engine, lease, BOUNDS)

    async def take_over(self):
        """Let the other host order, which has followed the configurations meanwhile."""
        row = self.orderer.make_sizes()
        await self.orderer.stop()
        self.orderer, self.standby = self.standby, self.orderer
        self.orderer.learn_sizes(row if self.resizes else {})
        self.terms += 1
        for lease in self.leases:
            lease.term = self.terms

    async def replace_host(self):
        """Replace the host that orders by one that has only read the lease's row."""
        row = self.orderer.make_sizes()
        await self.orderer.stop()
        self.terms += 1
        self.start_host()
        self.orderer.learn_sizes(row if self.resizes else {})

    def change_spec(self):
        spec = random_spec(self.rng, self.resizes)
        self.engine.spec = spec
        self.deployment = Deployment(1, {"s": Service("s", "", 0, spec)}, None, {})

    def change_demand(self):
        items = [*self.deployment.services["s"].engine.models]
        items += [f"{name}/a1" for name in items]
        self.wanted = self.rng.sample(items, 2)

    async def step(self):
        self.fleet.replace([self.engine.entry()])
        self.standby.follow_deployment(self.deployment)
        demand = {item: Demand(1, 0.1) for item in self.wanted}
        self.orderer.plan_orders(self.deployment, demand, (), {})
        await settle()
        self.clock.advance(STEP)
        await settle()

    async def run(self):
        for _ in range(STEPS):
            if self.rng.random() < CHANGE_SHARE:
                self.change_spec()
            if self.rng.random() < CHANGE_SHARE:
                self.change_demand()
            if self.rng.random() < CHANGE_SHARE:
                await self.take_over()
            if self.rng.random() < CHANGE_SHARE:
                await self.replace_host()
            await self.step()
        self.wanted = [next(iter(self.deployment.services["s"].engine.models))]
        for _ in range(CALM_STEPS):
            await self.step()
        await self.orderer.stop()


async def play(seed, resizes):
    """Play changes of the configuration, then some seconds without any; return what is left."""
    played = Play(seed, resizes)
    await played.run()
    return played


class ModelChangesTest(unittest.TestCase):
    @params(*((seed, resizes) for seed in range(6) for resizes in (False, True)))
    def test_no_engine_is_overfilled_and_what_is_requested_is_loaded(self, seed, resizes):
        """Guards against engines that crash all at once when a model is left out or resized.

        Configurations name other models, or give other sizes to those that are held; the host
        that orders is replaced by one that has never seen an older version, and in the first case
        does not know of them by the lease's row either.
        """
        played = asyncio.run(play(seed, resizes))
        self.assertEqual(0, played.engine.overfilled)
        self.assertIn(played.wanted[0], played.engine.models)
        self.assertGreater(played.engine.seq, 15)


async def loads_after_change(rate):
    """Return how many loads may begin once a configuration has changed their rate."""
    clock, rng = FakeClock(), random.Random(1)
    fleet, engine = RelayFleet("north", clock), SizedEngine(clock, rng)
    orderer = Orderer(make_ctx(clock), fleet, engine, PermanentLease(), BOUNDS)
    for number in (4.0, rate):
        spec = replace(SPEC, loads_per_second=number)
        deployment = Deployment(1, {"s": Service("s", "", 0, spec)}, None, {})
        orderer.plan_orders(deployment, {}, (), {})
        limiter = orderer._load_limiter(deployment.services["s"])
    return limiter.available(clock.monotonic())


class LoadRateTest(unittest.TestCase):
    @params(0.1, 40.0)
    def test_a_new_rate_of_loads_applies_at_once(self, rate):
        """Guards against more loads from the weight store than the newest configuration allows."""
        limiter = LoadRateLimiter(rate, BOUNDS.loads_window, BOUNDS.loads_over)
        self.assertEqual(limiter.available(0.0), asyncio.run(loads_after_change(rate)))


async def orders_after_change():
    """Plan an order that has to wait, and change the configuration; return the orders accepted."""
    clock, may_call = FakeClock(), asyncio.Event()
    fleet, engine = RelayFleet("north", clock), SizedEngine(clock, random.Random(1))
    orderer = Orderer(make_ctx(clock), fleet, engine, PermanentLease(), BOUNDS)

    async def wait_for_permit(key):
        await may_call.wait()
        return NO_WAIT

    fleet.replace([engine.entry()])
    before, after = (
        Deployment(1, {"s": Service("s", "", 0, replace(SPEC, weights_mb=size))}, None, {})
        for size in (SPEC.weights_mb, 50.0)
    )
    orderer.plan_orders(before, {"m0": Demand(1, 0.1)}, (), {})
    await settle()
    orderer.request_permit = wait_for_permit
    orderer.plan_orders(before, {"m0": Demand(1, 0.1)}, (), {})
    await settle()
    orderer.follow_deployment(after)
    may_call.set()
    await settle()
    await orderer.stop()
    return engine.seq


class PlannedOrderTest(unittest.TestCase):
    def test_an_order_planned_by_an_older_configuration_is_not_sent(self):
        """Guards against an engine overfilled by a plan that waited while the sizes changed."""
        self.assertEqual(0, asyncio.run(orders_after_change()))


class ModelSizesTest(unittest.TestCase):
    @params(
        ("loaded again since", {"m0": ModelSize(20.0, 1.0)}, 20.0),
        ("not loaded again", {"m0": ModelSize(90.0, 1.0)}, 90.0),
        ("not told", {}, 90.0),
    )
    def test_a_held_model_counts_as_the_holder_before_knew_it(self, name, inherited, expected):
        """Guards against models that are unloaded for others that would have fitted."""
        sizes = ModelSizes()
        for size in (90.0, 20.0):
            sizes.follow(replace(SPEC, models={"m0": model("m0", size)}))
        sizes.inherit(inherited)
        self.assertEqual(expected, sizes.held("m0").weights_mb, name)
