"""Fakes of the platform's store and of targets, and a proxy that injects connection faults."""

import asyncio
import base64
import json
import random
from urllib.parse import unquote

PAGE_SIZE = 20

async def read_head(reader):
    """Reads the first line and the headers (names in lower case); None if the connection ends."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    return lines[0], {name.lower(): value for name, value in headers.items()}


def make_response(status, headers, body=b""):
    head = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(head) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


def parse_request_target(line):
    target = line.split(" ")[1]
    pairs = target.split("?", 1)[1].split("&") if "?" in target else []
    return target.split("?")[0], dict(pair.split("=", 1) for pair in pairs)


class FakeStore:
    """In-memory store with revisions. It serves range and watch requests as the platform documents
    them, and can respond slowly, reject requests and compact its history."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.compacted_revision = 0
        self.change_condition = asyncio.Condition()
        self.delay_s = 0.0
        self.error_status = None

    async def put(self, key, value):
        """Writes an item, or removes it if the value is None."""
        self.revision += 1
        event = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            event["removed"] = True
        else:
            event["value"] = base64.b64encode(json.dumps(value).encode()).decode()
            self.items[key] = event
        self.events.append(event)
        async with self.change_condition:
            self.change_condition.notify_all()

    async def compact_history(self):
        """Ends pending watches; clients behind this revision must list all items again."""
        self.compacted_revision = self.revision
        self.events.clear()
        async with self.change_condition:
            self.change_condition.notify_all()

    async def serve(self, reader, writer):
        while head := await read_head(reader):
            await asyncio.sleep(self.delay_s)
            writer.write(await self.handle_request(*parse_request_target(head[0])))
        writer.close()

    async def handle_request(self, path, query):
        if self.error_status:
            return make_response(self.error_status, {})
        if path == "/-/kv-key":
            return make_response("404 Not Found", {})
        if path == "/-/kv-watch" and int(query["after"]) < self.compacted_revision:
            return make_response("410 Gone", {})
        body = self.list_page(query) if path == "/-/kv-range" else await self.watch(query)
        if body is None:
            return make_response("410 Gone", {})
        return make_response("200 OK", {}, json.dumps(body).encode())

    def list_page(self, query):
        """Returns one page. Pages are short, so that a list of all items needs several requests."""
        keys = sorted(key for key in self.items if key > unquote(query.get("after", "")))
        page = [self.items[key] for key in keys[:PAGE_SIZE]]
        return {"items": page, "hasMore": len(keys) > PAGE_SIZE, "at": self.revision}

    async def watch(self, query):
        after = int(query["after"])

        def new_events():
            return [event for event in self.events if event["revision"] > after]

        def is_complete():
            return new_events() or after < self.compacted_revision

        async with self.change_condition:
            try:
                await asyncio.wait_for(self.change_condition.wait_for(is_complete),
                                       int(query["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        if after < self.compacted_revision:
            return None
        return {"events": new_events(), "at": self.revision}


class FakeTarget:
    """Executes requests in a few slots and reports each execution."""

    def __init__(self, name, service, domain, on_execution, mean_processing_time_s):
        self.name = name
        self.service = service
        self.domain = domain
        self.on_execution = on_execution
        self.mean_processing_time_s = mean_processing_time_s
        self.cold_until = 0.0
        self.request_limit = None
        self.slots = 3
        self.running = 0
        self.slowdown = 1.0
        self.is_down = False

    def is_cold(self):
        return asyncio.get_running_loop().time() < self.cold_until

    def health_response(self, load):
        remaining_s = max(0.0, self.cold_until - asyncio.get_running_loop().time())
        return make_response("200 OK", {
            "X-Anvilsaddle-Instance-Id": self.name,
            "X-Anvilsaddle-Cold-Milliseconds": int(remaining_s * 1000), **load})

    def load_header(self):
        waiting = max(0, self.running - self.slots)
        return f"{self.running - waiting},{waiting},{self.slots},{int(self.slowdown * 100)}"

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if self.is_down:
                    break
                writer.write(await self.execute(line, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()

    async def execute(self, line, headers, body):
        load = {"X-Anvilsaddle-Server-Load": self.load_header()}
        if self.request_limit is not None:
            load["Server-Limit"] = self.request_limit
        if " /health " in line:
            return self.health_response(load)
        identity = {"X-Anvilsaddle-Attempt-Id": headers.get("x-anvilsaddle-attempt-id", "")}
        if headers.get("x-anvilsaddle-expected-instance") != self.name:
            return make_response("421 Misdirected", {"X-Anvilsaddle-Instance-Id": self.name})
        if self.running >= 2 * self.slots:
            return make_response("503 Full",
                                 {"X-Anvilsaddle-Not-Executed": "1", **identity, **load})
        self.running += 1
        request = identity["X-Anvilsaddle-Attempt-Id"]
        self.on_execution(request, self, asyncio.get_running_loop().time())
        try:
            await asyncio.sleep(self.mean_processing_time_s * self.slowdown * random.expovariate(1))
        finally:
            self.running -= 1
        text = f"{self.service}:{request}:{body.decode()}".encode()
        signature = {"X-Anvilsaddle-Response-Signature": f"s-{request}"}
        return make_response("200 OK", {**identity, **signature, **load}, text)


class FaultProxy:
    """TCP proxy that can delay, reset, refuse or black-hole connections, or drop responses only."""

    def __init__(self, upstream_address):
        self.upstream_address = upstream_address
        self.mode = "pass"
        self.writers = set()

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                writer.transport.abort()

    async def serve(self, reader, writer):
        if self.mode in ("reset", "refuse"):
            writer.transport.abort()
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self.upstream_address())
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, upstream_writer}
        # A black-holed connection never recovers, but new connections work.
        state = {"silent": False}
        await asyncio.gather(self.relay(reader, upstream_writer, state, False),
                             self.relay(upstream_reader, writer, state, True),
                             return_exceptions=True)
        self.writers -= {writer, upstream_writer}

    async def relay(self, reader, writer, state, is_response):
        try:
            while data := await reader.read(65536):
                state["silent"] = state["silent"] or self.mode == "silence"
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                if state["silent"] or (self.mode == "one_way" and is_response):
                    continue
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()
