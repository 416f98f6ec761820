"""Connections between entries and workers go silent for good in the middle of large answers."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import (BROKEN, HELD, ID, SIGNATURE, TROUBLE, CannotRun, Connection, Deployment,
                      Worker, play, request_bytes)

FOLDER = os.path.dirname(os.path.abspath(__file__))
SERVICE = "doc-vault"
WORK_S, PAUSE_S, CLIENTS = 0.1, 0.1, 24
TIMEOUT_S, DEADLINE_MS, SLACK_S = 6, 12000, 0.5
BODY_BYTES, PIECES, STREAM_S = 1_000_000, 50, 1.0
TRAFFIC_S, SILENCE_AT_S = 20, 5
MIN_REQUESTS, SHARE = 8, 0.25
# stableWindowS: an entry is in touch again so long after its connections went silent.
STABLE_WINDOW_S = 4
ROUTES = [["lab-certs", "jepu9.example", "/certs/", "download", SERVICE, TIMEOUT_S, 2, 2, 2]]


class StreamingWorker(Worker):
    """Sends its answers in pieces. When the open connections go silent, nothing more arrives on
    them in either direction, and they are not closed; new connections work."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.connection_of = {}

    async def serve(self, reader, writer):
        connection = {"silent": False}
        self.connection_of[writer] = connection
        await super().serve(reader, writer)

    def silence_open_connections(self):
        for connection in self.connection_of.values():
            connection["silent"] = True

    async def before(self, connection, request, writer):
        if self.connection_of[writer]["silent"]:
            await asyncio.sleep(3600)
        return True

    async def send_answer(self, connection, identity, writer):
        answer = self.answer(identity, identity.encode().ljust(BODY_BYTES, b"."))
        size = len(answer) // PIECES + 1
        for start in range(0, len(answer), size):
            if self.connection_of[writer]["silent"]:
                self.record.add("silent", id=identity, worker=self.name, sent=start)
                await asyncio.sleep(3600)
            writer.write(answer[start:start + size])
            await asyncio.sleep(STREAM_S / PIECES)
        self.record.add("worker_answered", id=identity, worker=self.name)
        return True


def workers(record):
    return [StreamingWorker(f"i-{index}", SERVICE, record, WORK_S) for index in range(8)]


class Request:
    def __init__(self, sent_at):
        self.sent_at, self.ended_at, self.outcome, self.received = sent_at, None, None, 0


async def read_answer(connection, request):
    """Returns the status; raises an error if the connection ends before the answer is whole."""
    raw = await connection.reader.readuntil(b"\r\n\r\n")
    headers = dict(line.split(": ", 1) for line in raw.decode().split("\r\n")[1:] if ": " in line)
    left = int({name.lower(): value for name, value in headers.items()}["content-length"])
    while left:
        data = await connection.reader.read(min(left, 65536))
        if not data:
            raise ConnectionError("ended early")
        left -= len(data)
        request.received += len(data)
    return raw.decode().split(" ")[1]


async def client(number, deployment, until, requests):
    entry = deployment.entries[number % len(deployment.entries)]
    record, connection, count = deployment.record, None, 0
    await asyncio.sleep(random.uniform(0, STREAM_S + WORK_S))
    while record.now() < until:
        count += 1
        identity = f"c{number}-{count}"
        connection = connection or await Connection.open(entry)
        request = Request(record.now())
        requests.append(request)
        record.add("sent", id=identity, entry=entry.name)
        try:
            connection.writer.write(request_bytes("GET", "/certs/2f", identity, DEADLINE_MS))
            request.outcome = await asyncio.wait_for(read_answer(connection, request),
                                                     DEADLINE_MS / 1000)
        except asyncio.TimeoutError:
            request.outcome = "client_deadline"
        except (OSError, asyncio.IncompleteReadError):
            request.outcome = "closed"
        request.ended_at = record.now()
        record.add("answered", id=identity, outcome=request.outcome, bytes=request.received,
                   after_s=f"{request.ended_at - request.sent_at:.3f}")
        if request.outcome in ("client_deadline", "closed"):
            connection.close()
            connection = None
        await asyncio.sleep(PAUSE_S * random.uniform(0, 2))
    if connection:
        connection.close()


async def scenario():
    deployment = Deployment(FOLDER, 2, workers, ROUTES)
    try:
        await deployment.start()
        begin, requests = deployment.record.now(), []
        clients = [asyncio.create_task(client(number, deployment, begin + TRAFFIC_S, requests))
                   for number in range(CLIENTS)]
        await asyncio.sleep(SILENCE_AT_S)
        silent_at = deployment.record.now()
        if TROUBLE:
            deployment.record.add("open_connections_go_silent")
            for worker in deployment.workers:
                worker.silence_open_connections()
        await asyncio.gather(*clients)
        # Only what is due while the entries are in touch counts.
        ages = [(request.ended_at - request.sent_at, request) for request in requests
                if not silent_at <= request.sent_at + TIMEOUT_S < silent_at + STABLE_WINDOW_S]
        long = [request for age, request in ages if age > TIMEOUT_S]
        unanswered = [request for age, request in ages if age > TIMEOUT_S + SLACK_S]
        served = sum(request.outcome == "200" for request in requests)
        summary = {"requests": len(requests), "served": served, "longer_than_timeout": len(long),
                   "without_final_answer_half_a_second_later": len(unanswered),
                   "outcomes_of_these": sorted({request.outcome for request in unanswered})}
        deployment.record.add("summary", **summary)
        print(summary)
        if served < 50:
            raise CannotRun("too few requests were served")
        is_broken = len(unanswered) >= MIN_REQUESTS and len(unanswered) > SHARE * len(long)
        return BROKEN if is_broken else HELD
    finally:
        deployment.stop()


play(scenario)
