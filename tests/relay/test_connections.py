"""Connections to endpoints: kept while the endpoint keeps them, and no longer."""

import asyncio
import unittest

from nose2.tools import params

from peridotdock.clients.endpoint import Call, HttpEndpoints, read_all
from peridotdock.errors import failed
from tests.standins.runner import RunnerStandin

NOT_RUN = "x-not-executed"


class CountedRunner(RunnerStandin):
    """A runner that counts its connections."""

    connections = 0

    async def _serve(self, reader, writer):
        self.connections += 1
        await super()._serve(reader, writer)


async def send(endpoints, runner, number, **headers):
    rows = {"x-attempt-id": f"a{number}", "x-target-instance": runner.name} | headers
    call = Call("POST", "/x", rows | {"content-length": "0"}, b"", once=True)
    opened = await endpoints.open(f"http://{runner.address}", call)
    if not failed(opened):
        await read_all(opened)
        await opened.release()


class KeptTest(unittest.TestCase):
    @params(("serve", {}), ("refuse", {}), ("error", {}), ("serve", {"x-model": "m0"}))
    def test_one_connection_serves_requests_one_after_the_other(self, step, headers):
        async def check():
            runner = await CountedRunner("e1", ("m0",)).start()
            endpoints = HttpEndpoints(NOT_RUN)
            for number in range(4):
                runner.script = [step]
                await send(endpoints, runner, number, **headers)
            self.assertEqual(1, runner.connections, step)
            await endpoints.close()
            await runner.stop()

        asyncio.run(check())

    def test_an_idle_connection_is_given_up_before_its_endpoint_closes_it(self):
        """A note is lost, and nobody can tell whether it was written.

        The endpoint says that it keeps idle connections for a second. A request goes out on one in
        the moment in which it is closed.
        """

        async def serve(reader, writer):
            nonlocal connections
            connections += 1
            try:
                while True:
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(
                        b"HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\ncontent-length: 0\r\n\r\n"
                    )
            except asyncio.IncompleteReadError:
                writer.close()

        async def check():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            url = "http://{}:{}".format(*server.sockets[0].getsockname())
            endpoints = HttpEndpoints(NOT_RUN)
            seen = []
            for pause in (0.0, 0.0, 0.8):
                await asyncio.sleep(pause)
                opened = await endpoints.open(url, Call("GET", "/", {}, b"", once=True))
                await read_all(opened)
                await opened.release()
                seen.append(connections)
            await endpoints.close()
            server.close()
            return seen

        connections = 0
        self.assertEqual([1, 1, 2], asyncio.run(check()))
