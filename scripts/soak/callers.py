"""Callers of the soak test. They reuse connections until these end, and record the responses."""

import asyncio
import collections
import json

from fleet import CALLERS, DIRECTORY, REGIONS
from invariants import Call, Ending, Response
from fakes import read_head

DEADLINE_MS = 2000
RESPONSE_TIMEOUT_S = 8
CONNECT_TIMEOUT_S = 1
LEAVE_EARLY_SHARE, MEAN_STAY_S = 0.03, 0.02
# An entry still responds to requests that arrive within this time after its planned stop began.
STOP_SERVING_S = 1.5
RequestTemplate = collections.namedtuple("RequestTemplate",
                                         "method path service unsafe home_region")
REQUEST_TEMPLATES = [RequestTemplate("GET", "/board/1", "board", False, None),
                     RequestTemplate("GET", "/home/1", "board", False, "a"),
                     RequestTemplate("POST", "/book/1", "book", True, None),
                     RequestTemplate("POST", "/book/1", "book", True, None)]
REQUEST_ERRORS = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError)


class Callers:
    def __init__(self, fleet, checker, random_source, seed):
        self.fleet = fleet
        self.checker = checker
        self.random = random_source
        self.seed = seed
        self.call_count = 0
        self.ends_at = float("inf")

    def start(self, caller_count):
        tasks = [self.run_caller() for _ in range(caller_count)]
        tasks += [self.probe_versions(), self.probe_directory()]
        return [asyncio.create_task(task) for task in tasks]

    # One call

    async def call(self, entry, template, connection=None, patience_s=RESPONSE_TIMEOUT_S):
        """Returns the request id, the outcome, and the connection if it can be reused."""
        self.call_count += 1
        request = f"{self.seed}-{self.call_count}"
        self.checker.calls[request] = Call(
            entry.index, REGIONS[entry.domain], template.service, template.unsafe,
            template.home_region, template in REQUEST_TEMPLATES)
        reusable = None
        try:
            connection = connection or await asyncio.wait_for(
                asyncio.open_connection(entry.ip, CALLERS), CONNECT_TIMEOUT_S)
        except asyncio.TimeoutError:
            outcome = "connect_timeout"
        except OSError:
            outcome = "not_connected"
        else:
            outcome, reusable = await self.exchange(connection, request, template, patience_s)
        self.checker.on_outcome(request, outcome)
        return request, outcome, reusable

    async def exchange(self, connection, request, template, patience_s):
        """Sends the request and reads the response. Returns the outcome, and the connection if it
        can be reused."""
        loop = asyncio.get_running_loop()
        reader, writer = connection
        body = "receipt" if template.unsafe else ""
        sent_at = loop.time()
        self.checker.sent_times[request] = sent_at
        try:
            writer.write(self.request_bytes(request, template, body))
            response = await asyncio.wait_for(self.read_response(reader), patience_s)
            self.checker.on_response(request, response, body, loop.time())
            if response.is_persistent:
                return str(response.status), connection
            outcome = str(response.status)
        except asyncio.TimeoutError:
            outcome = "timeout" if patience_s == RESPONSE_TIMEOUT_S else "left"
        except (OSError, asyncio.IncompleteReadError):
            outcome = "unanswered"
        except (ValueError, KeyError):
            outcome = "malformed"
        self.checker.endings[request] = Ending(sent_at, loop.time())
        writer.close()
        return outcome, None

    @staticmethod
    def request_bytes(request, template, body):
        head = (f"{template.method} {template.path} HTTP/1.1\r\nHost: h\r\n"
                f"X-Anvilsaddle-Attempt-Id: {request}\r\n"
                f"X-Anvilsaddle-Remaining-Milliseconds: {DEADLINE_MS}\r\n")
        head += f"Content-Length: {len(body)}\r\n\r\n" if template.unsafe else "\r\n"
        return (head + body).encode()

    @staticmethod
    async def read_response(reader):
        head = await read_head(reader)
        if head is None:
            raise asyncio.IncompleteReadError(b"", None)
        line, headers = head
        body = await reader.readexactly(int(headers["content-length"]))
        leaving_target = (headers.get("x-anvilsaddle-instance-id")
                          if "server-leaving" in headers else None)
        return Response(int(line.split(" ")[1]), headers.get("x-anvilsaddle-response-signature"),
                        body.decode(), headers.get("connection") != "close", leaving_target)

    # Callers and probes

    async def run_caller(self):
        loop = asyncio.get_running_loop()
        reusable, entry = None, None
        while loop.time() < self.ends_at:
            # An idle connection that the entry has closed is known to be unusable.
            if reusable is not None and reusable[0].at_eof():
                reusable[1].close()
                reusable = None
            reused = reusable is not None
            entry = entry if reused else self.random.choice(self.fleet.entries)
            sent_at = loop.time()
            leaves_early = self.random.random() < LEAVE_EARLY_SHARE
            patience_s = (self.random.expovariate(1 / MEAN_STAY_S) if leaves_early
                          else RESPONSE_TIMEOUT_S)
            request, outcome, reusable = await self.call(
                entry, self.random.choice(REQUEST_TEMPLATES), reusable, patience_s)
            self.check_planned_stop(entry, sent_at, request, outcome, reused)
            await asyncio.sleep(self.random.expovariate(12))

    def check_planned_stop(self, entry, sent_at, request, outcome, reused):
        # A request on a reused connection may cross with the close of the connection.
        stop_at = entry.stop_requested_at
        if stop_at and sent_at <= stop_at + STOP_SERVING_S and not reused and (
                outcome in ("connect_timeout", "timeout")):
            self.checker.report_violation(
                f"graceful shutdown violated: {request} got no response from entry {entry.index} "
                f"during its planned stop")

    async def probe_versions(self):
        """Requests routes that exist only in one version of the configuration."""
        loop = asyncio.get_running_loop()
        while loop.time() < self.ends_at:
            await asyncio.sleep(self.random.uniform(0.02, 0.1))
            entry = self.random.choice(self.fleet.entries)
            version = self.random.choice(list(self.checker.publication_times)[-3:])
            process_start, sent = entry.start_count, loop.time()
            template = RequestTemplate("GET", f"/mark-{version}/1", "board", False, None)
            _, outcome, reusable = await self.call(entry, template)
            if reusable:
                reusable[1].close()
            if outcome in ("200", "404") and entry.start_count == process_start:
                self.checker.on_version_probe(entry.index, process_start, version, int(outcome),
                                              sent, loop.time())

    async def probe_directory(self):
        loop = asyncio.get_running_loop()
        while loop.time() < self.ends_at:
            await asyncio.sleep(self.random.uniform(0.05, 0.3))
            entry = self.random.choice(self.fleet.entries)
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(entry.ip, DIRECTORY), CONNECT_TIMEOUT_S)
                writer.write(f"GET /-/resolve?name=h&region=a&zone={entry.domain} HTTP/1.1\r\n"
                             "Host: d\r\n\r\n".encode())
                response = await asyncio.wait_for(self.read_response(reader), CONNECT_TIMEOUT_S)
                writer.close()
            except REQUEST_ERRORS:
                continue
            if response.status == 200:
                self.checker.on_directory(entry.index, json.loads(response.body)["addresses"],
                                          loop.time())

    async def wait_until_ready(self):
        """Waits until all entries serve requests; false on timeout."""
        for _ in range(300):
            results = [await self.call(entry, REQUEST_TEMPLATES[0]) for entry in self.fleet.entries]
            for _, _, reusable in results:
                if reusable:
                    reusable[1].close()
            if all(outcome == "200" for _, outcome, _ in results):
                return True
            await asyncio.sleep(0.1)
        return False
