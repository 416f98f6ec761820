"""Stand-ins for the cases 11 to 15: the platform's store, workers, client connections, and the start of the entries.

All of them run in one asyncio process and use loopback addresses. The entries are the project's own program, started
with the command of deploy/system.toml and with settings rendered from deploy/settings.toml.template."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import unquote

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
# The bounds of the site cocomisur-gw.
BOUNDS = {"retryBudgetRatio": 0.2, "retryBudgetExtra": 64, "retryWindowS": 10, "coldBurstFactor": 1.5,
          "coldSlack": 5, "graceS": 6}
STABLE_WINDOW_S = 4
MEMORY_MB, DESCRIPTORS = 260, 4100
FRONT, READY, CONTROL, DIRECTORY = 8381, 8388, 8382, 8383
PEER_PORTS = [7200, 7215]
STORE_PORT, WORKER_PORT = 8384, 8380
# The segment size of an Ethernet link. The one of the loopback interface exceeds the entries' receive buffers, so that
# every large transfer would wait for the sender's persist timer.
SEGMENT_BYTES = 1448
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable"}


def now():
    return time.monotonic()


def reset(writer):
    """Ends a connection with a reset; asyncio's abort() alone sends an ordinary end."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader):
    """Returns the first line and the fields (names in lower case); None if the connection ends."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def message(status, fields, body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


async def listen(handler, address, port):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.bind((address, port))
    sock.listen(512)
    sock.setblocking(False)
    return await asyncio.start_server(handler, sock=sock)


async def connect(address, port, timeout_s=1.0):
    sock = socket.socket()
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setblocking(False)
    try:
        await asyncio.wait_for(asyncio.get_running_loop().sock_connect(sock, (address, port)), timeout_s)
    except BaseException:
        sock.close()
        raise
    return await asyncio.open_connection(sock=sock, limit=1 << 20)


class Record:
    """The lines of record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = now()

    def add(self, text):
        if not self.file.closed:
            self.file.write(f"{now() - self.start:9.4f}  {text}\n")

    def close(self):
        self.file.close()


class Store:
    """The platform's store: ranges and watches over items with one counter of revisions."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.changed = asyncio.Event()

    def put(self, key, value):
        """Writes an item; removes it if the value is None."""
        self.revision += 1
        event = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            event["removed"] = True
        else:
            created = self.items.get(key, {"created": self.revision})["created"]
            text = base64.b64encode(json.dumps(value).encode()).decode()
            event.update({"value": text, "created": created, "lease": 0})
            self.items[key] = event
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                path, _, query = head[0].split(" ")[1].partition("?")
                pairs = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
                await asyncio.sleep(0.004)
                writer.write(await self.answer(path, pairs))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        writer.close()

    async def answer(self, path, query):
        prefix = unquote(query.get("pathPrefix", ""))
        if path == "/-/kv-key":
            item = self.items.get(unquote(query.get("key", "")))
            if item is None:
                return self.respond(404, {"at": self.revision})
            return self.respond(200, {**item, "at": self.revision})
        if path == "/-/kv-range":
            after = unquote(query.get("after", ""))
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return self.respond(200, {"items": [self.items[key] for key in keys[:50]], "hasMore": len(keys) > 50,
                                      "at": self.revision})
        after = int(query["after"])
        until = now() + int(query["waitMs"]) / 1000
        while after >= self.revision and now() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                break
        events = [each for each in self.events if each["revision"] > after and each["key"].startswith(prefix)]
        return self.respond(200, {"events": events, "at": self.revision})

    @staticmethod
    def respond(status, body):
        return message(status, {"Content-Type": "application/json", "Store-Era": 1}, json.dumps(body).encode())


def body_of(request_id, size):
    """The whole answer of a worker to a request; it differs for each request."""
    unit = f"{request_id}|".encode()
    return (unit * (size // len(unit) + 1))[:size]


class Worker:
    """A worker that keeps to the pages. `answer_with` replaces the way in which it sends an answer."""

    def __init__(self, deployment, service, index, zone, work_s, answer_bytes):
        self.deployment = deployment
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.answer_bytes = answer_bytes
        self.id = f"i-{service}-{index}"
        self.slots = 3
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.answer_with = None
        self.runs = []

    def load(self):
        return {"X-Anvilsaddle-Server-Load": f"{self.running},{self.waiting},{self.slots},100"}

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": f"{self.address}:{WORKER_PORT}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": state, "coldRemainingS": 0.0,
                "sequence": self.sequence, "born": self.born}

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                if not await self.exchange(head[0], head[1], reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        writer.close()

    async def exchange(self, line, fields, reader, writer):
        """Returns false if the connection ends."""
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        if line.split(" ")[1] == "/health":
            writer.write(message(200, {"X-Anvilsaddle-Instance-Id": self.id, **self.load()}))
            await writer.drain()
            return True
        request = fields.get("x-anvilsaddle-attempt-id", "")
        echo = {"X-Anvilsaddle-Attempt-Id": request}
        if fields.get("x-anvilsaddle-expected-instance", self.id) != self.id:
            writer.write(message(421, {**echo, "X-Anvilsaddle-Instance-Id": self.id}))
            return True
        if self.waiting >= 12:
            writer.write(message(503, {**echo, "X-Anvilsaddle-Not-Executed": 1, **self.load()}))
            return True
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            try:
                return await self.run(line, fields, body, echo, writer)
            finally:
                self.running -= 1

    async def run(self, line, fields, body, echo, writer):
        request = echo["X-Anvilsaddle-Attempt-Id"]
        self.runs.append(request)
        self.deployment.on_run(request, self, line, body)
        await asyncio.sleep(self.work_s)
        self.deployment.record.add(f"worker {self.id} has finished {request}")
        signed = {**echo, "X-Anvilsaddle-Response-Signature": f"s.{request}", **self.load()}
        whole = message(200, signed, body_of(request, self.answer_bytes))
        if self.answer_with is not None:
            return await self.answer_with(self, request, whole, writer)
        writer.write(whole)
        await writer.drain()
        return True


def render(template, values):
    """Fills in deploy/settings.toml.template as DEPLOY.md describes it, as far as that file uses it."""

    def lookup(name, scope):
        value = scope
        for part in name.split("."):
            value = value[part]
        return value

    def section(match):
        return "".join(match.group(2).replace("{{@}}", key).replace("{{.}}", str(value))
                       for key, value in lookup(match.group(1), values).items())

    def field(match):
        name, _, form = match.group(1).partition("|")
        value = lookup(name, values)
        return json.dumps(value) if form == "json" else str(value)

    text = re.sub(r"\{\{#(\w+)\}\}\n(.*?)\{\{/\1\}\}\n", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.|]+)\}\}", field, text)


class Entry:
    """One process of the project."""

    def __init__(self, deployment, index, zone):
        self.deployment = deployment
        self.index = index
        self.zone = zone
        self.address = deployment.address(0, 10 + index)
        self.process = None
        self.is_restarting = False

    def start(self):
        deployment = self.deployment
        values = {"nodeName": f"front-{self.zone}-{self.index}", "region": deployment.zones[self.zone],
                  "zone": self.zone, "ipAddress": self.address,
                  "listenAddresses": {"front": f"{self.address}:{FRONT}", "ready": f"{self.address}:{READY}",
                                      "control": f"{self.address}:{CONTROL}",
                                      "directory": f"{self.address}:{DIRECTORY}"},
                  "internalPortRange": PEER_PORTS, "platform": {"address": f"{deployment.address(3, 1)}:{STORE_PORT}"},
                  "seeds": [f"{each.address}:{CONTROL}" for each in deployment.entries[:3]],
                  "zones": deployment.zones, "bounds": BOUNDS}
        with open(os.path.join(ROOT, "deploy/settings.toml.template"), encoding="utf-8") as file:
            settings = render(file.read(), values)
        path = os.path.join(deployment.folder, f"entry-{self.index}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(settings)
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            command = tomllib.load(file)["roles"]["entry"]["run"].split(" ")
        command = [path if each == "/etc/anvilsaddle/boot.toml" else each for each in command]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment.update({"ANVILSADDLE_MEMORY_MB": str(MEMORY_MB), "ANVILSADDLE_DESCRIPTORS": str(DESCRIPTORS)})
        with open(os.path.join(deployment.folder, f"entry-{self.index}.log"), "ab") as output:
            self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                            stdout=output, stderr=output)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await connect(self.address, READY)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return False
        return head is not None and head[0].split(" ")[1] == "200"


class Deployment:
    """The store, the workers and the entries of one run."""

    def __init__(self, folder, network, zones):
        self.record = Record(folder)
        self.network = network
        self.zones = zones
        self.folder = tempfile.mkdtemp(prefix="anvilsaddle-review-")
        self.store = Store()
        self.workers = []
        self.entries = []
        # By request: the workers that ran it, with the time.
        self.runs = {}

    def address(self, part, number):
        return f"127.{self.network}.{part}.{number}"

    def on_run(self, request, worker, line, body):
        self.runs.setdefault(request, []).append((now(), worker))
        self.record.add(f"worker {worker.id} runs {request} ({line.rsplit(' ', 1)[0]}, {len(body)} bytes)")

    async def add_workers(self, service, zones, work_s, answer_bytes):
        for zone in zones:
            worker = Worker(self, service, len(self.workers), zone, work_s, answer_bytes)
            worker.address = self.address(1, 1 + len(self.workers))
            self.workers.append(worker)
            await listen(worker.serve, worker.address, WORKER_PORT)
            self.store.put(f"servers/{worker.id}", worker.entry())

    def configure(self, version, routes, services, header_bytes=16384, body_bytes=67108864):
        """Routes are rows of name, host, pathPrefix, kind, timeoutS, targetLatencyS, priority, service, attempts and
        allowedRegions."""
        columns = ["name", "host", "pathPrefix", "kind", "timeoutS", "targetLatencyS", "priority", "service",
                   "attempts", "allowedRegions", "trafficSplit"]
        service_columns = ["name", "healthCheckPath", "connectionLimit", "protocol", "tls", "coldStartS", "coldPerS"]
        self.store.put("op/config", {
            "version": f"{version:08x}", "routes": {"columns": columns, "rows": [row + [None] for row in routes]},
            "services": {"columns": service_columns,
                         "rows": [[name, "/health", 260, "h1", False, 3.0, 6.7] for name in services]},
            "limits": {"headerBytes": header_bytes, "bodyBytes": body_bytes, "headerTimeoutS": 3, "idleTimeoutS": 15}})

    async def start(self, entry_zones):
        await listen(self.store.serve, self.address(3, 1), STORE_PORT)
        self.entries = [Entry(self, index, zone) for index, zone in enumerate(entry_zones)]
        for entry in self.entries:
            entry.start()
        for _ in range(100):
            await asyncio.sleep(0.1)
            if all([await entry.is_ready() for entry in self.entries]):
                break
        else:
            raise RuntimeError("the entries did not become ready")
        self.record.add("all entries are ready")
        await asyncio.sleep(STABLE_WINDOW_S + 1)

    def stop(self):
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.kill()
                entry.process.wait()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def keep_running(deployment, ends):
    """The platform: starts a process again half a second after it has ended by itself. Adds the times of the ends."""
    while True:
        await asyncio.sleep(0.02)
        for entry in deployment.entries:
            status = entry.process.poll()
            if status is not None and not entry.is_restarting:
                entry.is_restarting = True
                ends.append(now())
                deployment.record.add(f"the process of {entry.address} has ended by itself with status {status}")
                asyncio.create_task(restart(deployment, entry))


async def restart(deployment, entry):
    await asyncio.sleep(0.5)
    entry.start()
    entry.is_restarting = False
    deployment.record.add(f"the platform starts the process of {entry.address} again")


class KeptPosts:
    """Clients that send POSTs to sound workers on connections that they keep. Counts those that were passed on and whose
    connection then ended without an answer."""

    def __init__(self, deployment, host, path, remaining_ms):
        self.deployment = deployment
        self.host = host
        self.path = path
        self.remaining_ms = remaining_ms
        self.sent = 0
        self.answered = 0
        # By address of the entry.
        self.lost = {}

    def most_lost(self):
        """The rule is one of a single machine."""
        return max(self.lost.values(), default=0)

    async def client(self, number, until, pause_s):
        while now() < until:
            entry = self.deployment.entries[number % len(self.deployment.entries)]
            number += 1
            try:
                connection = await Connection(self.deployment, entry, f"client {number}").open()
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            is_kept = False
            while now() < until:
                self.sent += 1
                request = f"post-{self.sent}"
                connection.send("POST", self.host, self.path, request, self.remaining_ms, b"x" * 300)
                answer = await connection.receive(request)
                if answer is None:
                    if is_kept and request in self.deployment.runs:
                        self.lost[entry.address] = self.lost.get(entry.address, 0) + 1
                        self.deployment.record.add(f"LOST: {request}, run by {self.deployment.runs[request][0][1].id}")
                    break
                self.answered += 1
                if answer[1].get("connection") == "close":
                    break
                is_kept = True
                await asyncio.sleep(pause_s)
            connection.close()


class Connection:
    """A client's connection to an entry."""

    def __init__(self, deployment, entry, name):
        self.deployment = deployment
        self.entry = entry
        self.name = name

    async def open(self):
        self.reader, self.writer = await connect(self.entry.address, FRONT)
        return self

    def send(self, method, host, path, request, remaining_ms, body=b"", fields=()):
        lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Anvilsaddle-Attempt-Id: {request}",
                 f"X-Anvilsaddle-Remaining-Milliseconds: {remaining_ms}", *fields]
        if method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        self.deployment.record.add(f"{self.name} sends {request}: {method} {path}, {len(body)} bytes, to {self.entry.address}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def receive(self, request):
        """Returns status, fields, body and whether the answer is whole; None if the connection ended before it."""
        status, fields, body, is_whole = None, {}, b"", False
        try:
            raw = await self.reader.readuntil(b"\r\n\r\n")
            lines = raw.decode("latin-1").split("\r\n")
            status = int(lines[0].split(" ")[1])
            fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:])}
            if fields.get("transfer-encoding") == "chunked":
                while not is_whole:
                    size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                    body += (await self.reader.readexactly(size + 2))[:-2]
                    is_whole = size == 0
            else:
                body = await self.reader.readexactly(int(fields["content-length"]))
                is_whole = True
        except asyncio.IncompleteReadError as error:
            body += error.partial if status is not None else b""
            problem = "the connection ended"
        except ConnectionError:
            problem = "the connection was reset"
        if status is None:
            self.deployment.record.add(f"{self.name} gets no answer to {request}: {problem}")
            return None
        self.deployment.record.add(f"{self.name} gets {status} for {request}, {len(body)} bytes, "
                                   f"{'whole' if is_whole else 'broken off, ' + problem}")
        return status, fields, body, is_whole

    def close(self):
        self.writer.close()


def run_case(play):
    """Runs `play(folder, network, trouble)`, which returns the number of breaches; exits as the cases have to."""
    folder = os.path.dirname(os.path.abspath(sys.modules["__main__"].__file__))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    network = random.SystemRandom().randrange(20, 250)
    if not os.path.exists(os.path.join(ROOT, "target/src/anvilsaddled/anvilsaddled")):
        print("the build of the deploy file is missing")
        sys.exit(2)
    try:
        broken = asyncio.run(asyncio.wait_for(play(folder, network, trouble), 115))
    except Exception as error:  # Whatever kept the case from running.
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    sys.exit(1 if broken else 0)
