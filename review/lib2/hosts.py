"""Host processes of a small deployment, started with the command of the deploy file."""

import asyncio
import json
import os
import signal
import subprocess
import tomllib
from pathlib import Path

from extras.soak.ports import free_port

ROOT = Path(__file__).resolve().parents[2]
LISTENERS = ("front", "ready", "control", "directory")
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
START_SECONDS = 30.0
# The bounds of the small sites, as the platform writes them into the settings.
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stable_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "back_ms": 250,
    "outer_ms": 5000,
    "budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 56,
    "recover_s": 12,
    "pass_ms": 120,
    "again_s": 0,
    "require_fencing": "false",
    "lease_ms": 3000,
    "thaw_ms": 300,
    "ceiling_window_s": 5,
    "ceiling_over": 1.1,
    "ttl_max_s": 5,
}
LIMITS = {
    "cpu_share": 0.537,
    "cores": 2,
    "memory_mb": 300,
    "max_fds": 4100,
    "link_mbps": 1000.0,
    "disk_mb": 0,
}


class HostProcess:
    """One host of a deployment, which keeps its ports when it starts again."""

    def __init__(self, name: str, folder: Path):
        self.name = name
        self.ports = {listener: free_port() for listener in LISTENERS}
        self.inner_port = free_port()
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._child: subprocess.Popen | None = None

    def address(self, listener: str) -> str:
        """Return the address of a listener, as IP:PORT."""
        return f"127.0.0.1:{self.ports[listener]}"

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Write the settings file, with the fields that the users' pages name."""
        rows = [
            f'node_name = "{self.name}"',
            'role = "host"',
            'machine_class = "front"',
            'serves = ["front", "directory", "control"]',
            'ip = "127.0.0.1"',
            'zone = "north"',
            'region = "here"',
            f"inner_ports = [{self.inner_port}, {self.inner_port}]",
            f"seeds = {json.dumps(seeds)}",
            "bootstrap = true",
            "loss_counts = false",
            'discovery = "platform"',
            'entry = "directory"',
            "heartbeat_ms = 1200",
            "[zones]",
            'north = "here"',
            "[listen]",
            *(f'{listener} = "{self.address(listener)}"' for listener in LISTENERS),
            "[limits]",
            *(f"{name} = {value}" for name, value in LIMITS.items()),
            "[tolerate]",
            "machines = 2",
            "[bounds]",
            *(f"{name} = {value}" for name, value in BOUNDS.items()),
            "[platform]",
            f'address = "{store}"',
            'form = "table"',
        ]
        self._settings.write_text("\n".join(rows) + "\n")

    def start(self) -> None:
        """Start the process; its output goes to a log file in the temporary folder."""
        command = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["host"]["run"]
        kept = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
        env = kept | {
            "PERIDOTDOCK_SETTINGS": str(self._settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with self._log.open("ab") as log:
            self._child = subprocess.Popen(
                command.split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    @property
    def pid(self) -> int:
        """The id of the process."""
        return self._child.pid if self._child is not None else 0

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self._child is not None and self._child.poll() is None:
            self._child.send_signal(number)

    def kill(self) -> None:
        """End the process at once, also one that is stopped."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._child is not None:
            self._child.wait()

    def logged(self, event: str) -> bool:
        """Return whether the host has logged an event."""
        return f'"event": "{event}"' in self._log.read_text()

    async def wait_ready(self) -> None:
        """Wait until the readiness check answers 200."""
        async with asyncio.timeout(START_SECONDS):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["ready"])
            writer.write(b"GET /v1/ready HTTP/1.1\r\nhost: ready\r\n\r\n")
            line = await reader.readline()
        except OSError:
            return False
        writer.close()
        return b" 200 " in line


def start_hosts(count: int, folder: Path, store: str) -> list[HostProcess]:
    """Start hosts that know each other's addresses."""
    hosts = [HostProcess(f"front-{number}", folder) for number in range(count)]
    seeds = [host.address("control") for host in hosts[:3]]
    for host in hosts:
        host.write_settings(store, seeds)
        host.start()
    return hosts
