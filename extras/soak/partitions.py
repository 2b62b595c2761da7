"""Cuts hosts off from all endpoints, in series, and lets endpoints be silent for a moment."""

import asyncio
import random
import time

from extras.soak.checks import Partition
from extras.soak.gates import Gate, gate_ip
from tests.standins.runner import RunnerStandin

# Seconds of a cut, and until the next one. The hosts that are cut off must serve after three.
CUT_SECONDS = 6.0
MIN_PAUSE_SECONDS = 0.2
MAX_PAUSE_SECONDS = 1.5
# Seconds for which a sound endpoint is silent, and until the next one is.
MIN_SILENCE_SECONDS = 0.6
MAX_SILENCE_SECONDS = 1.2
SILENCE_INTERVAL_SECONDS = 2.0


class Partitions:
    """The gates of all hosts to all endpoints, and the cuts so far."""

    def __init__(self, hosts: int):
        self._gates: list[dict[str, Gate]] = [{} for _ in range(hosts)]
        self._cut: dict[int, str] = {}
        self.done: list[Partition] = []

    async def add_endpoint(self, name: str, address: str) -> None:
        """Open each host's gate to an endpoint; hosts that are cut off don't reach it."""
        for number, gates in enumerate(self._gates):
            gates[name] = await Gate(address, gate_ip(number)).start()
            if number in self._cut:
                gates[name].cut(self._cut[number])

    async def remove_endpoint(self, name: str) -> None:
        """Close the gates to an endpoint that has gone."""
        for gates in self._gates:
            gate = gates.pop(name, None)
            if gate is not None:
                await gate.stop()

    async def stop(self) -> None:
        """Close all gates."""
        for gates in self._gates:
            for gate in gates.values():
                await gate.stop()

    async def run(self, seconds: float, names: list[str], rng: random.Random) -> None:
        """Cut hosts off for some seconds, again and again: one, most, all but one, or all."""
        until = time.monotonic() + seconds
        count = len(self._gates)
        while time.monotonic() < until:
            size = rng.choice((1, max(1, count // 2), max(1, count - 1), count))
            way = rng.choice(Gate.WAYS)
            self._cut = dict.fromkeys(rng.sample(range(count), size), way)
            since = time.monotonic()
            for number in self._cut:
                for gate in self._gates[number].values():
                    gate.cut(way)
            await asyncio.sleep(CUT_SECONDS)
            hosts = frozenset(names[number] for number in self._cut)
            self.done.append(Partition(since, time.monotonic(), hosts, way))
            cut, self._cut = self._cut, {}
            for number in cut:
                for gate in list(self._gates[number].values()):
                    await gate.mend()
            await asyncio.sleep(rng.uniform(MIN_PAUSE_SECONDS, MAX_PAUSE_SECONDS))


async def silence_endpoints(
    seconds: float, endpoints: list[RunnerStandin], rng: random.Random
) -> None:
    """Let endpoints be silent for about a second, one after the other."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        silence = rng.uniform(MIN_SILENCE_SECONDS, MAX_SILENCE_SECONDS)
        await rng.choice(endpoints).freeze(silence)
        await asyncio.sleep(SILENCE_INTERVAL_SECONDS)
