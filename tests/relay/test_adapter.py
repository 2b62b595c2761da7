"""Decoding and encoding of the platform's documents and headers, and rejection of bad ones."""

import json
import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from peridotdock.deployment import RouteKind
from peridotdock.errors import Kind, failed
from peridotdock.platform.documents import decode_deployment, hide_keys
from peridotdock.platform.settings import load_settings
from peridotdock.platform.wire import PlatformWire
from peridotdock.relay.requests import RelayRequest, SendOptions

SETTINGS = """
node_name = "front-1"
zone = "north"
seeds = ["10.1.0.2:8144"]
heartbeat_ms = 1200
something_new = {a = 1}
[listen]
front = "10.1.0.1:8149"
ready = "10.1.0.1:8141"
control = "10.1.0.1:8144"
directory = "10.1.0.1:8143"
[bounds]
drain_ms = 2000
config_ms = 1500
grace_s = 8
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 58
lease_ms = 3000
ceiling_window_s = 5
ceiling_over = 1.1
ttl_max_s = 5
[platform]
address = "10.200.1.7:8142"
"""
MODEL = {"name": "m1", "weights_mb": 100, "load_s": 5.0, "adapters": 2, "adapter_mb": 1}
ROUTE = {
    "name": "r1",
    "host": "Shop.example",
    "prefix": "/a/",
    "kind": "stream",
    "timeout_ms": 6000,
    "target_latency_ms": 800,
    "priority": 1,
    "service": "s1",
    "max_attempts": 2,
    "resumable": True,
    "gap_aim_ms": 400,
}
SPLIT = [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]


def document(**changes):
    engine = {"slots": 4, "weights_mb": 300, "adapter_slots": 8, "models": [MODEL]}
    services = [{"name": "s1", "engine": engine}, {"name": "s2", "health_path": "/health"}]
    return {"version": 7, "routes": [ROUTE], "services": services, **changes}


def decode(**changes):
    return decode_deployment(json.dumps(document(**changes)).encode())


TENANT = {"name": "w1", "api_keys": ["k"], "rate_per_s": 5, "burst": 7, "priority": 1}
TENANT |= {"unit": "tokens", "plain_tokens": 200}
ENGINE = {"slots": 4, "weights_mb": 300, "adapter_slots": 8, "models": [MODEL]}
ENGINE |= {"kv_capacity_tokens": 9, "kv_token_bytes": 9, "loads_per_s": 1}
LIMITS = {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304, "idle_timeout_ms": 15_000}
# JSON texts of numbers that no configuration holds.
ODD_NUMBERS = ("1" + "0" * 400, "9" * 5000, "1e308", "1e999", "NaN", "-1", "-1e308")
# Each part of a configuration, with the fields of it that hold numbers.
NUMBER_FIELDS = {
    "document": ("version",),
    "route": ("timeout_ms", "target_latency_ms", "gap_aim_ms", "priority", "max_attempts"),
    "share": ("weight",),
    "service": ("max_connections",),
    "engine": (
        "slots",
        "weights_mb",
        "adapter_slots",
        "kv_capacity_tokens",
        "kv_token_bytes",
        "loads_per_s",
    ),
    "model": ("weights_mb", "load_s", "disk_s", "warm_s", "adapters", "adapter_mb"),
    "limits": ("max_header_bytes", "max_body_bytes", "idle_timeout_ms"),
    "tenant": ("rate_per_s", "burst", "plain_tokens", "priority"),
}
# Each part of a configuration, with the fields of it that hold names.
NAME_FIELDS = {
    "route": ("name", "host", "prefix"),
    "share": ("service",),
    "service": ("name", "health_path"),
    "model": ("name",),
    "tenant": ("name",),
}


def odd_document(part="", field="", text=""):
    """Return a configuration in which one field of a part has a JSON text that is spliced in."""

    def change(name, row):
        return row | {field: "SPLICED"} if name == part else row

    engine = ENGINE | {"models": [change("model", MODEL)]}
    service = {"name": "s1", "health_path": "/health", "engine": change("engine", engine)}
    split = [change("share", SPLIT[0]), SPLIT[1]]
    whole = {
        "version": 7,
        "routes": [change("route", ROUTE | {"traffic_split": split})],
        "services": [change("service", service), {"name": "s2"}],
        "limits": change("limits", LIMITS),
        "tenants": [change("tenant", TENANT)],
    }
    return json.dumps(change("document", whole)).replace('"SPLICED"', text).encode()


def odd_documents():
    numbers = [
        (part, field, text)
        for part, fields in NUMBER_FIELDS.items()
        for field in fields
        for text in ODD_NUMBERS
    ]
    deep = "[" * 50_000 + "]" * 50_000
    names = [
        (part, field, text)
        for part, fields in NAME_FIELDS.items()
        for field in fields
        for text in ("7", "[]", "{}", "null", deep, json.dumps("x" * 2_000_000), '"\\ud800"')
    ]
    # A service without a status check may say so.
    names.remove(("service", "health_path", "null"))
    return [*numbers, *names, ("model", "adapters", "1000000000000")]


def head(**headers):
    rows = {"host": "shop.example:80", "x-attempt-id": "a1"} | headers
    return [(k.replace("_", "-").encode(), v.encode()) for k, v in rows.items()]


class SettingsTest(unittest.TestCase):
    def load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.toml"
            path.write_text(text)
            return load_settings({"PERIDOTDOCK_SETTINGS": str(path)})

    def test_reads_addresses_and_bounds_in_seconds(self):
        found = self.load(SETTINGS)
        self.assertEqual("10.1.0.1:8149", str(found.listen.callers))
        bounds = found.bounds
        self.assertEqual((2.0, 1.5, 3.0), (bounds.drain, bounds.config, bounds.order_lease))

    @params(("", True), ("bootstrap = true\n", True), ("bootstrap = false\n", False))
    def test_first_start_is_true_unless_the_file_says_false(self, line, first):
        self.assertEqual(first, self.load(line + SETTINGS).first_start)

    @params(
        ("no variable", None, "PERIDOTDOCK_SETTINGS is not set"),
        ("not TOML", "a = = 1", "Invalid"),
        ("no host name", SETTINGS.replace("node_name", "other"), "node_name"),
        ("no port", SETTINGS.replace("10.1.0.1:8149", "10.1.0.1"), "not IP:PORT"),
    )
    def test_bad_settings_are_refused_with_the_reason(self, name, text, reason):
        found = load_settings({}) if text is None else self.load(text)
        self.assertTrue(failed(found), name)
        self.assertIn(reason, found.reason)


class DocumentsTest(unittest.TestCase):
    def test_a_route_is_decoded_with_all_its_fields(self):
        route = decode().match("shop.example", "/a/b/c")
        self.assertEqual((RouteKind.STREAM, 6.0, 0.8), (route.kind, route.timeout, route.target))
        self.assertEqual((True, 2, 3.2), (route.repeatable, route.max_sends, route.stall_timeout))

    @params(
        ("/a/b/c", "long"),
        ("/a/b", "short"),
        ("/a/", "short"),
        ("/a", None),
        ("/", None),
        ("/x/a/b/", None),
    )
    def test_the_longest_prefix_wins(self, path, expected):
        routes = [ROUTE | {"name": "short"}, ROUTE | {"name": "long", "prefix": "/a/b/"}]
        route = decode(routes=routes).match("shop.example", path)
        self.assertEqual(expected, route and route.name)

    def test_a_split_route_names_each_service_with_its_weight(self):
        route = {k: v for k, v in ROUTE.items() if k != "service"} | {"traffic_split": SPLIT}
        found = decode(routes=[route]).match("shop.example", "/a/")
        self.assertEqual(
            [("s1", 90.0), ("s2", 10.0)], [(s.service, s.weight) for s in found.shares]
        )

    @params(
        ("not JSON", b"{"),
        ("no routes", b'{"version": 1, "services": []}'),
        ("unknown kind", json.dumps(document(routes=[ROUTE | {"kind": "odd"}])).encode()),
        ("a list", b"[]"),
        ("nothing", b""),
        ("nested without an end", b"[" * 5000),
        ("a version beyond all numbers", json.dumps(document()).replace(": 7", ": 1e999").encode()),
        ("a service that is none", json.dumps(document(services=[7])).encode()),
        ("a host that is none", json.dumps(document(routes=[ROUTE | {"host": 7}])).encode()),
    )
    def test_a_bad_configuration_is_refused(self, name, raw):
        found = decode_deployment(raw)
        self.assertTrue(failed(found), name)
        self.assertEqual(Kind.MANIFEST_INVALID, found.kind)


class OddDocumentTest(unittest.TestCase):
    def test_the_document_without_odd_values_is_taken(self):
        self.assertFalse(failed(decode_deployment(odd_document())))

    @params(*odd_documents())
    def test_a_configuration_with_an_odd_value_is_refused(self, part, field, text):
        """Guards against hosts that apply no later configuration.

        Its version was beyond all later ones, or decoding it raised what was not expected.
        """
        raw = odd_document(part, field, text)
        found = decode_deployment(raw)
        self.assertTrue(failed(found), (part, field, text[:20]))
        self.assertEqual(Kind.MANIFEST_INVALID, found.kind)
        self.assertLess(len(found.reason), 500)

    @params(*odd_documents())
    def test_the_keys_of_an_odd_configuration_are_hidden(self, part, field, text):
        self.assertNotIn(b"api_keys", hide_keys(odd_document(part, field, text)))


class WireTest(unittest.TestCase):
    wire = PlatformWire()

    def test_a_request_with_model_headers_is_decoded(self):
        found = self.wire.read_request(
            head(
                x_model="m1/a2",
                x_token_counts="1460,80",
                x_prompt_prefix="5c:800, 91:410",
                x_deadline_ms="6000",
                last_event_id="12",
                resumes="a0",
            )
        )
        self.assertEqual(
            ("shop.example", 6.0, "12"), (found.host, found.timeout_seconds, found.resume_after)
        )
        self.assertEqual("a0", found.resumed_attempt)
        self.assertEqual(
            ("m1", "a2", 1460),
            found.inference.__class__
            and (found.inference.model, found.inference.adapter, found.inference.prompt_tokens),
        )
        self.assertEqual(
            [("5c", 800), ("91", 410)], [(p.id, p.tokens) for p in found.inference.parts]
        )

    @params(
        ("no id", {"x_attempt_id": ""}),
        ("deadline no number", {"x_deadline_ms": "soon"}),
        ("deadline negative", {"x_deadline_ms": "-1"}),
        ("tokens no number", {"x_model": "m", "x_token_counts": "many"}),
        ("tokens of 400 digits", {"x_model": "m", "x_token_counts": "4" * 400 + ",20"}),
        ("output of 400 digits", {"x_model": "m", "x_token_counts": "900," + "4" * 400}),
        ("tokens of 5,000 digits", {"x_model": "m", "x_token_counts": "9" * 5000 + ",20"}),
        ("tokens a float", {"x_model": "m", "x_token_counts": "1e30,20"}),
        ("tokens infinite", {"x_model": "m", "x_token_counts": "inf,20"}),
        ("tokens negative", {"x_model": "m", "x_token_counts": "-5,20"}),
        ("output negative", {"x_model": "m", "x_token_counts": "900,-5"}),
        ("tokens with a line between", {"x_model": "m", "x_token_counts": "1_000,20"}),
        ("tokens in other digits", {"x_model": "m", "x_token_counts": "\u0661\u0662,20"}),
        ("a part of 400 digits", {"x_model": "m", "x_prompt_prefix": "aa:" + "4" * 400}),
        ("a part of less than nothing", {"x_model": "m", "x_prompt_prefix": "aa:-600"}),
        ("part without tokens", {"x_model": "m", "x_prompt_prefix": "abc"}),
    )
    def test_a_bad_head_is_refused(self, name, headers):
        found = self.wire.read_request(head(**headers))
        self.assertTrue(failed(found), name)
        self.assertEqual(Kind.BAD_REQUEST, found.kind)

    @params("x-hold", "x-pin-ms", "x-kv-backup", "kv-from", "kv-fetch", "x-request-priority")
    def test_a_callers_engine_control_headers_are_dropped(self, name):
        """A caller uses another caller's reserved memory.

        The caller sends a header with which hosts control engines. If the host relays it, the
        engine treats it as an instruction of the host.
        """
        found = self.wire.read_request(head(**{name.replace("-", "_"): "7", "x_other": "kept"}))
        names = [key for key, _ in found.headers]
        self.assertNotIn(name, names)
        self.assertIn("x-other", names)

    def test_headers_named_by_connection_stay_on_their_connection(self):
        found = self.wire.read_request(head(connection="close, x-private", x_private="1"))
        self.assertNotIn("x-private", [key for key, _ in found.headers])

    def test_a_send_carries_its_endpoint_and_remaining_time(self):
        route = decode().match("shop.example", "/a/")
        head_read = self.wire.read_request(head(x_model="m1", x_deadline_ms="6000"))
        req = RelayRequest(head_read, route, "POST", "/a/", b"", 0.0, 6.0)
        found = self.wire.write_send(req, SendOptions("i-1", 1.5, 3, "12"))
        self.assertEqual(
            ("i-1", "1500", "3", "12", "a1"),
            tuple(
                found[name]
                for name in (
                    "x-target-instance",
                    "x-deadline-ms",
                    "x-request-priority",
                    "last-event-id",
                    "x-attempt-id",
                )
            ),
        )

    @params(
        (421, {}, True), (503, {"x-not-executed": "1"}, True), (503, {}, False), (500, {}, False)
    )
    def test_not_run_is_set_only_by_status_or_header(self, status, headers, expected):
        self.assertEqual(expected, self.wire.read_answer(status, headers).not_run)
