"""What goes wrong in a run, drawn from its seed: the same seed gives the same plan."""

import random
from dataclasses import dataclass

# Seconds from the start of traffic before the first fault, and from the last one's end to the end
# of the run: hosts find each other, and come back, within this.
MARGIN_SECONDS = 2.0
# Mean seconds between the beginnings of two faults; they last for up to three, so they overlap.
MEAN_INTERVAL_SECONDS = 1.2
MAX_FAULT_SECONDS = 3.0
MIN_FAULT_SECONDS = 0.4
# One seed in so many has planned work alone: no request may be lost around it.
PLANNED_EVERY = 5
# One seed in so many has a caller whose request ends each endpoint that begins it. It isn't drawn
# with the faults, so that plans of older seeds stay as they were.
POISON_EVERY = 4
# One seed in so many has endpoints in need, which say so in their answers.
OVERLOADED_EVERY = 3


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of fault: what it hits, whether it is planned work, and how often it is drawn."""

    name: str
    target: str
    planned: bool = False
    weight: int = 1


KINDS = (
    Kind("stop", "host", planned=True, weight=2),
    Kind("reload", "host", planned=True),
    Kind("kill", "host", weight=2),
    Kind("pause", "host", weight=2),
    Kind("config", "store", planned=True, weight=2),
    Kind("leave", "runner", planned=True),
    Kind("crash", "runner"),
    Kind("delay", "link", weight=2),
    Kind("reset", "link", weight=2),
    Kind("silence", "link", weight=2),
    Kind("one_way", "link"),
    Kind("store_down", "store"),
    Kind("store_silent", "store"),
    Kind("store_loses", "store"),
    Kind("store_forgets", "store"),
    Kind("cut_answer", "runner"),
    Kind("extra_answer", "runner"),
    Kind("foreign_answer", "runner"),
    Kind("refusal", "runner"),
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: ``at`` and ``seconds`` in seconds of the run, ``target`` a place in its list."""

    at: float
    seconds: float
    kind: Kind
    target_index: int


@dataclass(frozen=True, slots=True)
class Plan:
    """All faults of a run, in the order of their beginnings."""

    seed: int
    seconds: float
    faults: tuple[Fault, ...]

    @property
    def maintenance_only(self) -> bool:
        """Tell whether all that happens is planned work."""
        return self.seed % PLANNED_EVERY == 0

    @property
    def poisoned(self) -> bool:
        """Tell whether a caller repeats a request that ends endpoints."""
        return not self.maintenance_only and self.seed % POISON_EVERY == POISON_EVERY - 1

    @property
    def overloaded(self) -> bool:
        """Tell whether endpoints say in their answers that they are in need."""
        return self.seed % OVERLOADED_EVERY == 1


def draw_plan(seed: int, seconds: float) -> Plan:
    """Draw a run's plan; targets are taken modulo the number of what they hit."""
    rng = random.Random(seed)
    kinds = [kind for kind in KINDS if kind.planned or seed % PLANNED_EVERY]
    weights = [kind.weight for kind in kinds]
    faults = []
    at = MARGIN_SECONDS
    while at < seconds - MAX_FAULT_SECONDS:
        lasts = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        kind = rng.choices(kinds, weights)[0]
        faults.append(Fault(at, lasts, kind, rng.randrange(1000)))
        at += rng.expovariate(1 / MEAN_INTERVAL_SECONDS)
    return Plan(seed, seconds, tuple(faults))
