"""All endpoints are silent at once and refuse now and then, as hosts change or stop."""

import asyncio
import unittest
from dataclasses import replace

from tests.relay.deployment import BOUNDS, CONFIG, Deployment
from tests.relay.test_forwarding import cut_off
from tests.relay.test_relay import ids, run
from tests.relay.test_silence import ALL_EVENTS, ENGINES

PAGES = ("p1", "p2")
# Seconds that endpoints work on each request and event, so that all are there when it begins.
WORK_SECONDS = 0.3
# Seconds from a change of the configuration to the silence, and from there to new requests.
CHANGED_BEFORE_SECONDS = 0.6
LATE_SECONDS = 0.2
# The grace period of the platform: silences end within it.
GRACE_SECONDS = 8.0
NOT_RUN = {429, 503}
# Time for which a request may last, longer than all silences.
TIMEOUT_MS = 5500
PATHS = (("plain", "/fetch/x", ""), ("once", "/bind/x", ""), ("stream", "/recap/", "m0"))


def leave_alone(host):
    """Let a host go on."""


def reload_settings(host):
    """Do what a host does on SIGHUP."""
    host._log_reload()


def stop_planned(host):
    """Do what a host does on SIGTERM."""
    return asyncio.ensure_future(host.drain())


MOMENTS = (
    (0.9, leave_alone),
    (1.3, leave_alone),
    (2.5, leave_alone),
    (1.3, reload_settings),
    (0.9, stop_planned),
    (1.3, stop_planned),
    (2.5, stop_planned),
)


class AllSilentTest(unittest.TestCase):
    """Guards against answers that end unfinished, or run twice, where no endpoint is lost."""

    def test_what_endpoints_work_at_ends_whole(self):
        """A plain answer, a request that runs once, and a stream: each direct and forwarded."""
        for seconds, disturb in MOMENTS:
            with self.subTest(seconds=seconds, disturb=disturb.__name__):
                self._check(seconds, disturb)

    @run
    async def _check(self, seconds, disturb):
        bounds = replace(BOUNDS, stopping=GRACE_SECONDS)
        async with Deployment(2, ENGINES, PAGES, gated=True, bounds=bounds) as found:
            routes = [row | {"timeout_ms": TIMEOUT_MS} for row in CONFIG["routes"]]
            found.configure(version=2, routes=routes)
            await self._wait_for_version(found, 2)
            await cut_off(found)
            runners = [*found.engines.values(), *found.pages.values()]
            found.configure(
                version=3, routes=[row | {"timeout_ms": TIMEOUT_MS - 100} for row in routes]
            )
            await asyncio.sleep(CHANGED_BEFORE_SECONDS - WORK_SECONDS)
            for runner in runners:
                runner.delay_seconds = WORK_SECONDS
            early = self._send(found, "early", (0, 1))
            await found.until(lambda: count_executed(runners).keys() >= early.keys())
            silent = [asyncio.ensure_future(runner.freeze(seconds)) for runner in runners]
            for runner in runners:
                runner.script = ["refuse", "serve"] * 20
            stopping = disturb(found.hosts[1])
            await asyncio.sleep(LATE_SECONDS)
            # A host that stops takes no new requests.
            late = self._send(found, "late", (0,) if stopping else (0, 1))
            for attempt, sent in early.items():
                self.assertEqual((200, True), await whole(sent), attempt)
            ends = {attempt: await whole(sent) for attempt, sent in late.items()}
            executed = count_executed(runners)
            for attempt, (status, complete) in ends.items():
                self.assertIn(status, {200} | NOT_RUN, attempt)
                self.assertTrue(complete if status == 200 else not executed.get(attempt), attempt)
            await self._wait_for_version(found, 3)
            once = {name: count for name, count in executed.items() if "once" in name}
            self.assertEqual({1}, set(once.values()), once)
            await asyncio.gather(*silent, *([stopping] if stopping else []))

    def _send(self, found, name, hosts):
        """Send each kind of request to each of the hosts; return the tasks by attempt id."""
        return {
            f"{name}-{kind}-{host}": asyncio.ensure_future(
                found.send(path, f"{name}-{kind}-{host}", model=model, to=host)
            )
            for kind, path, model in PATHS
            for host in hosts
        }

    async def _wait_for_version(self, found, version):
        handlers = [host.request_handler for host in found.hosts]
        await found.until(lambda: all(row.deployment.version == version for row in handlers))


def count_executed(runners):
    """Return how often each attempt was executed."""
    names = [attempt for runner in runners for attempt in runner.executed]
    return {name: names.count(name) for name in names}


async def whole(sent):
    """Return the status of an answer, and whether it is complete."""
    status, _, body = await sent
    if status != 200:
        return status, False
    return status, body == b"whole answer" or ids(body) == ALL_EVENTS
