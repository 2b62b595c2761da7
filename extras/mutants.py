"""Mutation tests: remove one guard of the code at a time and check that its tests then fail.

A test that has never failed proves nothing. ``make mutants`` copies the tree, removes one guard,
runs the tests named for it and expects a failure; it prints one line for each guard. docs/PROOFS.md
holds the results of the last full run.
"""

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_SECONDS = 60


@dataclass(frozen=True)
class Mutant:
    """A guard in a file of ``peridotdock``, its replacement, and the tests that must then fail."""

    name: str
    file: str
    old: str
    new: str
    tests: str


MUTANTS = (
    Mutant(
        "capacity is checked before a load is reserved",
        "ledger.py",
        "used[index] + size > capacity[index]",
        "False",
        "tests.test_memory.NeverBeyondCapacity",
    ),
    Mutant(
        "nothing is sent that was not written",
        "controllers.py",
        "if new != record.ledger and not await self._save(record, new, checks):\n"
        "            return",
        "if new != record.ledger and not await self._save(record, new, checks):\n"
        "            record.ledger = new",
        "tests.test_memory.NeverBeyondCapacity",
    ),
    Mutant(
        "the row's version is checked",
        "controllers.py",
        "checks = {ledgers.row_key(record.endpoint.id): record.version}\n        new",
        "checks = {}\n        new",
        "tests.test_memory.NeverBeyondCapacity",
    ),
    Mutant(
        "bytes wait out the lateness bound on engines that ignore numbers",
        "controllers.py",
        "wait_seconds = 0.0 if record.endpoint.fencing else self._ctx.cfg.lateness_seconds",
        "wait_seconds = 0.0",
        "tests.test_memory.LateOrders",
    ),
    Mutant(
        "an unload must have been answered before its bytes are freed",
        "controllers.py",
        "if row.state is State.UNLOADING and gone and record.answered.get(row.item) == row.order:",
        "if row.state is State.UNLOADING and gone:",
        "tests.test_memory.LateOrders",
    ),
    Mutant(
        "an item nobody ordered is charged",
        "ledger.py",
        "found = [charge(item, held) for item, held in report.items.items() if item not in known]",
        "found = []",
        "tests.test_memory.LateOrders",
    ),
    Mutant(
        "an unload needs another ready copy",
        "controllers.py",
        "if failed(changed) or proof is None:",
        "if failed(changed):\n                continue\n            if False:",
        "tests.test_memory.LastCopy",
    ),
    Mutant(
        "the other copy's row is checked in the same write",
        "controllers.py",
        "            checks |= proof\n",
        "",
        "tests.test_memory.LastCopy",
    ),
    Mutant(
        "a write without an answer is sent again",
        "clients/platform.py",
        "        again = await platform.commit(tx)\n",
        "        again = Failure(Kind.CONFLICT)\n",
        "tests.test_platform",
    ),
    Mutant(
        "a conflict after a lost answer is read back",
        "clients/platform.py",
        "            return await resolve_conflict(platform, tx)",
        "            return again",
        "tests.test_platform",
    ),
    Mutant(
        "the HTTP library sends a call that must not repeat only once",
        "clients/endpoint.py",
        "middlewares=(send_once(),) if call.at_most_once else (),",
        "middlewares=(),",
        "tests.test_failures.NotRunIsTrue",
    ),
    Mutant(
        "each frame is checked for whose it is",
        "streams.py",
        "if head.id != send_id:",
        "if False:",
        "tests.test_failures.EndpointFailures.test_another_callers_answer_is_never_passed_on",
    ),
    Mutant(
        "each send has an id of its own",
        "requests.py",
        'return self.request_id if self.send == 1 else f"{self.request_id}-{self.send}"',
        "return self.request_id",
        "tests.test_silence.LateCancelTest",
    ),
    Mutant(
        "a stream that went silent is looked for over a fresh connection",
        "streams.py",
        "if now >= silence_deadline:",
        "if False:",
        "tests.test_failures.EndpointFailures"
        ".test_a_frozen_connection_is_found_and_the_stream_goes_on_elsewhere",
    ),
    Mutant(
        "a probe without an answer ends no attempt",
        "searches.py",
        "if failed(found) and shows_end(found):",
        "if failed(found):",
        "tests.test_silence.OpenStreamTest.test_a_stream_outlasts_a_silence_of_its_engine",
    ),
    Mutant(
        "a silent attempt stays open while no other endpoint takes the request",
        "dispatch.py",
        "outcome = await attempts.wait_for_all()",
        "pass",
        "tests.test_silence.BeforeFirstByteTest.test_a_request_without_a_retry_outlasts_a_silence",
    ),
    Mutant(
        "a request is unknown only when two probes say so",
        "dispatch.py",
        "if found is not last or found is Finding.RUNNING:",
        "if found is Finding.RUNNING:",
        "tests.test_silence.UnknownRequestTest"
        ".test_a_request_that_its_probe_overtakes_is_answered",
    ),
    Mutant(
        "a stream whose connection closed is searched for during a silence",
        "streams.py",
        "if clock.monotonic() >= give_up_at:",
        "if True:",
        "tests.test_silence.OpenStreamTest.test_a_stream_is_resumed_after_a_reset_and_a_silence",
    ),
    Mutant(
        "a cut stream ends with an error frame",
        "dispatch.py",
        "yield encode_error_frame(frame, req.request_id)",
        "pass",
        "tests.test_failures.EndpointFailures.test_a_cut_stream_can_be_told_from_a_whole_one",
    ),
    Mutant(
        "an earlier send is remembered when a later one was not run",
        "requests.py",
        "if not earlier_send or failure.may_have_run:",
        "if True:",
        "tests.test_messages.Errors",
    ),
    Mutant(
        "only the owner of a key runs it",
        "entry.py",
        "if owner.incarnation != self._ctx.incarnation:",
        "if False:",
        "tests.test_failures.AtMostOnce.test_a_retry_gets_the_kept_answer"
        " tests.test_failures.AtMostOnce.test_both_hosts_at_once",
    ),
    Mutant(
        "a key older than keys are kept never runs",
        "keys.py",
        "if owner.period <= self.period() - KEPT_PERIODS:",
        "if False:",
        "tests.test_decisions.Keys",
    ),
    Mutant(
        "retries stay within their budget",
        "retries.py",
        "if self._level < 1.0:",
        "if False:",
        "tests.test_decisions.Retries",
    ),
    Mutant(
        "a loan ends by the borrower's own heartbeat",
        "limits.py",
        "if loan and sent_at is not None and now < sent_at + LOAN_SECONDS:",
        "if loan and sent_at is not None:",
        "tests.test_decisions.Limits",
    ),
    Mutant(
        "an older release never replaces a newer one",
        "publishing.py",
        'if head["sequence"] >= document["sequence"]:',
        "if False:",
        "tests.test_operations.Manifests.test_an_older_release_never_replaces_a_newer_one",
    ),
    Mutant(
        "a publication must build on the generation in force",
        "publishing.py",
        'if head["generation"] != document["based_on"]:',
        "if False:",
        "tests.test_cli.Commands.test_refusals",
    ),
    Mutant(
        "an old version answers until the new one is ready",
        "fleet.py",
        "return next(iter(self._by_name.get(name_of(item), ())), item)",
        "return item",
        "tests.test_operations.Manifests" ".test_models_stay_reachable_through_a_change_of_version",
    ),
    Mutant(
        "a leaving endpoint is known on every host",
        "fleet.py",
        "state.leaving = name in leaving",
        "state.leaving = False",
        "tests.test_operations.Leaving.test_a_leaving_endpoint_gets_no_new_work",
    ),
    Mutant(
        "a stop waits for running requests",
        "core.py",
        "lambda: self.entry.in_flight == 0, started_at + cfg.stop_seconds",
        "lambda: True, started_at + cfg.stop_seconds",
        "tests.test_processes",
    ),
    Mutant(
        "a peer must prove the cluster key",
        "handshake.py",
        "if not isinstance(hello, Hello) or not verify_proof(key, nonce, hello):",
        "if not isinstance(hello, Hello):",
        "tests.test_operations.Peers.test_a_peer_without_the_key_is_refused",
    ),
    Mutant(
        "a plan is written only over the one it was made from",
        "planner.py",
        "checks = {PLAN_KEY: self._row.version if self._row else 0}",
        "checks = {}",
        "tests.test_planner",
    ),
    Mutant(
        "a request given up on is stopped on its engine",
        "dispatch.py",
        "if opened.may_have_run:",
        "if False:",
        "tests.test_failures.EndpointFailures.test_a_deadline_ends_a_request_at_once",
    ),
    Mutant(
        "a lease counts from before its renewal was sent",
        "leases.py",
        "self._until = began + self._seconds",
        "self._until = self._clock.monotonic() + self._seconds",
        "tests.test_platform.Leases",
    ),
    Mutant(
        "hosts called dead are dialled too",
        "host.py",
        'if m.fact.state != "gone"}',
        "if m.alive}",
        "tests.test_operations.Peers.test_hosts_that_called_each_other_dead_link_again",
    ),
    Mutant(
        "the life a row names takes its engines up again",
        "controllers.py",
        "if chosen or self._owns_row(endpoint):",
        "if chosen:",
        "tests.test_operations.Outages.test_traffic_goes_on_and_a_host_boots_from_its_peers",
    ),
    Mutant(
        "ends that are explained speak against nobody else",
        "decisions/poison.py",
        "ends = [end for end in ends if not end & explaining]",
        "ends = list(ends)",
        "tests.relay.test_prompt_parts.FindPartTest",
    ),
    Mutant(
        "hosts tell each other which requests were at an end",
        "blocklist.py",
        "self._facts.publish(TOPIC, self._make_fact())",
        "pass",
        "tests.relay.test_poison.ManyHostsTest",
    ),
    Mutant(
        "what is blocked outlives all hosts",
        "blocklist_store.py",
        "        self._blocklist.adopt(ends)\n        self._has_read, self._era",
        "        self._has_read, self._era",
        "tests.relay.test_poison.ManyHostsTest tests.relay.test_poison.BlocklistStoreTest",
    ),
    Mutant(
        "an endpoint that answers has not ended",
        "relay/fleet.py",
        "if state.answered_sent_at > broken_at or self.links_explain(broken_at):",
        "if False:",
        "tests.relay.test_poison.HasEndedTest",
    ),
    Mutant(
        "only success speaks for a request",
        "relay/service.py",
        "        if sent.head.status in SUCCESS:\n            self.blocklist",
        "        if True:\n            self.blocklist",
        "tests.relay.test_poison.ManyHostsTest",
    ),
    Mutant(
        "a request is looked at again when an endpoint is found for it",
        "relay/service.py",
        "return refusal or prediction",
        "return prediction",
        "tests.relay.test_poison.WaitingTest",
    ),
    Mutant(
        "restored: a feed ends with its era",
        "platform/store.py",
        "if not all_of_era([after], page.era):",
        "if False:",
        "tests.relay.test_restored.StoreClientTest",
    ),
    Mutant(
        "restored: an answer of an earlier era is dropped",
        "clients/versions.py",
        "if self._known and era < self.current:\n            return False",
        "if self._known and era < self.current:\n            return True",
        "tests.relay.test_restored.StoreClientTest",
    ),
    Mutant(
        "restored: a check of an earlier era is a conflict",
        "platform/store.py",
        "if not all_of_era(tx.checks.values(), answer.era):",
        "if False:",
        "tests.relay.test_restored.StoreClientTest",
    ),
    Mutant(
        "restored: pages of two eras are not joined",
        "platform/store.py",
        "if version is not None and page.era != era_of(version):",
        "if False:",
        "tests.relay.test_restored.StoreClientTest",
    ),
    Mutant(
        "restored: a frame of an earlier era proves nothing",
        "relay/following.py",
        "if era_of(frame.version) < era_of(known):",
        "if False:",
        "tests.relay.test_outages.ReaderFramesTest",
    ),
    Mutant(
        "restored: an endpoint that drains keeps draining",
        "relay/fleet.py",
        "entry = keep_draining(entry, known)",
        "pass",
        "tests.relay.test_restored.EndpointsAfterRestoreTest",
    ),
    Mutant(
        "restored: the lease's row proves nothing",
        "relay/leadership.py",
        "if self._is_of_copy(row):\n            return self._wait_for_lost_holder(row, now)",
        "if False:\n            return None",
        "tests.relay.test_ordering.LeadershipTest",
    ),
    Mutant(
        "restored: terms go on above the era before",
        "relay/leadership.py",
        "(self._era or 0) * TERMS_PER_ERA",
        "0",
        "tests.relay.test_ordering.LeadershipTest",
    ),
    Mutant(
        "restored: a lease of another era is none",
        "relay/leadership.py",
        "if era_of(outcome.version) != era:",
        "if False:",
        "tests.relay.test_ordering.LeadershipTest",
    ),
    Mutant(
        "restored: a missing lease may have been lost before this host's start",
        "relay/leadership.py",
        "return self._store.era.rows_may_be_lost",
        "return False",
        "tests.relay.test_ordering.LeadershipTest",
    ),
    Mutant(
        "restored: a host that starts later waits for lost host leases",
        "leases.py",
        "if era != self._era:\n            self._restored_at = now",
        "if self._seen and era != self._era:\n            self._restored_at = now",
        "tests.test_platform.Leases",
    ),
    Mutant(
        "restored: no key is claimed before owners could write again",
        "claims.py",
        "if settled_for <= 0:",
        "if False:",
        "tests.test_platform.ClaimsTest",
    ),
    Mutant(
        "restored: a claim that crossed a restore is not used",
        "claims.py",
        "if era_of(outcome.version) != era:",
        "if False:",
        "tests.test_platform.ClaimsTest",
    ),
    Mutant(
        "restored: a claim that could not be withdrawn is not used",
        "claims.py",
        "if row in self._unsettled and not await self._withdraw(row):",
        "if False:",
        "tests.test_platform.ClaimsTest",
    ),
    Mutant(
        "restored: an older whole table does not end the wait for one",
        "relay/following.py",
        "self._version = max(known, frame.version)\n",
        "self._version = max(known, frame.version)\n"
        "        self._whole_due = self._whole_due and not frame.whole\n",
        "tests.relay.test_views.LostCallTest",
    ),
    Mutant(
        "a prompt part: what streams on speaks for its parts",
        "relay/service.py",
        "            self.blocklist.record_streaming(req)",
        "            pass",
        "tests.relay.test_prompt_parts.SendingTest",
    ),
    Mutant(
        "a prompt part: a harmless one hides no bad one",
        "decisions/poison.py",
        "explaining = {cause for cause in blamed if not is_part(cause) or cause not in rivals}",
        "explaining = blamed",
        "tests.relay.test_prompt_parts.FindPartTest",
    ),
    Mutant(
        "a prompt part: what an end broke off speaks for its parts at that end",
        "blocklist.py",
        "at = self._ctx.clock.monotonic() + END_SKEW_SECONDS",
        "at = self._ctx.clock.monotonic()",
        "tests.relay.test_prompt_parts.PartBlocklistTest",
    ),
    Mutant(
        "a prompt part: a request that holds a rival tells nothing",
        "blocklist.py",
        "cause in verdict.doubtful and rivals.isdisjoint(causes)",
        "cause in verdict.doubtful",
        "tests.relay.test_prompt_parts.PartBlocklistTest",
    ),
    Mutant(
        "a prompt part: few trials in a day",
        "blocklist.py",
        "return PART_BLOCKED_SECONDS[min(later, len(PART_BLOCKED_SECONDS) - 1)]",
        "return PART_BLOCKED_SECONDS[0]",
        "tests.relay.test_prompt_parts.PartBlocklistTest",
    ),
    Mutant(
        "a prompt part: blocked while a request connects",
        "relay/service.py",
        "return state.accepts_requests() and not late and self.blocklist.refusal(req) is None",
        "return state.accepts_requests() and not late",
        "tests.relay.test_prompt_parts.SendingTest",
    ),
    Mutant(
        "a prompt part: hosts that start read the stored row",
        "blocklist_store.py",
        "            await self._read_at_start()",
        "            pass",
        "tests.relay.test_prompt_parts.PartBlocklistTest",
    ),
    Mutant(
        "unframed: an answer is whole if its endpoint still listens",
        "clients/http.py",
        "return may_stop() or await can_connect(address, CONNECT_TIMEOUT_SECONDS)",
        "return True",
        "tests.relay.test_endings.UnframedAnswerTest",
    ),
    Mutant(
        "a request in doubt is tried at any host",
        "trials.py",
        "if not await self.ask(cause):",
        "if True:",
        "tests.relay.test_poison.ManyHostsTest",
    ),
    Mutant(
        "a trial without an outcome makes room",
        "trials.py",
        "self.on_dropped(content)",
        "pass",
        "tests.relay.test_poison.TrialsTest",
    ),
    Mutant(
        "restored: entries are known as such when they are read twice",
        "relay/fleet.py",
        "known = found if self._restored else self._restored_entries",
        "known = found if self._restored else {}",
        "tests.relay.test_restored.RestoredEntriesTest",
    ),
    Mutant(
        "restored: an entry that is written again counts",
        "relay/fleet.py",
        "self._restored_entries.pop(key, None)",
        "pass",
        "tests.relay.test_restored.RestoredEntriesTest",
    ),
    Mutant(
        "restored: a missing ledger waits for its lost controller",
        "controllers.py",
        "if row is None and after_lost <= 0:",
        "if False:",
        "tests.test_memory.RestoredPlatform",
    ),
    Mutant(
        "restored: no load after a missing ledger for the longest delay of an order",
        "controllers.py",
        "if old.era != era:",
        "if row is not None and old.era != era:",
        "tests.test_memory.RestoredPlatform",
    ),
    Mutant(
        "restored: a ledger is written again",
        "controllers.py",
        "if record.ledger.era != self._platform.era.current:\n"
        "            await self._write_again(record)\n            return",
        "if False:\n            return",
        "tests.test_memory.RestoredPlatform",
    ),
    Mutant(
        "restored: no load for the longest delay of an order",
        "controllers.py",
        "if self._ctx.clock.monotonic() < record.loads_from:",
        "if False:",
        "tests.test_memory.RestoredPlatform",
    ),
    Mutant(
        "a key is kept from endpoints",
        "platform/wire.py",
        "            | IDENTITY_HEADERS\n",
        "",
        "tests.relay.test_workspaces.HostTest",
    ),
    Mutant(
        "hosts are told digests for keys",
        "platform/documents.py",
        "            row.pop(KEYS_FIELD, None)\n",
        "",
        "tests.relay.test_workspaces.DecodeTest",
    ),
    Mutant(
        "a host that can't know of a new key does not deny it",
        "relay/identity.py",
        "if age > self._bounds.config\n",
        "if False\n",
        "tests.relay.test_workspaces.IdentifierTest",
    ),
    Mutant(
        "a strict host that is cut off serves no key",
        "relay/identity.py",
        "if self._bounds.revoke_strict and age > self._bounds.revoke:",
        "if False:",
        "tests.relay.test_workspaces.IdentifierTest",
    ),
    Mutant(
        "a share is lent to one host at a time",
        "decisions/shares.py",
        "(borrower == self._borrower or self.is_free(now))",
        "True",
        "tests.relay.test_shares",
    ),
    Mutant(
        "a borrower stops before the lender lends again",
        "decisions/shares.py",
        "until = offered_at + BORROWER_SHARE * seconds",
        "until = offered_at + 1.2 * seconds",
        "tests.relay.test_shares",
    ),
    Mutant(
        "an answer from before the end of a link counts no more",
        "decisions/shares.py",
        "number > self._ended.get(lender, number - 1)",
        "True",
        "tests.relay.test_shares",
    ),
    Mutant(
        "a share is not lent right after a start",
        "decisions/shares.py",
        "self._until = now + START_SECONDS",
        "self._until = now",
        "tests.relay.test_shares",
    ),
    Mutant(
        "a host grants out of the shares that are lent to it",
        "relay/shares.py",
        "return shares / max(1, self._peers.host_count())",
        "return 1.0",
        "tests.relay.test_quota_cluster.WindowTest.test_no_window_holds_more_than_the_quota",
    ),
    Mutant(
        "a host that is the hub no more uses no share",
        "relay/shares.py",
        "        self._borrowed.drop()\n        self._length",
        "        self._length",
        "tests.relay.test_quota_cluster.WindowTest.test_a_hub_that_hands_over_uses_no_share",
    ),
    Mutant(
        "a new counter has no units",
        "decisions/quotas.py",
        "full = 0 < share * self._tolerance.window <= self._held",
        "full = True",
        "tests.relay.test_quotas.CounterTest",
    ),
    Mutant(
        "the shares of the time before count",
        "decisions/quotas.py",
        "elapsed, least = now - self._filled_at, min(share, self.share)",
        "elapsed, least = now - self._filled_at, share",
        "tests.relay.test_quotas.CounterTest",
    ),
    Mutant(
        "a debt is limited",
        "decisions/quotas.py",
        "if level > 0 and level + debt >= cost:",
        "if level > 0:",
        "tests.relay.test_quotas.CounterTest",
    ),
    Mutant(
        "a further send that may run is charged",
        "relay/service.py",
        "if progress.maybe_ran > 0:\n            progress.charged",
        "if False:\n            progress.charged",
        "tests.relay.test_quota_repeats.ChargeTest",
    ),
    Mutant(
        "a repeat that did not run is given back",
        "relay/service.py",
        "self.on_repeat_not_run(req)",
        "pass",
        "tests.relay.test_quota_repeats.ChargeTest",
    ),
    Mutant(
        "a stock owes units until a hub is linked",
        "relay/quotas.py",
        "if self._give_back(name, -round(units)):",
        "if self._give_back(name, -round(units)) or True:",
        "tests.relay.test_quota_repeats.OwedUnitsTest",
    ),
    Mutant(
        "a request larger than a share is admitted at random",
        "decisions/quotas.py",
        "if self._draw() * cost < level:",
        "if level > 0:",
        "tests.relay.test_quotas.CounterTest",
    ),
    Mutant(
        "a host gives its part of the reserve once a window",
        "decisions/quotas.py",
        "if now < self._given_at + self._seconds:",
        "if False:",
        "tests.relay.test_quotas.CounterTest",
    ),
    Mutant(
        "requests wait while a new hub has few shares",
        "relay/quota_counter.py",
        "return min(NOT_COUNTING, -wait)",
        "return wait",
        "tests.relay.test_quota_cluster.ServiceTest.test_a_new_hub_lets_requests_wait",
    ),
    Mutant(
        "a host that starts leaves the role of the hub to one that has it",
        "decisions/hubs.py",
        "if started_for < NEWCOMER_SECONDS and offering:",
        "if False:",
        "tests.relay.test_hubs.ChoiceTest",
    ),
    Mutant(
        "hosts that start again together leave the fixed number of repeats alone",
        "decisions/retry_budget.py",
        "if hosts is None or now < self._extra_from:",
        "if hosts is None:",
        "tests.relay.test_retry_budget.BudgetTest",
    ),
    Mutant(
        "a silent send is kept until another one has answered",
        "relay/replacing.py",
        "self._task = asyncio.ensure_future(self._send(self._caller))",
        "self._task = asyncio.ensure_future(self._send(self._caller)); self._end_send()",
        "tests.relay.test_silence.SilentEndpointTest",
    ),
    Mutant(
        "a send is replaced once another one has answered",
        "relay/replacing.py",
        "        self._end_send()\n",
        "        self.found = None\n",
        "tests.relay.test_silence.DeadConnectionTest",
    ),
    Mutant(
        "a second send ends when the first one goes on",
        "relay/replacing.py",
        "            self._caller.end()\n",
        "            pass\n",
        "tests.relay.test_replacing.LeftBehindTest",
    ),
    Mutant(
        "a silent send counts as one that may run",
        "relay/replacing.py",
        "return 0 if self.began or self._silent.streaming else 1",
        "return 0",
        "tests.relay.test_replacing.NeedlessTest",
    ),
    Mutant(
        "a refused second send leaves the later tries",
        "relay/replacing.py",
        "progress.final, progress.refusals, progress.hosts = False, refusals, hosts",
        "pass",
        "tests.relay.test_replacing.ReplacedTest",
    ),
    Mutant(
        "a silent send is not forwarded to its own endpoint",
        "relay/forwarding.py",
        "if own and not self._links.partitioned:",
        "if False:",
        "tests.relay.test_replacing.NeedlessTest",
    ),
    Mutant(
        "the next host is told where a silent stream runs",
        "relay/forwarding.py",
        "sorted(progress.working),",
        "[],",
        "tests.relay.test_replacing.NeedlessTest",
    ),
    Mutant(
        "a suspect endpoint that is silent too is not tried within a stream",
        "relay/service.py",
        "(suspects and not row.silent_sends)",
        "suspects",
        "tests.relay.test_replacing.SuspectTest",
    ),
    Mutant(
        "a second send does not go to a silent endpoint",
        "relay/choosing.py",
        "return avoid | silent if len(silent) < len(rest) else avoid",
        "return avoid",
        "tests.relay.test_replacing.SuspectTest",
    ),
    Mutant(
        "a grant is not waited for that a link has lost",
        "relay/grants.py",
        "return call.link is not None and not self.is_up(call.link)",
        "return False",
        "tests.relay.test_pacing.LostGrantTest",
    ),
    Mutant(
        "a host does not remember the streams of another host's callers",
        "relay/stream_versions.py",
        "if progress.software is None or progress.forwarded:",
        "if progress.software is None:",
        "tests.relay.test_stream_versions.TriesTest",
    ),
    Mutant(
        "a stream goes on only where the start in the entry runs",
        "relay/service.py",
        "if target.running is Running.ANOTHER:",
        "if False:",
        "tests.relay.test_restarted_versions.OneAnswerTest",
    ),
    Mutant(
        "a stream that began at an unknown start does not go on",
        "relay/service.py",
        "if any(check.running is Running.ANOTHER for check in began):",
        "if False:",
        "tests.relay.test_restarted_versions.OneAnswerTest",
    ),
    Mutant(
        "a stream goes on through another host only if its start is the entry's",
        "relay/service.py",
        "if found.running is Running.ANOTHER:",
        "if False:",
        "tests.relay.test_restarted_versions.SuspectedLinksTest",
    ),
    Mutant(
        "a stream goes on over a new connection only if the entry's start is at its end",
        "relay/service.py",
        "if failure is None and confirm and source.is_of_another_start():",
        "if False:",
        "tests.relay.test_restarted_versions.RestartAfterReportTest",
    ),
    Mutant(
        "the hub takes nothing for older while a host is out of touch",
        "relay/stream_versions.py",
        "return max(self._hub_since, self._apart_at)",
        "return self._hub_since",
        "tests.relay.test_stream_versions.UntoldTest",
    ),
    Mutant(
        "a wait within a stream goes by its last event",
        "relay/requests.py",
        "since = self.received_at if last_event_at is None else last_event_at",
        "since = self.received_at",
        "tests.relay.test_silence.ResumedStreamTest",
    ),
    Mutant(
        "a stream is bound to the software version that began it",
        "relay/service.py",
        "progress.software = UNKNOWN_SOFTWARE if found.is_of_another_start() else found.software",
        "pass",
        "tests.relay.test_software_versions.OneAnswerTest",
    ),
    Mutant(
        "a forwarded stream tells which software version began it",
        "relay/forwarded.py",
        "if progress.software is not None:",
        "if False:",
        "tests.relay.test_software_versions.OneAnswerTest",
    ),
    Mutant(
        "a host that a stream is forwarded to keeps to its software version",
        "relay/forwarding.py",
        'progress.software or "",',
        '"",',
        "tests.relay.test_software_versions.OneAnswerTest",
    ),
    Mutant(
        "a window's retries are paid by its own requests",
        "decisions/retry_budget.py",
        "sums[min(start + end - oldest, len(sums) - 1)]",
        "sums[-1]",
        "tests.relay.test_retry_budget.WindowTest",
    ),
    Mutant(
        "a retry that was reserved is counted when it is sent",
        "decisions/retry_budget.py",
        "        allowed = self._allows(1, now, hosts)\n",
        "        allowed = True\n",
        "tests.relay.test_retry_budget.BudgetTest",
    ),
    Mutant(
        "a reserved retry is left for no other request",
        "decisions/retry_budget.py",
        "        self._reserved += reserved\n",
        "",
        "tests.relay.test_retry_budget.BudgetTest",
    ),
    Mutant(
        "hosts that have left count for as long as their retries do",
        "decisions/retry_budget.py",
        "return max([self._value, *(value for _, value in self._ended)])",
        "return self._value",
        "tests.relay.test_retry_budget.BudgetTest",
    ),
    Mutant(
        "a host that does not know how many there are leaves the fixed number alone",
        "relay/retry_budgets.py",
        "return most if self._hosts_known else None",
        "return most",
        "tests.relay.test_retry_budget.BudgetTest",
    ),
    Mutant(
        "a send that reached no endpoint is no retry",
        "relay/retry_budgets.py",
        "if progress.taken_at is not None and not arrived:",
        "if False:",
        "tests.relay.test_retry_budget.BudgetTest",
    ),
    Mutant(
        "a request that another host has sent is charged when it is sent again",
        "relay/forwarding.py",
        "progress.arrived = progress.arrived or refusal.arrived",
        "pass",
        "tests.relay.test_retry_budget.ForwardedTest",
    ),
    Mutant(
        "a holder that resigns hands on the wait for the one before",
        "relay/leadership.py",
        "return Handover(wait, inherited | own).remaining_after(self._clock.seconds())",
        "return Handover(0.0, own).remaining_after(self._clock.seconds())",
        "tests.relay.test_ordering.LeadershipTest",
    ),
    Mutant(
        "a holder that starts again keeps the wait for the one before",
        "relay/leadership.py",
        'return read_handover(row, "inherited", self._order_gap)',
        "return Handover()",
        "tests.relay.test_ordering.LeadershipTest",
    ),
    Mutant(
        "a holder that started again hands on a wait for its last process",
        "relay/leadership.py",
        "self._successor_from = now + self._order_gap",
        "pass",
        "tests.relay.test_ordering.LeadershipTest",
    ),
    Mutant(
        "engines that were ordered lately are left alone",
        "relay/leadership.py",
        "opens = max(self._orders_from, self._engines_from.get(engine, NEVER))",
        "opens = self._orders_from",
        "tests.relay.test_ordering.LeadershipTest",
    ),
    Mutant(
        "a holder may act until the most that the store's time can be",
        "relay/leadership.py",
        "at_most = self._store_time.latest()",
        "at_most = self._store_time.earliest()",
        "tests.relay.test_ordering.LeadershipTest",
    ),
    Mutant(
        "a new holder knows of loads that the one before has under way",
        "relay/ordering.py",
        "if state is not None and state.last_update is not None:",
        "if False:",
        "tests.relay.test_ordering.NewHolderTest",
    ),
    Mutant(
        "a connection that was made while the loop stood still counts as made",
        "clients/http.py",
        "async with IterationTimeout(timeout.sock_connect, CONNECT_ITERATIONS):",
        "async with IterationTimeout(timeout.sock_connect):",
        "tests.relay.test_connections.StallTest",
    ),
    Mutant(
        "requests of a host without links go through another one",
        "relay/forwarding.py",
        "if progress.forwarded or len(progress.hosts) >= MAX_FORWARDS:",
        "if True:",
        "tests.relay.test_partition.ServedTest.test_a_host_that_is_cut_off_serves",
    ),
    Mutant(
        "only hosts may forward requests",
        "relay/forwarded.py",
        'if not hmac.compare_digest(rows.get(PROOF_HEADER, "").encode(), proof.encode()):',
        "if False:",
        "tests.relay.test_forwarding.PromisesTest",
    ),
    Mutant(
        "a host in doubt of its links takes no forwarded request",
        "relay/forwarded.py",
        "if self._links.doubtful:",
        "if False:",
        "tests.relay.test_forwarding.RefusalTest",
    ),
    Mutant(
        "a host is left alone only for as long as its refusal says",
        "relay/forwarding.py",
        "self.avoid(name, failure.retry_after)",
        "self.avoid(name)",
        "tests.relay.test_forwarding.OnlyHostTest",
    ),
    Mutant(
        "a host is not avoided for the end of an endpoint",
        "relay/forwarding.py",
        "if failure.kind not in NOT_THE_HOST_KINDS:",
        "if failure.kind is not Kind.DEADLINE:",
        "tests.relay.test_forwarding.OnlyHostTest",
    ),
    Mutant(
        "no older configuration serves a forwarded request",
        "relay/forwarded.py",
        "deployment is None or deployment.version < forward.version",
        "deployment is None",
        "tests.relay.test_forwarding.RefusalTest",
    ),
    Mutant(
        "a host that is late takes no forwarded request",
        "relay/forwarded.py",
        "if not takes_forwarded(self._iterations.lag(), self._iterations.median_length()):",
        "if False:",
        "tests.relay.test_forwarding.RefusalTest",
    ),
    Mutant(
        "one late timer refuses no forwarded request",
        "decisions/overload.py",
        "return lag < FORWARDED_LAG_SECONDS or iteration <= NORMAL_ITERATION_SECONDS",
        "return lag < FORWARDED_LAG_SECONDS",
        "tests.relay.test_forwarding.RefusalTest",
    ),
    Mutant(
        "the headers between hosts stay between hosts",
        "relay/forwarded.py",
        "head = self._wire.read_request(drop_forward_headers(request.headers.values))",
        "head = self._wire.read_request(request.headers.values)",
        "tests.relay.test_forwarding.PromisesTest",
    ),
    Mutant(
        "a report is not read over and over",
        "relay/ordering.py",
        "if now - last.get(key, -math.inf) >= DOWN_REPORT_SECONDS",
        "if True",
        "tests.relay.test_partition.OtherHostsTest",
    ),
    Mutant(
        "a holder without links hands the lease over",
        "relay/host.py",
        "if self._yields_lease():",
        "if False:",
        "tests.relay.test_partition.OtherHostsTest",
    ),
    Mutant(
        "the directory leaves hosts without links out",
        "membership.py",
        "return reaching if len(reaching) >= MIN_REACHING_SHARE * len(able) else able",
        "return able",
        "tests.relay.test_partition.DirectoryTest",
    ),
    Mutant(
        "the directory lists all where few reach endpoints",
        "membership.py",
        "return reaching if len(reaching) >= MIN_REACHING_SHARE * len(able) else able",
        "return reaching or able",
        "tests.relay.test_partition.DirectoryTest",
    ),
    Mutant(
        "the loss of a host's links ends no endpoint",
        "relay/fleet.py",
        "state.answered_sent_at > broken_at or self.links_explain(broken_at)",
        "state.answered_sent_at > broken_at",
        "tests.relay.test_partition.OtherHostsTest",
    ),
    Mutant(
        "a hub in doubt grants all engines",
        "relay/fleet.py",
        "find = self.serving if self.links_in_doubt() else self.usable",
        "find = self.usable",
        "tests.relay.test_partition.OtherHostsTest",
    ),
    Mutant(
        "what no host reaches is refused at once",
        "relay/waits.py",
        "if self._fleet.is_cut_off() and not may_try_cut_off(",
        "if False and not may_try_cut_off(",
        "tests.relay.test_partition.AllCutOffTest",
    ),
    Mutant(
        "open connections that hang are not used in a cut",
        "decisions/waiting.py",
        "endpoints > 0 and not hang and",
        "endpoints > 0 and",
        "tests.relay.test_partition.AllCutOffTest",
    ),
    Mutant(
        "open connections are used where no host opens new ones",
        "relay/fleet.py",
        "        if self.is_cut_off():\n"
        "            return self.serving(service, inference, software)\n",
        "",
        "tests.relay.test_partition.AllCutOffTest",
    ),
    Mutant(
        "a suspicion is refuted before the next one",
        "decisions/connectivity.py",
        "few or self.doubtful or now < self._refuted_at + REFUTED_SECONDS",
        "few or self.doubtful",
        "tests.relay.test_connectivity",
    ),
    Mutant(
        "brittle endpoints get no more than they have slots",
        "relay/permits.py",
        "if state.brittle and not self._has_place(state, now):",
        "if False:",
        "tests.relay.test_brittle.FallTest",
    ),
    Mutant(
        "places are given back",
        "relay/fleet.py",
        "if request.placed:",
        "if False:",
        "tests.relay.test_brittle.FallTest",
    ),
    Mutant(
        "what hosts report takes places as well",
        "decisions/places.py",
        "max(self.taken(start), reported) < max(1, slots)",
        "self.taken(start) < max(1, slots)",
        "tests.relay.test_brittle.PlacesTest",
    ),
)


def run(mutant: Mutant) -> str:
    """Return the result of a mutant: it starts with ``caught`` if its tests failed or hung."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "tree"
        ignore = shutil.ignore_patterns(".git", ".venv", "__pycache__", ".hypothesis")
        shutil.copytree(ROOT, copy, ignore=ignore)
        path = copy / "peridotdock" / mutant.file
        text = path.read_text()
        if text.count(mutant.old) != 1:
            return f"the guard occurs {text.count(mutant.old)} times"
        path.write_text(text.replace(mutant.old, mutant.new))
        command = [sys.executable, "-m", "tests", *mutant.tests.split()]
        try:
            done = subprocess.run(command, cwd=copy, capture_output=True, timeout=TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            return "caught (hung)"
        return "caught" if done.returncode else "NOT CAUGHT"


def main() -> int:
    """Run all mutants, or those whose name contains the first argument; return the exit status."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ""
    missed = 0
    for mutant in MUTANTS:
        if wanted not in mutant.name:
            continue
        outcome = run(mutant)
        missed += not outcome.startswith("caught")
        print(f"{outcome:12} {mutant.name} ({mutant.tests})", flush=True)
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
