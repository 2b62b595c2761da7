"""The HTTP API for operators under ``/admin/``, used by the command-line tool."""

import hmac
from typing import Any

import msgspec
from blacksheep import Application, Request, Response

from peridotdock.answers import answer_failure, answer_json
from peridotdock.errors import ANSWERS, Failure, Kind, failed
from peridotdock.events import Filter
from peridotdock.host import Host
from peridotdock.leases import KEY_PREFIX as LEASE_PREFIX
from peridotdock.manifest import MAX_BYTES
from peridotdock.publishing import check_all, publish
from peridotdock.serving import Handler, add_route, read_body


class Admin:
    """Handles operators' requests on one host; each needs the operator token."""

    def __init__(self, host: Host):
        self._host = host
        self._ctx = host.ctx

    def add_routes(self, app: Application) -> None:
        """Register the operators' routes in an application."""
        routes: dict[tuple[str, str], Handler] = {
            ("POST", "manifest/check"): self.check,
            ("POST", "manifest"): self.publish,
            ("GET", "manifest"): self.show,
            ("GET", "status"): self.status,
            ("GET", "endpoints"): self.list_endpoints,
            ("GET", "placement"): self.list_placement,
            ("GET", "hosts"): self.list_hosts,
            ("GET", "events"): self.list_events,
            ("GET", "errors"): self.list_errors,
        }
        for (method, path), handler in routes.items():
            add_route(app, method, f"/admin/{path}", self._guard(handler))

    def _guard(self, handler: Handler) -> Handler:
        async def guarded(request: Request) -> Response:
            token = self._ctx.cfg.operator_token
            given = (request.get_first_header(b"authorization") or b"").decode("latin-1")
            if not token or not hmac.compare_digest(given.encode(), f"Bearer {token}".encode()):
                return answer_failure(Failure(Kind.OPERATOR_REFUSED), "")
            return await handler(request)

        return guarded

    async def check(self, request: Request) -> Response:
        """Validate a manifest without publishing it."""
        raw = await read_body(request, MAX_BYTES)
        if failed(raw):
            return answer_failure(raw, "")
        checked = check_all(raw)
        if checked.manifest is None:
            return self._invalid(checked.errors)
        return answer_json({"status": "valid"})

    def _invalid(self, errors: tuple[str, ...]) -> Response:
        failure = Failure(Kind.MANIFEST_INVALID, f"{len(errors)} errors")
        return answer_json(failure.describe("") | {"errors": errors}, failure.answer.status)

    async def publish(self, request: Request) -> Response:
        """Validate a manifest and publish it as the one in force."""
        raw = await read_body(request, MAX_BYTES)
        if failed(raw):
            return answer_failure(raw, "")
        checked = check_all(raw)
        if checked.manifest is None:
            return self._invalid(checked.errors)
        outcome = await publish(self._host.platform, checked.document, self._host.accepted)
        if failed(outcome):
            self._ctx.timeline.add("publish_refused", "WARNING", detail=str(outcome.kind))
            return answer_failure(outcome, "")
        self._ctx.timeline.add("published", detail=f"generation {outcome.generation}")
        return answer_json(
            {
                "status": "accepted" if outcome.changed else "unchanged",
                "generation": outcome.generation,
                "digest": outcome.digest,
            }
        )

    async def show(self, request: Request) -> Response:
        """Return the manifest in force on this host."""
        accepted = self._host.accepted
        if accepted is None:
            return answer_failure(Failure(Kind.NOT_READY), "")
        return answer_json(
            {
                "generation": accepted.generation,
                "digest": accepted.digest,
                "manifest": accepted.document,
            }
        )

    async def status(self, request: Request) -> Response:
        """Return the generation in force on each host, and the items that lack copies and why."""
        accepted = self._host.accepted
        if accepted is None:
            return answer_failure(Failure(Kind.NOT_READY), "")
        heads = self._host.facts.by_origin("heads")
        members = self._host.membership.members()
        hosts = [
            {
                "host": name,
                "state": row.fact.state if row.alive else "silent",
                "generation": heads[name].fact.generation if name in heads else 0,
            }
            for name, row in sorted(members.items())
        ]
        missing = [
            {
                "item": item.name,
                "want": item.copies,
                "ready": len(ready),
                "why": self._explain_missing(ready),
            }
            for item in accepted.items.values()
            if len(ready := self._host.fleet.holders(item.key)) < item.copies
        ]
        body: dict[str, Any] = {"generation": accepted.generation, "digest": accepted.digest}
        body |= {"release": accepted.manifest.release, "hosts": hosts, "missing": missing}
        body["true"] = not missing and all(
            row["generation"] == accepted.generation for row in hosts if row["state"] == "live"
        )
        return answer_json(body)

    def _explain_missing(self, ready: list[Any]) -> str:
        if not self._host.planner.holder:
            return "no planner yet"
        if any(move.action == "load" for move in self._host.planner.plan.moves):
            return "waits for its load"
        return "no room or no live engine"

    async def list_endpoints(self, request: Request) -> Response:
        """Return the state of each endpoint as this host knows it."""
        now = self._ctx.clock.monotonic()
        rows = [
            {
                "endpoint": state.name,
                "domain": state.domain,
                "state": "leaving" if state.leaving else "down" if state.down else "up",
                "items": len(state.items),
                "running": state.load.running,
                "waiting": state.load.waiting,
                "own": len(state.own_requests),
                "report_age": round(max(0.0, min(now - state.load_at, 9999.0)), 2),
            }
            for state in self._host.fleet.states.values()
        ]
        return answer_json({"rows": rows})

    async def list_placement(self, request: Request) -> Response:
        """Return every reservation of the ledgers and the moves of the current plan."""
        rows = [
            {"endpoint": name, "item": row.item, "state": row.state, "bytes": row.bytes}
            for known in self._host.facts.by_origin("ledger").values()
            for name, found in known.fact.rows.items()
            for row in found
        ]
        plan = msgspec.to_builtins(self._host.planner.plan)
        rows.sort(key=lambda row: (row["endpoint"], row["item"]))
        return answer_json({"rows": rows, "plan": plan, "planner": self._host.planner.holder})

    async def list_hosts(self, request: Request) -> Response:
        """Return the members of the cluster as this host knows them, with their leases."""
        leases = await self._host.platform.scan(LEASE_PREFIX)
        held = set() if failed(leases) else {key.removeprefix(LEASE_PREFIX) for key in leases}
        now = self._host.ctx.clock.monotonic()
        rows = [
            {
                "host": name,
                "domain": row.fact.domain,
                "state": row.fact.state if row.alive else "silent",
                "entry": row.fact.entry,
                "incarnation": row.fact.incarnation,
                "lease": name in held,
                "silent_seconds": round(max(0.0, now - row.last_seen_at), 1),
            }
            for name, row in sorted(self._host.membership.members().items())
        ]
        return answer_json({"rows": rows})

    async def list_events(self, request: Request) -> Response:
        """Return the events of this host's timeline that match the query."""
        query = {name: (request.query.get(name) or [""])[0] for name in Filter.__annotations__}
        since = int(query["since"]) if query["since"].isdigit() else 0
        wanted = Filter(query["request"], query["endpoint"], query["item"], since)
        events = self._ctx.timeline.select(wanted)
        return answer_json({"rows": [vars(event) for event in events]})

    async def list_errors(self, request: Request) -> Response:
        """Return the table of error kinds."""
        rows = [{"kind": kind, **vars(answer)} for kind, answer in ANSWERS.items()]
        return answer_json({"rows": rows})
