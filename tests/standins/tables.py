"""Stand-in for the store of the users' platform: versioned rows, transactions and feeds.

``faults``:

``down``    every call is answered with 503
``lose``    number of transactions that are applied, and whose connection is aborted unanswered
``forget``  number of feed calls that are answered with 410
``late``    number of answers that name the era before the current one
``unread``  tables of which no row can be read: these calls are answered with 503

:meth:`TableStandin.restore` brings back an older copy: rows and versions written since are lost,
version numbers are given out again, and the era in all answers rises by one.
"""

import asyncio
import base64
import json
import time
from dataclasses import dataclass

from blacksheep import Request

from peridotdock.serving import Server, add_route, make_application
from tests.standins import http
from tests.standins.http import abort_connection, read_json

MAX_FEED_WAIT_SECONDS = 1.0


def now_ms():
    return int(time.monotonic() * 1000)


@dataclass(frozen=True)
class StoreCopy:
    """The rows, deletions and version of a store at one moment."""

    rows: dict
    tombstones: dict
    version: int


class TableStandin:
    def __init__(self):
        self.rows = {}
        self.version = 0
        self.era = 0
        self.faults = {"down": False, "lose": 0, "forget": 0, "late": 0, "unread": ()}
        self.calls = []
        self._tombstones = {}
        self._changed = asyncio.Event()
        app = make_application()
        add_route(app, "POST", "/v1/rows-tx", self.transact)
        add_route(app, "GET", "/v1/rows-get", self.get)
        add_route(app, "GET", "/v1/rows-feed", self.feed)
        self.server = Server(app)

    @property
    def address(self):
        return self.server.address

    async def start(self):
        await self.server.start()
        return self

    async def stop(self):
        self._changed.set()
        await self.server.stop()

    def put(self, table, key, value):
        """Write a row without a version check, as operators and endpoints do."""
        self.version += 1
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows[(table, key)] = (base64.b64encode(raw).decode(), self.version)
        self._tombstones.pop((table, key), None)
        self._notify_feeds()

    def remove(self, table, key):
        self.version += 1
        self.rows.pop((table, key), None)
        self._tombstones[(table, key)] = self.version
        self._notify_feeds()

    def copy(self):
        return StoreCopy(dict(self.rows), dict(self._tombstones), self.version)

    def restore(self, copy):
        """Replace the contents by an older copy, and begin the next era."""
        self.rows, self._tombstones = dict(copy.rows), dict(copy.tombstones)
        self.version = copy.version
        self.era += 1
        self._notify_feeds()

    def _reply(self, body, status=200):
        era = self.era
        if self.faults["late"]:
            self.faults["late"] -= 1
            era -= 1
        return http.reply(body, status, [(b"Store-Era", str(era).encode())])

    def _notify_feeds(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _row(self, table, key):
        value, ver = self.rows[(table, key)]
        return {"table": table, "part": "", "key": key, "value": value, "ver": ver}

    async def transact(self, request: Request):
        body = await read_json(request)
        self.calls.append("rows-tx")
        if self.faults["down"]:
            return self._reply({}, 503)
        for row in body["expected"]:
            known = self.rows.get((row["table"], row["key"]), (None, 0))[1]
            if known != row["ver"]:
                return self._reply({"rows": []}, 412)
        for row in body["set_keys"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in body["remove"]:
            self.remove(row["table"], row["key"])
        if self.faults["lose"]:
            self.faults["lose"] -= 1
            await abort_connection(request)
        return self._reply({"ver": self.version, "now_ms": now_ms()})

    async def get(self, request: Request):
        self.calls.append("rows-get")
        query = {name: values[0] for name, values in request.query.items()}
        if self.faults["down"] or query["table"] in self.faults["unread"]:
            return self._reply({}, 503)
        start, end = query.get("from", ""), query.get("to")
        keys = sorted(key for table, key in self.rows if table == query["table"] and key >= start)
        rows = [self._row(query["table"], key) for key in keys if end is None or key < end]
        body = {
            "rows": rows[:2],
            "has_more": len(rows) > 2,
            "ver": self.version,
            "now_ms": now_ms(),
        }
        return self._reply(body)

    async def feed(self, request: Request):
        self.calls.append("rows-feed")
        if self.faults["forget"]:
            self.faults["forget"] -= 1
            return self._reply({}, 410)
        query = {name: values[0] for name, values in request.query.items()}
        table, after = query["table"], int(query["after"])
        if after > self.version:
            return self._reply({}, 410)
        rows = self._since(table, after)
        if not rows:
            try:
                async with asyncio.timeout(
                    min(MAX_FEED_WAIT_SECONDS, int(query["wait_ms"]) / 1000)
                ):
                    await self._changed.wait()
            except TimeoutError:
                rows = []
            rows = self._since(table, after)
            if after > self.version:
                return self._reply({}, 410)
        if self.faults["down"]:
            return self._reply({}, 503)
        return self._reply({"rows": rows, "ver": self.version, "now_ms": now_ms()})

    def _since(self, table, after):
        rows = [
            self._row(*row_key)
            for row_key, (_, ver) in self.rows.items()
            if row_key[0] == table and ver > after
        ]
        rows += [
            {"table": name, "part": "", "key": key, "ver": ver, "tombstone": True}
            for (name, key), ver in self._tombstones.items()
            if name == table and ver > after
        ]
        return sorted(rows, key=lambda row: row["ver"])
