"""A stand-in for a model runner: it loads and unloads by orders, streams, and crashes when full."""

import asyncio
import json
import time

import standins as s

EVENTS = 13
EVENT_SECONDS = 0.05
HEARTBEAT_SECONDS = 1.2
BACK_SECONDS = 5.0


class Engine(s.Listener):
    """A model runner of one service.

    ``sizes`` are the weights of all models that were ever in a configuration, ``capacity`` what a
    runner has for weights and adapters, ``load_seconds`` how long a load takes. An order to load
    more than that is recorded in ``overfilled``, and the runner crashes, as the pages say.
    """

    def __init__(self, name, service, record, store, sizes, capacity, models, load_seconds=1.2):
        """Create a runner that holds ``models``."""
        super().__init__()
        self.name = name
        self.service = service
        self.record = record
        self.store = store
        self.sizes = sizes
        self.capacity = capacity
        self.models = list(models)
        self.load_seconds = load_seconds
        self.loading = None
        self.unloading = None
        self.running = {}
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.overfilled = []
        self.orders = []
        self.broken_streams = 0
        self.crashed = False
        self._beats = 0
        self._writers = set()
        self._work = set()

    def held_mb(self):
        """Return what the models that are there or on their way take up."""
        return sum(self.sizes[name] for name in (*self.models, *filter(None, [self.loading])))

    def entry(self):
        """Return the entry by which the runner registers itself."""
        rows = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        row = {"service": self.service, "address": self.address, "zone": "north", "version": "v1"}
        row |= {"slots": 64, "state": "ready", "cold_remaining_ms": 0, "seq": self._beats}
        return row | {"born": self.born, "stage": "colocated", "models": rows}

    async def beat(self):
        """Write the entry again and again, as long as the runner lives."""
        while True:
            if not self.crashed:
                self._beats += 1
                self.store.put("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def spawn(self, work):
        """Run some work in the background."""
        task = asyncio.ensure_future(work)
        self._work.add(task)
        task.add_done_callback(self._work.discard)

    async def stop(self):
        """Stop serving and all work."""
        for task in list(self._work):
            task.cancel()
        await asyncio.gather(*self._work, return_exceptions=True)
        await super().stop()

    async def serve(self, reader, writer):
        """Serve one connection."""
        if self.crashed:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while (head := await s.read_head(reader)) is not None and not self.crashed:
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                target = line.split(" ")[1]
                if headers.get("x-target-instance", self.name) != self.name:
                    writer.write(s.make_answer(421, b""))
                elif target == "/v1/report":
                    writer.write(s.make_answer(200, json.dumps(self.report()).encode()))
                elif target == "/v1/order":
                    status = self.order(json.loads(body))
                    if self.crashed:
                        return
                    writer.write(s.make_answer(status, b"{}"))
                else:
                    await self.stream(writer, headers)
                await writer.drain()
        finally:
            self._writers.discard(writer)

    def report(self):
        """Return the runner's report."""
        rows = [{"name": name, "version": 1, "adapters": []} for name in self.models]
        busy = bool(self.loading or self.unloading)
        row = {"stage": "colocated", "models": rows, "busy": busy, "seq": self.seq, "queued": 0}
        row |= {"active": sum(self.running.values()), "kv_used": 0, "kv_total": 200000}
        return row | {"handles": 0, "born": self.born, "coming": []}

    def order(self, order):
        """Take an order; return the status of the answer."""
        model, loads = order["model"], order["operation"] == "load"
        self.orders.append(order)
        status = self._order_status(order, model, loads)
        self.record.add(
            f"engine {self.name}: {order['operation']} {model} by {order['holder']} "
            f"with {order['fencing_token']}: {status}; holds {self.held_mb()} MB"
        )
        return status

    def _order_status(self, order, model, loads):
        if self.loading or self.unloading:
            return 409
        if order.get("expected", self.seq) != self.seq:
            return 409
        if (model in self.models) is loads:
            return 200
        if model not in self.sizes:
            return 400
        self.seq += 1
        if not loads:
            self.unloading = model
            self.spawn(self._unload(model))
            return 202
        if self.held_mb() + self.sizes[model] > self.capacity:
            self.overfilled.append(model)
            self.record.add(
                f"engine {self.name} is ordered to load {model}: {self.held_mb()} MB are there, "
                f"{self.sizes[model]} MB more, {self.capacity} MB is all it has; it crashes"
            )
            self.crash()
            return 0
        self.loading = model
        self.spawn(self._load(model))
        return 202

    async def _load(self, model):
        await asyncio.sleep(self.load_seconds)
        self.models.append(model)
        self.loading = None
        self.store.put("servers", self.name, self.entry())

    async def _unload(self, model):
        while self.running.get(model):
            await asyncio.sleep(0.02)
        self.models.remove(model)
        self.unloading = None
        self.store.put("servers", self.name, self.entry())

    def crash(self):
        """End all connections; the runner is back after some seconds, and empty."""
        self.crashed = True
        self.broken_streams += sum(self.running.values())
        self.record.add(f"engine {self.name} has crashed under {sum(self.running.values())} runs")
        for writer in list(self._writers):
            writer.transport.abort()
        self.store.remove("servers", self.name)
        self.spawn(self._come_back())

    async def _come_back(self):
        await asyncio.sleep(BACK_SECONDS)
        self.models, self.loading, self.unloading, self.seq = [], None, None, 0
        self.born = int(time.time() * 1000)
        self.crashed = False

    async def stream(self, writer, headers):
        """Answer a request by a stream."""
        attempt, model = headers.get("x-attempt-id", ""), headers.get("x-model", "")
        signed = {"x-attempt-id": attempt}
        if model not in self.models or model == self.unloading:
            writer.write(s.make_answer(421, b"", signed))
            return
        self.record.add(f"engine {self.name} runs {attempt} with {model}")
        self.running[model] = self.running.get(model, 0) + 1
        try:
            writer.write(
                f"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-attempt-id: {attempt}\r\n"
                f"x-response-signature: {self.name}.{attempt}\r\nx-weight-versions: 1\r\n"
                "transfer-encoding: chunked\r\n\r\n".encode()
            )
            first = int(headers.get("last-event-id") or 0) + 1
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(EVENT_SECONDS)
                event = b"id: %d\ndata: event %d\n\n" % (number, number)
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        finally:
            self.running[model] -= 1
