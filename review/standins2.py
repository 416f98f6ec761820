"""Stand-ins for the platform's store, workers and clients, and helpers that start entries.

Everything listens on loopback addresses of one free /24 network. The entries are started with the
command of deploy/system.toml, and their settings are deploy/settings.toml.template, filled in.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import unquote

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
ATTEMPT_ID = "x-anvilsaddle-attempt-id"
ENTRY_PORTS = {"front": 8381, "ready": 8388, "control": 8382, "directory": 8383}
PEER_PORTS = [7200, 7215]
STORE_PORT = 8384
WORKER_PORT = 8022
ZONES = {"norte-a": "norte", "norte-b": "norte"}
BOUNDS = {"retryBudgetRatio": 0.2, "retryBudgetExtra": 64, "retryWindowS": 10,
          "coldBurstFactor": 1.5, "coldSlack": 5, "graceS": 6}


class CannotRun(Exception):
    """The case can't be run here."""


def free_network():
    """Returns the first three bytes of a loopback network whose ports are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        try:
            for host in (1, 10, 11, 12):
                for port in (*ENTRY_PORTS.values(), PEER_PORTS[0], STORE_PORT, WORKER_PORT, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{host}", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback network")


class Record:
    """Writes record.txt and counts what workers ran and what clients got."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()
        self.runs = {}
        self.answers = {}

    def add(self, text):
        self.file.write(f"{time.monotonic() - self.start:9.4f} {text}\n")

    def on_run(self, attempt_id, worker):
        self.runs.setdefault(attempt_id, []).append(worker)
        self.add(f"run {attempt_id} at {worker}")

    def on_answer(self, attempt_id, status):
        self.answers[attempt_id] = status
        self.add(f"answer {attempt_id} {status}")

    def close(self):
        self.file.flush()
        self.file.close()


# The platform's store


class Store:
    """Serves range and watch calls, and loses nothing. While it is down, it resets connections."""

    def __init__(self):
        self.is_down = False
        self.writers = set()
        self.items = {}
        self.events = []
        self.revision = 1
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.revision += 1
        event = {"key": key, "revision": self.revision}
        if value is None:
            self.items.pop(key, None)
            event["removed"] = True
        else:
            event.update(value=base64.b64encode(json.dumps(value).encode()).decode(),
                         created=self.revision, lease=0)
            self.items[key] = event
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def set_down(self, is_down):
        self.is_down = is_down
        for each in self.writers if is_down else ():
            each.transport.abort()

    async def serve(self, reader, writer):
        if self.is_down:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                path, _, query_text = head[0].split(" ")[1].partition("?")
                query = dict(pair.partition("=")[::2] for pair in query_text.split("&"))
                body = json.dumps(await self.answer(path, query)).encode()
                writer.write(response(200, {"Content-Type": "application/json"}, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def answer(self, path, query):
        prefix = unquote(query.get("pathPrefix", ""))
        if path == "/-/kv-range":
            after = unquote(query.get("after", ""))
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            return {"items": [self.items[key] for key in keys], "hasMore": False,
                    "at": self.revision}
        after = int(query["after"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [each for each in self.events
                      if each["revision"] > after and each["key"].startswith(prefix)]
            wait = deadline - time.monotonic()
            if events or wait <= 0:
                return {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass


async def read_head(reader):
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
    return lines[0], {name.lower(): value for name, value in headers.items()}


def response(status, headers, body=b""):
    reasons = {200: "OK", 500: "Internal Server Error", 421: "Misdirected Request", 503: "Service Unavailable"}
    head = [f"HTTP/1.1 {status} {reasons[status]}"]
    head += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(head) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


# Entries


def deploy_command():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        role = tomllib.load(file)["roles"]["entry"]
    return role["run"].split(" "), role["template"]


def fill_template(text, fields):
    """Fills in the subset of the platform's template language that the project's template uses."""
    def lookup(name):
        value = fields
        for part in name.split("."):
            value = value[part]
        return value

    def section(match):
        return "".join(match.group(2).replace("{{@}}", key).replace("{{.}}", value)
                       for key, value in lookup(match.group(1)).items())

    text = re.sub(r"\{\{#(\w+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda match: json.dumps(lookup(match.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(lookup(match.group(1))), text)


class Deployment:
    """Entries and a store. Ends only the processes that it started."""

    def __init__(self, record, entry_count):
        self.record = record
        self.prefix = free_network()
        self.directory = tempfile.TemporaryDirectory()
        self.store = Store()
        self.entry_count = entry_count
        self.entries = []

    def entry_ip(self, index):
        return f"{self.prefix}.{10 + index}"

    async def start(self):
        await asyncio.start_server(self.store.serve, f"{self.prefix}.1", STORE_PORT)
        for index in range(self.entry_count):
            self.entries.append(self.start_entry(index))
        for index in range(self.entry_count):
            await self.wait_until_ready(index)

    def start_entry(self, index):
        command, template_path = deploy_command()
        with open(os.path.join(ROOT, template_path), encoding="utf-8") as file:
            template = file.read()
        ip, zone = self.entry_ip(index), list(ZONES)[index % len(ZONES)]
        fields = {
            "nodeName": f"front-{zone}-{index + 1}", "region": ZONES[zone], "zone": zone,
            "ipAddress": ip, "zones": ZONES, "bounds": BOUNDS, "internalPortRange": PEER_PORTS,
            "listenAddresses": {name: f"{ip}:{port}" for name, port in ENTRY_PORTS.items()},
            "seeds": [f"{self.entry_ip(seed)}:{ENTRY_PORTS['control']}"
                      for seed in range(min(3, self.entry_count))],
            "platform": {"address": f"{self.prefix}.1:{STORE_PORT}"}}
        path = os.path.join(self.directory.name, f"entry-{index}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(fill_template(template, fields))
        # The platform puts the settings at the path that the command names.
        command = [path if word.startswith("/etc/") else word for word in command]
        with open(os.path.join(self.directory.name, f"entry-{index}.log"), "ab") as log:
            try:
                return subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log)
            except OSError as error:
                raise CannotRun(f"the entry can't be started: {error}") from error

    async def wait_until_ready(self, index):
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection(self.entry_ip(index),
                                                               ENTRY_PORTS["ready"])
                writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                if head and " 200 " in head[0]:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"entry {index} isn't ready")

    def check_alive(self):
        return all(each.poll() is None for each in self.entries)

    def stop(self):
        for each in self.entries:
            if each.poll() is None:
                each.send_signal(signal.SIGCONT)
                each.kill()
            each.wait()


# Configuration


def put_configuration(store, routes, services, version=1, limits=None):
    """`routes`: (name, host, prefix, kind, timeoutS, targetLatencyS, priority, service, attempts);
    `services`: names."""
    columns = ["name", "host", "pathPrefix", "kind", "timeoutS", "targetLatencyS", "priority",
               "service", "attempts", "allowedRegions", "trafficSplit"]
    store.put("op/config", {
        "version": f"{version:08x}",
        "routes": {"columns": columns, "rows": [[*route, [], None] for route in routes]},
        "services": {"columns": ["name", "healthCheckPath", "connectionLimit", "coldStartS",
                                 "coldPerS"],
                     "rows": [[name, "/health", 260, 3.0, 6.7] for name in services]},
        "limits": limits or {"headerBytes": 16384, "bodyBytes": 67108864, "headerTimeoutS": 3,
                             "idleTimeoutS": 15}})


# Clients


class Connection:
    """A client's connection that it uses for many requests."""

    def __init__(self, ip):
        self.ip = ip
        self.reader = self.writer = None

    async def request(self, method, path, host, attempt_id, remaining_ms, body=b""):
        """Returns the status and the body, or None if the connection ended."""
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(self.ip,
                                                                         ENTRY_PORTS["front"])
            head = (f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n"
                    f"X-Anvilsaddle-Attempt-Id: {attempt_id}\r\n"
                    f"X-Anvilsaddle-Remaining-Milliseconds: {remaining_ms}\r\n")
            if method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            self.writer.write((head + "\r\n").encode() + body)
            answer = await asyncio.wait_for(self.read_answer(), remaining_ms / 1000)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return None
        if answer is None:
            self.close()
            return None
        status, headers, text = answer
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, text

    async def read_answer(self):
        head = await read_head(self.reader)
        if head is None:
            return None
        text = await self.reader.readexactly(int(head[1].get("content-length", "0")))
        return int(head[0].split(" ")[1]), head[1], text

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def main(folder, case):
    """Runs the coroutine function `case(record, trouble)`, which returns the list of violations.
    Exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    try:
        violations = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except (CannotRun, asyncio.TimeoutError) as error:
        print(f"the case could not run: {error!r}")
        record.close()
        sys.exit(2)
    for each in violations:
        record.add(f"broken: {each}")
    record.close()
    for each in violations[:10]:
        print(each)
    print(f"trouble {'on' if trouble else 'off'}: {len(violations)} violations")
    sys.exit(1 if violations else 0)
