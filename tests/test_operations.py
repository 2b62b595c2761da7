"""Manifests, platform outages, draining and stopping, links, and invalid input."""

import asyncio
import json
import unittest

from blacksheep import Content, Response

from peridotdock import manifest as manifests
from peridotdock.clients.platform import Committed, Row
from peridotdock.errors import Failure, Kind
from peridotdock.manifest import Accepted
from peridotdock.publishing import HEAD_KEY, Published, make_head, publish
from tests.cluster import OPERATOR_TOKEN, Cluster, read_stream, wait_for
from tests.kept_connection import KeptConnection

BIG_ANSWER_BYTES = 4 * 1024 * 1024
# A slow caller reads such an answer in two seconds, longer than a host waits as it closes.
SLOW_RATE = BIG_ANSWER_BYTES / 2


async def send_big_answer(request):
    return Response(200, None, Content(b"text/plain", b"x" * BIG_ANSWER_BYTES))


class RestoringPlatform:
    """A platform with an older head; a host writes the newer one again before the first commit."""

    def __init__(self, older, newer):
        self._row = Row(older, 1)
        self._newer = newer

    async def read(self, keys):
        return {HEAD_KEY: self._row}

    async def commit(self, tx):
        if self._newer is not None:
            self._row, self._newer = Row(self._newer, 2), None
        if tx.checks[HEAD_KEY] != self._row.version:
            return Failure(Kind.CONFLICT)
        self._row = Row(tx.writes[HEAD_KEY], self._row.version + 1)
        return Committed(self._row.version)

    async def put_object(self, name, body):
        return None


class Manifests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = Cluster(engines=1, hosts=2, models=1, adapters=0)
        await self.cluster.__aenter__()

    async def asyncTearDown(self):
        await self.cluster.__aexit__()

    def generations(self):
        hosts = [d.host for d in self.cluster.hosts]
        return [h.accepted.generation if h.accepted else 0 for h in hosts]

    async def test_of_two_pipelines_one_wins_and_the_other_is_told(self):
        """
        Two pipelines publish at once, both based on the same generation. One is accepted. The
        other gets a conflict that names both digests, and no part of it is in force.
        """
        await self.cluster.publish()
        first = self.cluster.manifest()
        second = first | {"release": "other", "sequence": first["sequence"] + 1}
        answers = await asyncio.gather(
            self.cluster.call_admin("manifest", first, 0),
            self.cluster.call_admin("manifest", second, 1),
        )
        statuses = sorted(status for status, _ in answers)
        self.assertEqual(statuses, [200, 409])
        won = next(body for status, body in answers if status == 200)
        lost = next(body for status, body in answers if status == 409)
        self.assertIn(lost["error"]["code"], ("manifest_conflict", "manifest_stale"))
        if lost["error"]["code"] == "manifest_conflict":
            self.assertIn(won["digest"], lost["error"]["message"])
        await self.cluster.wait_in_force(won["generation"])

    async def test_the_same_again_changes_nothing(self):
        document = self.cluster.manifest()
        first = await self.cluster.publish(document)
        again = await self.cluster.publish(document, host=1)
        self.assertEqual((again["status"], again["generation"]), ("unchanged", first["generation"]))

    async def test_an_older_release_never_replaces_a_newer_one(self):
        await self.cluster.publish(self.cluster.manifest(sequence=7))
        older = self.cluster.manifest(sequence=6, based_on=1)
        status, body = await self.cluster.call_admin("manifest", older)
        self.assertEqual((status, body["error"]["code"]), (409, "manifest_stale"))

    async def test_a_lost_commit_answer_is_made_good(self):
        """
        The head is written but the answer is lost. The publisher must get "accepted", which is
        correct, and not an error after which the pipeline would publish something else.
        """
        document = self.cluster.manifest()
        self.cluster.platform.faults["lose"] = 1
        published = await self.cluster.publish(document)
        self.assertEqual(published["generation"], 1)

    async def test_a_manifest_that_a_restored_platform_lacks_stays_in_force(self):
        """Guards against a release under a generation that is in force, which no host fetches."""
        await self.cluster.publish()
        copy = self.cluster.platform.copy()
        await self.cluster.publish()
        self.cluster.platform.restore(copy)
        published = await self.cluster.publish()
        self.assertEqual(3, published["generation"])
        self.cluster.platform.restore(copy)
        rows = self.cluster.platform.rows
        await wait_for(
            lambda: rows["manifest/head"]["value"]["generation"] == 3, "the head written again"
        )

    async def test_a_head_that_is_written_again_meanwhile_refuses_no_publication(self):
        """Guards against a release refused as slower than another one, where there is none."""
        first, second = self.cluster.manifest(), self.cluster.manifest()
        document = self.cluster.manifest()
        current = Accepted(2, manifests.digest(second), second, None)
        platform = RestoringPlatform(make_head(1, first, ""), make_head(2, second, ""))
        published = await publish(platform, document, current)
        self.assertEqual(Published(3, manifests.digest(document), True), published)

    async def test_a_host_that_a_restored_platform_lacks_registers_again(self):
        """Guards against hosts that no new host finds in the platform's list."""
        self.cluster.platform.restore(({}, [], 0))
        await wait_for(
            lambda: {row["id"] for _, row in self.cluster.platform.host_history} >= {"h0", "h1"},
            "both hosts registered",
        )

    async def test_down_is_not_accepted(self):
        await self.cluster.publish()
        self.cluster.platform.faults["down"] = True
        status, body = await self.cluster.call_admin("manifest", self.cluster.manifest())
        self.assertEqual((status, body["error"]["code"]), (503, "platform_down"))
        self.cluster.platform.faults["down"] = False
        self.assertEqual(self.generations(), [1, 1])

    async def test_every_error_is_listed_with_its_path(self):
        bad = self.cluster.manifest()
        bad["models"][0]["bytes"] = -1
        bad["callers"][0].pop("id")
        bad["surprise"] = True
        status, body = await self.cluster.call_admin("manifest", bad)
        self.assertEqual((status, body["error"]["code"]), (422, "manifest_invalid"))
        text = "\n".join(body["errors"])
        for part in ("$.models[0].bytes", "$.callers[0]", "surprise"):
            self.assertIn(part, text)

    async def test_a_floor_that_cannot_fit_is_refused_with_the_sum(self):
        document = self.cluster.manifest()
        document["models"] = [document["models"][0] | {"id": f"m{n}"} for n in range(9)]
        status, body = await self.cluster.call_admin("manifest", document)
        self.assertEqual(status, 422)
        self.assertIn("the floor needs 270 bytes of 200", body["errors"][0])

    async def test_a_host_that_boots_beside_a_stale_peer_takes_the_newest(self):
        """
        One host is cut off from the platform and still has generation 1. A new host receives
        generation 1 from that peer and 2 from another. It must end at 2 and never go back.
        """
        await self.cluster.publish()
        stale = self.cluster.hosts[0].host
        await stale.jobs.stop()
        stale.on_head = lambda head: None
        await self.cluster.publish(self.cluster.manifest(), host=1, wait=False)
        new = await self.cluster.add_host("h9")
        seen = []
        put = new.host.put_in_force
        new.host.put_in_force = lambda found: (seen.append(found.generation), put(found))
        await wait_for(lambda: new.host.accepted and new.host.accepted.generation == 2)
        stale.facts.publish("heads", stale.facts.get("h0", "heads").fact)
        await wait_for(lambda: new.host.facts.get("h0", "heads"))
        self.assertEqual(new.host.accepted.generation, 2)
        self.assertEqual(seen, sorted(seen))

    async def test_models_stay_reachable_through_a_change_of_version(self):
        """
        A release has a new version of a model. Until it is loaded on some engine, the old version
        keeps serving; no request in between is rejected.
        """
        await self.cluster.publish()
        document = self.cluster.manifest()
        document["models"][0]["version"] = "2"
        self.cluster.engines[0].load_seconds = 0.3
        changing = asyncio.create_task(self.cluster.publish(document))
        statuses = []
        while not changing.done():
            statuses.append((await self.cluster.chat(host=len(statuses) % 2))[0])
        await changing
        self.assertEqual(set(statuses), {200})
        items = self.cluster.engines[0].items
        await wait_for(lambda: set(items) == {"m0@2"}, "the old version gone")


class Outages(unittest.IsolatedAsyncioTestCase):
    async def test_traffic_goes_on_and_a_host_boots_from_its_peers(self):
        """
        During a long platform outage requests are answered as before. A host that is added
        meanwhile gets manifest and endpoints from its peers and serves; when the platform is back,
        leases are renewed again.
        """
        async with Cluster(engines=1, hosts=2, models=1) as cluster:
            await cluster.publish()
            cluster.platform.faults["down"] = True
            seeds = ",".join(d.host.mesh.address for d in cluster.hosts)
            new = await cluster.add_host("h7", seeds=seeds)
            await wait_for(lambda: new.host.ready(), "the new host ready")
            await wait_for(lambda: new.host.fleet.holders("m0@1"), "endpoints known")
            for host in range(3):
                status, _, _ = await cluster.chat(host=host)
                self.assertEqual(status, 200)
            lapse = cluster.settings["lease_seconds"] * 2
            await asyncio.sleep(lapse)
            self.assertEqual((await cluster.chat(host=2))[0], 200)
            cluster.platform.faults["down"] = False
            hosts = [d.host for d in cluster.hosts]
            await wait_for(lambda: all(h.lease.valid() for h in hosts), "leases back")
            await wait_for(lambda: any(h.controller.records for h in hosts), "a controller again")

    async def test_a_slow_platform_slows_no_request(self):
        async with Cluster(engines=1, hosts=1, models=1) as cluster:
            await cluster.publish()
            cluster.platform.faults["slow"] = 1.0
            loop = asyncio.get_running_loop()
            began = loop.time()
            for _ in range(5):
                self.assertEqual((await cluster.chat())[0], 200)
            self.assertLess(loop.time() - began, 1.0)


class Leaving(unittest.IsolatedAsyncioTestCase):
    async def test_a_leaving_endpoint_gets_no_new_work(self):
        """
        An engine reports that it is leaving while the platform's list of hosts lags by 60 s. Within
        two seconds no host sends it new requests.
        """
        async with Cluster(engines=2, hosts=2, models=1, adapters=0) as cluster:
            document = cluster.manifest()
            document["models"][0]["copies"] = 2
            await cluster.publish(document)
            cluster.platform.faults["lag"] = 60.0
            leaving, other = cluster.engines
            leaving.draining = True
            loop = asyncio.get_running_loop()
            until = loop.time() + 2.0
            hosts = [d.host for d in cluster.hosts]
            await wait_for(lambda: all(h.fleet.states["e0"].leaving for h in hosts), "known")
            self.assertLess(loop.time(), until)
            before = len(leaving.calls)
            for n in range(10):
                self.assertEqual((await cluster.chat(host=n % 2))[0], 200)
            self.assertEqual(len(leaving.calls), before)
            self.assertGreaterEqual(len(other.calls), 10)

    async def test_a_planned_stop_cuts_off_no_request(self):
        """
        A host is stopped during long answers, while callers with old addresses still connect. The
        running streams complete, and callers within the time to live are served too.
        """
        keep = {"address_seconds": 2.0}
        async with Cluster(engines=1, hosts=2, models=1, settings=keep, step=0.02) as cluster:
            await cluster.publish()
            streams = [
                asyncio.create_task(cluster.chat(host=0, stream=True, max_tokens=80))
                for _ in range(4)
            ]
            await wait_for(lambda: cluster.hosts[0].entry.in_flight == 4, "streams under way")
            stopping = asyncio.create_task(cluster.hosts[0].drain())
            left_at = asyncio.get_running_loop().time()
            await wait_for(
                lambda: len(
                    [
                        m
                        for m in cluster.hosts[1].host.membership.members().values()
                        if m.accepts_work
                    ]
                )
                == 1,
                "left the answers",
            )
            late = asyncio.get_running_loop().time() - left_at
            self.assertLess(late, keep["address_seconds"], "the update came after the time to live")
            self.assertEqual((await cluster.chat(host=0))[0], 200)
            urls = [row["url"] for row in (await cluster.addresses(1))["addresses"]]
            self.assertEqual(urls, [cluster.hosts[1].server.url])
            for status, _, raw in await asyncio.gather(*streams):
                self.assertEqual((status, read_stream(raw)[2]), (200, True))
            self.assertTrue(await stopping)

    async def test_a_host_ends_after_slow_callers_have_read_their_answers(self):
        """Guards against answers cut in the buffers of a host that has given them to its server."""
        keep = {"address_seconds": 0.2}
        async with Cluster(engines=1, hosts=1, models=1, settings=keep) as cluster:
            await cluster.publish()
            host = cluster.hosts[0]
            address = host.server.address
            conn = await KeptConnection.open(address, SLOW_RATE)
            host.server.app.router.fallback = send_big_answer
            conn.send(f"GET /big HTTP/1.1\r\nhost: {address}\r\n\r\n".encode())
            reading = asyncio.create_task(conn.read_answer())
            await asyncio.sleep(0.2)
            self.assertTrue(await host.drain())
            # The process may end here, and with it what its connections hold.
            self.assertEqual(0, host.server.unsent_bytes())
            answer = await reading
            self.assertEqual((True, BIG_ANSWER_BYTES), (answer.whole, len(answer.body)))

    async def test_all_hosts_are_replaced_under_load_without_a_failed_request(self):
        """
        A release replaces every host, one after another. Callers fetch addresses, cache them for
        their time to live, and try the next address when one rejects them.

        A time to live of 0.2 s makes the result depend on the machine's load: requests went out
        0.892 s after the answer, and answers named a host whose leaving state was still in flight.
        """
        keep = {"address_seconds": 2.0}
        clock = asyncio.get_running_loop().time
        async with Cluster(engines=1, hosts=3, models=1, adapters=0, settings=keep) as cluster:
            await cluster.publish()
            running = True
            outcomes = []
            urls = [d.server.url for d in cluster.hosts]

            async def caller(number):
                while running:
                    asked_at = clock()
                    known = await self.fetch_urls(cluster, list(urls))
                    while running and clock() - asked_at < keep["address_seconds"] / 2:
                        outcomes.append(
                            await self.ask_any(cluster, known[number % len(known) :] + known)
                        )

            callers = [asyncio.create_task(caller(n)) for n in range(4)]
            for number in range(3):
                old = cluster.hosts[0]
                new = await cluster.add_host(f"n{number}")
                await wait_for(lambda new=new: new.host.ready(), "the new host ready")
                urls.append(new.server.url)
                urls.remove(old.server.url)
                self.assertTrue(await old.drain())
                await old.stop()
                cluster.hosts.remove(old)
            running = False
            await asyncio.gather(*callers)
            self.assertGreater(len(outcomes), 20)
            self.assertEqual(set(outcomes), {200})

    async def fetch_urls(self, cluster, urls):
        for url in urls:
            head = {"authorization": "Bearer test-token"}
            try:
                async with cluster.session.get(f"{url}/v1/addresses", headers=head) as resp:
                    if resp.status == 200:
                        return [row["url"] for row in (await resp.json())["addresses"]]
            except OSError:
                continue
        return urls

    async def ask_any(self, cluster, urls):
        status = 0
        for url in urls:
            try:
                status = (await cluster.chat(url=url))[0]
            except OSError:
                continue
            if status == 200:
                break
        return status


class Peers(unittest.IsolatedAsyncioTestCase):
    async def test_a_silent_link_is_found_and_dialled_afresh(self):
        """
        A link between two hosts goes silent permanently while both ends stay open. Each host
        detects it by the missing heartbeats, closes it and dials again; facts are exchanged again.
        """
        async with Cluster(engines=1, hosts=2, models=1) as cluster:
            await cluster.publish()
            first, second = (d.host for d in cluster.hosts)
            await wait_for(lambda: first.mesh.peers() and second.mesh.peers(), "linked")

            async def swallow(raw):
                return None

            for link in (*first.mesh._links, *second.mesh._links):
                link.conn.send = swallow
            old = set(first.mesh._links)
            await wait_for(lambda: first.mesh._links and not first.mesh._links & old, "a new link")
            beat = second.membership.own.beat
            await wait_for(lambda: second.membership.own.beat > beat)
            await wait_for(
                lambda: (k := first.facts.get("h1", "host")) and k.fact.beat > beat, "updates"
            )

    async def test_hosts_that_called_each_other_dead_link_again(self):
        """
        Two hosts are cut off from each other for longer than the heartbeat limit. When the network
        is back they must link again; they did not while only live hosts were dialled.
        """
        async with Cluster(engines=1, hosts=2, models=1) as cluster:
            await cluster.publish()
            first, second = (d.host for d in cluster.hosts)
            await wait_for(lambda: first.mesh.peers() and second.mesh.peers(), "linked")
            dials = [(h.mesh, h.mesh.connect_to) for h in (first, second)]
            for mesh, _ in dials:
                mesh.connect_to = lambda addresses: None
            for link in (*first.mesh._links, *second.mesh._links):
                link.conn.transport.abort()
            for host, other in ((first, "h1"), (second, "h0")):
                await wait_for(
                    lambda host=host, other=other: not host.membership.members()[other].alive,
                    "called dead",
                )
            for mesh, dial in dials:
                mesh.connect_to = dial
            await wait_for(lambda: first.membership.members()["h1"].alive, "alive again")

    async def test_a_peer_without_the_key_is_refused(self):
        async with Cluster(engines=1, hosts=1, models=1) as cluster:
            await cluster.publish()
            stranger = await cluster.add_host("bad", cluster_key="another key of 16")
            timeline = cluster.hosts[0].ctx.timeline
            await wait_for(lambda: any(e.name == "peer_refused" for e in timeline._ring), "refused")
            self.assertEqual(cluster.hosts[0].host.mesh.peers(), set())
            self.assertEqual(stranger.host.mesh.peers(), set())

    async def test_operators_need_their_token(self):
        async with Cluster(engines=1, hosts=1) as cluster:
            for token in ("", "wrong", "test-token"):
                status, body = await cluster.call_admin("hosts", token=token)
                self.assertEqual((status, body["error"]["code"]), (401, "operator_refused"))
            status, body = await cluster.call_admin("hosts", token=OPERATOR_TOKEN)
            self.assertEqual(status, 200)


class BadInput(unittest.IsolatedAsyncioTestCase):
    BODIES = (
        (b"", 400),
        (b"not json", 400),
        (b"[]", 400),
        (b"{}", 400),
        (b'{"model": 5, "messages": []}', 400),
        (b'{"model": "m0"}', 400),
        (b'{"model": "m0", "messages": [{"role": 1}]}', 400),
        (b'{"model": "m0", "prompt": "x", "stream": "maybe"}', 400),
        (b'{"model": "none", "prompt": "x"}', 404),
        (b"[" * 50_000, 400),
        (b"\xff\xfe", 400),
        (b'{"model": "m0", "prompt": "' + b"x" * 70_000 + b'"}', 413),
    )
    HEADERS = (
        {"x-deadline-ms": "soon"},
        {"x-deadline-ms": "-1"},
        {"x-deadline-ms": "nan"},
        {"x-priority": "10"},
        {"idempotency-key": "k" * 300},
    )

    async def test_each_is_a_listed_error_and_harms_nothing(self):
        async with Cluster(hosts=1, engines=1, settings={"max_body_bytes": 65536}) as cluster:
            await cluster.publish()
            url = f"{cluster.hosts[0].server.url}/v1/completions"
            head = {"authorization": "Bearer test-token"}
            for body, expected in self.BODIES:
                async with cluster.session.post(url, data=body, headers=head) as resp:
                    answer = json.loads(await resp.read())
                    self.assertEqual(resp.status, expected, (body[:40], answer))
                    self.assertEqual(answer["error"]["ran"], "no")
            for more in self.HEADERS:
                status, _, body = await cluster.chat(headers=more)
                self.assertEqual((status, body["error"]["code"]), (400, "bad_request"), more)
            self.assertEqual(sum(len(e.calls) for e in cluster.engines), 0)
            self.assertEqual((await cluster.chat())[0], 200)
            self.assertEqual(cluster.hosts[0].entry.in_flight, 0)
