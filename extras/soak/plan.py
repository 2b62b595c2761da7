"""Fault plans, drawn from a seed: the same seed always gives the same plan."""

import random
from dataclasses import dataclass

# Seconds of traffic before the first fault, in which the hosts find each other.
FIRST_FAULT_SECONDS = 2.0
# Mean seconds between the starts of two faults. A fault lasts for up to 3 s, so faults overlap.
MEAN_INTERVAL_SECONDS = 1.2
MAX_FAULT_SECONDS = 3.0
MIN_FAULT_SECONDS = 0.4
# One seed in this many has planned work alone, which may not cut off any request.
PLANNED_EVERY = 5
# One seed in this many has callers that repeat a request which crashes each endpoint that runs it.
# It follows from the seed instead of a random draw, so that the plans of older seeds don't change.
POISON_EVERY = 4
# One seed in this many has endpoints that announce limits, backoffs and draining in their answers.
OVERLOADED_EVERY = 3
# One seed in this many has hosts that are cut off from all endpoints, and one in twice as many has
# endpoints that fall over when they refuse too many requests.
PARTITIONED_EVERY = 3
# One seed in this many has endpoints that are silent at once, again and again, while the
# configuration changes. Beside that it has faults of these kinds, and nothing of other seeds.
SILENT_EVERY = 7
KINDS_BESIDE_SILENCE = frozenset({"stop", "reload", "kill", "config"})
# One seed in this many has workspaces with quotas, and hosts that are lost one after the other.
# Beside that it has faults of these kinds, and nothing of other seeds.
QUOTA_EVERY = 11
KINDS_BESIDE_QUOTAS = frozenset({"reload", "config"})
# One seed in this many has engines of two software versions, and callers that resume streams. One
# in twice as many has engines that start again at the other version under their ids. It has no
# engines that announce limits or ask for a rest, as a new start isn't bound by what was announced.
VERSIONS_EVERY = 13
# One seed in this many has prompts with a part that crashes engines, and nothing of other seeds
# beside the faults that are drawn.
FATAL_PART_EVERY = 17
# One seed in this many has hosts that are stopped in series, within the platform's grace
# period. Beside that it has faults of these kinds, and nothing of other seeds.
STOPPING_EVERY = 19
KINDS_BESIDE_STOPS = frozenset({"reload", "config"})
# One seed in this many has endpoints that refuse often and send refusals twice, and that fail with
# statuses of refusals.
COPIES_EVERY = 23
# One seed in this many has uploads, and endpoints that answer some of them early and break off.
UPLOADS_EVERY = 29
# One seed in this many has a store that comes back from older copies of its rows.
RESTORED_EVERY = 3


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of fault, what it targets, and its weight in the random draw."""

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
    """One fault: its start in seconds of the run, its length in seconds, and its target.

    ``target_index`` is taken modulo the number of possible targets.
    """

    at: float
    seconds: float
    kind: Kind
    target_index: int


@dataclass(frozen=True, slots=True)
class Plan:
    """All faults of a run, sorted by their start."""

    seed: int
    seconds: float
    faults: tuple[Fault, ...]

    @property
    def maintenance_only(self) -> bool:
        """Return whether the plan holds planned work alone."""
        return self.seed % PLANNED_EVERY == 0 or self.stopping

    @property
    def silent(self) -> bool:
        """Return whether endpoints are silent at once, in series."""
        return is_silent(self.seed)

    @property
    def limited(self) -> bool:
        """Return whether workspaces have quotas."""
        return is_limited(self.seed)

    @property
    def fatal_part(self) -> bool:
        """Return whether prompts have a part that crashes engines."""
        return has_fatal_part(self.seed)

    @property
    def stopping(self) -> bool:
        """Return whether hosts are stopped in series, under callers that stay."""
        return is_stopping(self.seed)

    @property
    def _alone(self) -> bool:
        """Return whether the run has nothing of other seeds."""
        return self.silent or self.limited or self.fatal_part or self.stopping

    @property
    def _mixed(self) -> bool:
        """Return whether the run may have several kinds of work beside the faults."""
        return not (self.maintenance_only or self._alone)

    @property
    def poisoned(self) -> bool:
        """Return whether callers repeat a request that crashes endpoints."""
        return self._mixed and self.seed % POISON_EVERY == POISON_EVERY - 1

    @property
    def versioned(self) -> bool:
        """Return whether engines have two software versions."""
        return self._mixed and self.seed % VERSIONS_EVERY == 0

    @property
    def copied(self) -> bool:
        """Return whether endpoints refuse often, and send refusals twice."""
        return self._mixed and self.seed % COPIES_EVERY == COPIES_EVERY - 1

    @property
    def uploads(self) -> bool:
        """Return whether callers send uploads, which endpoints answer early and break off."""
        return self._mixed and self.seed % UPLOADS_EVERY == UPLOADS_EVERY - 1

    @property
    def updated(self) -> bool:
        """Return whether engines start again at the other software version under their ids."""
        return self.versioned and self.seed % 2 == 0

    @property
    def overloaded(self) -> bool:
        """Return whether endpoints announce limits, backoffs and draining in their answers."""
        announces = not (self._alone or self.updated)
        return announces and self.seed % OVERLOADED_EVERY == 1

    @property
    def partitioned(self) -> bool:
        """Return whether hosts are cut off from all endpoints."""
        return self._mixed and self.seed % PARTITIONED_EVERY == 0

    @property
    def brittle(self) -> bool:
        """Return whether endpoints fall over when they refuse too many requests."""
        return self.partitioned and self.seed % 2 == 0

    @property
    def restored(self) -> bool:
        """Return whether the store comes back from older copies of its rows."""
        return not self._alone and self.seed % RESTORED_EVERY == 2


def is_silent(seed: int) -> bool:
    """Return whether endpoints are silent at once in a seed's run; planned work goes first."""
    return seed % PLANNED_EVERY != 0 and seed % SILENT_EVERY == 0


def is_limited(seed: int) -> bool:
    """Return whether workspaces have quotas in a seed's run; silences and planned work go first."""
    return seed % PLANNED_EVERY != 0 and seed % QUOTA_EVERY == 0 and not is_silent(seed)


def has_fatal_part(seed: int) -> bool:
    """Return whether prompts have a part that crashes engines; the other two kinds go first."""
    alone = is_silent(seed) or is_limited(seed)
    return seed % PLANNED_EVERY != 0 and seed % FATAL_PART_EVERY == 0 and not alone


def is_stopping(seed: int) -> bool:
    """Return whether hosts are stopped in series in a seed's run; all other kinds go first.

    They are not the multiples, of which one is known to fail and must stay as it is.
    """
    alone = is_silent(seed) or is_limited(seed) or has_fatal_part(seed)
    return seed % PLANNED_EVERY != 0 and seed % STOPPING_EVERY == STOPPING_EVERY - 1 and not alone


def draws(seed: int, kind: Kind) -> bool:
    """Return whether faults of a kind are drawn for a seed."""
    if is_silent(seed):
        return kind.name in KINDS_BESIDE_SILENCE
    if is_limited(seed):
        return kind.name in KINDS_BESIDE_QUOTAS
    if is_stopping(seed):
        return kind.name in KINDS_BESIDE_STOPS
    return kind.planned or seed % PLANNED_EVERY != 0


def draw_plan(seed: int, seconds: float) -> Plan:
    """Draw the plan of a run with ``seconds`` of traffic."""
    rng = random.Random(seed)
    kinds = [kind for kind in KINDS if draws(seed, kind)]
    weights = [kind.weight for kind in kinds]
    faults = []
    at = FIRST_FAULT_SECONDS
    while at < seconds - MAX_FAULT_SECONDS:
        lasts = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        kind = rng.choices(kinds, weights)[0]
        faults.append(Fault(at, lasts, kind, rng.randrange(1000)))
        at += rng.expovariate(1 / MEAN_INTERVAL_SECONDS)
    return Plan(seed, seconds, tuple(faults))
