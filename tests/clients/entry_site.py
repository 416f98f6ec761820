"""One entry process with a store and targets of its own, and the figures that the tests check."""

import asyncio
import os
import subprocess
import sys

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts", "soak"))
from fakes import FakeStore, FakeTarget, make_response, read_head

CALLERS, READINESS, DIRECTORY, CONTROL, OPERATORS, PEERS = 28080, 28081, 28082, 28083, 28084, 28090
ALL_PORTS = [CALLERS, READINESS, DIRECTORY, CONTROL, OPERATORS, PEERS]
STORE_PORT, TARGET_PORT, TARGET_COUNT = 28384, 29000, 2
KIB, MIB = 1 << 10, 1 << 20
# Sizes of responses: just below the limit for buffered ones, and far above it.
LARGE_RESPONSE, LONG_RESPONSE = 240 * KIB, 4 * MIB
# What a target sends of a long response before it stops.
STALLED_RESPONSE_BYTES = 200 * KIB
START_TIMEOUT_S, STOP_TIMEOUT_S, SAMPLE_INTERVAL_S = 60, 90, 0.02
CONNECTION_STATE_LISTEN = "0A"
SETTINGS = """vm = "{vm}"
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
address = "{store}:{store_port}"
[fleet]
seeds = ["{seed}:{control}"{more_seeds}]
key = "the key of the clients test"
[fleet.regions]
{regions}
[limits]
memory_mb = {memory}
descriptors = {descriptors}
"""


class LargeResponseTarget(FakeTarget):
    """Responds to some paths with large bodies, or stops within them. Others are ordinary."""

    SIZES = {"/board/large": LARGE_RESPONSE, "/board/long": LONG_RESPONSE,
             "/board/stalled": LONG_RESPONSE}

    async def execute(self, line, headers, body):
        response = await super().execute(line, headers, body)
        path = line.split(" ")[1]
        if path not in self.SIZES or not response.startswith(b"HTTP/1.1 200"):
            return response
        return self.sign(headers, b"l" * self.SIZES[path])

    def sign(self, headers, body):
        request = headers.get("x-anvilsaddle-attempt-id", "")
        return make_response("200 OK", {
            "X-Anvilsaddle-Attempt-Id": request,
            "X-Anvilsaddle-Response-Signature": f"s-{request}",
            "X-Anvilsaddle-Server-Load": self.load_header()}, body)

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                response = await self.execute(line, headers, body)
                if line.split(" ")[1] == "/board/stalled" and len(response) > LONG_RESPONSE:
                    writer.write(response[:STALLED_RESPONSE_BYTES])
                    # Until the entry closes the connection.
                    await reader.read(1)
                    break
                writer.write(response)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        writer.close()


class Site:
    """A store and targets, and one daemon process at a time."""

    REGIONS = {"a1": "a"}
    TARGET_DOMAIN = "a1"

    def __init__(self, binary, number, directory, body_limit, target_type=LargeResponseTarget):
        self.binary, self.directory = binary, directory
        self.body_limit, self.target_type = body_limit, target_type
        self.ip, self.domain, self.vm = f"127.{number}.0.10", "a1", "entry-0"
        self.seed = self.ip
        self.store_ip = f"127.{number}.3.1"
        self.target_ips = [f"127.{number}.1.{1 + index}" for index in range(TARGET_COUNT)]
        self.store, self.process, self.version = FakeStore(), None, 0
        self.executed = set()

    async def start(self, slots):
        await asyncio.start_server(self.store.serve, self.store_ip, STORE_PORT)
        self.put_configuration()
        for index, ip in enumerate(self.target_ips):
            target = self.target_type(f"t{index}-0", "board", self.TARGET_DOMAIN,
                                      self.on_execution, 0.01)
            target.slots = slots
            await asyncio.start_server(target.serve, ip, TARGET_PORT, limit=8 * MIB, backlog=2048)
            self.store.put(f"servers/{target.name}", {
                "service": "board", "address": f"{ip}:{TARGET_PORT}", "zone": self.TARGET_DOMAIN,
                "version": "v1", "slots": target.slots, "state": "ready", "coldRemainingS": 0,
                "sequence": 1, "born": target.born})

    def on_execution(self, request, *_):
        self.executed.add(request)

    def put_configuration(self):
        """Writes the next version of the configuration, with the same content."""
        self.version += 1
        columns = ["name", "host", "pathPrefix", "kind", "timeoutS", "targetLatencyS", "priority",
                   "service", "attempts"]
        rows = [["r-1", "h", "/board/", "safe", 20, 0.3, 2, "board", 2],
                ["r-2", "h", "/book/", "unsafe", 20, 0.3, 1, "board", 1]]
        self.store.put("op/config", {
            "version": f"{self.version:08x}", "routes": {"columns": columns, "rows": rows},
            "services": {"columns": ["name", "healthCheckPath", "coldPerS"],
                         "rows": [["board", "/health", 50.0]]},
            "limits": {"headerBytes": 16384, "bodyBytes": self.body_limit, "headerTimeoutS": 3,
                       "idleTimeoutS": 15}})

    def write_settings(self, memory_mb, descriptors, more_seeds=""):
        path = os.path.join(self.directory, f"{self.vm}.toml")
        regions = "\n".join(f'{domain} = "{region}"' for domain, region in self.REGIONS.items())
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(
                ip=self.ip, callers=CALLERS, readiness=READINESS, directory=DIRECTORY,
                control=CONTROL, operators=OPERATORS, peers=PEERS, store=self.store_ip,
                store_port=STORE_PORT, memory=memory_mb, descriptors=descriptors, vm=self.vm,
                region=self.REGIONS[self.domain], domain=self.domain, seed=self.seed,
                regions=regions, more_seeds=more_seeds))
        return path

    async def start_process(self, kind, memory_mb, descriptors):
        self.spawn(kind, memory_mb, descriptors)
        if not await self.is_answered(START_TIMEOUT_S):
            raise RuntimeError("the process did not get ready; see " + self.log)

    def spawn(self, kind, memory_mb, descriptors):
        path = self.write_settings(memory_mb, descriptors)
        self.log = os.path.join(self.directory, f"{kind}.log")
        with open(self.log, "ab") as output:
            self.process = subprocess.Popen([self.binary, "--settings", path], stdout=output,
                                            stderr=output)

    def stop_process(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def has_ended(self, timeout_s):
        """Waits until the process ends by itself."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while loop.time() < end and self.process.poll() is None:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        return self.process.poll() is not None

    async def is_answered(self, timeout_s):
        """Sends one ordinary request, again after each failure, until it is answered."""
        loop = asyncio.get_running_loop()
        end, count = loop.time() + timeout_s, 0
        while loop.time() < end and self.process.poll() is None:
            count += 1
            writer = None
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(self.ip, CALLERS), 2)
                writer.write(f"POST /book/ordinary HTTP/1.1\r\nHost: h\r\n"
                             f"X-Anvilsaddle-Attempt-Id: ordinary-{count}\r\n"
                             f"Content-Length: 5\r\n\r\nsmall".encode())
                head = await asyncio.wait_for(read_head(reader), 10)
                if head and " 200 " in head[0]:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            finally:
                if writer:
                    writer.transport.abort()
            await asyncio.sleep(0.1)
        return False

    def unread_bytes(self):
        """Bytes that have arrived for the process and that it has not read, on all its connections
        and on those that it has not accepted yet."""
        own = as_table_address(self.ip)
        peers = [as_table_address(ip) for ip in [self.store_ip, *self.target_ips]]
        total = 0
        with open("/proc/net/tcp", encoding="ascii") as file:
            next(file)
            for line in file:
                _, local, remote, state, queues = line.split()[:5]
                is_own = local.startswith(own) or any(remote.startswith(peer) for peer in peers)
                if is_own and state != CONNECTION_STATE_LISTEN:
                    total += int(queues.split(":")[1], 16)
        return total


def as_table_address(ip):
    """The form of an IPv4 address in /proc/net/tcp on a little-endian machine."""
    return "".join(f"{int(part):02X}" for part in reversed(ip.split("."))) + ":"


def status_kb(process_id, name):
    """Returns a memory figure of a process; 0 if the process has ended."""
    try:
        with open(f"/proc/{process_id}/status", encoding="utf-8") as file:
            return next((int(line.split()[1]) for line in file if line.startswith(name)), 0)
    except OSError:
        return 0


def descriptor_count(process_id):
    try:
        return len(os.listdir(f"/proc/{process_id}/fd"))
    except OSError:
        return 0


class PeakSampler:
    """Largest figures of a process since the start of the sampler.

    `memory_kb` is the larger of the resident memory's peak and of any sample of the resident memory
    together with the unread bytes, which the platform counts as memory of the process.
    """

    def __init__(self, site):
        self.site, self.process_id = site, site.process.pid
        self.memory_kb, self.unread_kb, self.descriptors = 0, 0, 0
        self.task = asyncio.create_task(self.run())

    async def run(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def sample(self):
        unread_kb = self.site.unread_bytes() // KIB
        held_kb = status_kb(self.process_id, "VmRSS:") + unread_kb
        peak_kb = status_kb(self.process_id, "VmHWM:")
        self.memory_kb = max(self.memory_kb, held_kb, peak_kb)
        self.unread_kb = max(self.unread_kb, unread_kb)
        self.descriptors = max(self.descriptors, descriptor_count(self.process_id))

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.sample()
