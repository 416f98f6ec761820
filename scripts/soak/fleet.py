"""Daemon processes on loopback addresses, and the fakes of their store and targets."""

import asyncio
import os
import signal
import subprocess

from fakes import FakeStore, FakeTarget, FaultProxy
from storewriter import CONFIGURATION_KEY, StoreWriter, evacuation_key, target_key

CALLERS, READINESS, DIRECTORY, CONTROL, OPERATORS, PEERS = 18080, 18081, 18082, 18083, 18084, 18090
STORE_PORT, TARGET_PORT, STOP_GRACE_S, MEAN_PROCESSING_TIME_S = 18384, 19000, 3.0, 0.02
HEARTBEAT_INTERVAL_S, HEARTBEAT_JITTER = 1.5, 0.1
# Default region of each failure domain. Entries and targets are assigned round-robin.
REGIONS = {"a1": "a", "b1": "b", "a2": "a", "b2": "b"}
SERVICES = ["board", "book"]
SEED_COUNT = 2
SETTINGS_TEMPLATE = """vm = "entry-{index}"
region = "{region}"
failure_domain = "{domain}"
[listen]
callers = "{ip}:{callers}"
readiness = "{ip}:{readiness}"
directory = "{ip}:{directory}"
control = "{ip}:{control}"
operators = "{ip}:{operators}"
peer_ports = [{peers}]
[store]
address = "{store}"
[fleet]
seeds = [{seeds}]
key = "the key of the soak"
[fleet.regions]
{regions}
[limits]
stop_grace_s = {grace}
"""


class Network:
    """Loopback addresses of one soak test. Tests with different numbers are isolated."""

    def __init__(self, number):
        self.number = number

    def entry(self, index):
        return f"127.{self.number}.0.{10 + index}"

    def target(self, index):
        return f"127.{self.number}.1.{1 + index}"

    def target_proxy(self, index):
        return f"127.{self.number}.2.{1 + index}"

    def store(self):
        return f"127.{self.number}.3.1"

    def store_proxy(self, index):
        return f"127.{self.number}.4.{1 + index}"


def domain_of(index, regions):
    return list(regions)[index % len(regions)]


class Entry:
    """One daemon. Terminates only the process that it started itself."""

    def __init__(self, index, network, binary, directory, regions):
        self.index = index
        self.network = network
        self.ip = network.entry(index)
        self.domain = domain_of(index, regions)
        self.regions = regions
        self.binary = binary
        self.directory = directory
        self.process = None
        self.start_count = 0
        self.is_terminating = False
        self.stop_requested_at = None
        self.store_proxy = FaultProxy(lambda: (network.store(), STORE_PORT))

    def callers_address(self):
        return f"{self.ip}:{CALLERS}"

    def start_process(self):
        path = os.path.join(self.directory, f"entry-{self.index}.toml")
        seeds = ", ".join(f'"{self.network.entry(seed)}:{CONTROL}"' for seed in range(SEED_COUNT))
        regions = "\n".join(f'{domain} = "{region}"' for domain, region in self.regions.items())
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS_TEMPLATE.format(
                index=self.index, region=self.regions[self.domain], domain=self.domain,
                ip=self.ip, callers=CALLERS, readiness=READINESS, directory=DIRECTORY,
                control=CONTROL, operators=OPERATORS, peers=PEERS,
                store=f"{self.network.store_proxy(self.index)}:{STORE_PORT}",
                seeds=seeds, regions=regions, grace=STOP_GRACE_S))
        with open(os.path.join(self.directory, f"entry-{self.index}.log"), "ab") as output:
            self.process = subprocess.Popen([self.binary, "--settings", path], stdout=output,
                                            stderr=output)
        self.start_count += 1
        self.is_terminating = False
        self.stop_requested_at = None

    def is_running(self):
        return not self.is_terminating and self.process is not None and self.process.poll() is None

    def send_signal(self, signal_number):
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    async def terminate(self, signal_number):
        self.is_terminating = True
        loop = asyncio.get_running_loop()
        self.stop_requested_at = loop.time() if signal_number == signal.SIGTERM else None
        # A stopped process handles the signal only after SIGCONT.
        self.send_signal(signal_number)
        self.send_signal(signal.SIGCONT)
        return await loop.run_in_executor(None, self.process.wait)


class Fleet:
    """Daemons, targets and a store. `regions` holds the region of each failure domain."""

    def __init__(self, options, random_source, checker, directory, regions=None, services=None):
        self.regions = regions or REGIONS
        self.services = services or SERVICES
        self.random = random_source
        self.seed = options.seed
        self.checker = checker
        self.store = FakeStore()
        self.store_writer = StoreWriter(self.store, random_source,
                                        checker.on_write_repeated)
        self.heartbeats = []
        self.version = 0
        self.network = Network(options.network)
        self.entries = [Entry(index, self.network, options.binary, directory, self.regions)
                        for index in range(options.entries)]
        self.targets = []
        self.target_proxies = []
        for index in range(options.targets):
            service = self.services[index // len(self.regions) % len(self.services)]
            target = FakeTarget(f"t{index}-0", service, domain_of(index, self.regions),
                                checker.on_execution, MEAN_PROCESSING_TIME_S)
            target.index = index
            target.on_rejection = checker.on_rejection
            self.targets.append(target)
            self.target_proxies.append(FaultProxy(
                lambda index=index: (self.network.target(index), TARGET_PORT)))

    def domain_names(self):
        return list(self.regions)

    async def start(self):
        network = self.network
        await asyncio.start_server(self.store.serve, network.store(), STORE_PORT)
        for target, proxy in zip(self.targets, self.target_proxies):
            await asyncio.start_server(target.serve, network.target(target.index), TARGET_PORT)
            await asyncio.start_server(proxy.serve, network.target_proxy(target.index),
                                       TARGET_PORT)
            await self.register(target)
            self.heartbeats.append(asyncio.create_task(self.send_heartbeats(target)))
        await self.publish_configuration()
        for entry in self.entries:
            await asyncio.start_server(entry.store_proxy.serve, network.store_proxy(entry.index),
                                       STORE_PORT)
            entry.start_process()

    def registration(self, target, state):
        """Returns the target's item of the store; each is the target's next in sequence."""
        now = asyncio.get_running_loop().time()
        target.sequence += 1
        return {
            "service": target.service,
            "address": f"{self.network.target_proxy(target.index)}:{TARGET_PORT}",
            "zone": target.domain, "version": "v1", "slots": target.slots,
            "state": state,
            "coldRemainingS": max(0.0, target.cold_until - now), "sequence": target.sequence,
            "born": target.born}

    async def register(self, target, state="ready"):
        await self.store.available.wait()
        await self.store_writer.write(target_key(target.name), self.registration(target, state))
        if state == "draining":
            self.checker.on_drain(target.name, asyncio.get_running_loop().time())

    async def unregister(self, target):
        await self.store_writer.write(target_key(target.name), None)
        self.checker.on_drain(target.name, asyncio.get_running_loop().time())

    async def send_heartbeats(self, target):
        """The item changes only if more than its sequence changes."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S * self.random.uniform(
                1 - HEARTBEAT_JITTER, 1 + HEARTBEAT_JITTER))
            key = target_key(target.name)
            latest = self.store_writer.latest.get(key)
            if latest is not None:
                self.store_writer.refresh(key, self.registration(target, latest["state"]))

    async def publish_configuration(self):
        """Publishes a new version with one route of its own, which shows whether it is active."""
        await self.store.available.wait()
        previous = self.version
        self.version += self.random.randint(1, 5)
        rows = [["r-1", "h", "/board/", "safe", 2, 0.3, 2, "board", 2, [], None],
                ["r-2", "h", "/book/", "unsafe", 2, 0.3, 1, "book", 2, [], None],
                ["r-3", "h", "/home/", "safe", 2, 0.3, 2, "board", 2, ["a"], None],
                ["r-4", "h", f"/mark-{self.version}/", "safe", 2, 0.3, 2, "board", 2, [], None]]
        version = self.version
        await self.write_configuration(rows)
        now = asyncio.get_running_loop().time()
        self.checker.publication_times[version] = (now, None)
        if previous in self.checker.publication_times:
            self.checker.publication_times[previous] = (
                self.checker.publication_times[previous][0], now)

    async def write_configuration(self, rows):
        """Writes the routes (rows of the platform's columns) as the current version."""
        columns = ["name", "host", "pathPrefix", "kind", "timeoutS", "targetLatencyS", "priority",
                   "service", "attempts", "allowedRegions", "trafficSplit"]
        services = [[name, "/health", 4.0] for name in self.services]
        await self.store_writer.write(CONFIGURATION_KEY, {
            "version": f"{self.version:08x}", "routes": {"columns": columns, "rows": rows},
            "services": {"columns": ["name", "healthCheckPath", "coldPerS"], "rows": services},
            "limits": {"headerBytes": 16384, "bodyBytes": 1000000, "headerTimeoutS": 3,
                       "idleTimeoutS": 15}})

    async def evacuate(self, domain, duration_s):
        loop = asyncio.get_running_loop()
        await self.store_writer.write(evacuation_key(domain), {})
        interval = [loop.time(), None]
        self.checker.evacuations[domain].append(interval)
        await asyncio.sleep(duration_s)
        await self.store.available.wait()
        interval[1] = loop.time()
        await self.store_writer.write(evacuation_key(domain), None)

    def check_processes(self):
        for entry in self.entries:
            if not entry.is_terminating and entry.process.poll() is not None:
                self.checker.report_violation(
                    f"process liveness violated: entry {entry.index} terminated unexpectedly with "
                    f"status {entry.process.poll()}")

    async def stop(self):
        for heartbeat in self.heartbeats:
            heartbeat.cancel()
        for entry in self.entries:
            entry.send_signal(signal.SIGTERM)
        for entry in self.entries:
            await asyncio.get_running_loop().run_in_executor(None, entry.process.wait)

    def kill(self):
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.kill()
