"""Workspaces: identification by key, headers that endpoints get, and changes of keys."""

import json
import unittest

from nose2.tools import params

from peridotdock.credentials import NO_KEY, digest_key, read_bearer
from peridotdock.deployment import Deployment as DeploymentSpec
from peridotdock.errors import Kind
from peridotdock.platform.documents import decode_deployment, hide_keys
from peridotdock.relay.identity import Identifier
from peridotdock.relay.requests import RequestHead
from peridotdock.relay.settings import Bounds
from peridotdock.workspaces import Quota, Workspace
from tests.relay.deployment import BOUNDS, CONFIG, ROUTES, Deployment
from tests.relay.test_relay import run

RIVER = {"name": "river", "api_keys": ["key-one", "key-two"], "priority": 0}
HILL = {"name": "hill", "api_keys": ["key-three"]}
OPEN = ROUTES[3] | {"name": "open", "prefix": "/open/", "public": True}
WORKSPACE_CONFIG = {"tenants": [RIVER, HILL], "routes": [*ROUTES, OPEN]}


def decode(**changes) -> DeploymentSpec:
    return decode_deployment(json.dumps(CONFIG | WORKSPACE_CONFIG | changes).encode())


def make_head(key=NO_KEY):
    return RequestHead("a1", "shop.example", None, "", None, (), key=key)


class BearerTest(unittest.TestCase):
    @params(
        ("Bearer key-one", "key-one"),
        ("bearer  key-one ", "key-one"),
        ("Basic key-one", None),
        ("Bearer", None),
        ("Bearer ", None),
        ("key-one", None),
        ("", None),
        ("Bearer key one", "key one"),
    )
    def test_a_header_names_a_key_or_none(self, header, key):
        self.assertEqual(NO_KEY if key is None else digest_key(key), read_bearer(header))


class DecodeTest(unittest.TestCase):
    @params(
        ({}, None),
        ({"rate_per_s": 0, "burst": 9}, None),
        ({"rate_per_s": 5}, Quota(5.0, 0.0)),
        ({"rate_per_s": 5, "burst": 7, "unit": "requests"}, Quota(5.0, 7.0)),
        (
            {"rate_per_s": 900, "burst": 1000, "unit": "tokens", "plain_tokens": 200},
            Quota(900.0, 1000.0, True, 200.0),
        ),
    )
    def test_a_quota_has_a_rate_a_burst_and_a_unit(self, fields, quota):
        found = decode(tenants=[HILL | fields]).workspaces.get("hill")
        self.assertEqual(Workspace("hill", None, quota), found)

    @params((Quota(5.0, 5.0), 900, 1.0), (Quota(5.0, 5.0, True, 200.0), 920, 920.0))
    def test_a_request_costs_its_tokens_or_one(self, quota, tokens, cost):
        self.assertEqual(cost, quota.cost(tokens))

    def test_a_request_without_tokens_costs_what_the_operators_say(self):
        self.assertEqual(200.0, Quota(5.0, 5.0, True, 200.0).cost(0))

    @params(([{"api_keys": ["k"]}],), ([{"name": "hill", "rate_per_s": "many"}],), ([7],))
    def test_a_bad_workspace_is_refused_with_the_configuration(self, tenants):
        self.assertEqual(Kind.MANIFEST_INVALID, decode(tenants=tenants).kind)

    def test_hosts_receive_key_digests_only(self):
        """Failure guarded against: a key in a frame between hosts can be read in transit."""
        raw = json.dumps(CONFIG | WORKSPACE_CONFIG).encode()
        redacted = hide_keys(raw)
        self.assertNotIn(b"key-one", redacted)
        self.assertEqual(hide_keys(redacted), redacted)
        found = decode_deployment(redacted).workspaces
        self.assertEqual("river", found.find(digest_key("key-two")).name)
        self.assertIsNone(found.find(digest_key("key-nine")))


class IdentifierTest(unittest.TestCase):
    """A host's answers by the age of its configuration, which is limited to two seconds."""

    @params(
        ("known key", "key-one", "/fetch/", 0.0, False, "river"),
        ("known key, host cut off", "key-one", "/fetch/", 90.0, False, "river"),
        ("known key, cut off, strict", "key-one", "/fetch/", 4.9, True, "river"),
        ("known key, cut off for too long", "key-one", "/fetch/", 5.1, True, Kind.NOT_READY),
        ("unknown key", "key-nine", "/fetch/", 1.9, False, Kind.UNKNOWN_CALLER),
        ("unknown key, stale configuration", "key-nine", "/fetch/", 2.1, False, Kind.NOT_READY),
        ("no key", None, "/fetch/", 0.0, False, Kind.UNKNOWN_CALLER),
        ("no key, public route", None, "/open/", 0.0, False, None),
        ("unknown key, public route", "key-nine", "/open/", 0.0, False, None),
        ("known key, public route", "key-three", "/open/", 0.0, False, "hill"),
    )
    def test_identify(self, _, key, path, age, strict, expected):
        spec = decode()
        bounds = Bounds(*required_bounds(BOUNDS), revoke=5.0, revoke_strict=strict)
        digest = NO_KEY if key is None else digest_key(key)
        route = spec.match("shop.example", path)
        found = Identifier(bounds, lambda: age).identify(spec, route, make_head(digest))
        if isinstance(expected, Kind):
            self.assertEqual(expected, found.kind)
        else:
            name = found.workspace.name if found.workspace else None
            self.assertEqual((expected, ()), (name, found.headers))

    def test_without_workspaces_callers_headers_go_on(self):
        spec = decode(tenants=[])
        rows = (("authorization", "Bearer key-one"), ("x-tenant", "mine"))
        ask = RequestHead("a1", "shop.example", None, "", None, (), identity_headers=rows)
        found = Identifier(BOUNDS, lambda: 0.0).identify(
            spec, spec.match("shop.example", "/fetch/"), ask
        )
        self.assertEqual((None, rows), (found.workspace, found.headers))


def required_bounds(bounds):
    """Return the bounds that every deployment sets."""
    return [getattr(bounds, name) for name in Bounds.__dataclass_fields__][:10]


async def configure(found, version, tenants):
    """Configure workspaces and wait until the first host uses them."""
    found.configure(version=version, **(WORKSPACE_CONFIG | {"tenants": tenants}))
    await found.until(lambda: found.hosts[0].request_handler.deployment.version == version)


class HostTest(unittest.TestCase):
    @run
    async def test_endpoints_get_the_workspace_and_never_the_key(self):
        async with Deployment() as found:
            await configure(found, 2, [RIVER, HILL])
            answers = [
                await found.send("/fetch/", "a1", authorization="Bearer key-two", x_tenant="hill"),
                await found.send("/recap/", "a2", "m0", authorization="Bearer key-three"),
                await found.send("/open/", "a3", x_tenant="hill", authorization="Bearer key-nine"),
            ]
            self.assertEqual([200, 200, 200], [status for status, _, _ in answers])
            runners = (*found.engines.values(), *found.pages.values())
            rows = [headers for runner in runners for _, _, headers, _ in runner.requests]
            heads = {row["x-attempt-id"]: row for row in rows}
            names = {name: row.get("x-tenant") for name, row in heads.items()}
            self.assertEqual({"a1": "river", "a2": "hill", "a3": None}, names)
            self.assertFalse([row for row in heads.values() if "authorization" in row])

    @params(
        {},
        {"authorization": "Bearer key-nine"},
        {"authorization": "Basic key-one"},
        {"x_tenant": "river"},
    )
    @run
    async def test_nobody_is_served_without_a_key(self, headers):
        async with Deployment() as found:
            await configure(found, 2, [RIVER, HILL])
            status, _, body = await found.send("/fetch/", "a1", **headers)
            self.assertEqual(401, status)
            self.assertNotIn(b"key-", body)
            self.assertEqual([], found.pages["p1"].requests)

    @run
    async def test_a_key_that_moves_names_its_new_workspace(self):
        """Failure guarded against: a request runs under the workspace that had the key before."""
        moved = [RIVER | {"api_keys": []}, HILL | {"api_keys": ["key-one"]}]
        async with Deployment() as found:
            names = []
            for version, tenants in ((2, [RIVER, HILL]), (3, moved)):
                await configure(found, version, tenants)
                await found.send("/fetch/", f"a{version}", authorization="Bearer key-one")
                names.append(found.pages["p1"].requests[-1][2]["x-tenant"])
            self.assertEqual(["river", "hill"], names)
            status, _, _ = await found.send("/fetch/", "a9", authorization="Bearer key-two")
            self.assertEqual(401, status)
