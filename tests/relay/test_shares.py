"""Shares of what all hosts have in common: each is used by one host at a time."""

import itertools
import random
import unittest

from nose2.tools import params

from peridotdock.decisions.shares import (
    LOAN_SECONDS,
    MAX_LOAN_SECONDS,
    START_SECONDS,
    BorrowedShares,
    LoanLength,
    OwnShare,
    loan_seconds,
)

LOAN = 1.4


def started(now=0.0):
    """Return the share of a host that has been up for long enough to lend it."""
    return OwnShare("h", now - START_SECONDS)


class OwnShareTest(unittest.TestCase):
    def test_a_share_is_not_lent_right_after_a_start(self):
        """Guards against the use of a share that the process before has lent."""
        own = OwnShare("h", 0.0)
        self.assertFalse(own.lend("a", 0.0, LOAN, 0.9 * START_SECONDS))
        self.assertFalse(own.use(0.9 * START_SECONDS))
        self.assertTrue(own.lend("a", 0.0, LOAN, START_SECONDS))

    @params(
        ("to the same host", "a", 0.5, True),
        ("to another host", "b", 0.5, False),
        ("to another host after its end", "b", LOAN, True),
    )
    def test_a_lent_share_is_lent(self, name, borrower, now, accepted):
        own = started()
        own.lend("a", 0.0, LOAN, 0.0)
        self.assertEqual(accepted, own.lend(borrower, now, LOAN, now), name)
        self.assertEqual(accepted, own.is_lent_to(borrower, now), name)

    def test_an_old_offer_does_not_extend_a_loan(self):
        """Guards against a loan that its borrower knows to be over."""
        own = started()
        self.assertFalse(own.lend("a", 0.0, LOAN, LOAN))
        self.assertFalse(own.is_lent_to("a", LOAN))

    @params(
        ("its borrower gave it back", lambda own: own.take_back("a"), 0.1, True),
        ("another host gave back its shares", lambda own: own.take_back("b"), 0.1, False),
        ("the link to its borrower was reset", lambda own: own.shorten("a", 0.3), 0.3, True),
        ("the borrower does not know of that yet", lambda own: own.shorten("a", 0.3), 0.2, False),
    )
    def test_a_loan_ends_before_its_time(self, name, end, now, free):
        own = started()
        own.lend("a", 0.0, LOAN, 0.0)
        end(own)
        self.assertEqual(free, own.use(now), name)

    def test_a_host_lends_the_share_that_it_uses_itself_at_any_time(self):
        own = started()
        self.assertTrue(own.use(1.0))
        self.assertTrue(own.lend("a", 1.0, LOAN, 1.0))
        self.assertFalse(own.is_lent_to("h", 1.0))


class BorrowedSharesTest(unittest.TestCase):
    def setUp(self):
        self.borrowed = BorrowedShares(7)
        self.number = self.borrowed.offer(0.0)

    @params(
        ("of its offer", 0, 1), ("of no offer of this process", -1, 0), ("of a later one", 1, 0)
    )
    def test_only_answers_to_offers_count(self, name, more, lenders):
        self.borrowed.borrow("h", self.number + more, LOAN)
        self.assertEqual(lenders, self.borrowed.lenders(0.1), name)

    def test_a_borrower_stops_before_the_lender_may_lend_again(self):
        """Guards against two hosts that use one share, as their clocks differ in speed."""
        self.borrowed.borrow("h", self.number, LOAN)
        self.assertEqual(1, self.borrowed.lenders(0.94 * LOAN))
        self.assertEqual(0, self.borrowed.lenders(0.96 * LOAN))

    def test_an_answer_from_before_the_end_of_a_link_counts_no_more(self):
        """Guards against a loan that begins anew as facts are sent again over the next link."""
        self.borrowed.borrow("h", self.number, LOAN)
        self.borrowed.end("h")
        self.borrowed.borrow("h", self.number, LOAN)
        self.assertEqual(0, self.borrowed.lenders(0.1))
        self.borrowed.borrow("h", self.borrowed.offer(0.1), LOAN)
        self.assertEqual(1, self.borrowed.lenders(0.1))

    def test_a_host_that_resigns_uses_no_share(self):
        self.borrowed.borrow("h", self.number, LOAN)
        self.borrowed.drop()
        self.borrowed.borrow("h", self.number, LOAN)
        self.assertEqual(0, self.borrowed.lenders(0.1))

    def test_nothing_is_kept_of_expired_offers(self):
        """Guards against memory that grows with the time for which a host is the hub."""
        for step in range(100):
            self.borrowed.borrow("h", self.borrowed.offer(float(step)), LOAN)
            self.borrowed.end("h")
            self.borrowed.prune(LOAN, float(step))
        kept = len(self.borrowed._offered_at) + len(self.borrowed._until)
        self.assertLess(kept + len(self.borrowed._ended), 6)


class ExclusiveUseTest(unittest.TestCase):
    @params(*itertools.product(range(40), ((LOAN,), (LOAN, 2.2, MAX_LOAN_SECONDS))))
    def test_a_share_is_used_by_one_host_at_a_time(self, seed, loans):
        """Guards against two hubs that both grant a host's share, for as long as each offers.

        Hubs offer, a lender changes its mind at random about which of them is the hub, and offers
        and answers take up to a second, are lost, or arrive twice.
        """
        rng = random.Random(seed)
        own, hubs = started(), {name: BorrowedShares(1) for name in "abc"}
        messages, now = [], 0.0
        while now < 60.0:
            now += 0.05
            for name, borrowed in hubs.items():
                if rng.random() < 0.2:
                    row = borrowed.offer(now), rng.choice(loans)
                    messages += [(now + rng.random(), "offer", name, row)] * rng.choice(
                        (0, 1, 1, 2)
                    )
            due = [row for row in messages if row[0] <= now]
            messages = [row for row in messages if row[0] > now]
            for _, kind, name, (number, loan) in due:
                if kind == "answer":
                    hubs[name].borrow("h", number, loan)
                elif rng.random() < 0.5 and own.lend(name, now, loan, now):
                    answer = now + rng.random(), "answer", name, (number, loan)
                    messages += [answer] * rng.choice((0, 1, 1, 2))
            if rng.random() < 0.05:
                own.use(now)
            users = [name for name, borrowed in hubs.items() if borrowed.lenders(now)]
            users += ["h"] * own.is_lent_to("h", now)
            self.assertLessEqual(len(users), 1, f"{users} at {now:.2f} s")


class LoanTest(unittest.TestCase):
    @params((1, LOAN_SECONDS + 0.005), (86, 1.43), (350, 2.75))
    def test_a_loan_lasts_longer_the_more_hosts_there_are(self, hosts, seconds):
        self.assertAlmostEqual(seconds, loan_seconds(hosts))

    @params(
        ("quick links", [(0.1, 0.2, 0.1)] * 4, loan_seconds(4)),
        ("slow links", [(1.2, 1.6, 1.4)] * 4, 2.2),
        ("one slow host", [(0.1, 0.1, 0.1)] * 3 + [(2.0, 2.0, 2.0)], loan_seconds(4)),
        ("a hub that was paused", [(0.1, 0.1, 2.0)] * 4, loan_seconds(4)),
        ("links that were slow", [(2.0, 2.0, 0.1)] * 4, loan_seconds(4)),
        ("very slow links", [(9.0,)] * 4, MAX_LOAN_SECONDS),
        ("no acceptance yet", [], loan_seconds(4)),
    )
    def test_a_loan_lasts_as_long_as_acceptances_need(self, name, lenders, least):
        """Guards against loans that end before the hub hears of them, or long after a hub's end."""
        length = LoanLength()
        for lender, times in enumerate(lenders):
            for number, seconds in enumerate(times):
                length.add(str(lender), number, seconds)
        self.assertGreaterEqual(length.seconds(4), least, name)
        self.assertLess(length.seconds(4), 1.2 * least, name)

    def test_an_acceptance_that_is_told_again_counts_once(self):
        """Guards against long loans after each new link, over which facts are sent again."""
        length = LoanLength()
        length.add("a", 1, 0.1)
        for _ in range(3):
            length.add("a", 1, 2.5)
        self.assertAlmostEqual(loan_seconds(4), length.seconds(4))
