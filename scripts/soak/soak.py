#!/usr/bin/env python3
"""Runs real daemons as processes on loopback, harms them from outside, and checks the promises that
callers and targets rely on. Usage: soak.py [--seed N] [--seconds S] [--calm] [--binary PATH]"""

import argparse
import asyncio
import collections
import json
import os
import random
import signal
import subprocess
import sys
import tempfile

from standins import Proxy, Store, Target, read_head

DOMAINS = ["a1", "a2", "a1", "a2"]
TARGETS = [("board", "a1"), ("board", "a2"), ("board", "a1"), ("book", "a1"), ("book", "a2"),
           ("book", "a2")]
CALLERS, READINESS, DIRECTORY, CONTROL, OPERATORS, PEERS = 18080, 18081, 18082, 18083, 18084, 18090
STORE_PORT, TARGET_PORT, GRACE_S, DEADLINE_MS = 18384, 19000, 3.0, 2000
SETTINGS = """vm = "entry-{index}"
region = "a"
failure_domain = "{domain}"
[listen]
callers = "{ip}:{callers}"
readiness = "{ip}:{readiness}"
directory = "{ip}:{directory}"
control = "{ip}:{control}"
operators = "{ip}:{operators}"
peer_ports = [{peers}]
[store]
address = "127.0.3.2:{store}"
[fleet]
seeds = ["127.0.0.10:{control}", "127.0.0.11:{control}"]
key = "the key of the soak"
[fleet.regions]
a1 = "a"
a2 = "a"
[limits]
stop_grace_s = {grace}
"""


class Soak:
    def __init__(self, options):
        self.options = options
        self.random = random.Random(options.seed)
        random.seed(options.seed)
        self.store = Store()
        self.runs = {}
        self.targets = []
        self.proxies = []
        self.entries = {}
        self.wanted_ends = set()
        self.violations = []
        self.outcomes = collections.Counter()
        self.unsafe = {}
        self.version = 0
        self.calls = 0
        self.stopping = {}
        self.log = tempfile.mkdtemp(prefix="anvilsaddle-soak-")

    def ip(self, index):
        return f"127.0.0.{10 + index}"

    async def start(self):
        await asyncio.start_server(self.store.serve, "127.0.3.1", STORE_PORT)
        self.store_proxy = Proxy(lambda: ("127.0.3.1", STORE_PORT))
        await asyncio.start_server(self.store_proxy.serve, "127.0.3.2", STORE_PORT)
        for index, (service, domain) in enumerate(TARGETS):
            target = Target(f"t{index}-0", service, self.runs, 0.02)
            target.domain = domain
            proxy = Proxy(lambda index=index: (f"127.0.1.{index + 1}", TARGET_PORT))
            await asyncio.start_server(target.serve, f"127.0.1.{index + 1}", TARGET_PORT)
            await asyncio.start_server(proxy.serve, f"127.0.2.{index + 1}", TARGET_PORT)
            self.targets.append(target)
            self.proxies.append(proxy)
            await self.register(index)
        await self.configure()
        for index in range(len(DOMAINS)):
            self.launch(index)

    async def register(self, index, state="ready"):
        target = self.targets[index]
        await self.store.put(f"servers/{target.name}", {
            "service": target.service, "address": f"127.0.2.{index + 1}:{TARGET_PORT}",
            "zone": target.domain, "slots": target.slots, "state": state, "coldRemainingS": 0,
            "sequence": 1, "born": 1})

    async def configure(self):
        self.version += self.random.randint(1, 5)
        columns = ["name", "host", "pathPrefix", "kind", "timeoutS", "targetLatencyS", "priority",
                   "service", "attempts", "allowedRegions", "trafficSplit"]
        rows = [["r-1", "h", "/board/", "safe", 2, 0.3, 2, "board", 2, [], None],
                ["r-2", "h", "/book/", "unsafe", 2, 0.3, 1, "book", 2, [], None]]
        services = [["board", "/health", 4.0], ["book", "/health", 4.0]]
        await self.store.put("op/config", {
            "version": f"{self.version:08x}", "routes": {"columns": columns, "rows": rows},
            "services": {"columns": ["name", "healthCheckPath", "coldPerS"], "rows": services},
            "limits": {"headerBytes": 16384, "bodyBytes": 1000000, "headerTimeoutS": 3,
                       "idleTimeoutS": 15}})

    def launch(self, index):
        path = os.path.join(self.log, f"entry-{index}.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(index=index, domain=DOMAINS[index], ip=self.ip(index),
                                       callers=CALLERS, readiness=READINESS, directory=DIRECTORY,
                                       control=CONTROL, operators=OPERATORS, peers=PEERS,
                                       store=STORE_PORT, grace=GRACE_S))
        output = open(os.path.join(self.log, f"entry-{index}.log"), "ab")
        self.entries[index] = subprocess.Popen([self.options.binary, "--settings", path],
                                               stdout=output, stderr=output)

    # Callers

    async def call(self, index, reader_writer=None):
        self.calls += 1
        request = f"{self.options.seed}-{self.calls}"
        unsafe = self.random.random() < 0.4
        method, path, service = ("POST", "/book/1", "book") if unsafe else ("GET", "/board/1", "board")
        body = b"receipt" if unsafe else b""
        head = (f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Anvilsaddle-Attempt-Id: {request}\r\n"
                f"X-Anvilsaddle-Remaining-Milliseconds: {DEADLINE_MS}\r\n")
        head += f"Content-Length: {len(body)}\r\n\r\n" if unsafe else "\r\n"
        outcome = "failed"
        try:
            reader, writer = reader_writer or await asyncio.wait_for(
                asyncio.open_connection(self.ip(index), CALLERS), 1)
            writer.write(head.encode() + body)
            status, text, keep = await asyncio.wait_for(self.read_answer(reader), 8)
            outcome = str(status)
            self.check(request, service, status, text, body)
            if keep:
                return request, unsafe, outcome, (reader, writer)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            outcome = "timeout" if isinstance(error, asyncio.TimeoutError) else "failed"
        return request, unsafe, outcome, None

    async def read_answer(self, reader):
        head = await read_head(reader)
        if head is None:
            raise ValueError("no answer")
        line, fields = head
        body = await reader.readexactly(int(fields["content-length"]))
        status = int(line.split(" ")[1])
        signed = fields.get("x-anvilsaddle-response-signature")
        return status, (signed, body.decode()), fields.get("connection") != "close"

    def check(self, request, service, status, text, body):
        signed, content = text
        if status == 200 and (signed != f"s-{request}" or
                              content != f"{service}:{request}:{body.decode()}"):
            self.violations.append(f"{request}: a wrong answer: {signed} {content}")

    async def caller(self, number, until):
        """Calls one entry after the other and keeps its connection as long as it may."""
        loop = asyncio.get_running_loop()
        kept, index = None, number % len(DOMAINS)
        while loop.time() < until:
            if kept is None:
                index = self.random.randrange(len(DOMAINS))
            began = loop.time()
            reused = kept is not None
            request, unsafe, outcome, kept = await self.call(index, kept)
            self.outcomes[outcome] += 1
            if unsafe:
                self.unsafe[request] = outcome
            self.check_planned_stop(index, began, request, outcome, reused)
            await asyncio.sleep(self.random.expovariate(12))

    def check_planned_stop(self, index, began, request, outcome, reused):
        """Requests that reach an entry around its planned stop get an answer."""
        stopped = self.stopping.get(index)
        # A request on a kept connection may cross the close.
        if stopped and began <= stopped + 1.5 and outcome == "timeout" and not reused:
            self.violations.append(f"{request}: no answer from entry {index} around its stop")

    # Faults

    async def entry_fault(self):
        index = self.random.randrange(len(DOMAINS))
        process = self.entries[index]
        kind = self.random.choice(["kill", "pause", "stop", "stop", "hup"])
        if index in self.wanted_ends or process.poll() is not None:
            return
        if kind == "hup":
            process.send_signal(signal.SIGHUP)
            return
        if kind == "pause":
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.3, 3))
            process.send_signal(signal.SIGCONT)
            return
        self.wanted_ends.add(index)
        if kind == "stop":
            self.stopping[index] = asyncio.get_running_loop().time()
        process.send_signal(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
        status = await asyncio.get_running_loop().run_in_executor(None, process.wait)
        if kind == "stop" and status != 0:
            self.violations.append(f"entry {index} ended a planned stop with {status}")
        self.stopping.pop(index, None)
        await asyncio.sleep(self.random.uniform(0, 1))
        self.launch(index)
        self.wanted_ends.discard(index)

    async def proxy_fault(self):
        proxy = self.random.choice(self.proxies + [self.store_proxy, self.store_proxy])
        proxy.set(self.random.choice(["reset", "silence", "delay", "one_way", "refuse"]))
        await asyncio.sleep(self.random.uniform(0.3, 3))
        proxy.set("pass")

    async def target_fault(self):
        index = self.random.randrange(len(self.targets))
        target = self.targets[index]
        kind = self.random.choice(["slow", "down", "replace"])
        if kind == "slow":
            target.slowdown = self.random.uniform(2, 20)
            await asyncio.sleep(self.random.uniform(0.5, 3))
            target.slowdown = 1.0
        elif kind == "down":
            target.down = True
            await asyncio.sleep(self.random.uniform(0.5, 3))
            target.down = False
        else:
            await self.register(index, "draining")
            await asyncio.sleep(2)
            await self.store.put(f"servers/{target.name}", None)
            target.name = f"t{index}-{self.random.randrange(10**9)}"
            await self.register(index)

    async def operator_work(self):
        if self.random.random() < 0.5:
            await self.configure()
            return
        domain = self.random.choice(["a1", "a2"])
        await self.store.put(f"op/evacuate/{domain}", {})
        await asyncio.sleep(self.random.uniform(0.5, 3))
        await self.store.put(f"op/evacuate/{domain}", None)

    async def faults(self, until):
        loop = asyncio.get_running_loop()
        running = set()
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(1.5))
            work = self.random.choice([self.entry_fault, self.proxy_fault, self.target_fault,
                                       self.operator_work])
            running.add(asyncio.create_task(work()))
        await asyncio.gather(*running)

    # Course

    async def ready(self):
        for _ in range(300):
            answers = [await self.call(index) for index in range(len(DOMAINS))]
            if all(outcome == "200" for _, _, outcome, _ in answers):
                return True
            await asyncio.sleep(0.1)
        return False

    def check_runs(self):
        for request, outcome in self.unsafe.items():
            runs = self.runs.get(request, [])
            if len(runs) > 1:
                self.violations.append(f"{request}: ran {len(runs)} times: {runs}")
            if outcome in ("503", "429") and runs:
                self.violations.append(f"{request}: refused as not run, but ran: {runs}")

    def check_processes(self):
        for index, process in self.entries.items():
            if process.poll() is not None and index not in self.wanted_ends:
                self.violations.append(f"entry {index} ended by itself with {process.poll()}")

    async def run(self):
        loop = asyncio.get_running_loop()
        await self.start()
        if not await self.ready():
            self.violations.append("the fleet did not become ready")
        until = loop.time() + self.options.seconds
        callers = [asyncio.create_task(self.caller(number, until)) for number in range(24)]
        if not self.options.calm:
            await self.faults(until - 1)
        await asyncio.gather(*callers)
        if not await self.ready():
            self.violations.append("the fleet did not recover")
        self.check_runs()
        self.check_processes()
        await self.end()

    async def end(self):
        # Connections that are still open end with the loop.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        for process in self.entries.values():
            process.send_signal(signal.SIGTERM)
        for process in self.entries.values():
            await asyncio.get_running_loop().run_in_executor(None, process.wait)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--calm", action="store_true", help="no faults")
    parser.add_argument("--binary", default="build/src/anvilsaddled/anvilsaddled")
    soak = Soak(parser.parse_args())
    try:
        asyncio.run(soak.run())
    finally:
        for process in soak.entries.values():
            if process.poll() is None:
                process.kill()
    print(json.dumps({"seed": soak.options.seed, "calls": soak.calls, "logs": soak.log,
                      "outcomes": dict(soak.outcomes), "violations": soak.violations}))
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
