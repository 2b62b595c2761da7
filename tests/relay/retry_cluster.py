"""The retries of many hosts in simulated time: real services and budgets, endpoints that refuse.

Endpoints that fail refuse every request, so each is sent as often as its host allows.
"""

import asyncio
import math
import random
from types import SimpleNamespace

from extras.soak.checks import count_between
from peridotdock.decisions.choice import Candidate, Prediction, RequestCost
from peridotdock.decisions.health import Health
from peridotdock.deployment import Route, RouteKind, Share
from peridotdock.errors import Failure, Kind
from peridotdock.relay.endpoint import EndpointState
from peridotdock.relay.requests import EndpointEntry, RelayRequest
from peridotdock.relay.retry_budgets import RetryBudgets
from peridotdock.relay.service import RelayService
from tests.builders import make_ctx
from tests.relay.deployment import BOUNDS
from tests.relay.quota_cluster import Caller, LoopClock, SimulatedLoop

SERVICE = "pages"
ROUTE = Route(
    "fetch", "", "/", RouteKind.IDEMPOTENT, (Share(SERVICE, 1.0),), 6.0, 0.2, 1, 3, False, 0.0, 6.0
)
CANDIDATE = Candidate("p1", 0.0, 0, 8, 0, False, 1.0, True)
# Seconds a request is on its way from its caller, and from a host to an endpoint.
LINK_SECONDS = 0.005
# Seconds before a refused request is sent again.
BACKOFF_SECONDS = 0.04


class Chooser:
    """Chooses the only endpoint, after the wait that the cluster asks for."""

    def __init__(self, cluster):
        self._cluster = cluster

    async def choose_endpoint(self, req, caller, progress):
        if progress.refusals:
            await asyncio.sleep(self._cluster.wait())
        return Prediction(CANDIDATE, 0.01)

    def withdraw(self, prediction):
        pass

    def give_back(self, prediction):
        pass


class Host:
    """One process of a host; a restart makes another one."""

    def __init__(self, cluster, name, first_start):
        self.name = name
        ctx = make_ctx(cluster.clock, name)
        state = EndpointState(EndpointEntry("p1", SERVICE, "", "north", 8, False), Health())
        fleet = SimpleNamespace(
            states={"p1": state},
            usable=lambda *args: [state],
            estimate_work=lambda service, inference: RequestCost(0, 0, 0.0, 0.01),
            request_sent=lambda *args: None,
            request_ended=lambda *args, **more: None,
        )
        forwarder = SimpleNamespace(choose_host=lambda req, progress: None)
        blocklist = SimpleNamespace(refusal=lambda req: None)
        self.retries = RetryBudgets(ctx, BOUNDS, first_start)
        self.retries.host_count = lambda: cluster.known
        self.retries.knows_hosts = lambda: cluster.known > 1
        self.service = RelayService(
            ctx, None, fleet, None, self.retries, Chooser(cluster), blocklist, forwarder, None
        )
        self.service.sender = SimpleNamespace(send=cluster.send)
        self.tasks = set()

    def stop(self):
        for task in self.tasks:
            task.cancel()


class RetryCluster:
    """Hosts, callers that don't retry, and one service. Times are seconds from the first request.

    ``load`` returns the requests per second at a time, ``wait`` the seconds before a refused
    request is sent again, ``silent`` whether the endpoints read nothing at a time. They refuse
    requests from ``fails_from`` on.
    """

    def __init__(self, load, hosts=8, wait=None, silent=lambda at: False, fails_from=0.0, seed=1):
        self.load, self.count, self.silent = load, hosts, silent
        self.fails_from = fails_from
        self.rng = random.Random(seed)
        self._wait = wait or (lambda draw: BACKOFF_SECONDS * (0.5 + draw()))
        self.requests, self.arrivals = [], []
        self.errors = []
        self._arrived = set()

    def wait(self):
        return self._wait(self.rng.random)

    def now(self):
        return self.loop.now - self.warm

    def play(self, seconds, changes=(), warm=30.0):
        """Play ``seconds`` after ``warm`` seconds without requests, and return the cluster.

        ``changes`` are rows of a time, a method and its arguments.
        """
        self.loop, self.warm = SimulatedLoop(), warm
        self.clock = LoopClock(self.loop)
        try:
            self.loop.run_until_complete(self._play(seconds, changes))
        finally:
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.loop.run_until_complete(asyncio.sleep(0))
            self.loop.close()
        if self.errors:
            raise self.errors[0]
        return self

    async def _play(self, seconds, changes):
        self.known = self.count
        self.hosts = [Host(self, f"h{number}", True) for number in range(self.count)]
        self._tell()
        await asyncio.sleep(self.warm)
        arriving = asyncio.ensure_future(self._arrive())
        for at, name, *args in changes:
            await asyncio.sleep(max(0.0, at - self.now()))
            getattr(self, name)(*args)
        await asyncio.sleep(max(0.0, seconds - self.now()))
        arriving.cancel()

    def _tell(self):
        for host in self.hosts:
            host.retries.refresh()

    # Changes

    def know(self, hosts):
        """Let all hosts know of so many."""
        self.known = hosts
        self._tell()

    def start(self, count, first_start=False):
        """Start further hosts."""
        for number in range(count):
            self.hosts.append(Host(self, f"n{self.now()}-{number}", first_start))
        self.know(self.known + count)

    def leave(self, count):
        """Stop hosts for good; all others know at once."""
        for _ in range(count):
            self.hosts.pop(0).stop()
        self.know(self.known - count)

    def restart(self, count):
        """Kill hosts and start them again under their names."""
        for place in range(count):
            self.hosts[place].stop()
            self.hosts[place] = Host(self, self.hosts[place].name, False)
        self._tell()

    # Requests

    async def _arrive(self):
        number = 0
        while True:
            rate = self.load(self.now())
            await asyncio.sleep(self.rng.expovariate(rate) if rate else 0.1)
            if not rate:
                continue
            number += 1
            host = self.rng.choice(self.hosts)
            task = asyncio.ensure_future(self._request(host, f"r{number}"))
            host.tasks.add(task)
            task.add_done_callback(host.tasks.discard)
            task.add_done_callback(self._note_error)

    def _note_error(self, task):
        if not task.cancelled() and task.exception() is not None:
            self.errors.append(task.exception())

    async def _request(self, host, name):
        self.requests.append(self.now())
        await asyncio.sleep(LINK_SECONDS)
        head = SimpleNamespace(attempt_id=name, inference=None, resume_after="")
        now = self.clock.monotonic()
        req = RelayRequest(head, ROUTE, "GET", "/", b"", now, now + ROUTE.timeout)
        progress = host.service.choose_service(ROUTE)
        await host.service.open_answer(req, Caller(), progress)

    async def send(self, req, state, caller, priority, resume_after, still_wanted):
        """Refuse a request at the endpoint, once that reads it, or end it without a retry."""
        await asyncio.sleep(LINK_SECONDS)
        while self.silent(self.now()):
            await asyncio.sleep(0.01)
        if req.id in self._arrived:
            self.arrivals.append(self.now())
        self._arrived.add(req.id)
        await asyncio.sleep(LINK_SECONDS)
        if self.now() < self.fails_from:
            return Failure(Kind.NOT_ALLOWED, "served")
        return Failure(Kind.ENDPOINT_REFUSED, "status 503")

    # What operators count

    def worst_window(self):
        """Return the retries and the bound of the window that is nearest to its bound or over it.

        The requests are those of the window, of the one before it, or of the one half a window
        before it, whichever has most.
        """
        window = BOUNDS.retry_window
        found = -math.inf, 0, 0.0
        for start in self.arrivals:
            retries = count_between(self.arrivals, start, window)
            most = max(
                count_between(self.requests, start - back, window)
                for back in (0, window / 2, window)
            )
            bound = BOUNDS.retry_share * most + BOUNDS.retry_extra
            found = max(found, (retries - bound, retries, bound))
        return found[1:]
