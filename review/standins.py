"""Stand-ins for the platform's store, workers and clients, and the start of the project's daemons.

All of them speak what PROTOCOL.md says, on loopback addresses and the real clock.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import unquote

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "src", "anvilsaddled", "anvilsaddled")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2

FRONT, READY, DIRECTORY, CONTROL, OPERATORS = 8381, 8388, 8383, 8382, 9464
PEERS = list(range(7200, 7216))
STORE_PORT, WORKER_PORT = 8384, 9000
HOST = "jepu9.example"
ZONE, REGION = "kaskelen", "zhetysu"
RESTART_DELAY_S = 0.5

ID = "X-Anvilsaddle-Attempt-Id"
REMAINING = "X-Anvilsaddle-Remaining-Milliseconds"
EXPECTED = "X-Anvilsaddle-Expected-Instance"
SIGNATURE = "X-Anvilsaddle-Response-Signature"
NOT_EXECUTED = "X-Anvilsaddle-Not-Executed"
INSTANCE = "X-Anvilsaddle-Instance-Id"
LOAD = "X-Anvilsaddle-Server-Load"
COLD = "X-Anvilsaddle-Cold-Milliseconds"

SETTINGS = """vm = "{vm}"
region = "{region}"
failure_domain = "{zone}"

[listen]
callers = "{ip}:{front}"
readiness = "{ip}:{ready}"
directory = "{ip}:{directory}"
control = "{ip}:{control}"
operators = "{ip}:{operators}"
peer_ports = {peers}

[store]
address = "{store}"

[fleet]
seeds = {seeds}
key = "anvilsaddle-fleet-{store}"

[fleet.regions]
"kaskelen" = "zhetysu"

[limits]
repeat_ratio = 0.2
repeat_extra = 62
repeat_window_s = 10
cold_burst_factor = 1.5
cold_slack = 5
stop_grace_s = 6
"""


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.4f} {event} {text}\n")
        self.file.flush()


class Network:
    """A set of free loopback addresses."""

    def __init__(self):
        for _ in range(50):
            self.number = random.randint(20, 250)
            if self._is_free():
                return
        raise CannotRun("no free loopback addresses")

    def _is_free(self):
        ports = [FRONT, READY, DIRECTORY, CONTROL, OPERATORS, PEERS[0]]
        wanted = [(self.entry(index), port) for index in range(4) for port in ports]
        wanted.append((self.store(), STORE_PORT))
        wanted += [(self.worker(index), WORKER_PORT) for index in range(8)]
        for address in wanted:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(address)
                except OSError:
                    return False
        return True

    def entry(self, index):
        return f"127.{self.number}.0.{10 + index}"

    def worker(self, index):
        return f"127.{self.number}.1.{10 + index}"

    def store(self):
        return f"127.{self.number}.2.10"


# HTTP

async def read_message(reader):
    """Returns (first line, headers with lower-case names, body), or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
        lines = raw.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return lines[0], headers, body
    except (asyncio.IncompleteReadError, ConnectionError):
        return None


def message(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status}"] + [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


# The platform's store

class Store:
    """Items with revisions; range, key and watch calls. It is never disturbed."""

    def __init__(self):
        self.items, self.events, self.revision = {}, [], 1
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        event = {"key": key, "revision": self.revision, "created": self.revision, "lease": 0,
                 "value": base64.b64encode(json.dumps(value).encode()).decode()}
        self.items[key] = event
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            request = await read_message(reader)
            if request is None:
                break
            target = request[0].split(" ")[1]
            path, _, text = target.partition("?")
            query = dict(pair.split("=", 1) for pair in text.split("&") if "=" in pair)
            status, body = await self.handle(path, {k: unquote(v) for k, v in query.items()})
            writer.write(message(status, {"Content-Type": "application/json"},
                                 json.dumps(body).encode()))
        writer.close()

    async def handle(self, path, query):
        if path == "/-/kv-key":
            item = self.items.get(query.get("key", ""))
            return ("200 OK", {**item, "at": self.revision}) if item else ("404 Not Found", {})
        prefix = query.get("pathPrefix", "")
        if path == "/-/kv-range":
            items = [self.items[key] for key in sorted(self.items)
                     if key.startswith(prefix) and key > query.get("after", "")]
            return "200 OK", {"items": items, "hasMore": False, "at": self.revision}
        after, end = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while after >= self.revision and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
            except asyncio.TimeoutError:
                break
        events = [event for event in self.events
                  if event["revision"] > after and event["key"].startswith(prefix)]
        return "200 OK", {"events": events, "at": self.revision}


ROUTE_COLUMNS = ["name", "host", "pathPrefix", "kind", "service", "timeoutS", "targetLatencyS",
                 "priority", "attempts"]


def configuration(routes, services):
    """`routes`: rows of ROUTE_COLUMNS; `services`: names."""
    return {"version": "0000000c",
            "routes": {"columns": ROUTE_COLUMNS, "rows": routes},
            "services": {"columns": ["name", "healthCheckPath", "coldStartS", "coldPerS"],
                         "rows": [[name, "/health", 2, 20] for name in services]},
            "limits": {"headerBytes": 16384, "bodyBytes": 67108864, "headerTimeoutS": 3,
                       "idleTimeoutS": 15}}


# Workers

class Worker:
    """A sound worker. Subclasses override send_answer() to break answers as the pages allow."""

    slots, queue = 3, 6

    def __init__(self, name, service, record, work_s):
        self.name, self.service, self.record, self.work_s = name, service, record, work_s
        self.running, self.waiting, self.free = 0, 0, asyncio.Semaphore(self.slots)
        self.run_count = {}
        self.signatures = {}
        self.sequence = 0
        self.born = int(time.time() * 1000)

    def registration(self, address):
        self.sequence += 1
        return {"service": self.service, "address": address, "zone": ZONE, "version": "1.0",
                "slots": self.slots, "state": "ready", "coldRemainingS": 0,
                "sequence": self.sequence, "born": self.born}

    def load(self):
        return {LOAD: f"{self.running},{self.waiting},{self.slots},100"}

    async def serve(self, reader, writer):
        connection = {}
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    break
                if not await self.before(connection, request, writer):
                    break
                if request[0].split(" ")[1] == "/health":
                    writer.write(message("200 OK", {INSTANCE: self.name, COLD: 0, **self.load()}))
                elif not await self.handle(connection, request, writer):
                    break
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()

    async def before(self, connection, request, writer):
        """Called for each request that arrives. False ends the connection."""
        return True

    async def handle(self, connection, request, writer):
        _, headers, _ = request
        identity = headers.get(ID.lower(), "")
        if headers.get(EXPECTED.lower()) != self.name:
            writer.write(message("421 Misdirected Request", {ID: identity, INSTANCE: self.name}))
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            self.record.add("shed", id=identity, worker=self.name)
            writer.write(message("503 Service Unavailable",
                                 {ID: identity, NOT_EXECUTED: 1, **self.load()}))
            return True
        self.waiting += 1
        await self.free.acquire()
        self.waiting -= 1
        self.running += 1
        self.run_count[identity] = self.run_count.get(identity, 0) + 1
        self.record.add("run", id=identity, worker=self.name)
        try:
            await asyncio.sleep(self.work_s * random.uniform(0.7, 1.3))
        finally:
            self.running -= 1
            self.free.release()
        return await self.send_answer(connection, identity, writer)

    async def send_answer(self, connection, identity, writer):
        answer = self.answer(identity, f"{self.service} {identity} ".encode() * 8)
        writer.write(answer)
        self.record.add("worker_answered", id=identity, worker=self.name)
        return True

    def answer(self, identity, body):
        return message("200 OK", {ID: identity, SIGNATURE: f"s.{self.name}.{identity}",
                                  **self.load()}, body)


# The project's daemon

class Entry:
    """One daemon, started as deploy/system.toml says. It is restarted if it ends by itself."""

    def __init__(self, index, network, folder, record):
        self.ip, self.record = network.entry(index), record
        self.name = f"front-kaskelen-{index + 1}"
        self.settings = os.path.join(folder, f"boot-{index}.toml")
        self.log = open(os.path.join(folder, f"entry-{index}.log"), "ab")
        self.ends, self.process, self.is_stopping = [], None, False
        store = f"{network.store()}:{STORE_PORT}"
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(
                vm=self.name, region=REGION, zone=ZONE, ip=self.ip, front=FRONT, ready=READY,
                directory=DIRECTORY, control=CONTROL, operators=OPERATORS, peers=PEERS,
                store=store, seeds=json.dumps([f"{network.entry(0)}:{CONTROL}"])))

    def start(self):
        if not os.path.exists(DAEMON):
            raise CannotRun("the daemon is not built")
        self.process = subprocess.Popen([DAEMON, "--settings", self.settings], cwd=ROOT,
                                        stdout=self.log, stderr=self.log)
        self.record.add("entry_started", entry=self.name)

    async def supervise(self):
        """Restarts the process after a short delay when it ends, as the platform does."""
        while not self.is_stopping:
            await asyncio.sleep(0.02)
            status = self.process.poll()
            if status is not None and not self.is_stopping:
                self.ends.append(status)
                self.record.add("entry_ended_by_itself", entry=self.name, status=status)
                await asyncio.sleep(RESTART_DELAY_S)
                self.start()

    def stop(self):
        self.is_stopping = True
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.log.close()


# Clients

class Connection:
    """A client's connection; `answered` counts the responses that it has carried."""

    def __init__(self, entry, reader, writer):
        self.entry, self.reader, self.writer, self.answered = entry, reader, writer, 0

    @staticmethod
    async def open(entry):
        reader, writer = await asyncio.wait_for(asyncio.open_connection(entry.ip, FRONT), 1)
        return Connection(entry, reader, writer)

    def close(self):
        self.writer.close()


def request_bytes(method, path, identity, remaining_ms, body=b""):
    head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{ID}: {identity}\r\n"
            f"{REMAINING}: {remaining_ms}\r\n")
    if body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def resolve(entry):
    """Asks the entry's directory where to connect; returns the addresses."""
    reader, writer = await asyncio.wait_for(asyncio.open_connection(entry.ip, DIRECTORY), 1)
    writer.write(f"GET /-/resolve?name={HOST}&region={REGION}&zone={ZONE} HTTP/1.1\r\n"
                 f"Host: {entry.ip}\r\n\r\n".encode())
    answer = await asyncio.wait_for(read_message(reader), 1)
    writer.close()
    if answer is None or " 200 " not in answer[0]:
        return []
    return json.loads(answer[2])["addresses"]


class Deployment:
    """Store, workers and entries of one zone."""

    def __init__(self, folder, entry_count, workers, routes):
        self.record = Record(folder)
        self.network = Network()
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.workers = workers(self.record)
        self.routes = routes
        self.entries = [Entry(index, self.network, self.folder, self.record)
                        for index in range(entry_count)]
        self.tasks = []

    async def start(self):
        await asyncio.start_server(self.store.serve, self.network.store(), STORE_PORT)
        self.store.put("op/config", configuration(
            self.routes, sorted({worker.service for worker in self.workers})))
        for index, worker in enumerate(self.workers):
            ip = self.network.worker(index)
            await asyncio.start_server(worker.serve, ip, WORKER_PORT, limit=4 << 20)
            self.store.put(f"servers/{worker.name}", worker.registration(f"{ip}:{WORKER_PORT}"))
        for entry in self.entries:
            entry.start()
            self.tasks.append(asyncio.create_task(entry.supervise()))
        for _ in range(100):
            await asyncio.sleep(0.1)
            try:
                found = [await resolve(entry) for entry in self.entries]
            except (OSError, asyncio.TimeoutError):
                continue
            if all(len(addresses) == len(self.entries) for addresses in found):
                # Traffic starts some seconds after the machines.
                await asyncio.sleep(5)
                return
        raise CannotRun("the entries do not get ready")

    def stop(self):
        for task in self.tasks:
            task.cancel()
        for entry in self.entries:
            entry.stop()
        if os.environ.get("KEEP_LOGS") is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print("logs:", self.folder)


def play(scenario):
    """Runs a scenario, a coroutine function that returns HELD or BROKEN, and exits."""
    async def limited():
        return await asyncio.wait_for(scenario(), 110)

    signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
    try:
        result = asyncio.run(limited())
    except (Exception, KeyboardInterrupt) as error:  # Only a broken rule may exit with 1.
        print("cannot run:", repr(error))
        result = CANNOT_RUN
    sys.stdout.flush()
    # Skips the destructors of streams whose loop has ended.
    os._exit(result)
