"""Fakes of the platform's store and of targets, and a proxy that injects connection faults."""

import asyncio
import base64
import collections
import json
import random
import time
from urllib.parse import unquote

PAGE_SIZE = 20
COPY_INTERVAL_S, MAX_COPY_AGE_S = 0.5, 10
StoreCopy = collections.namedtuple("StoreCopy", "time items events revision compacted_revision")


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


def unix_milliseconds():
    return int(time.time() * 1000)


class FakeStore:
    """In-memory store with revisions. It serves range and watch requests as the platform documents
    them. It can respond slowly, reject requests, compact its history, and be away for a moment and
    come back from an older copy of itself."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.compacted_revision = 0
        self.changed = asyncio.Event()
        self.available = asyncio.Event()
        self.available.set()
        self.writers = set()
        self.era = 1
        self.copies = []
        self.delay_s = 0.0
        self.error_status = None

    def put(self, key, value):
        """Writes an item, or removes it if the value is None. The store must be available."""
        self.add_copy_if_due()
        self.revision += 1
        event = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            event["removed"] = True
        else:
            event["value"] = base64.b64encode(json.dumps(value).encode()).decode()
            self.items[key] = event
        self.events.append(event)
        self.notify_watches()

    def get(self, key):
        """Returns the value of an item, or None if there is no such item."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def compact_history(self):
        """Ends pending watches; clients behind this revision must list all items again."""
        self.compacted_revision = self.revision
        self.events.clear()
        self.notify_watches()

    def notify_watches(self):
        self.changed.set()
        self.changed = asyncio.Event()

    # Copies

    def add_copy_if_due(self):
        now = asyncio.get_running_loop().time()
        if self.copies and now < self.copies[-1].time + COPY_INTERVAL_S:
            return
        self.copies = [copy for copy in self.copies if copy.time >= now - MAX_COPY_AGE_S]
        self.copies.append(StoreCopy(now, dict(self.items), list(self.events), self.revision,
                                     self.compacted_revision))

    def go_away(self):
        """Ends all connections, and accepts none until the store is restored."""
        self.available.clear()
        for writer in list(self.writers):
            writer.transport.abort()

    def restore(self, copy):
        """Comes back with the items, the revision and the history of the copy."""
        self.items, self.events = dict(copy.items), list(copy.events)
        self.revision, self.compacted_revision = copy.revision, copy.compacted_revision
        self.era += 1
        self.available.set()

    # Requests

    async def serve(self, reader, writer):
        if not self.available.is_set():
            writer.transport.abort()
            return
        era = self.era
        self.writers.add(writer)
        while head := await read_head(reader):
            await asyncio.sleep(self.delay_s)
            response = await self.handle_request(*parse_request_target(head[0]))
            if era != self.era or not self.available.is_set():
                break
            writer.write(response)
        self.writers.discard(writer)
        writer.close()

    async def handle_request(self, path, query):
        if self.error_status:
            return self.respond(self.error_status)
        if path == "/-/kv-key":
            return self.respond("404 Not Found")
        body = self.list_page(query) if path == "/-/kv-range" else await self.watch(query)
        if body is None:
            return self.respond("410 Gone")
        return self.respond("200 OK", json.dumps(body).encode())

    def respond(self, status, body=b""):
        return make_response(status, {"Store-Era": self.era}, body)

    def list_page(self, query):
        """Returns one page. Pages are short, so that a list of all items needs several requests."""
        keys = sorted(key for key in self.items if key > unquote(query.get("after", "")))
        page = [self.items[key] for key in keys[:PAGE_SIZE]]
        return {"items": page, "hasMore": len(keys) > PAGE_SIZE, "at": self.revision}

    async def watch(self, query):
        """Returns the changes after a revision, or None if the store lacks that revision."""
        after = int(query["after"])

        def has_history():
            return self.compacted_revision <= after <= self.revision

        async def wait_for_event():
            while has_history() and after == self.revision:
                await self.changed.wait()

        try:
            await asyncio.wait_for(wait_for_event(), int(query["waitMs"]) / 1000)
        except asyncio.TimeoutError:
            pass
        if not has_history():
            return None
        events = [event for event in self.events if event["revision"] > after]
        return {"events": events, "at": self.revision}


class FakeTarget:
    """Executes requests in a few slots and reports each execution."""

    def __init__(self, name, service, domain, on_execution, mean_processing_time_s):
        self.name = name
        self.service = service
        self.domain = domain
        self.on_execution = on_execution
        self.mean_processing_time_s = mean_processing_time_s
        self.cold_until = 0.0
        self.is_leaving = False
        self.announces_leave = False
        self.is_healthy = True
        self.born = unix_milliseconds()
        self.sequence = 0
        self.request_limit = None
        self.slots = 3
        self.running = 0
        self.slowdown = 1.0
        self.is_down = False
        # While this is set, requests are rejected, and their sender is asked to wait so long.
        self.retry_after_s = None
        self.on_rejection = lambda request, target, now: None

    def restart(self, name):
        """Continues as a new incarnation."""
        self.name = name
        self.born = unix_milliseconds()
        self.sequence = 0
        self.is_leaving = False
        self.announces_leave = False
        self.is_healthy = True
        self.retry_after_s = None

    def is_cold(self):
        return asyncio.get_running_loop().time() < self.cold_until

    def health_response(self, load):
        remaining_s = max(0.0, self.cold_until - asyncio.get_running_loop().time())
        return make_response("200 OK" if self.is_healthy else "503 Leaving", {
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
        if self.announces_leave:
            load.update({"Server-Leaving": "1", "X-Anvilsaddle-Instance-Id": self.name})
        if " /health " in line:
            return self.health_response(load)
        identity = {"X-Anvilsaddle-Attempt-Id": headers.get("x-anvilsaddle-attempt-id", "")}
        if headers.get("x-anvilsaddle-expected-instance") != self.name:
            return make_response("421 Misdirected", {"X-Anvilsaddle-Instance-Id": self.name})
        if self.retry_after_s is not None:
            self.on_rejection(identity["X-Anvilsaddle-Attempt-Id"], self,
                              asyncio.get_running_loop().time())
            return make_response("503 Busy", {"X-Anvilsaddle-Not-Executed": "1", **identity, **load,
                                              "Retry-After": f"{self.retry_after_s:.3f}"})
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
