"""End-to-end tests of callers and operators against hosts and stand-ins."""

import asyncio
import unittest

import openai

from tests.cluster import OTHER_TOKEN, TOKEN, Cluster, read_stream


class WholePath(unittest.IsolatedAsyncioTestCase):
    async def test_every_model_answers_the_openai_client(self):
        async with Cluster(hosts=3, models=3, adapters=4) as cluster:
            await cluster.publish()
            url = f"{cluster.hosts[1].server.url}/v1"
            async with openai.AsyncOpenAI(base_url=url, api_key=TOKEN, max_retries=0) as client:
                names = [model.id async for model in client.models.list()]
                self.assertEqual(len(names), 7)
                for name in names:
                    await self.request_whole_and_streamed(client, name)

    async def request_whole_and_streamed(self, client, name):
        messages = [{"role": "user", "content": "hello"}]
        whole = await client.chat.completions.create(model=name, messages=messages)
        stream = await client.chat.completions.create(model=name, messages=messages, stream=True)
        pieces = [c.choices[0].delta.content or "" async for c in stream]
        self.assertEqual("".join(pieces), whole.choices[0].message.content)
        text = await client.completions.create(model=name, prompt="hello")
        self.assertTrue(text.choices[0].text)

    async def test_errors_reach_the_openai_client(self):
        async with Cluster() as cluster:
            await cluster.publish()
            url = f"{cluster.hosts[0].server.url}/v1"
            async with openai.AsyncOpenAI(base_url=url, api_key=TOKEN, max_retries=0) as client:
                with self.assertRaises(openai.NotFoundError) as caught:
                    await client.completions.create(model="nothing", prompt="x")
                self.assertEqual(caught.exception.body["code"], "unknown_model")
                self.assertEqual(caught.exception.body["ran"], "no")
            async with openai.AsyncOpenAI(base_url=url, api_key="wrong", max_retries=0) as client:
                with self.assertRaises(openai.AuthenticationError):
                    await client.models.list()

    async def test_a_service_call_is_carried_whole(self):
        async with Cluster() as cluster:
            await cluster.publish()
            for method in ("GET", "POST", "PUT", "PATCH", "DELETE"):
                status, raw = await cluster.call("/any/path?q=1", method=method, data=b"\x00\xff")
                self.assertEqual(status, 200)
                self.assertTrue(raw.endswith(b"\x00\xff"), raw)
                self.assertIn(f'"method": "{method}"'.encode(), raw)
            status, _ = await cluster.call("/teapot")
            self.assertEqual(status, 418)

    async def test_another_address_serves_when_hosts_are_killed_one_by_one(self):
        """
        Hosts stop one after another. A caller uses the next address of its last address list and
        is served there, until one host is left.
        """
        async with Cluster(hosts=3) as cluster:
            await cluster.publish()
            urls = [row["url"] for row in (await cluster.addresses())["addresses"]]
            self.assertEqual(len(urls), 3)
            for url in urls[:-1]:
                daemon = next(d for d in cluster.hosts if d.server.url == url)
                await daemon.host.jobs.stop()
                await daemon.host.mesh.stop()
                await daemon.server.stop()
                cluster.hosts.remove(daemon)
                status, _, _ = await cluster.chat(url=urls[-1])
                self.assertEqual(status, 200)

    async def test_concurrent_streams_are_not_mixed_up(self):
        async with Cluster(hosts=2, step=0.0005) as cluster:
            await cluster.publish()
            asks = [
                cluster.chat(
                    model=f"m{n % 2}",
                    host=n % 2,
                    token=OTHER_TOKEN if n % 3 else TOKEN,
                    stream=True,
                    messages=[{"role": "user", "content": f"prompt {n}"}],
                )
                for n in range(40)
            ]
            answers = await asyncio.gather(*asks)
            seen = set()
            for status, _, raw in answers:
                texts, ids, whole, _ = read_stream(raw)
                self.assertEqual((status, len(texts), len(ids), whole), (200, 16, 1, True))
                seen |= ids
            self.assertEqual(len(seen), 40)
