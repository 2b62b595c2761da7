"""Streams that callers take up at other hosts, in a service of several software versions."""

import asyncio
import unittest
from dataclasses import replace
from math import inf
from unittest import mock

from nose2.tools import params

from peridotdock.decisions.stream_versions import (
    MAX_KEPT_SECONDS,
    MAX_LIST_AGE_SECONDS,
    MIN_KEPT_SECONDS,
    Binding,
    Period,
    Reply,
    Source,
    StreamTable,
    Verdict,
    VersionHistory,
    judge_alone,
    judge_as_hub,
    judge_replied,
    kept_rows,
    kept_seconds,
)
from peridotdock.relay.stream_rows import DECODE_ERRORS, PREFIX, decode_row, encode_rows
from peridotdock.relay.stream_versions import hash_attempt
from peridotdock.schema.messages import StreamsBegun
from tests.relay.deployment import ROUTES
from tests.relay.test_forwarding import abort, cut_off
from tests.relay.test_partition import MAX_REFUSAL_SECONDS, wait_linked
from tests.relay.test_relay import ids, run
from tests.relay.test_software_versions import PAIRS, allow_retries, begin, deploy, turn, versions

OLD, NEW = Binding("s", "v1"), Binding("s", "v2")
SECONDS = 10.0
UNKNOWN = Verdict(Source.UNKNOWN, "s")
ALL_OLD = tuple((name, "v1") for name, _ in PAIRS)
# Streams that are begun and taken up, by turns at engines that serve both versions.
STREAMS = 6
# Seconds within which all hosts have told the hub of their streams.
TOLD_SECONDS = 0.5
# Seconds for which no host was out of touch with the hub, where a test waits for that.
CLOCK_STEP_SECONDS = 0.05
# Seconds of the longest streaming route of the deployment.
ROUTE_SECONDS = 6.0
# Seconds within which streams are in the store.
WRITTEN_SECONDS = 1.7
# Seconds within which a stream goes on although its host or the hub has just been killed.
TAKEN_UP_SECONDS = 2.0


async def begin_streams(found, hosts):
    """Begin streams, by turns at the hosts and at engines of both versions."""
    for number in range(STREAMS):
        await begin(found, f"a{number}", number % hosts, turn(number))


async def take_up(found, first, second, to):
    """Take a stream up at a host; its own endpoint and one other refuse. Return status and ids."""
    allow_retries(found)
    for engine in found.engines.values():
        engine.script = ["refuse"] if first in engine.executed else []
    more = {"resumes": first, "last_event_id": "3"}
    status, _, body = await found.send("/recap/", second, model="m0", to=to, **more)
    return status, ids(body)


def hub_of(found):
    """Return the number of the host that is the hub."""
    names = [host.settings.host for host in found.hosts]
    return names.index(found.hosts[0].peers.hub())


async def wait_in_touch(found):
    """Wait until the hub was told of all streams of all hosts, which it is linked to."""
    versions = found.hosts[hub_of(found)].stream_versions
    clock = found.hosts[0].ctx.clock

    def in_touch():
        versions._check_touch(clock.monotonic())
        return versions._apart_at < clock.monotonic() - 2 * CLOCK_STEP_SECONDS

    await found.until(in_touch)


def count_sources(found, host):
    """Return how many streams each source was found for at a host."""
    counter = found.hosts[host].ctx.metrics.streams_taken_up
    return {
        sample.labels["source"]: sample.value
        for metric in counter.collect()
        for sample in metric.samples
        if sample.name.endswith("_total")
    }


class StreamTableTest(unittest.TestCase):
    def test_a_stream_is_kept_for_once_to_twice_the_time(self):
        for begun in (0.0, 5.0, 9.9):
            table = StreamTable(0.0)
            table.record(1, OLD, begun, SECONDS)
            self.assertEqual(OLD, table.find(1, begun + SECONDS, SECONDS), begun)
            self.assertIsNone(table.find(1, begun + 2 * SECONDS + 0.1, SECONDS), begun)

    def test_the_first_binding_stays(self):
        """A second report of a stream binds it to another version than began it."""
        table = StreamTable(0.0)
        table.record(1, OLD, 0.0, SECONDS)
        table.record(1, NEW, 12.0, SECONDS)
        self.assertEqual([(1, OLD)], list(table.items(13.0, SECONDS)))

    def test_the_oldest_streams_are_evicted(self):
        """Streams are dropped as they begin, and count as older than a second version."""
        table = StreamTable(0.0)
        with mock.patch("peridotdock.decisions.stream_versions.MAX_STREAMS", 10):
            for stream in range(20):
                table.record(stream, OLD, 1.0, SECONDS)
            self.assertEqual(20, len(list(table.items(1.0, SECONDS))))
            table.record(20, NEW, 2.0, SECONDS)
        self.assertEqual([None, OLD, NEW], [table.find(row, 2.0, SECONDS) for row in (0, 10, 20)])
        self.assertEqual(2.0, table.evicted_at)


class VersionHistoryTest(unittest.TestCase):
    def test_a_version_counts_until_callers_of_its_streams_have_given_up(self):
        history = VersionHistory()
        history.observe({"s": {"v1"}, "t": {"v1"}}, 0.0)
        self.assertEqual(frozenset(), history.mixed(1.0, SECONDS))
        history.observe({"s": {"v1", "v2"}, "t": {"v1"}}, 2.0)
        history.observe({"s": {"v2"}, "t": {"v1"}}, 3.0)
        self.assertEqual({"s"}, history.mixed(12.9, SECONDS))
        self.assertEqual(
            {"v1": Period(0.0, 3.0), "v2": Period(2.0)}, history.versions("s", 4.0, SECONDS)
        )
        self.assertEqual(frozenset(), history.mixed(13.1, SECONDS))

    def test_a_version_that_comes_back_after_long_is_a_new_one(self):
        """A stream counts as begun before a second version that has served long ago as well."""
        history = VersionHistory()
        history.observe({"s": {"v1", "v2"}}, 0.0)
        history.observe({"s": {"v1"}}, 1.0)
        later = 2.0 + MAX_KEPT_SECONDS
        history.observe({"s": {"v1", "v2"}}, later)
        self.assertEqual(later, history.versions("s", later, SECONDS)["v2"].first)

    def test_a_service_that_is_gone(self):
        history = VersionHistory()
        history.observe({"s": {"v1"}}, 0.0)
        history.observe({}, 1.0)
        history.observe({}, 5.0)
        self.assertEqual({"v1": Period(0.0, 1.0)}, history.versions("s", 6.0, SECONDS))

    @params(
        ((), MIN_KEPT_SECONDS),
        ((1.0, 6.0, 30.0), 30.0),
        ((600.0,), MAX_KEPT_SECONDS),
    )
    def test_streams_are_kept_for_the_longest_route(self, timeouts, expected):
        self.assertEqual(expected, kept_seconds(iter(timeouts)))


class VerdictTest(unittest.TestCase):
    """Guards against a stream that is taken up at a version that its host merely supposes."""

    @params(
        ("known here", NEW, {"v1"}, True, Verdict(Source.HERE, "s", "v2")),
        ("one version", None, {"v1"}, True, Verdict(Source.SINGLE, "s", "v1")),
        ("one version, but the list is old", None, {"v1"}, False, None),
        ("two versions", None, {"v1", "v2"}, True, None),
        ("no endpoint", None, (), True, None),
    )
    def test_without_the_hub(self, name, binding, seen, sure, expected):
        self.assertEqual(expected, judge_alone(binding, "s", seen, sure), name)

    @params(
        ("told", NEW, (Period(0.0), Period(50.0)), 10.0, 55.0, "v2"),
        ("begun before the second", None, (Period(0.0), Period(50.0)), 10.0, 55.0, "v1"),
        ("the second has served for long", None, (Period(0.0), Period(50.0)), 10.0, 61.0, None),
        ("the hub is new", None, (Period(0.0), Period(50.0)), 51.0, 55.0, None),
        ("both at once", None, (Period(50.0), Period(50.0)), 10.0, 55.0, None),
        ("one version", None, (Period(0.0),), 10.0, 55.0, None),
        ("the third", None, (Period(0.0), Period(9.0), Period(50.0)), 1.0, 55.0, None),
    )
    def test_as_the_hub(self, name, binding, periods, told_since, now, expected):
        rows = {f"v{number}": row for number, row in enumerate(periods, 1)}
        found = judge_as_hub(binding, "s", rows, told_since, now, SECONDS)
        self.assertEqual(expected, found.software, name)
        self.assertEqual(expected is None, found.source is Source.UNKNOWN, name)

    @params(
        ("told", {"v1"}, Reply(Verdict(Source.TOLD, "s", "v2"), True, frozenset()), False, "v2"),
        ("one version", {"v1"}, Reply(UNKNOWN, True, frozenset({"v1"})), True, "v1"),
        ("the hub knows another", {"v1"}, Reply(UNKNOWN, True, frozenset({"v2"})), True, None),
        ("only the hub knows one", (), Reply(UNKNOWN, True, frozenset({"v2"})), True, "v2"),
        ("two versions", {"v1", "v2"}, Reply(UNKNOWN, True, frozenset()), True, None),
        ("no reply, one version", {"v1"}, None, True, "v1"),
        ("cut off", {"v1"}, None, False, None),
        ("cut off, its own hub", {"v1"}, Reply(UNKNOWN, True, frozenset({"v1"})), False, None),
    )
    def test_with_the_hub(self, name, seen, reply, in_touch, expected):
        self.assertEqual(expected, judge_replied("s", seen, reply, in_touch).software, name)


class TriesTest(unittest.TestCase):
    """Guards against a stream that a caller takes up at another version than began it."""

    def check_one_version(self, found, number):
        """Check that the attempts at a stream ran at one version only."""
        seen = set().union(*(versions(found, f"{try_}{number}") for try_ in "abc"))
        self.assertEqual(1, len(seen), number)

    @run
    async def test_three_tries_at_three_hosts(self):
        """The last host asks for the first attempt, and only the host between them is alive."""
        async with deploy(hosts=3) as found:
            await wait_linked(found)
            for number in range(STREAMS):
                await begin(found, f"a{number}", 0, turn(number))
                found_here = await take_up(found, f"a{number}", f"b{number}", 1)
                self.assertEqual((200, [4, 5, 6]), found_here)
            await asyncio.sleep(TOLD_SECONDS)
            await abort(found.hosts[0])
            for number in range(STREAMS):
                found_here = await take_up(found, f"a{number}", f"c{number}", 2)
                self.assertEqual((200, [4, 5, 6]), found_here)
                self.check_one_version(found, number)
            found.hosts.pop(0)

    @params("the hub", "another host")
    def test_the_first_host_is_killed(self, victim):
        @run
        async def check(self):
            async with deploy(hosts=3) as found:
                await wait_linked(found)
                hub = hub_of(found)
                first = hub if victim == "the hub" else (hub + 1) % 3
                for number in range(STREAMS):
                    await begin(found, f"a{number}", first, turn(number))
                await asyncio.sleep(TOLD_SECONDS)
                killed = found.hosts.pop(first)
                await abort(killed)
                began = asyncio.get_running_loop().time()
                tries = [
                    asyncio.ensure_future(take_up(found, f"a{number}", f"b{number}", number % 2))
                    for number in range(STREAMS)
                ]
                self.assertEqual([(200, [4, 5, 6])] * STREAMS, await asyncio.gather(*tries))
                self.assertLess(asyncio.get_running_loop().time() - began, TAKEN_UP_SECONDS)
                for number in range(STREAMS):
                    self.check_one_version(found, number)

        check(self)

    @run
    async def test_a_host_that_has_just_started(self):
        async with deploy(hosts=2) as found:
            await wait_linked(found)
            await begin_streams(found, 2)
            await asyncio.sleep(TOLD_SECONDS)
            host = await found.add_host("late", (found.hosts[0].settings.listen.peers,))
            await found.until(lambda: host.request_handler.deployment)
            await found.until(
                lambda: len(host.fleet.states) == len(found.engines) + len(found.pages)
            )
            for number in range(STREAMS):
                found_here = await take_up(found, f"a{number}", f"b{number}", 2)
                self.assertEqual((200, [4, 5, 6]), found_here)
                self.check_one_version(found, number)

    @run
    async def test_a_host_that_reaches_no_endpoint(self):
        """The host that a stream is forwarded to takes any version, or the first one knows none."""
        async with deploy(hosts=3, gated=True) as found:
            await cut_off(found)
            for number in range(STREAMS):
                first, second = (0, 1) if number % 3 else (1, 0)
                await begin(found, f"a{number}", first, turn(number))
                found_here = await take_up(found, f"a{number}", f"b{number}", second)
                self.assertEqual((200, [4, 5, 6]), found_here)
                self.check_one_version(found, number)

    @run
    async def test_a_host_does_not_remember_the_streams_of_another_hosts_callers(self):
        """A forwarded stream is replaced by one of another version, before the caller has events.

        The host that it was forwarded to first binds it all the same when its own events arrive.
        """
        async with deploy(hosts=3, gated=True) as found:
            await cut_off(found)
            await begin(found, "a0", 0, "v1")
            own = [host.stream_versions._own for host in found.hosts]
            now, stream = found.hosts[0].ctx.clock.monotonic(), hash_attempt("a0")
            bindings = [table.find(stream, now, SECONDS) for table in own]
            self.assertEqual([Binding("engines", "v1"), None, None], bindings)

    @run
    async def test_a_version_that_serves_no_more(self):
        """The caller waits until its deadline for a version that is gone, or gets another one."""
        async with deploy(PAIRS[:2], hosts=2) as found:
            await wait_linked(found)
            await begin(found, "a0", 0, "v1")
            await asyncio.sleep(TOLD_SECONDS)
            old = next(row for row in found.engines.values() if "a0" in row.executed)
            old.software = "v2"
            old.on_change()
            await found.until(
                lambda: not any(host.fleet.has_software("engines", "v1") for host in found.hosts)
            )
            began = asyncio.get_running_loop().time()
            self.assertEqual((503, []), await take_up(found, "a0", "b0", 1))
            self.assertLess(asyncio.get_running_loop().time() - began, MAX_REFUSAL_SECONDS)
            self.assertLessEqual(count_sources(found, 1).keys(), {"here", "told"})

    @run
    async def test_a_host_that_is_cut_off_from_the_others(self):
        """It goes on with others' streams at any version, or with none of them."""
        async with deploy(hosts=3) as found:
            await wait_linked(found)
            await begin(found, "a0", 1, "v2")
            await found.hosts[1].peers.mesh.stop()
            await begin(found, "a1", 0, "v2")
            await found.until(lambda: len(found.hosts[1].peers.live_hosts()) == 1)
            self.assertEqual((200, [4, 5, 6]), await take_up(found, "a0", "b0", 1))
            self.check_one_version(found, 0)
            await begin(found, "a2", 0, "v2")
            await take_up(found, "a2", "b2", 1)
            self.check_one_version(found, 2)
            await asyncio.sleep(WRITTEN_SECONDS)
            self.assertEqual((200, [4, 5, 6]), await take_up(found, "a1", "b1", 1))
            self.check_one_version(found, 1)
            self.assertEqual((503, []), await take_up(found, "a9", "b9", 1))

    @run
    async def test_a_host_that_is_cut_off_before_there_are_two_versions(self):
        """It takes streams that other hosts begin at the new version for older ones."""
        async with deploy(ALL_OLD, hosts=3) as found:
            await wait_linked(found)
            alone = found.hosts[1]
            await alone.peers.mesh.stop()
            await found.until(lambda: len(alone.peers.live_hosts()) == 1)
            await asyncio.sleep(TOLD_SECONDS)
            for engine in list(found.engines.values())[1::2]:
                engine.software = "v2"
                engine.on_change()
            await found.until(
                lambda: all(host.fleet.has_software("engines", "v2") for host in found.hosts)
            )
            for number in range(STREAMS):
                await begin(found, f"a{number}", 0, turn(number))
                await take_up(found, f"a{number}", f"b{number}", 1)
                self.check_one_version(found, number)

    @run
    async def test_a_host_that_is_cut_off_from_the_store_as_well(self):
        """It does not know that there is a second version, and takes the only one that it knows."""
        async with deploy(ALL_OLD, hosts=2) as found:
            await wait_linked(found)
            alone = found.hosts[1]
            await alone.peers.mesh.stop()
            for follower in alone._tasks[:2]:
                follower.cancel()
            await asyncio.sleep(MAX_LIST_AGE_SECONDS + 0.2)
            for engine in found.engines.values():
                engine.software = "v2"
                engine.on_change()
            await found.until(lambda: found.hosts[0].fleet.has_software("engines", "v2"))
            await begin(found, "a0", 0)
            self.assertFalse(alone.fleet.has_software("engines", "v2"))
            self.assertEqual((503, []), await take_up(found, "a0", "b0", 1))
            self.assertEqual(set(), versions(found, "b0"))

    @run
    async def test_a_host_whose_list_lacks_the_second_version(self):
        """It goes on with another host's stream at the only version that it knows."""
        async with deploy(ALL_OLD, hosts=3) as found:
            await wait_linked(found)
            names = [host.settings.host for host in found.hosts]
            hub = hub_of(found)
            standby = names.index(found.hosts[hub].stream_versions._find_target())
            [number_late] = {0, 1, 2} - {hub, standby}
            late = found.hosts[number_late]
            late._entries.apply_rows = lambda rows, whole: None
            late.stream_versions._list_age = lambda: MAX_LIST_AGE_SECONDS / 2
            late.stream_versions._observed_at = -inf
            for engine in list(found.engines.values())[1::2]:
                engine.software = "v2"
                engine.on_change()
            fleets = [found.hosts[number].fleet for number in (hub, standby)]
            await found.until(lambda: all(row.has_software("engines", "v2") for row in fleets))
            for number in range(STREAMS):
                await begin(found, f"a{number}", standby, "v2")
                for engine in found.engines.values():
                    engine.script = ["refuse"] if engine.software == "v2" else []
                more = {"resumes": f"a{number}", "last_event_id": "3"}
                await found.send("/recap/", f"b{number}", model="m0", to=number_late, **more)
                self.check_one_version(found, number)

    @run
    async def test_an_unknown_stream(self):
        """A stream of which nobody knows goes on where there is one version, and nowhere else."""
        for pairs, expected, source in ((ALL_OLD, 200, "single"), (PAIRS, 503, "unknown")):
            async with deploy(pairs, hosts=2) as found:
                await wait_linked(found)
                await asyncio.sleep(TOLD_SECONDS)
                began = asyncio.get_running_loop().time()
                status, _ = await take_up(found, "a0", "b0", 1)
                self.assertEqual(expected, status)
                self.assertLess(asyncio.get_running_loop().time() - began, MAX_REFUSAL_SECONDS)
                self.assertEqual({source: 1}, count_sources(found, 1))

    @run
    async def test_a_hub_of_an_earlier_version(self):
        """It ends the link over which it gets a frame that it doesn't know, and callers wait."""
        for pairs, expected in ((ALL_OLD, 200), (PAIRS, 503)):
            async with deploy(pairs, hosts=2) as found:
                await wait_linked(found)
                hub = hub_of(found)
                membership = found.hosts[hub].peers.membership
                membership.own = replace(membership.own, streams=False)
                membership.set_state("live")
                other = found.hosts[1 - hub].peers
                name = found.hosts[hub].settings.host
                await found.until(
                    lambda rows=other.membership, name=name: not rows.members()[name].fact.streams
                )
                link = other.mesh.find_link(name)
                began = asyncio.get_running_loop().time()
                self.assertEqual(expected, (await take_up(found, "a0", "b0", 1 - hub))[0])
                self.assertLess(asyncio.get_running_loop().time() - began, MAX_REFUSAL_SECONDS)
                self.assertIs(link, other.mesh.find_link(name))

    @run
    async def test_a_stream_that_began_before_the_second_version(self):
        """Its host had nobody to tell of one version, and is killed and back before there are two.

        While it is not back, nobody can tell that it does not serve on behind a cut.
        """
        async with deploy(ALL_OLD, hosts=3) as found:
            await wait_linked(found)
            first = (hub_of(found) + 1) % 3
            for number in range(STREAMS):
                await begin(found, f"a{number}", first)
            killed = found.hosts.pop(first)
            await abort(killed)
            await found.add_host(
                killed.settings.host, tuple(host.settings.listen.peers for host in found.hosts)
            )
            await wait_linked(found)
            await wait_in_touch(found)
            for engine in list(found.engines.values())[1::2]:
                engine.software = "v2"
                engine.on_change()
            await found.until(
                lambda: all(host.fleet.has_software("engines", "v2") for host in found.hosts)
            )
            for number in range(STREAMS):
                found_here = await take_up(found, f"a{number}", f"b{number}", number % 2)
                self.assertEqual((200, [4, 5, 6]), found_here)
                engines = [row for row in found.engines.values() if f"b{number}" in row.executed]
                self.assertEqual({"v1"}, {engine.software for engine in engines})


class UntoldTest(unittest.TestCase):
    """Guards against a stream taken for an older one, as its host could tell the hub of none."""

    @run
    async def test_a_host_that_is_cut_off_before_there_are_two_versions(self):
        async with deploy(ALL_OLD, hosts=3) as found:
            await wait_linked(found)
            hub = hub_of(found)
            alone = (hub + 1) % 3
            await found.hosts[alone].peers.mesh.stop()
            for engine in list(found.engines.values())[1::2]:
                engine.software = "v2"
                engine.on_change()
            await found.until(
                lambda: all(host.fleet.has_software("engines", "v2") for host in found.hosts)
            )
            for number in range(STREAMS):
                first, second = f"a{number}", f"b{number}"
                await begin(found, first, alone, "v2")
                await take_up(found, first, second, hub)
                self.assertEqual({"v2"}, versions(found, first) | versions(found, second))


class ShorterTimeoutTest(unittest.TestCase):
    """Guards against a stream whose version is forgotten, as later ones may last less long."""

    @run
    async def test_a_configuration_shortens_the_time_of_the_streaming_routes(self):
        """The version that it began at has ended, and it goes on at the only one that is left."""
        async with deploy(PAIRS[:2], hosts=2) as found:
            await wait_linked(found)
            longer = [row | {"timeout_ms": 30_000} for row in ROUTES]
            for version, routes in ((2, longer), (3, ROUTES)):
                found.configure(version=version, routes=routes)
                await found.until(
                    lambda number=version: all(
                        host.request_handler.deployment.version == number for host in found.hosts
                    )
                )
                if version == 2:
                    await begin(found, "a0", 0, "v1")
                    begun_at = asyncio.get_running_loop().time()
            old = next(row for row in found.engines.values() if "a0" in row.executed)
            old.software = "v2"
            old.on_change()
            await asyncio.sleep(begun_at + 2 * ROUTE_SECONDS - asyncio.get_running_loop().time())
            self.assertEqual((503, []), await take_up(found, "a0", "b0", 1))
            ran = [row.software_by_attempt for row in found.engines.values()]
            self.assertEqual({"v1"}, set().union(*(row.get("a0", ()) for row in ran)))
            self.assertEqual([], [row["b0"] for row in ran if "b0" in row])


class StoredTest(unittest.TestCase):
    """Guards against streams that all hosts forget at once, which are all refused."""

    @run
    async def test_all_hosts_are_replaced(self):
        async with deploy(hosts=3) as found:
            await wait_linked(found)
            await begin_streams(found, 3)
            await asyncio.sleep(WRITTEN_SECONDS)
            await found.replace_hosts()
            tries = [take_up(found, f"a{n}", f"b{n}", n % 3) for n in range(STREAMS)]
            self.assertEqual([(200, [4, 5, 6])] * STREAMS, [await try_ for try_ in tries])
            for number in range(STREAMS):
                ran = versions(found, f"a{number}") | versions(found, f"b{number}")
                self.assertEqual(1, len(ran), number)
            self.assertEqual((503, []), await take_up(found, "a9", "b9", 0))

    @run
    async def test_all_hosts_are_replaced_after_a_version_has_gone(self):
        """They see one version, and let streams that began at the other one go on there."""
        async with deploy(hosts=3) as found:
            await wait_linked(found)
            for number in range(STREAMS):
                await begin(found, f"a{number}", number % 3, "v2")
            await asyncio.sleep(WRITTEN_SECONDS)
            for engine in found.engines.values():
                if engine.software == "v2":
                    engine.crash()
            await found.until(lambda: not found.hosts[0].fleet.has_software("engines", "v2"))
            await found.replace_hosts()
            for number in range(STREAMS):
                first, second = f"a{number}", f"b{number}"
                self.assertEqual((503, []), await take_up(found, first, second, number % 3))
                self.assertEqual({"v2"}, versions(found, first) | versions(found, second))

    @run
    async def test_the_store_is_away(self):
        """Callers wait for the store, or a stream goes on at any version, as it can't be read."""
        async with deploy(hosts=2) as found:
            await wait_linked(found)
            await found.replace_hosts()
            found.store.faults["down"] = True
            began = asyncio.get_running_loop().time()
            self.assertEqual((503, []), await take_up(found, "a0", "b0", 0))
            self.assertLess(asyncio.get_running_loop().time() - began, TAKEN_UP_SECONDS)

    @run
    async def test_streams_that_could_not_be_written_are_written_later(self):
        async with deploy(hosts=2) as found:
            await wait_linked(found)
            found.store.faults["down"] = True
            await begin_streams(found, 2)
            await asyncio.sleep(WRITTEN_SECONDS)
            found.store.faults["down"] = False
            await asyncio.sleep(WRITTEN_SECONDS)
            rows = await found.hosts[0].store.scan(PREFIX)
            stored = [stream for row in rows.values() for stream, _ in decode_row(row.value)]
            wanted = {hash_attempt(f"a{number}") for number in range(STREAMS)}
            self.assertEqual(wanted, set(stored))

    def test_rows_hold_what_was_written(self):
        streams = {number * 2**50: OLD if number % 2 else NEW for number in range(2100)}
        rows = list(encode_rows(streams, 5.0))
        self.assertEqual(6, len(rows))
        self.assertEqual(streams, dict(row for value in rows for row in decode_row(value)))

    @params({}, {"service": "s", "software": "v1", "streams": "AAAA"}, {"streams": 1})
    def test_a_bad_row_is_an_error_and_no_more(self, value):
        with self.assertRaises(DECODE_ERRORS):
            decode_row(value)

    def test_which_rows_are_read(self):
        written_at = {"new": 99.0, "older": 85.0, "old": 70.0, "clock ahead": 105.0, "bad": 0.0}
        self.assertEqual({"new", "older", "clock ahead"}, kept_rows(written_at, 100.0, SECONDS))


class CostTest(unittest.TestCase):
    """Guards against a price for streams that nobody takes up."""

    async def count_frames(self, pairs):
        """Return the rows that hosts write while they begin streams, and who is told of which."""
        frames = []
        async with deploy(pairs, hosts=3) as found:
            await wait_linked(found)
            await asyncio.sleep(TOLD_SECONDS)
            for host in found.hosts:
                mesh = host.peers.mesh
                send = mesh.send_to

                def record(to, frame, send=send):
                    frames.append((to, frame))
                    return send(to, frame)

                mesh.send_to = record
            for number in range(2 * STREAMS):
                await found.send("/recap/", f"a{number}", model="m0", to=number % 3)
            await asyncio.sleep(WRITTEN_SECONDS)
            rows = await found.hosts[0].store.scan(PREFIX)
            hub = found.hosts[hub_of(found)]
            self.roles = {hub.settings.host, hub.stream_versions._find_target()}
        told = [(to, frame) for to, frame in frames if isinstance(frame, StreamsBegun)]
        self.assertFalse(any(frame.whole or not frame.streams for _, frame in told))
        return rows, told

    def check_told(self, frames):
        """Check that the hub, and the host that would replace it, are told of each stream once."""
        told = [(to, row) for to, frame in frames for group in frame.streams for row in group.ids]
        self.assertEqual(2 * STREAMS, len({row for _, row in told}))
        self.assertEqual(len(set(told)), len(told))
        self.assertEqual(self.roles, {to for to, _ in told})
        # Each of the two knows a third of the streams by itself.
        self.assertEqual(2 * (2 * STREAMS) * 2 // 3, len(told))

    @run
    async def test_one_version_is_not_written_to_the_store(self):
        """A frame a turn is all that a host sends, and none while no stream begins."""
        rows, frames = await self.count_frames(ALL_OLD)
        self.assertEqual({}, rows)
        self.check_told(frames)

    @run
    async def test_each_stream_is_told_once(self):
        rows, frames = await self.count_frames(PAIRS)
        self.assertLess(len(rows), 2 * STREAMS)
        self.check_told(frames)
