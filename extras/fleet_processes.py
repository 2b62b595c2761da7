"""Starts and stops a small deployment of processes on loopback, for demo, benchmarks and tests."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.request
from collections.abc import Sequence
from pathlib import Path

from extras.samples import ACCELERATOR_BYTES, ACCELERATORS, Shape, make_manifest

ROOT = Path(__file__).resolve().parent.parent
CLUSTER_KEY = "sample-cluster-key-0001"
OPERATOR_TOKEN = "sample-operator-token"
READY_PREFIX = "ready: "
START_TIMEOUT_SECONDS = 60.0


class Process:
    """A child process that prints ``ready: URL`` when it serves.

    ``args`` is the module to run and its arguments, ``log`` the file that gets the standard error
    output, ``checkout`` the folder with the code.
    """

    def __init__(self, args: Sequence[str], log: str = os.devnull, checkout: Path = ROOT):
        environ = {**os.environ, "PYTHONPATH": str(checkout), "PYTHONUNBUFFERED": "1"}
        with open(log, "ab") as errors:
            self.child = subprocess.Popen(
                [sys.executable, "-m", *args],
                stdout=subprocess.PIPE,
                stderr=errors,
                env=environ,
                cwd=checkout,
                text=True,
            )
        self.url = ""

    def wait_ready(self) -> "Process":
        """Wait for the line with the URL; raise RuntimeError if the process ends first."""
        for line in self.child.stdout:
            if line.startswith(READY_PREFIX):
                self.url = line.removeprefix(READY_PREFIX).strip()
                return self
        raise RuntimeError(f"process {self.child.args} ended with {self.child.wait()}")

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it is running."""
        if self.child.poll() is None:
            self.child.send_signal(number)

    def stop(self, seconds: float = 20.0) -> int:
        """Stop the process with SIGTERM, kill it after ``seconds``, and return its exit status."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()


class Deployment:
    """A platform, engines, services and hosts, each in its own process.

    Hosts of odd number run the code of the checkout ``beside`` if it is given.
    """

    def __init__(
        self,
        shape: Shape,
        engines: int = 5,
        services: int = 1,
        hosts: int = 3,
        log: str = os.devnull,
        engine_options: Sequence[str] = (),
        host_options: Sequence[str] = (),
        platform_options: Sequence[str] = (),
        beside: Path | None = None,
    ):
        self.shape = shape
        self._counts = (engines, services, hosts)
        self._log = log
        self._engine_options = list(engine_options)
        self._host_options = list(host_options)
        self._platform_options = list(platform_options)
        self._beside = beside or ROOT
        self.platform: Process | None = None
        self.engines: dict[str, Process] = {}
        self.services: dict[str, Process] = {}
        self.hosts: dict[str, Process] = {}

    def start(self) -> "Deployment":
        """Start all processes and wait until each of them serves."""
        engines, services, hosts = self._counts
        self.platform = self._spawn(
            "tests.standins", "platform", *self._platform_options
        ).wait_ready()
        sizes = [str(ACCELERATOR_BYTES)] * ACCELERATORS
        for number in range(engines):
            fencing = ["--fencing"] if number % 2 == 0 else []
            options = ["--name", f"engine-{number}", "--capacity", *sizes, *fencing]
            options += ["--weights-url", self.platform.url, *self._engine_options]
            self.engines[f"engine-{number}"] = self._spawn("tests.standins", "engine", *options)
        for number in range(services):
            self.services[f"service-{number}"] = self._spawn("tests.standins", "service")
        for process in (*self.engines.values(), *self.services.values()):
            process.wait_ready()
        for number in range(hosts):
            self.hosts[f"host-{number}"] = self._spawn_host(number)
        for process in self.hosts.values():
            process.wait_ready()
        return self

    def _spawn(self, *args: str, checkout: Path = ROOT) -> Process:
        return Process(args, self._log, checkout)

    def _spawn_host(self, number: int) -> Process:
        domains = self.shape.domains
        options = ["--host-id", f"host-{number}", "--domain", domains[number % len(domains)]]
        options += ["--platform-url", self.platform.url, "--cluster-key", CLUSTER_KEY]
        options += ["--operator-token", OPERATOR_TOKEN, *self._host_options]
        checkout = self._beside if number % 2 else ROOT
        return self._spawn("peridotdock.cli.daemon", *options, checkout=checkout)

    def add_host(self, number: int) -> Process:
        """Start a host, additional or in place of the one with the same number, and wait for it."""
        process = self._spawn_host(number).wait_ready()
        self.hosts[f"host-{number}"] = process
        return process

    def manifest(self) -> dict:
        """Return the sample manifest for the endpoints of this deployment."""
        engines = [(name, process.url) for name, process in self.engines.items()]
        services = [(name, process.url) for name, process in self.services.items()]
        return make_manifest(self.shape, engines, services)

    def publish(self, document: dict) -> dict:
        """Publish a manifest through the first host and return its answer."""
        host = next(iter(self.hosts.values()))
        return call_admin(
            f"{host.url}/admin/manifest", OPERATOR_TOKEN, json.dumps(document).encode()
        )

    def wait_converged(self, generation: int) -> None:
        """Wait until every host reports the generation as in force and its state as converged.

        Raises RuntimeError after START_TIMEOUT_SECONDS.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        waiting = list(self.hosts.values())
        while waiting and time.monotonic() < deadline:
            waiting = [host for host in waiting if not self._has_converged(host, generation)]
            time.sleep(0.1)
        if waiting:
            raise RuntimeError(
                f"not converged after {START_TIMEOUT_SECONDS} s on {len(waiting)} hosts"
            )

    def _has_converged(self, host: Process, generation: int) -> bool:
        try:
            status = call_admin(f"{host.url}/admin/status", OPERATOR_TOKEN)
        except OSError:
            return False
        everywhere = len(status["hosts"]) >= len(self.hosts)
        return everywhere and status["true"] and status["generation"] >= generation

    def stop(self) -> None:
        """Stop all processes, the hosts first."""
        for process in self.hosts.values():
            process.signal(signal.SIGTERM)
        others = (*self.engines.values(), *self.services.values(), self.platform)
        for process in (*self.hosts.values(), *others):
            if process is not None:
                process.stop()


def call_admin(url: str, token: str, body: bytes | None = None) -> dict:
    """Send an operator's request to a host and return the JSON answer; a body makes it a POST."""
    request = urllib.request.Request(url, body, {"authorization": f"Bearer {token}"})
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    with opener.open(request, timeout=10) as resp:
        return json.load(resp)
