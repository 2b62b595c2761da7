"""Decision of a stopping host: whether a request that it reads can still be answered whole.

Load pattern: a host is told to stop and has some seconds left. Callers learn late that it has left,
and some use their open connections until the process is gone. Other hosts serve them at once.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# Seconds for which a sound endpoint may fall silent within an answer.
SILENCE_SECONDS = 1.5
# How many times as long as expected an answer may take that is asked for late in a stop.
LATE_FACTOR = 2.0
# Share of the longest answer that is still expected after one more answer.
DECAY = 0.98
# Least seconds that an answer counts as taking.
MIN_ANSWER_SECONDS = 0.001
# Routes whose answers are remembered.
MAX_ROUTES = 2000


def can_finish(left: float, longest: float, expected: float | None, announced: bool) -> bool:
    """Return whether a request will have ended before its host does.

    ``left`` is the time until the host ends, ``longest`` that until the request's deadline, and
    ``expected`` how long its answer may take, None if nothing is known of that; in seconds.
    ``announced`` is set once all callers may know that the host stops: until then a request of
    which nothing is known is taken, as several hosts may stop at once. Later ones need more time in
    hand, as endpoints may have become slower.

    Failure guarded against: a request is read while its host stops, an endpoint runs it, and the
    answer is cut as the host ends. It may not be allowed to run again.
    """
    if longest <= left:
        return True
    if expected is None:
        return not announced
    return expected * (LATE_FACTOR if announced else 1.0) + SILENCE_SECONDS <= left


@dataclass(frozen=True, slots=True)
class UnderWay:
    """An answer that has not ended yet, ``age`` seconds after its request arrived.

    ``tokens`` are the most that it can have, 0 if unknown.
    """

    route: str
    tokens: int
    age: float


@dataclass(frozen=True, slots=True)
class Longest:
    """The longest of the recent answers of a route.

    ``begin`` is the seconds until it began, ``pace`` those for each token after that, and ``size``
    its bytes.
    """

    begin: float = 0.0
    pace: float = 0.0
    size: float = 0.0


class AnswerTimes:
    """The longest of the recent answers of each route.

    The time until an answer begins does not depend on its tokens, the rest is in proportion to
    them. What a caller takes to read it is known by caller. Failure guarded against: a long prompt
    with a short answer is taken for a short request, as the route's other answers had many tokens,
    and is cut.
    """

    def __init__(self) -> None:
        self._longest: dict[str, Longest] = {}

    def __len__(self) -> int:
        return len(self._longest)

    def record(self, route: str, tokens: int, begun: float, ended: float, size: int = 0) -> None:
        """Record a whole answer that had ``begun`` and ``ended`` so many seconds after its arrival.

        ``tokens`` are the most that it could have, 0 if unknown, and ``size`` are its bytes.
        """
        if len(self._longest) >= MAX_ROUTES and route not in self._longest:
            self._longest.clear()
        known = self._longest.get(route, Longest())
        found = Longest(begun, (ended - begun) / max(1, tokens), size)
        self._longest[route] = Longest(
            max(found.begin, DECAY * known.begin),
            max(found.pace, DECAY * known.pace),
            max(found.size, DECAY * known.size),
        )

    def expect(
        self,
        route: str,
        tokens: int,
        under_way: Iterable[UnderWay] = (),
        seconds_per_byte: float = 0.0,
    ) -> float | None:
        """Return the seconds until an answer is sent, None before the first one of its route.

        Those under way on its route that have taken longer than expected show that endpoints have
        become slower. ``seconds_per_byte`` is how long its caller takes to read.
        """
        if route not in self._longest:
            return None
        rows = [row for row in under_way if row.route == route]
        slower = max([1.0, *(row.age / self._recall(row) for row in rows)])
        sending = self._longest[route].size * seconds_per_byte
        return slower * self._recall(UnderWay(route, tokens, 0.0)) + sending

    def _recall(self, row: UnderWay) -> float:
        longest = self._longest[row.route]
        return max(MIN_ANSWER_SECONDS, longest.begin + longest.pace * max(1, row.tokens))
