"""Real processes and real signals. Waits end on observed states, not after fixed times."""

import json
import signal
import threading
import time
import unittest
import urllib.error
import urllib.request

from extras.fleet_processes import OPERATOR_TOKEN, Deployment, call_admin
from extras.samples import HANEUL, TOKEN

WAIT_SECONDS = 60.0
HOST_OPTIONS = ["--poll-seconds", "0.2", "--watch-seconds", "0.1", "--lease-seconds", "2"]
HOST_OPTIONS += ["--address-seconds", "0.3", "--silence-seconds", "0.5", "--log-level", "ERROR"]


def wait_until(condition, what):
    deadline = time.monotonic() + WAIT_SECONDS
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"{what}: timed out")
        time.sleep(0.05)


def request_completion(url, **body):
    body = {"model": "haneul-model-0", "prompt": "hello", "max_tokens": 4} | body
    headers = {"authorization": f"Bearer {TOKEN}", "content-type": "application/json"}
    request = urllib.request.Request(f"{url}/v1/completions", json.dumps(body).encode(), headers)
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=30) as resp:
            return resp.status, resp.read()
    except urllib.error.HTTPError as exc:
        return exc.code, exc.read()


class Signals(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment(HANEUL, 2, 1, 2, host_options=HOST_OPTIONS)
        cls.addClassCleanup(cls.deployment.stop)
        cls.deployment.start()
        document = cls.deployment.manifest()
        document["models"] = [document["models"][0] | {"copies": 2}]
        document["adapters"] = []
        cls.deployment.wait_converged(cls.deployment.publish(document)["generation"])

    def host_states(self, host):
        rows = call_admin(f"{host.url}/admin/hosts", OPERATOR_TOKEN)["rows"]
        return {row["host"]: row["state"] for row in rows}

    def test_1_a_killed_host_is_noticed_and_its_engines_get_another_controller(self):
        """
        A host gets SIGKILL. The other host still answers requests, detects that the first one is
        silent, and becomes controller of every engine once the lease of the first has lapsed.
        """
        first, second = self.deployment.hosts["host-0"], self.deployment.hosts["host-1"]
        first.signal(signal.SIGKILL)
        self.assertEqual(request_completion(second.url)[0], 200)
        wait_until(lambda: self.host_states(second).get("host-0") != "live", "the dead host missed")

        def controllers():
            rows = call_admin(f"{second.url}/admin/events", OPERATOR_TOKEN)["rows"]
            return {r["endpoint"] for r in rows if r["name"] == "controller_took_over"}

        wait_until(lambda: len(controllers()) == 2, "both engines taken over")
        self.deployment.add_host(0)
        host = self.deployment.hosts["host-0"]
        wait_until(lambda: request_completion(host.url)[0] == 200, "the new host serves")

    def test_2_a_frozen_engine_costs_no_answer(self):
        """
        An engine's process gets SIGSTOP, so its connections stay open but silent. Requests are
        answered by the other engine; after SIGCONT the first one serves again.
        """
        host = self.deployment.hosts["host-1"]
        engine = self.deployment.engines["engine-0"]
        engine.signal(signal.SIGSTOP)
        try:
            self.assertEqual([request_completion(host.url)[0] for _ in range(3)], [200] * 3)
        finally:
            engine.signal(signal.SIGCONT)

        def all_up():
            rows = call_admin(f"{host.url}/admin/endpoints", OPERATOR_TOKEN)["rows"]
            return all(row["state"] == "up" for row in rows)

        wait_until(all_up, "the engine back")

    def test_3_sigterm_twice_ends_a_stream_whole_and_exits_with_0(self):
        """
        A host gets SIGTERM twice while it streams an answer. The answer must still be complete,
        and the host must exit with status 0.
        """
        host = self.deployment.hosts["host-0"]
        found = []
        request_thread = threading.Thread(
            target=lambda: found.append(request_completion(host.url, stream=True, max_tokens=300))
        )
        request_thread.start()

        def request_running():
            opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
            text = opener.open(f"{host.url}/metrics", timeout=10).read()
            return b"peridotdock_in_work 1.0" in text

        wait_until(request_running, "the stream under way")
        host.signal(signal.SIGTERM)
        host.signal(signal.SIGTERM)
        request_thread.join(WAIT_SECONDS)
        status, raw = found[0]
        self.assertEqual(status, 200)
        self.assertTrue(raw.rstrip().endswith(b"data: [DONE]"))
        self.assertEqual(host.child.wait(WAIT_SECONDS), 0)
