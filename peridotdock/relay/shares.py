"""Lends this host's share of what all hosts have in common, and as the hub borrows those of others.

Offers and their acceptance are facts: a hub offers to all, each host that takes it for the hub
accepts, and a host that is the hub no more says so, which frees the shares at once.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from peridotdock.context import Context
from peridotdock.decisions.shares import (
    MAX_LOAN_SECONDS,
    NEVER,
    BorrowedShares,
    LoanLength,
    OwnShare,
)
from peridotdock.fact_table import KnownFact, Slot
from peridotdock.relay.clocks import UptimeClock
from peridotdock.relay.peers import Peers
from peridotdock.schema.messages import ShareAcceptedFact, ShareOfferFact

# Minimum seconds between two offers of a hub.
OFFER_SECONDS = 0.3
# Age in seconds from which a handover, or the news that a host has lost its hub, is ignored: a
# process that has started since must not take it in once more.
MAX_NEWS_AGE_SECONDS = 0.5
# Seconds until a borrower knows of the end of a link that has been reset, which ends the loan. A
# link on which nothing came for as long as this was not reset but silent.
RESET_SECONDS = 0.2
SILENT_SECONDS = 0.7
# Seconds after a start in which a host that knows of no other uses no share: it may be one of many.
DISCOVERY_SECONDS = 10.0
# The first number of a process's offers is its epoch times this.
NUMBERS_PER_EPOCH = 1 << 20


@dataclass(frozen=True, slots=True)
class Handover:
    """What a hub hands over to the next one: its part of all shares, and levels by name."""

    share: float
    levels: Mapping[str, int]


class Shares:
    """The shares that this host may use: its own, and as the hub those of other hosts.

    ``on_resign`` returns the levels to hand over, ``on_handover`` is called with what another host
    handed over, and ``on_loss`` with the part of all hosts that have lost their hub and turn to
    this one. ``may_report_loss`` tells whether this host may count as one of these.
    """

    def __init__(self, ctx: Context, host: str, peers: Peers, clock: UptimeClock):
        self._ctx = ctx
        self._host = host
        self._peers = peers
        self._clock = clock
        self._started_at = clock.seconds()
        self._own = OwnShare(host, self._started_at)
        self._borrowed = BorrowedShares(ctx.epoch * NUMBERS_PER_EPOCH)
        self._length = LoanLength()
        self._offered_at: float | None = None
        self._losses = 0
        self._loss_reported_at = NEVER
        self._loss_reported_to = ""
        self._linked: frozenset[str] = frozenset()
        self._link_ends: Counter[str] = Counter()
        self._seen: dict[tuple[str, str], tuple[int, int]] = {}
        self._closed = False
        self.on_resign: Callable[[], dict[str, int]] = dict
        self.on_handover: Callable[[Handover], None] = lambda handover: None
        self.on_loss: Callable[[float], None] = lambda part: None
        self.may_report_loss: Callable[[], bool] = lambda: False
        peers.facts.listen(self._on_changed)

    # What this host may grant, and whom to ask

    def part(self) -> float:
        """Return the part of all shares that this host may use now."""
        now = self._clock.seconds()
        shares = self._borrowed.lenders(now) + self._own.is_lent_to(self._host, now)
        return shares / max(1, self._peers.host_count())

    def expected_part(self) -> float:
        """Return the part of all shares that this host may use once all live hosts lend theirs."""
        if not self.is_offering():
            return 0.0
        return len(self._peers.live_hosts()) / max(1, self._peers.host_count())

    def is_offering(self) -> bool:
        """Return whether this host offers to grant for others, as the hub."""
        return self._offered_at is not None

    def grantor(self) -> str:
        """Return the host to ask for a part of what is in common: the borrower, else the hub."""
        borrower = self._own.borrower
        lent = self._own.is_lent_to(borrower, self._clock.seconds())
        if lent and (borrower == self._host or borrower in self._peers.mesh.peers()):
            return borrower
        return self._peers.hub()

    def link_ends(self, host: str) -> int:
        """Return how many links to a host have ended; replies are lost with them."""
        return self._link_ends[host]

    def use_own(self) -> bool:
        """Use this host's own share if no other host may, and return whether it is used."""
        return self.knows_hosts() and self._own.use(self._clock.seconds())

    def loan_seconds(self) -> float:
        """Return the duration of the loans that this host offers."""
        return self._length.seconds(self._peers.host_count())

    def knows_hosts(self) -> bool:
        """Return whether the number of hosts is known, of which each has a share."""
        started_for = self._clock.seconds() - self._started_at
        return self._peers.host_count_is_known() or started_for >= DISCOVERY_SECONDS

    # As the hub

    def refresh(self) -> None:
        """Offer as the hub, resign where this host is the hub no more, and lend the own share."""
        now = self._clock.seconds()
        self._borrowed.prune(max(MAX_LOAN_SECONDS, self.loan_seconds()), now)
        if self._peers.is_hub() and not self._closed:
            self._offer(now)
        elif self._offered_at is not None:
            self._resign(self._peers.hub())
        self._lend()

    def close(self) -> None:
        """Resign for good, as this host stops."""
        self._closed = True
        if self._offered_at is not None:
            others = self._peers.rank(self._peers.live_hosts() - {self._host})
            self._resign(others[0] if others else "")

    def _offer(self, now: float) -> None:
        if not self.knows_hosts():
            return
        if self._offered_at is not None and now < self._offered_at + OFFER_SECONDS:
            return
        self._offered_at = now
        number = self._borrowed.offer(now)
        fact = ShareOfferFact(number, round(1000 * self.loan_seconds()))
        self._peers.facts.publish("share_offer", fact)

    def _resign(self, successor: str) -> None:
        """Use no share any more, and publish what the next hub takes over."""
        part, levels = self.part(), self.on_resign()
        self._offered_at = None
        number = self._borrowed.offer(self._clock.seconds())
        self._borrowed.drop()
        self._length.clear()
        fact = ShareOfferFact(number, 0, successor, round(part, 4), levels)
        self._peers.facts.publish("share_offer", fact)
        if part > 0:
            detail = f"{part:.3f} of all shares, to {successor or 'no host'}"
            self._ctx.timeline.add("shares_handed_over", detail=detail)

    def _on_changed(self, slots: list[Slot]) -> None:
        for origin, topic in slots:
            known = self._peers.facts.get(origin, topic)
            if known is None:
                continue
            if topic == "links" and origin == self._host:
                self._end_loans(frozenset(known.fact.peers))
            elif topic == "share_accepted" and known.fact.hub == self._host != origin:
                self._borrow(origin, known)
            elif topic == "share_offer" and origin != self._host:
                self._read_offer(origin, known)

    def _borrow(self, lender: str, known: KnownFact) -> None:
        fact = known.fact
        age = self._borrowed.age(fact.number, self._clock.seconds())
        if age is not None:
            self._length.add(lender, fact.number, age)
        self._borrowed.borrow(lender, fact.number, fact.loan / 1000)
        if fact.losses and self._is_new("loss", lender, known.entry.epoch, fact.losses, known.at):
            self.on_loss(1 / self._peers.host_count())

    def _end_loans(self, linked: frozenset[str]) -> None:
        """End the loans to and from hosts whose links have ended.

        The loan to a host that was silent goes on, as it may not know of the end.
        """
        ended, self._linked = self._linked - linked, linked
        self._link_ends.update(ended)
        for host in ended:
            self._borrowed.end(host)
            self._length.remove(host)
            if self._age(self._peers.mesh.last_received(host)) < SILENT_SECONDS:
                self._own.shorten(host, self._clock.seconds() + RESET_SECONDS)
        if ended:
            # Only then does this host no longer count the one at the other end as the hub.
            asyncio.get_running_loop().call_soon(self.refresh)

    def _is_new(self, kind: str, origin: str, epoch: int, number: int, at: float) -> bool:
        """Return whether news of another host was not seen before, and is not too old."""
        seen = self._seen.get((kind, origin))
        self._seen[kind, origin] = epoch, number
        return seen != (epoch, number) and self._age(at) < MAX_NEWS_AGE_SECONDS

    def _age(self, at: float) -> float:
        return self._ctx.clock.monotonic() - at

    # As a lender

    def _read_offer(self, origin: str, known: KnownFact) -> None:
        fact = known.fact
        if fact.loan:
            self._lend()
            return
        self._own.take_back(origin)
        epoch = known.entry.epoch
        if fact.successor == self._host and self._is_new(
            "handover", origin, epoch, fact.number, known.at
        ):
            self.on_handover(Handover(fact.share, fact.levels))

    def _lend(self) -> None:
        """Lend the own share to the hub, or use it here while no other host may."""
        hub = self._peers.hub()
        reported = self._has_lost_borrower(hub) and self._report_loss(hub)
        if hub == self._host:
            if reported:
                self.on_loss(1 / self._peers.host_count())
            if not self._closed:
                self.use_own()
            return
        if reported:
            self._accept(hub, 0, 0)
        if not self._lend_to(hub) and not self._closed:
            self.use_own()

    def _lend_to(self, hub: str) -> bool:
        """Lend the own share on the hub's last offer, and return whether that was possible."""
        known = self._peers.facts.get(hub, "share_offer")
        if known is None or not known.fact.loan or hub not in self._peers.mesh.peers():
            return False
        now, seconds = self._clock.seconds(), known.fact.loan / 1000
        if not self._own.lend(hub, now - self._age(known.at), seconds, now):
            return False
        self._accept(hub, known.fact.number, known.fact.loan)
        return True

    def _accept(self, hub: str, number: int, loan: int) -> None:
        """Publish that the share is lent to a hub, unless that was published before."""
        old = self._peers.facts.get(self._host, "share_accepted")
        if number and old is not None and (old.fact.hub, old.fact.number) == (hub, number):
            return
        recent = self._age(self._loss_reported_at) < MAX_NEWS_AGE_SECONDS
        losses = self._losses if recent and hub == self._loss_reported_to else 0
        self._peers.facts.publish("share_accepted", ShareAcceptedFact(hub, number, loan, losses))

    def _has_lost_borrower(self, hub: str) -> bool:
        """Return whether a former hub that can't be reached may still use the share."""
        borrower = self._own.borrower
        lent = self._own.is_lent_to(borrower, self._clock.seconds())
        if borrower in (self._host, hub) or not lent:
            return False
        gone = borrower not in self._peers.live_hosts()
        return gone or borrower in self._peers.mesh.failed_hosts()

    def _report_loss(self, hub: str) -> bool:
        """Return whether this host may report a loss to the next hub now."""
        if not self.may_report_loss():
            return False
        self._losses += 1
        self._loss_reported_at, self._loss_reported_to = self._ctx.clock.monotonic(), hub
        return True
