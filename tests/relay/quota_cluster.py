"""Many hosts' quotas in simulated time: the real classes, over links with delays and faults.

The event loop's time only moves when nothing is left to do, so a play of many seconds takes few and
repeats exactly. Each host has a view of its own of who is alive, and chooses its hub by it.
"""

import asyncio
import heapq
import itertools
import math
import random
import selectors
from collections import deque
from dataclasses import replace
from datetime import timedelta
from types import SimpleNamespace

from peridotdock.decisions.hubs import NEWCOMER_SECONDS, choose_hub
from peridotdock.fact_table import FactTable
from peridotdock.loop_iterations import LoopIterations
from peridotdock.relay.peers import MAX_OFFER_AGE_SECONDS
from peridotdock.relay.quotas import Quotas
from peridotdock.relay.shares import Shares
from peridotdock.schema.messages import LinksFact
from peridotdock.workspaces import Workspace, Workspaces
from tests.builders import make_ctx
from tests.fakes import START

# Seconds between two publications of a host, as with this many hosts on the hub.
PUBLISH_SECONDS = 0.215
# Seconds until a host learns that the process at the other end of its link has ended, and until it
# takes a silent or unreachable one for dead.
RESET_SECONDS = 0.05
SILENT_SECONDS = 1.2
DISCONNECTED_SECONDS = 1.0
# Seconds for which a host passes over another one after a lost link.
PASSED_OVER_SECONDS = 3.0
# Seconds from a process's start until it serves callers.
BOOT_SECONDS = 0.4
# Seconds for which a host keeps its link to a former hub.
MIN_LINK_SECONDS = 1.5
# Seconds a host without a link to the hub waits until it dials again.
LINK_CHECK_SECONDS = 0.1
# Seconds between two looks at the shares that hosts use.
SAMPLE_SECONDS = 0.05
# Seconds for which a host's view of the hub is kept.
VIEW_SECONDS = 0.02
# Longest time in seconds until a request whose answer was cut runs again.
REPEAT_SECONDS = 1.0
WORKSPACE = "w"
# Topics of facts that hosts send to the hub alone.
HUB_ONLY_TOPICS = ("share_accepted",)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer when nothing is ready."""

    def __init__(self):
        super().__init__(_Selector(self))
        self.now = 0.0

    def time(self):
        return self.now


class _Selector(selectors.DefaultSelector):
    def __init__(self, loop):
        super().__init__()
        self._loop = loop

    def select(self, timeout=None):
        assert timeout is not None, "nothing is left to wait for"
        self._loop.now += max(0.0, timeout)
        return super().select(0)


class LoopClock:
    """The clock of all hosts: the loop's time."""

    def __init__(self, loop):
        self._loop = loop

    def monotonic(self):
        return 1000.0 + self._loop.time()

    seconds = monotonic

    def now(self):
        return START + timedelta(seconds=self._loop.time())

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)


class Caller:
    def __init__(self):
        self.disconnected = asyncio.get_running_loop().create_future()

    def is_disconnected(self):
        return self.disconnected.done()


class View:
    """The part of a host's peers that its quotas use: facts, links, and who is the hub."""

    def __init__(self, cluster, name, clock, epoch):
        self._cluster = cluster
        self._name = name
        self.facts = FactTable(name, epoch, clock)
        self.facts.listen(lambda slots: cluster.spread(name, slots))
        self.mesh = SimpleNamespace(
            send_to=lambda to, frame: cluster.send(name, to, frame),
            failed_hosts=self._failed_hosts,
            last_received=lambda host: cluster.last_received(name, host),
            peers=lambda: set(cluster.links(name)),
        )
        self.known = {name}
        self._started_at = cluster.now()
        self.passed_over = {}
        self.row_read = False
        self._hub, self._hub_until = name, -math.inf

    def _failed_hosts(self):
        now = self._cluster.now()
        return {name for name, until in self.passed_over.items() if until > now}

    def believes_alive(self, other):
        return other == self._name or self._cluster.seems_alive(self._name, other)

    def hub(self):
        """Return the hub, as this host saw it a moment ago at the most."""
        now = self._cluster.now()
        if now >= self._hub_until:
            self._hub, self._hub_until = self._find_hub(), now + VIEW_SECONDS
        return self._hub

    def _find_hub(self):
        started_for = self._cluster.now() - self._started_at
        able = (name for name in self._cluster.names if self._is_able(name))
        if started_for < NEWCOMER_SECONDS:
            able = list(able)
            offering = [name for name in able if self._offers(name)]
        else:
            able, offering = list(itertools.islice(able, 1)), ()
        return choose_hub(
            self._name, able, offering, started_for, lambda name: -self._cluster.rank[name]
        )

    def _is_able(self, name):
        known = name in self.known and name != self._name and name not in self._failed_hosts()
        return known and self.believes_alive(name)

    def _offers(self, name):
        known = self.facts.get(name, "share_offer")
        now = self._cluster.clock.monotonic()
        return known is not None and known.fact.loan > 0 and now - known.at < MAX_OFFER_AGE_SECONDS

    def update_links(self):
        """Publish this host's links, if they have changed."""
        links, known = self._cluster.links(self._name), self.facts.get(self._name, "links")
        if known is None or known.fact.peers != links:
            self.facts.publish("links", LinksFact(links))

    def is_hub(self):
        return self.hub() == self._name

    def live_hosts(self):
        return {name for name in self.known if self.believes_alive(name)}

    def host_count(self):
        """Return the number of hosts, as the store's row or the links tell it."""
        return max(len(self.known), self._cluster.row_hosts if self.row_read else 0)

    def host_count_is_known(self):
        return self.row_read

    def rank(self, names):
        return sorted(names, key=self._cluster.rank.__getitem__)


class Host:
    """One process of a host; a restart makes another one."""

    def __init__(self, cluster, name, epoch):
        self.cluster, self.name = cluster, name
        clock = cluster.clock
        self.view = View(cluster, name, clock, epoch)
        self.ctx = make_ctx(clock, name)
        iterations = LoopIterations(clock.monotonic)
        self.shares = Shares(self.ctx, name, self.view, clock)
        bounds = SimpleNamespace(quota=cluster.tolerance)
        self.quotas = Quotas(self.ctx, name, self.view, self.shares, bounds, iterations, clock)
        self.quotas.set_deployment(cluster.deployment)
        self.tasks = [asyncio.ensure_future(job) for job in (self._publish(), self._link())]
        self.started_at = cluster.now()
        self.linked = ""

    async def _publish(self):
        await asyncio.sleep(self.cluster.rng.random() * PUBLISH_SECONDS)
        while True:
            await self.cluster.awake(self.name)
            self.quotas.publish()
            await asyncio.sleep(PUBLISH_SECONDS)

    async def _link(self):
        """Learn of the other hosts after a while, then follow the hub."""
        await asyncio.sleep(self.cluster.rng.random() * self.cluster.discovery)
        self.view.row_read = True
        while True:
            for other in self.cluster.hosts:
                if self.cluster.reaches(self.name, other):
                    self.view.known.add(other)
            hub, linked = self.view.hub(), self.linked
            if linked not in ("", hub, self.name) and not self.view.believes_alive(linked):
                self.view.passed_over[linked] = self.cluster.now() + PASSED_OVER_SECONDS
                hub = self.view.hub()
            if hub != linked:
                self.cluster.kept[self.name, linked] = self.cluster.now() + MIN_LINK_SECONDS
                self.linked = hub
                self.cluster.exchange(self.name, hub)
            self.view.update_links()
            await asyncio.sleep(LINK_CHECK_SECONDS)

    def stop(self):
        for task in self.tasks:
            task.cancel()


class Cluster:
    """Hosts, the callers of one workspace, and faults. Times are seconds from the start.

    ``load`` returns the demand at a time as a share of the quota's rate. ``lag`` is the longest
    time of a fact on its way, a frame takes a hundredth of it. ``repeats`` returns the share of the
    requests admitted at a time that run once more, some time later.
    """

    def __init__(
        self,
        quota,
        tolerance,
        load,
        cost,
        hosts=86,
        lag=0.25,
        seed=1,
        discovery=0.5,
        repeats=lambda now: 0.0,
    ):
        self.quota, self.tolerance, self.load, self.cost = quota, tolerance, load, cost
        self.lag, self.discovery, self.repeats = lag, discovery, repeats
        self.rng = random.Random(seed)
        self.names = [f"h{number}" for number in range(hosts)]
        self.rank = {name: number for number, name in enumerate(self.names)}
        self.row_hosts = hosts
        self.hosts = {}
        self.epochs = dict.fromkeys(self.names, 0)
        self.group = dict.fromkeys(self.names, 0)
        self.apart_since = {}
        self.reset_at = {}
        self.ended_at = {}
        self.frozen_from, self.frozen_until = {}, {}
        self.served, self.refused, self.waits, self.requests = [], [], [], []
        self.max_part = 0.0
        self.kept = {}
        self.deployment = SimpleNamespace(
            workspaces=Workspaces([(Workspace(WORKSPACE, None, quota), ())])
        )

    def now(self):
        return self.loop.now

    def play(self, seconds, faults=(), warm=8.0):
        """Play ``seconds`` after ``warm`` seconds without requests, and return the cluster.

        Raises the first error of a request on a host that is still there.

        ``faults`` are rows of a time, a method and its arguments.
        """
        loop = SimulatedLoop()
        self.loop, self.clock = loop, LoopClock(loop)
        self.warm = warm
        try:
            loop.run_until_complete(self._play(seconds, faults))
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            loop.close()
        return self

    async def _play(self, seconds, faults):
        for name in self.names:
            self.start(name)
        steps = [(at, number, step) for number, (at, *step) in enumerate(faults)]
        heapq.heapify(steps)
        work = asyncio.gather(self._arrive(), self._sample())
        for at, _, (name, *args) in sorted(steps):
            await asyncio.sleep(max(0.0, self.warm + at - self.now()))
            getattr(self, name)(*args)
        await asyncio.sleep(self.warm + seconds - self.now())
        work.cancel()
        for host, request in self.requests:
            if request.done() and self.hosts.get(host.name) is host:
                request.result()

    async def _arrive(self):
        await asyncio.sleep(self.warm)
        while True:
            now = self.now() - self.warm
            rate = max(0.01, self.load(now)) * self.quota.rate / self.mean_cost()
            await asyncio.sleep(self.rng.expovariate(rate))
            ready = [
                host
                for host in self.hosts.values()
                if self.now() >= host.started_at + BOOT_SECONDS and not self.is_frozen(host.name)
            ]
            if ready:
                host = self.rng.choice(ready)
                request = self._request(host, self.rng.choice(self.cost))
                self.requests.append((host, asyncio.ensure_future(request)))

    async def _sample(self):
        """Record the most shares that were used at a time, as parts of all."""
        while True:
            parts = sum(host.shares.part() for host in self.hosts.values())
            self.max_part = max(self.max_part, parts)
            await asyncio.sleep(SAMPLE_SECONDS)

    def mean_cost(self):
        return sum(self.cost) / len(self.cost)

    async def _request(self, host, cost):
        identity = SimpleNamespace(workspace=Workspace(WORKSPACE, None, self.quota))
        head = SimpleNamespace(tokens=cost)
        deadline = self.clock.monotonic() + 6.0
        req = SimpleNamespace(identity=identity, head=head, deadline=deadline, id="r")
        sent_at = self.now()
        failure = await host.quotas.admit(req, Caller())
        if self.hosts.get(host.name) is not host:
            return
        if failure is None:
            self.served.append((self.now(), cost))
            self.waits.append(self.now() - sent_at)
            await self._repeat(host, req, cost)
        else:
            self.refused.append((self.now() - self.warm, cost))

    async def _repeat(self, host, req, cost):
        """Run a share of the requests again, as their answers were cut."""
        share = self.repeats(self.now() - self.warm)
        if not share or self.rng.random() >= share:
            return
        await asyncio.sleep(REPEAT_SECONDS * self.rng.random())
        if self.hosts.get(host.name) is host:
            host.quotas.charge_repeat(req)
            self.served.append((self.now(), cost))

    # Links

    def is_frozen(self, name):
        return self.frozen_until.get(name, 0.0) > self.now()

    async def awake(self, name):
        while self.is_frozen(name):
            await asyncio.sleep(self.frozen_until[name] - self.now())

    def reaches(self, one, other):
        alive = one in self.hosts and other in self.hosts
        return alive and self.group[one] == self.group[other]

    def last_received(self, one, other):
        """Return when a host received something from another one, in its monotonic seconds."""
        times = [self.now()]
        if other not in self.hosts:
            times.append(self.ended_at.get(other, -math.inf))
        if self.group[one] != self.group[other]:
            times.append(self.apart_since[frozenset((one, other))])
        if self.is_frozen(other):
            times.append(self.frozen_from[other])
        return 1000.0 + min(times)

    def _seems_linked(self, one, other):
        """Return whether a link between two hosts is up as one of them sees it."""
        silent = self.now() - (self.last_received(one, other) - 1000.0)
        return silent <= (SILENT_SECONDS if other in self.hosts else RESET_SECONDS)

    def seems_alive(self, one, other):
        """Return whether a host takes another one for alive, right or wrong."""
        silent = self.now() - (self.last_received(one, other) - 1000.0)
        more = DISCONNECTED_SECONDS if self.group[one] != self.group[other] else 0.0
        return silent <= (SILENT_SECONDS + more if other in self.hosts else RESET_SECONDS)

    def links(self, name):
        """Return the hosts that a host is linked to."""
        hub = self.hosts[name].view.hub()
        found = {hub} if hub != name else set()
        found |= {other for other in self.hosts if self.hosts[other].view.hub() == name}
        found |= {other for one, other in self._kept_links() if one == name and other in self.hosts}
        found |= {one for one, other in self._kept_links() if other == name and one in self.hosts}
        return sorted(other for other in found - {name} if self._seems_linked(name, other))

    def _kept_links(self):
        """Return the links to former hubs, which hosts keep for a while."""
        now = self.now()
        self.kept = {pair: until for pair, until in self.kept.items() if until > now}
        return self.kept

    def _linked(self, one, other):
        if one not in self.hosts:
            return False
        if {(one, other), (other, one)} & self._kept_links().keys():
            return True
        if other not in self.hosts:
            return other == self.hosts[one].linked
        return other == self.hosts[one].view.hub() or one == self.hosts[other].view.hub()

    def send(self, one, other, frame):
        """Deliver a frame over a link; return False without one."""
        if not self._linked(one, other):
            return False
        self._deliver(one, other, self.lag / 100, lambda host: host.quotas.on_frame(one, frame))
        return True

    def _deliver(self, one, other, lag, act):
        sender, receiver = self.hosts.get(one), self.hosts.get(other)

        sent_at = self.now()

        async def arrive():
            await asyncio.sleep(lag * (0.5 + self.rng.random() / 2))
            await self.awake(one)
            await self.awake(other)
            same = self.hosts.get(one) is sender and self.hosts.get(other) is receiver
            lost = sent_at < max(self.reset_at.get(name, -math.inf) for name in (one, other))
            if same and not lost and self.reaches(one, other):
                act(receiver)

        if sender is not None and receiver is not None:
            asyncio.ensure_future(arrive())

    def spread(self, name, slots):
        """Send a host's new facts over its links: its own to the hub, the hub's to all."""
        if name not in self.hosts:
            return
        for slot in slots:
            if slot[0] != name:
                continue
            to_hub = slot[1] in HUB_ONLY_TOPICS
            for other in [self.hosts[name].view.hub()] if to_hub else self.links(name):
                if other != name:
                    self._pass_fact(name, other, slot)

    def _pass_fact(self, one, other, slot):
        known = self.hosts[one].view.facts.get(*slot)
        sent_at = self.clock.monotonic()
        age = round(1000 * (sent_at - known.at))
        entry = replace(known.entry, age=age)

        def merge(host):
            host.view.facts.merge([entry])

        self._deliver(one, other, self.lag, merge)

    def exchange(self, name, hub):
        """Let a host and its new hub tell each other what they know."""
        for one, other in ((name, hub), (hub, name)):
            if one in self.hosts and other in self.hosts and one != other:
                facts = self.hosts[one].view.facts
                for slot in facts.slots():
                    goes = slot[0] == one or slot[1] not in HUB_ONLY_TOPICS
                    if goes and slot[0] != other:
                        self._pass_fact(one, other, slot)

    # Faults

    def start(self, name):
        self.epochs[name] += 1
        self.hosts[name] = Host(self, name, self.epochs[name])

    def kill(self, name, back=0.6):
        """Kill a host, which starts again after ``back`` seconds."""
        host = self.hosts.pop(name, None)
        if host is None:
            return
        host.stop()
        self.ended_at[name] = self.now()
        linked = [other for other in self.hosts if self._linked(other, name)]
        asyncio.get_running_loop().call_later(1.1 * RESET_SECONDS, self._reset_links, linked)
        if math.isfinite(back):
            asyncio.get_running_loop().call_later(back, self.start, name)

    def _reset_links(self, names):
        for name in names:
            if name in self.hosts and not self.is_frozen(name):
                self.hosts[name].view.update_links()

    def reset_links(self, name):
        """Reset a host's links, which are up again a moment later; what is on its way is lost."""
        self.reset_at[name] = self.now()
        facts = self.hosts[name].view.facts
        for slot in [slot for slot in facts.slots() if slot[0] == name]:
            asyncio.get_running_loop().call_later(LINK_CHECK_SECONDS, self.spread, name, [slot])
        facts.publish("links", LinksFact([]))

    def kill_hub(self, back=0.6):
        self.kill(self._hub(), back)

    def kill_all(self, back=0.6):
        for name in list(self.hosts):
            self.kill(name, back * (1 + self.rng.random()))

    def freeze(self, name, seconds):
        self.frozen_from[name] = self.now()
        self.frozen_until[name] = self.now() + seconds

    def freeze_hub(self, seconds):
        self.freeze(self._hub(), seconds)

    def _hub(self):
        """Return the host that most take for the hub."""
        views = [host.view.hub() for host in self.hosts.values()]
        return max(self.names, key=views.count)

    def part(self, share, alone, seconds):
        """Cut a share of the hosts off: into one group, or each ``alone``."""
        cut = self.rng.sample(self.names, round(share * len(self.names)))
        for number, name in enumerate(cut, 1):
            self.group[name] = number if alone else 1
        now = self.now()
        for one in self.names:
            for other in self.names:
                if self.group[one] != self.group[other]:
                    self.apart_since.setdefault(frozenset((one, other)), now)
        asyncio.get_running_loop().call_later(seconds, self.heal)

    def heal(self):
        self.group = dict.fromkeys(self.names, 0)
        self.apart_since = {}

    # What was served

    def max_in_window(self):
        """Return the most units that were served in a window."""
        best = total = 0.0
        inside = deque()
        for at, cost in self.served:
            inside.append((at, cost))
            total += cost
            while inside[0][0] <= at - self.tolerance.window:
                total -= inside.popleft()[1]
            best = max(best, total)
        return best

    def bound(self):
        rated = self.quota.rate * self.tolerance.window + self.quota.burst
        return rated * (1 + self.tolerance.over) + self.tolerance.units

    def units(self):
        return sum(cost for _, cost in self.served)
