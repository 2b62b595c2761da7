"""The context shared by all components of a process."""

import random
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TextIO

from peridotdock.clock import Clock, SystemClock
from peridotdock.config import parse_policy
from peridotdock.events import Timeline
from peridotdock.metrics import Metrics
from peridotdock.schema.settings import Settings


@dataclass(frozen=True)
class Streams:
    """Standard output and error, and whether the output is a terminal."""

    out: TextIO = field(default_factory=lambda: sys.stdout)
    err: TextIO = field(default_factory=lambda: sys.stderr)

    @property
    def out_is_terminal(self) -> bool:
        """Return whether standard output is a terminal."""
        return self.out.isatty()


@dataclass(frozen=True)
class Context:
    """Settings, clock, random source, timeline and metrics of one daemon.

    ``incarnation`` identifies this start of the host; ``epoch`` is its time in Unix milliseconds.
    """

    cfg: Settings
    clock: Clock
    rng: random.Random
    timeline: Timeline
    metrics: Metrics
    incarnation: str
    epoch: int
    disabled_decisions: frozenset[str]

    def decision_enabled(self, decision: str) -> bool:
        """Return whether the policy leaves ``decision`` enabled."""
        return decision not in self.disabled_decisions


def build_context(
    cfg: Settings, clock: Clock | None = None, rng: random.Random | None = None
) -> Context:
    """Build the context of a daemon, with a new incarnation."""
    clock = clock or SystemClock()
    rng = rng or random.Random()
    return Context(
        cfg=cfg,
        clock=clock,
        rng=rng,
        timeline=Timeline(cfg.host_id, clock, cfg.event_ring),
        metrics=Metrics(),
        incarnation=f"{cfg.host_id}-{rng.getrandbits(64):016x}",
        epoch=int(clock.now().timestamp() * 1000),
        disabled_decisions=parse_policy(cfg.policy),
    )


@dataclass(frozen=True)
class Environment:
    """The standard streams and environment variables of the operators' command."""

    streams: Streams
    environ: Mapping[str, str]
