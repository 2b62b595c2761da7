"""Stand-in for a model engine.

It has batching that slows down above ``knee`` requests, a prefix cache, priorities, resumable
streams and orders. Generation runs apart from the connection that reads it, so that a stream whose
connection is frozen can be resumed on another connection. ``faults`` inject failures:

``drop_orders``         number of orders that are neither executed nor answered
``delay_orders``        seconds before an order is executed
``double_orders``       number of orders that are executed twice
``lose_order_answers``  number of orders that are executed and not answered
``freeze``              connections open now send no more bytes; new connections work
``down``                every call is aborted without an answer
``refuse``              requests get 503 with ``x-not-run``, and ``retry_after`` as Retry-After
``cross``               answer and frames carry the id of another request
``cross_frames``        only the frames carry the id of another request
``cut``                 streams break off after this many tokens and cannot be resumed
``half``                connections of whole answers go silent after half of the body
``event_gap``           cache events are numbered but not reported

:meth:`EngineStandin.fall_silent` holds back every byte for some seconds, on all connections, while
generation goes on. ``request_delay`` are seconds before a request is taken in, ``cancel_delay``
seconds before a cancel is.

A prompt that contains ``fatal_text`` crashes the engine: it is down, and starts again after
``restart_seconds`` with a new boot id and the same items.
"""

import asyncio
import heapq
import itertools
import json
import time
import zlib
from collections import OrderedDict
from functools import partial

import aiohttp
from blacksheep import Content, Request, Response, StreamedContent

from peridotdock.items import name_of
from peridotdock.prefix import BLOCK_TOKENS, count_tokens, hash_blocks
from peridotdock.serving import Server, add_route, make_application
from tests.standins.http import abort_connection, read_json, reply

ABANDONED_STREAM_SECONDS = 5.0
NOT_RUN = (b"x-not-run", b"1")


class Stream:
    def __init__(self, request_id, item, max_tokens, text, priority):
        self.id = request_id
        self.item = item
        self.max_tokens = max_tokens
        self.text = text
        self.priority = priority
        self.tokens = []
        self.done = False
        self.cancelled = False
        self.cached = 0
        self.readers = 0
        self.disconnected_at = time.monotonic()
        self.wake = asyncio.Event()

    def notify(self):
        self.wake.set()
        self.wake = asyncio.Event()


class EngineStandin:
    def __init__(
        self,
        name="e1",
        capacity=(100, 100),
        fencing=True,
        batch_limit=8,
        knee=4,
        prefill_rate=20000.0,
        step=0.005,
        cache_blocks=2000,
        load_seconds=0.01,
        report_lag=0.0,
        weights_url="",
        port=0,
    ):
        self.name = name
        self.capacity = list(capacity)
        self.fencing = fencing
        self.batch_limit = batch_limit
        self.knee = knee
        self.prefill_rate = prefill_rate
        self.step = step
        self.cache_blocks = cache_blocks
        self.load_seconds = load_seconds
        self.report_lag = report_lag
        self.weights_url = weights_url
        self.fatal_text = ""
        self.restart_seconds = 0.3
        self.retry_after = ""
        self.refusal_count = 0
        self.crash_count = 0
        self.boot = f"{name}-{time.monotonic_ns()}"
        self.items = {}
        self.highest_order = 0
        self.done_orders = {}
        self.peak_bytes = [0] * len(self.capacity)
        self.overcommitted = False
        self.streams = {}
        self.calls = []
        self.orders = []
        self.draining = False
        self.cache = OrderedDict()
        self.events = []
        self.sequence = itertools.count(1)
        self.last_sequence = 0
        self.running = 0
        self.waiting = []
        self.prefill_left = 0
        self.load_history = []
        self.frozen_connections = 0
        self.silent_until = 0.0
        self.request_delay = 0.0
        self.cancel_delay = 0.0
        self._aborts = set()
        self.connections = itertools.count(1)
        self.faults = {
            "drop_orders": 0,
            "delay_orders": 0.0,
            "double_orders": 0,
            "lose_order_answers": 0,
            "down": False,
            "refuse": False,
            "cross": False,
            "cross_frames": False,
            "cut": 0,
            "half": False,
            "event_gap": False,
        }
        self._queue_sequence = itertools.count()
        self._prefill_lock = asyncio.Lock()
        self._tasks = set()
        self.server = Server(self._build(), port=port)

    @property
    def url(self):
        return self.server.url

    async def start(self):
        await self.server.start()
        return self

    async def stop(self):
        for task in list(self._tasks):
            task.cancel()
        await self.server.stop()

    def _spawn(self, coro):
        task = asyncio.create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _build(self):
        app = make_application()

        def route(method, path, handler):
            add_route(app, method, path, partial(self._answer, handler))

        route("POST", "/v1/chat/completions", self.chat)
        route("POST", "/v1/completions", self.complete)
        route("GET", "/v1/streams/{name}", self.resume)
        route("DELETE", "/v1/streams/{name}", self.cancel)
        route("GET", "/control/report", self.report)
        route("POST", "/control/orders", self.order)
        route("POST", "/faults", self.set_faults)
        return app

    async def _answer(self, handler, request: Request):
        await self._wait_for_end_of_silence()
        response = await handler(request)
        await self._wait_for_end_of_silence()
        return response

    def fall_silent(self, seconds):
        self.silent_until = time.monotonic() + seconds

    def refuse_connections(self):
        """Stop listening; open connections stay open."""
        for server in self.server._server.servers:
            server.close()

    async def _wait_for_end_of_silence(self):
        while (left := self.silent_until - time.monotonic()) > 0:
            await asyncio.sleep(left)

    # Orders and memory

    def used(self):
        used = [0] * len(self.capacity)
        for held in self.items.values():
            for index in held["accelerators"]:
                used[index] += held["bytes"]
        return used

    def _record_memory(self):
        used = self.used()
        self.peak_bytes = [max(pair) for pair in zip(self.peak_bytes, used, strict=True)]
        if any(size > limit for size, limit in zip(used, self.capacity, strict=True)):
            self.overcommitted = True

    async def order(self, request: Request):
        body = await read_json(request)
        self.orders.append(body)
        if self.faults["down"]:
            await abort_connection(request)
        if self.faults["drop_orders"]:
            self.faults["drop_orders"] -= 1
            await asyncio.sleep(3600)
        if self.faults["delay_orders"]:
            await asyncio.sleep(self.faults["delay_orders"])
        outcome = await asyncio.shield(self._spawn(self.execute_order(body)))
        if self.faults["double_orders"]:
            self.faults["double_orders"] -= 1
            outcome = await self.execute_order(body)
        if self.faults["lose_order_answers"]:
            self.faults["lose_order_answers"] -= 1
            await asyncio.sleep(3600)
        return outcome

    async def execute_order(self, body):
        number, key = body["order"], body["item"]
        if self.fencing:
            if number in self.done_orders:
                await self.done_orders[number].wait()
                return reply({"state": "done"})
            if number < self.highest_order:
                return reply({"error": "fenced", "highest": self.highest_order}, 409)
            self.highest_order = number
        done = self.done_orders.setdefault(number, asyncio.Event())
        if body["action"] == "load":
            held = self.items.setdefault(
                key, {"accelerators": body["accelerators"], "bytes": body["bytes"], "ready": False}
            )
            self._record_memory()
            await self._fetch_weights()
            held["ready"] = True
        else:
            await self._drain(key)
            self.items.pop(key, None)
        done.set()
        return reply({"state": "done"})

    async def _drain(self, key):
        """Wait until no stream uses the item, before it is unloaded."""
        while any(s.item == key and not s.done for s in self.streams.values()):
            await asyncio.sleep(0.005)

    async def _fetch_weights(self):
        if not self.weights_url:
            await asyncio.sleep(self.load_seconds)
            return
        url = f"{self.weights_url}/weights?seconds={self.load_seconds}"
        async with aiohttp.ClientSession() as session, session.get(url) as resp:
            await resp.read()

    # Requests

    async def chat(self, request: Request):
        body = await read_json(request)
        text = "".join(f"{row['role']}:{row['content']}\n" for row in body["messages"])
        return await self.generate(request, body, text, "chat")

    async def complete(self, request: Request):
        body = await read_json(request)
        return await self.generate(request, body, body["prompt"], "text")

    async def generate(self, request: Request, body, text, form):
        header = request.get_first_header
        request_id = (header(b"x-request-id") or b"none").decode()
        if self.faults["down"]:
            await abort_connection(request)
        await asyncio.sleep(self.request_delay)
        if self.fatal_text and self.fatal_text in text:
            self._crash()
            await abort_connection(request)
        key = (header(b"x-item") or b"").decode() or self._find_item(body["model"])
        if self.faults["refuse"] or self.draining or not self.items.get(key, {}).get("ready"):
            self.refusal_count += 1
            hint = [(b"retry-after", self.retry_after.encode())] if self.retry_after else []
            return reply({"error": "refused"}, 503, [NOT_RUN, *hint])
        self.calls.append((request_id, key))
        priority = int(header(b"x-priority") or b"5")
        stream = Stream(request_id, key, int(body.get("max_tokens") or 16), text, priority)
        self.streams[request_id] = stream
        self._spawn(self._run(stream))
        if body.get("stream"):
            return self._stream_answer(stream, form, 0, request.scope["abort"])
        async for _ in self._read_tokens(stream, 0, request.scope["abort"]):
            pass
        if self.faults["half"]:
            return self._half_answer(stream, form)
        return reply(
            self._whole_answer(stream, form),
            200,
            [(b"x-request-id", self._answer_id(stream).encode())],
        )

    def _crash(self):
        self.crash_count += 1
        self.faults["down"] = True
        asyncio.get_running_loop().call_later(self.restart_seconds, self._restart)

    def _restart(self):
        self.boot = f"{self.name}-{time.monotonic_ns()}"
        self.faults["down"] = False

    def _find_item(self, name):
        return next((key for key in self.items if name_of(key) == name), "")

    def _answer_id(self, stream):
        return "foreign" if self.faults["cross"] else stream.id

    async def _run(self, stream):
        await self._wait_for_slot(stream)
        try:
            await self._run_prefill(stream)
            for index in range(stream.max_tokens):
                if stream.cancelled or self._abandoned(stream):
                    break
                excess = max(0, self.running - self.knee) / self.knee
                await asyncio.sleep(self.step * (1 + excess))
                stream.tokens.append(f" t{index}-{zlib.crc32(stream.text.encode()) % 9973}")
                stream.notify()
        finally:
            self.running -= 1
            self._admit()
            stream.done = True
            stream.notify()
            asyncio.get_running_loop().call_later(10, self.streams.pop, stream.id, None)

    def _abandoned(self, stream):
        return (
            not stream.readers
            and time.monotonic() - stream.disconnected_at > ABANDONED_STREAM_SECONDS
        )

    async def _wait_for_slot(self, stream):
        entered = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiting, (-stream.priority, next(self._queue_sequence), entered))
        self._admit()
        await entered

    def _admit(self):
        while self.waiting and self.running < self.batch_limit:
            _, _, entered = heapq.heappop(self.waiting)
            self.running += 1
            entered.set_result(None)

    async def _run_prefill(self, stream):
        total = count_tokens(stream.text)
        self.prefill_left += total
        try:
            async with self._prefill_lock:
                blocks = hash_blocks(stream.item, stream.text)
                hits = 0
                for block in blocks:
                    if block not in self.cache:
                        break
                    self.cache.move_to_end(block)
                    hits += 1
                stream.cached = min(total, hits * BLOCK_TOKENS)
                await asyncio.sleep((total - stream.cached) / self.prefill_rate)
                self._cache_prompt(blocks[hits:])
        finally:
            self.prefill_left -= total

    def _cache_prompt(self, blocks):
        for block in blocks:
            self.cache[block] = None
            self._emit_cache_event("add", block)
        while len(self.cache) > self.cache_blocks:
            evicted, _ = self.cache.popitem(last=False)
            self._emit_cache_event("drop", evicted)

    def _emit_cache_event(self, kind, block):
        self.last_sequence = next(self.sequence)
        if not self.faults["event_gap"]:
            self.events.append((self.last_sequence, kind, block))
            del self.events[:-2000]

    async def _read_tokens(self, stream, offset, abort):
        connection = next(self.connections)
        self._aborts.add(abort)
        stream.readers += 1
        try:
            index = offset
            while True:
                if connection <= self.frozen_connections:
                    await asyncio.sleep(3600)
                await self._wait_for_end_of_silence()
                if self.faults["cut"] and index >= self.faults["cut"]:
                    stream.cancelled = True
                    self.streams.pop(stream.id, None)
                    abort()
                    return
                if index < len(stream.tokens):
                    yield index, stream.tokens[index]
                    index += 1
                elif stream.done:
                    return
                else:
                    await stream.wake.wait()
        finally:
            self._aborts.discard(abort)
            stream.readers -= 1
            stream.disconnected_at = time.monotonic()

    def freeze(self):
        self.frozen_connections = next(self.connections)

    def reset_connections(self):
        """Close the connections of answers; the streams go on."""
        for abort in list(self._aborts):
            abort()

    def _usage(self, stream):
        total = count_tokens(stream.text)
        count = len(stream.tokens)
        return {
            "prompt_tokens": total,
            "completion_tokens": count,
            "total_tokens": total + count,
            "prompt_tokens_details": {"cached_tokens": stream.cached},
        }

    def _whole_answer(self, stream, form):
        text = "".join(stream.tokens)
        choice = {"index": 0, "finish_reason": "stop"}
        choice |= (
            {"message": {"role": "assistant", "content": text}}
            if form == "chat"
            else {"text": text, "logprobs": None}
        )
        kind = "chat.completion" if form == "chat" else "text_completion"
        return self._frame(stream, kind, [choice], usage=self._usage(stream))

    def _frame(self, stream, kind, choices, **more):
        model = name_of(stream.item)
        crossed = self.faults["cross"] or self.faults["cross_frames"]
        base = {
            "id": "foreign" if crossed else stream.id,
            "object": kind,
            "created": 1,
            "model": model,
        }
        return base | {"choices": choices} | more

    def _half_answer(self, stream, form):
        raw = json.dumps(self._whole_answer(stream, form)).encode()

        async def body():
            yield raw[: len(raw) // 2]
            await asyncio.sleep(3600)

        headers = [(b"x-request-id", stream.id.encode())]
        return Response(200, headers, StreamedContent(b"application/json", body))

    def _stream_answer(self, stream, form, offset, abort):
        async def body():
            kind = "chat.completion.chunk" if form == "chat" else "text_completion"
            async for index, token in self._read_tokens(stream, offset, abort):
                piece = {"delta": {"content": token}} if form == "chat" else {"text": token}
                choice = {"index": 0, "finish_reason": None, **piece}
                frame = self._frame(stream, kind, [choice], offset=index)
                yield b"data: " + json.dumps(frame).encode() + b"\n\n"
            piece = {"delta": {}} if form == "chat" else {"text": ""}
            end = [{"index": 0, "finish_reason": "stop", **piece}]
            frame = self._frame(stream, kind, end, usage=self._usage(stream))
            yield b"data: " + json.dumps(frame).encode() + b"\n\n"
            yield b"data: [DONE]\n\n"

        headers = [(b"x-request-id", self._answer_id(stream).encode())]
        return Response(200, headers, StreamedContent(b"text/event-stream", body))

    async def resume(self, request: Request):
        stream = self.streams.get(request.route_values["name"])
        if stream is None:
            return reply({"error": "unknown stream"}, 404)
        offset = int(request.query.get("offset", ["0"])[0])
        form = request.query.get("form", ["chat"])[0]
        if request.query.get("probe"):
            return reply({"tokens": len(stream.tokens), "done": stream.done})
        if request.query.get("whole"):
            return reply(
                self._whole_answer(stream, form), 200, [(b"x-request-id", stream.id.encode())]
            )
        return self._stream_answer(stream, form, offset, request.scope["abort"])

    async def cancel(self, request: Request):
        await asyncio.sleep(self.cancel_delay)
        stream = self.streams.get(request.route_values["name"])
        if stream is not None:
            stream.cancelled = True
        return reply({})

    # Reports

    async def report(self, request: Request):
        if self.faults["down"]:
            await abort_connection(request)
        since = int(request.query.get("since", ["0"])[0])
        now = time.monotonic()
        self.load_history.append((now, self._report_load()))
        del self.load_history[:-200]
        visible = [load for stamp, load in self.load_history if stamp <= now - self.report_lag]
        load = visible[-1] if visible else self.load_history[0][1]
        events = [list(event) for event in self.events if event[0] > since][:512]
        items = dict(self.items)
        body = {"boot": self.boot, "items": items, "leaving": self.draining, "load": load}
        return reply(body | {"age": self.report_lag, "events": events, "last": self.last_sequence})

    def _report_load(self):
        return {
            "running": self.running,
            "waiting": len(self.waiting),
            "prefill": self.prefill_left,
            "batch_limit": self.batch_limit,
            "prefill_rate": self.prefill_rate,
            "step_us": int(self.step * 1e6),
        }

    async def set_faults(self, request: Request):
        body = await read_json(request)
        if body.pop("freeze", False):
            self.freeze()
        self.draining = body.pop("leaving", self.draining)
        self.faults.update(body)
        return reply(self.faults)


class ServiceStandin:
    """A service that counts its calls and echoes the request.

    ``abort_calls`` aborts calls after they are counted; ``delay`` is in seconds.
    """

    def __init__(self, port=0):
        self.calls = []
        self.delay = 0.0
        self.abort_calls = False
        self.server = Server(self._build(), port=port)

    @property
    def url(self):
        return self.server.url

    async def start(self):
        await self.server.start()
        return self

    async def stop(self):
        await self.server.stop()

    def _build(self):
        app = make_application()
        for method in ("GET", "POST", "PUT", "PATCH", "DELETE", "HEAD"):
            add_route(app, method, "/*", self.answer)
        return app

    async def answer(self, request: Request):
        raw = await request.read() or b""
        path = request.url.path.decode()
        key = (request.get_first_header(b"idempotency-key") or b"").decode()
        request_id = request.get_first_header(b"x-request-id") or b""
        self.calls.append((request.method, path, key))
        if self.delay:
            await asyncio.sleep(self.delay)
        if self.abort_calls:
            await abort_connection(request)
        status = 418 if path.endswith("/teapot") else 200
        body = json.dumps({"method": request.method, "path": path, "count": len(self.calls)})
        headers = [(b"x-request-id", request_id), (b"x-echo", b"1")]
        return Response(status, headers, Content(b"application/json", body.encode() + raw))
