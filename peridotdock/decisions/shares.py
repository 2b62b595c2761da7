"""Which host grants a host's share of a resource that all hosts have in common.

Load pattern: hosts lose sight of each other, or start together and know no other host. Several of
them take themselves for the hub, and together they grant several times what there is. Therefore
each host owns an equal share and lends it to one host at a time, for some seconds from a numbered
offer of that host. The borrower counts these seconds from when it made the offer and the lender
from when it received it, which is later. So the borrower has stopped before the lender lends its
share to another host, whatever either of them believes of the other hosts.
"""

from collections.abc import Iterator
from itertools import count

# Duration of a loan in seconds, and how much longer it is for each host: offers wait longer in the
# hub's queues the more hosts there are.
LOAN_SECONDS = 1.0
LOAN_SECONDS_PER_HOST = 0.005
# Longest loan that slow acceptances make, in seconds; nobody may use a share for as long when its
# borrower is silent. How many times as long as a quick one an acceptance may take, and the seconds
# between two offers that reach a host.
MAX_LOAN_SECONDS = 3.0
ACCEPTANCE_FACTOR = 1.6
BETWEEN_OFFERS_SECONDS = 0.4
# Number of a lender's last acceptances of which the quickest counts, so that a pause does not.
KEPT_ACCEPTANCES = 3
# Share of a loan after which the borrower stops, as clocks of two hosts differ in speed.
BORROWER_SHARE = 0.95
# Seconds after the start of a process for which its share is not lent: a borrower ends the loan of
# a host whose link is reset, which the end of the process or its machine's next start brings about.
START_SECONDS = 0.5
NEVER = float("-inf")


def loan_seconds(hosts: int) -> float:
    """Return the duration of a loan among so many hosts where acceptances arrive quickly."""
    return LOAN_SECONDS + LOAN_SECONDS_PER_HOST * hosts


class LoanLength:
    """How long a hub's loans are: at least as long as its lenders' acceptances take to arrive."""

    def __init__(self) -> None:
        self._times: dict[str, tuple[int, tuple[float, ...]]] = {}

    def add(self, lender: str, number: int, seconds: float) -> None:
        """Add the time from an offer until its acceptance has arrived, the first time it does."""
        last, times = self._times.get(lender, (-1, ()))
        if number > last:
            self._times[lender] = number, (*times, seconds)[-KEPT_ACCEPTANCES:]

    def remove(self, lender: str) -> None:
        """Forget a lender."""
        self._times.pop(lender, None)

    def clear(self) -> None:
        """Forget all lenders."""
        self._times.clear()

    def seconds(self, hosts: int) -> float:
        """Return the duration of a loan among so many hosts."""
        usual = loan_seconds(hosts)
        quickest = sorted(min(times) for _, times in self._times.values())
        if not quickest:
            return usual
        median = quickest[(len(quickest) - 1) // 2]
        needed = BETWEEN_OFFERS_SECONDS + ACCEPTANCE_FACTOR * median
        return max(usual, min(MAX_LOAN_SECONDS, needed))


class OwnShare:
    """A host's own share: which host may use it, and until when.

    A process that has just started does not know to which host its predecessor lent the share. It
    lends it to none, and does not use it, until that host knows of the end.
    """

    def __init__(self, host: str, now: float):
        self._host = host
        self._borrower = ""
        self._until = now + START_SECONDS

    @property
    def borrower(self) -> str:
        """The host that has borrowed the share last; this host itself while it uses it."""
        return self._borrower

    def is_free(self, now: float) -> bool:
        """Return whether no other host may use the share now."""
        return now >= self._until

    def lend(self, borrower: str, offered_at: float, seconds: float, now: float) -> bool:
        """Lend the share on an offer received at ``offered_at``, or extend its loan.

        Return whether the offer was accepted. One from before the end of the loan is not.
        """
        until = offered_at + seconds
        if until <= now or not (borrower == self._borrower or self.is_free(now)):
            return False
        self._borrower, self._until = borrower, max(until, self._until)
        return True

    def use(self, now: float) -> bool:
        """Use the share on this host if no other host may, and return whether it is used.

        It can be lent at any time.
        """
        if self._borrower != self._host:
            if not self.is_free(now):
                return False
            self._borrower, self._until = self._host, NEVER
        return True

    def is_lent_to(self, borrower: str, now: float) -> bool:
        """Return whether a host may use the share now."""
        return borrower == self._borrower and (borrower == self._host or now < self._until)

    def shorten(self, borrower: str, until: float) -> None:
        """End the loan at ``until``, as its borrower knows by then that it has ended."""
        if borrower == self._borrower:
            self._until = min(self._until, until)

    def take_back(self, borrower: str) -> None:
        """End the loan, as its borrower has said that it uses the share no more."""
        if borrower == self._borrower:
            self._until = NEVER


class BorrowedShares:
    """The shares that other hosts lend to this one, on its numbered offers."""

    def __init__(self, first_number: int):
        self._numbers: Iterator[int] = count(first_number)
        self._offered_at: dict[int, float] = {}
        self._until: dict[str, float] = {}
        self._ended: dict[str, int] = {}
        self._last_number = first_number - 1

    def offer(self, now: float) -> int:
        """Return the number of an offer that is made now."""
        number = self._last_number = next(self._numbers)
        self._offered_at[number] = now
        return number

    def age(self, number: int, now: float) -> float | None:
        """Return the seconds since an offer was made; None for one that is not known any more."""
        offered_at = self._offered_at.get(number)
        return None if offered_at is None else now - offered_at

    def borrow(self, lender: str, number: int, seconds: float) -> None:
        """Use a lender's share for ``seconds`` from the offer that it has accepted."""
        offered_at = self._offered_at.get(number)
        if offered_at is not None and number > self._ended.get(lender, number - 1):
            until = offered_at + BORROWER_SHARE * seconds
            self._until[lender] = max(until, self._until.get(lender, NEVER))

    def lenders(self, now: float) -> int:
        """Return the number of hosts whose shares this host may use now."""
        return sum(now < until for until in self._until.values())

    def end(self, lender: str) -> None:
        """End the loan of a lender; only a new offer begins another one."""
        self._until.pop(lender, None)
        self._ended[lender] = self._last_number

    def drop(self) -> None:
        """Use no share any more, and accept no answer to the offers so far."""
        self._offered_at.clear()
        self._until.clear()

    def prune(self, seconds: float, now: float) -> None:
        """Forget offers and loans that have expired."""
        self._offered_at = {
            number: at for number, at in self._offered_at.items() if now < at + seconds
        }
        self._until = {lender: until for lender, until in self._until.items() if now < until}
        oldest = min(self._offered_at, default=self._last_number)
        self._ended = {lender: last for lender, last in self._ended.items() if last >= oldest}
