"""Starts a daemon with little memory and plays clients that hold what they send or don't read.

Guards against clients that exhaust the memory or the descriptors of an entry: bodies that stop just
short of their end, bodies over the limit, chunked bodies without an end, responses that are not
read, and connections without a request. For each kind a new process is started. The test checks
that the process lives, that its memory and its descriptors stay within its settings, and that an
ordinary request is answered afterwards. It checks no times and no share of served requests, so that
its verdict does not depend on the speed of the host. Run it alone.
"""

import argparse
import asyncio
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "scripts", "soak"))
from fakes import FakeStore, FakeTarget, make_response, read_head

CALLERS, READINESS, DIRECTORY, CONTROL, OPERATORS, PEERS = 28080, 28081, 28082, 28083, 28084, 28090
STORE_PORT, TARGET_PORT = 28384, 29000
MIB = 1 << 20
# The bounds that are checked are the settings of the process.
MEMORY_MB, DESCRIPTORS = 64, 512
# The crowd of each kind sends or requests about twice the memory of the process.
CROWD, BODY_LIMIT, CROWD_BODY = 32, 4 * MIB, 4 * MIB - 1024
CONNECTION_CROWD = 600
# Longer than the timeouts of a request that stops arriving, so that ended clients come back.
CROWD_S = 7.0
UNSENT_BYTES = 64
SLOW_READER_REQUESTS, LARGE_RESPONSE = 16, 240 * 1024
START_TIMEOUT_S, ANSWER_TIMEOUT_S, SAMPLE_INTERVAL_S = 60, 90, 0.02
SETTINGS = """vm = "entry-0"
region = "a"
failure_domain = "a1"
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
seeds = ["{ip}:{control}"]
key = "the key of the clients test"
[fleet.regions]
a1 = "a"
[limits]
memory_mb = {memory}
descriptors = {descriptors}
"""


class LargeResponseTarget(FakeTarget):
    """Responds to safe requests with a body just below the limit for buffered responses."""

    async def execute(self, line, headers, body):
        response = await super().execute(line, headers, body)
        if not line.startswith("GET /board/large") or not response.startswith(b"HTTP/1.1 200"):
            return response
        request = headers.get("x-anvilsaddle-attempt-id", "")
        return make_response("200 OK", {
            "X-Anvilsaddle-Attempt-Id": request,
            "X-Anvilsaddle-Response-Signature": f"s-{request}",
            "X-Anvilsaddle-Server-Load": self.load_header()}, b"l" * LARGE_RESPONSE)


class Site:
    """A store and targets, and one daemon process at a time."""

    def __init__(self, binary, number, directory):
        self.binary, self.directory = binary, directory
        self.ip = f"127.{number}.0.10"
        self.store_ip, self.target_ips = f"127.{number}.3.1", [f"127.{number}.1.{1 + index}"
                                                               for index in range(2)]
        self.store, self.process = FakeStore(), None

    async def start(self):
        await asyncio.start_server(self.store.serve, self.store_ip, STORE_PORT)
        columns = ["name", "host", "pathPrefix", "kind", "timeoutS", "targetLatencyS", "priority",
                   "service", "attempts"]
        rows = [["r-1", "h", "/board/", "safe", 20, 0.3, 2, "board", 2],
                ["r-2", "h", "/book/", "unsafe", 20, 0.3, 1, "board", 1]]
        self.store.put("op/config", {
            "version": "00000001", "routes": {"columns": columns, "rows": rows},
            "services": {"columns": ["name", "healthCheckPath", "coldPerS"],
                         "rows": [["board", "/health", 50.0]]},
            "limits": {"headerBytes": 16384, "bodyBytes": BODY_LIMIT, "headerTimeoutS": 3,
                       "idleTimeoutS": 15}})
        for index, ip in enumerate(self.target_ips):
            target = LargeResponseTarget(f"t{index}-0", "board", "a1", lambda *_: None, 0.01)
            target.slots = 64
            await asyncio.start_server(target.serve, ip, TARGET_PORT, limit=8 * MIB)
            self.store.put(f"servers/{target.name}", {
                "service": "board", "address": f"{ip}:{TARGET_PORT}", "zone": "a1",
                "version": "v1", "slots": target.slots, "state": "ready", "coldRemainingS": 0,
                "sequence": 1, "born": target.born})

    async def start_process(self, kind):
        path = os.path.join(self.directory, "entry.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(
                ip=self.ip, callers=CALLERS, readiness=READINESS, directory=DIRECTORY,
                control=CONTROL, operators=OPERATORS, peers=PEERS, store=self.store_ip,
                store_port=STORE_PORT, memory=MEMORY_MB, descriptors=DESCRIPTORS))
        self.log = os.path.join(self.directory, f"{kind}.log")
        with open(self.log, "ab") as output:
            self.process = subprocess.Popen([self.binary, "--settings", path], stdout=output,
                                            stderr=output)
        if not await self.is_answered(START_TIMEOUT_S):
            raise RuntimeError("the process did not get ready; see " + self.log)

    def stop_process(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

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


# Clients

def head_bytes(framing, method="POST", path="/book/upload"):
    return (f"{method} {path} HTTP/1.1\r\nHost: h\r\nX-Anvilsaddle-Attempt-Id: crowd\r\n"
            f"{framing}\r\n\r\n").encode()


def chunk(size):
    return f"{size:x}\r\n".encode() + b"c" * size + b"\r\n"


async def send(writer, parts):
    for part in parts:
        writer.write(part)
        await writer.drain()


async def send_whole(writer):
    await send(writer, [head_bytes(f"Content-Length: {CROWD_BODY}"),
                        b"w" * (CROWD_BODY - UNSENT_BYTES)])


async def send_pieces(writer):
    await send(writer, [head_bytes(f"Content-Length: {CROWD_BODY}")])
    for _ in range((CROWD_BODY - UNSENT_BYTES) // 65536):
        await send(writer, [b"p" * 65536])
        await asyncio.sleep(0.01)


async def send_large_chunks(writer):
    await send(writer, [head_bytes("Transfer-Encoding: chunked")])
    for _ in range(3):
        await send(writer, [chunk(MIB)])
    await send(writer, [chunk(MIB - 4096)])


async def send_small_chunks(writer):
    await send(writer, [head_bytes("Transfer-Encoding: chunked")])
    block = chunk(1) * 4096
    for _ in range(64):
        await send(writer, [block])


async def send_endless_chunks(writer):
    await send(writer, [head_bytes("Transfer-Encoding: chunked")])
    block = chunk(65536)
    for _ in range(1024):
        await send(writer, [block])


async def announce_too_much(writer):
    await send(writer, [head_bytes(f"Content-Length: {4 << 30}"), b"a" * CROWD_BODY])


async def send_too_much(writer):
    await send(writer, [head_bytes(f"Content-Length: {2 * BODY_LIMIT}"), b"t" * (2 * BODY_LIMIT)])


async def request_without_reading(writer):
    await send(writer, [head_bytes("Content-Length: 0", "GET", "/board/large")
                        * SLOW_READER_REQUESTS])


async def send_half_head(writer):
    await send(writer, [b"POST /book/half HTTP/1.1\r\nHost: h\r\n"])


async def play_client(ip, port, send_bytes):
    """Sends, then stays open without reading until the entry ends the connection; then again."""
    while True:
        writer = None
        connection = socket.socket()
        try:
            # Responses stay in the entry's process rather than in this socket's buffer.
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.setblocking(False)
            await asyncio.get_running_loop().sock_connect(connection, (ip, port))
            reader, writer = await asyncio.open_connection(sock=connection, limit=1024)
            await send_bytes(writer)
            if send_bytes is request_without_reading:
                await asyncio.sleep(CROWD_S)
            else:
                while await reader.read(65536):
                    pass
        except OSError:
            pass
        finally:
            if writer:
                writer.transport.abort()
            connection.close()
        await asyncio.sleep(0.05)


KINDS = {
    "whole": (send_whole, CROWD, [CALLERS]),
    "pieces": (send_pieces, CROWD, [CALLERS]),
    "large_chunks": (send_large_chunks, CROWD, [CALLERS]),
    "small_chunks": (send_small_chunks, CROWD, [CALLERS]),
    "endless_chunks": (send_endless_chunks, CROWD, [CALLERS]),
    "announced": (announce_too_much, CROWD, [CALLERS]),
    "over_limit": (send_too_much, CROWD, [CALLERS]),
    "slow_readers": (request_without_reading, CROWD, [CALLERS]),
    "half_heads": (send_half_head, CONNECTION_CROWD, [CALLERS]),
    "forward_port": (send_whole, CROWD, [PEERS]),
    "other_ports": (send_whole, CROWD, [READINESS, DIRECTORY, CONTROL, OPERATORS]),
}


# Checks

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


async def check_kind(site, kind):
    """Returns the failures of one kind of clients."""
    send_bytes, count, ports = KINDS[kind]
    await site.start_process(kind)
    process = site.process
    base_kb = status_kb(process.pid, "VmRSS:")
    clients = [asyncio.create_task(play_client(site.ip, ports[index % len(ports)], send_bytes))
               for index in range(count)]
    loop = asyncio.get_running_loop()
    end, descriptors = loop.time() + CROWD_S, 0
    while loop.time() < end:
        descriptors = max(descriptors, descriptor_count(process.pid))
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    for client in clients:
        client.cancel()
    await asyncio.gather(*clients, return_exceptions=True)
    answered = await site.is_answered(ANSWER_TIMEOUT_S)
    peak_kb = status_kb(process.pid, "VmHWM:")
    failures = []
    if process.poll() is not None:
        failures.append(f"the process ended with status {process.poll()}")
    if peak_kb > MEMORY_MB * 1024:
        failures.append("memory over the bound")
    if descriptors > DESCRIPTORS:
        failures.append("descriptors over the bound")
    if not answered:
        failures.append("an ordinary request was not answered afterwards")
    print(f"{kind}: {', '.join(failures) or 'ok'}; memory {base_kb // 1024} MB at start, peak "
          f"{peak_kb / 1024:.1f} of {MEMORY_MB} MB, descriptors {descriptors} of {DESCRIPTORS}",
          flush=True)
    site.stop_process()
    return failures


async def run(options):
    failed = []
    with tempfile.TemporaryDirectory(prefix="clients-") as directory:
        site = Site(options.binary, options.network, directory)
        try:
            await site.start()
            for kind in options.kinds or KINDS:
                if await check_kind(site, kind):
                    failed.append(kind)
        finally:
            site.stop_process()
            if options.logs:
                subprocess.run(["cp", "-r", directory + "/.", options.logs], check=False)
    print("failed: " + ", ".join(failed) if failed else "all kinds passed")
    sys.stdout.flush()
    # Connections of the fakes may still be open; their tasks need no orderly end.
    os._exit(1 if failed else 0)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", required=True)
    parser.add_argument("--network", type=int, default=77, help="second byte of the addresses")
    parser.add_argument("--logs", help="folder to which the logs are copied")
    parser.add_argument("kinds", nargs="*", help=f"some of: {', '.join(KINDS)}")
    options = parser.parse_args()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 4096)), hard))
    signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
    asyncio.run(run(options))


if __name__ == "__main__":
    main()
