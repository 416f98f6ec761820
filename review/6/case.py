"""Case 6: an entry uses a deleted exchange and ends, as an error answer is delivered while another attempt runs."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins2 import (ATTEMPT_ID, ENTRY_PORTS, WORKER_PORT, ZONES, CannotRun, Deployment, main,
                       put_configuration, read_head, response)

RESTART_DELAY_S = 0.5
# A connection that closed within so long of an entry's end closed because of it.
END_TOLERANCE_S = 0.1
# srv_grey, "errors": at most 0.14 of the workers, 0.45 of their requests, 6.5 s.
TROUBLE_FOR_S, PAUSE_S, TROUBLES = 6.5, 3.0, 7
GREY_SHARE, GREY_ERRORS = 0.14, 0.45
LOAD_S = TROUBLES * (PAUSE_S + TROUBLE_FOR_S) + PAUSE_S
WORKERS, SLOTS, QUEUE = 42, 3, 12
WORK_S, FAILURE_S = 0.5, 0.4
TIMEOUT_S, OBJECTIVE_S, ATTEMPTS = 0.75, 0.75, 2
# A worker produces its answer evenly while it works, and writes it in blocks.
BODY_BYTES, BLOCK_BYTES, STEPS = 480_000, 120_000, 50
# A worker notices within this time that its time is over.
MAX_STOP_DELAY_S = 0.002
CLIENTS = 90
DEADLINE_MS = 1500
# LOST counts from more than so many.
ALLOWED = 3


class Worker:
    """Sends its answer piece by piece while it works. A grey one answers some requests with 500."""

    def __init__(self, name, ip, record):
        self.name, self.ip, self.record = name, ip, record
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = self.running = 0
        self.is_grey = False

    def load(self):
        return {"X-Anvilsaddle-Server-Load": f"{self.running},{self.waiting},{SLOTS}"}

    async def serve(self, reader, writer):
        try:
            while head := await read_head(reader):
                line, headers = head
                if line.startswith("GET /health "):
                    writer.write(response(200, {"X-Anvilsaddle-Instance-Id": self.name,
                                                **self.load()}))
                else:
                    await self.run(headers, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        writer.close()

    async def run(self, headers, writer):
        attempt_id = headers[ATTEMPT_ID]
        stop_at = (asyncio.get_running_loop().time()
                   + int(headers["x-anvilsaddle-remaining-milliseconds"]) / 1000
                   + random.uniform(0, MAX_STOP_DELAY_S))
        identity = {"X-Anvilsaddle-Attempt-Id": attempt_id}
        if headers.get("x-anvilsaddle-expected-instance") not in (None, self.name):
            writer.write(response(421, {"X-Anvilsaddle-Instance-Id": self.name, **identity}))
            return
        if self.running >= SLOTS and self.waiting >= QUEUE:
            writer.write(response(503, {"X-Anvilsaddle-Not-Executed": "1", **identity,
                                        **self.load()}))
            return
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        identity["X-Anvilsaddle-Response-Signature"] = f"s.{self.name}.{attempt_id}"
        try:
            self.record.on_run(attempt_id, self.name)
            if self.is_grey and random.random() < GREY_ERRORS:
                await asyncio.sleep(random.uniform(0.75, 1.15) * FAILURE_S)
                writer.write(response(500, {**identity, **self.load()}, b"failed"))
                return
            await self.send(response(200, {**identity, **self.load()}, b"x" * BODY_BYTES),
                            random.uniform(0.7, 1.3) * WORK_S, stop_at, writer)
        finally:
            self.running -= 1
            self.slots.release()

    @staticmethod
    async def send(answer, work_s, stop_at, writer):
        """At the time that it got, the worker stops: it writes what it has and closes."""
        loop = asyncio.get_running_loop()
        start, written = loop.time(), 0
        while written < len(answer):
            await asyncio.sleep(max(0, min(work_s / STEPS, stop_at - loop.time())))
            if writer.transport.is_closing():
                raise ConnectionResetError
            produced = min(len(answer), int(len(answer) * (loop.time() - start) / work_s))
            is_over = loop.time() >= stop_at
            if is_over or produced == len(answer) or produced - written >= BLOCK_BYTES:
                writer.write(answer[written:produced])
                written = produced
            if is_over and written < len(answer):
                raise ConnectionAbortedError


class Platform:
    """Starts an entry again after it has ended."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record
        # Times and exit statuses of processes that ended by themselves.
        self.ends = []

    def ended_at(self, moment):
        return any(abs(moment - time) < END_TOLERANCE_S for time, _ in self.ends)

    async def run(self):
        while True:
            for index, each in enumerate(self.deployment.entries):
                if each.poll() is not None:
                    self.ends.append((asyncio.get_running_loop().time(), each.poll()))
                    self.record.add(f"entry {index} ended with status {each.poll()}")
                    await asyncio.sleep(RESTART_DELAY_S)
                    self.deployment.entries[index] = self.deployment.start_entry(index)
            await asyncio.sleep(0.02)


class Client:
    """Keeps its connection for many requests."""

    def __init__(self, index, deployment, record):
        self.index, self.record = index, record
        self.ip = deployment.entry_ip(index % deployment.entry_count)
        # Attempt ids that got no answer on a kept connection that was closed.
        self.unanswered = []

    async def run(self, until):
        loop = asyncio.get_running_loop()
        number, requests_before, reader, writer = 0, 0, None, None
        while loop.time() < until:
            number += 1
            await asyncio.sleep(random.uniform(0, 0.3))
            attempt_id = f"{self.index:04x}{number:012x}"
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection(self.ip, ENTRY_PORTS["front"],
                                                                   limit=2 ** 20)
                    requests_before = 0
                self.record.add(f"sent {attempt_id}")
                writer.write((f"GET /file/2f HTTP/1.1\r\nHost: jepu9.example\r\n"
                              f"X-Anvilsaddle-Attempt-Id: {attempt_id}\r\n"
                              f"X-Anvilsaddle-Remaining-Milliseconds: {DEADLINE_MS}\r\n\r\n").encode())
                status = await asyncio.wait_for(self.read_status(reader), DEADLINE_MS / 1000)
                requests_before += 1
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                status = type(error).__name__
                if writer is not None:
                    writer.close()
                    if requests_before and not isinstance(error, asyncio.TimeoutError):
                        self.unanswered.append((attempt_id, loop.time()))
                reader = writer = None
            self.record.on_answer(attempt_id, status)

    @staticmethod
    async def read_status(reader):
        head = await read_head(reader)
        if head is None:
            raise ConnectionResetError
        await reader.readexactly(int(head[1].get("content-length", "0")))
        return int(head[0].split(" ")[1])


async def case(record, trouble):
    deployment = Deployment(record, 2)
    try:
        put_configuration(deployment.store, [("r-1", "jepu9.example", "/file/", "download",
                                              TIMEOUT_S, OBJECTIVE_S, 2, "biblioteca",
                                              ATTEMPTS)], ["biblioteca"])
        workers = []
        for index in range(WORKERS):
            worker = Worker(f"i-{index:08x}", f"{deployment.prefix}.{100 + index}", record)
            workers.append(worker)
            await asyncio.start_server(worker.serve, worker.ip, WORKER_PORT)
            deployment.store.put(f"servers/{worker.name}", {
                "service": "biblioteca", "address": f"{worker.ip}:{WORKER_PORT}",
                "zone": list(ZONES)[index % len(ZONES)], "version": "v1", "slots": SLOTS,
                "state": "ready", "coldRemainingS": 0, "sequence": 1, "born": 1796000000000 + index})
        await deployment.start()
        platform = Platform(deployment, record)
        watch = asyncio.create_task(platform.run())
        until = asyncio.get_running_loop().time() + LOAD_S
        clients = [Client(index, deployment, record) for index in range(CLIENTS)]
        tasks = [asyncio.create_task(each.run(until)) for each in clients]
        grey = workers[:int(GREY_SHARE * WORKERS)]
        for _ in range(TROUBLES):
            await asyncio.sleep(PAUSE_S)
            for worker in grey:
                worker.is_grey = trouble
            await asyncio.sleep(TROUBLE_FOR_S)
            for worker in grey:
                worker.is_grey = False
        await asyncio.gather(*tasks)
        watch.cancel()
    finally:
        deployment.stop()
    statuses = sorted(map(str, record.answers.values()))
    print("answers:", {each: statuses.count(each) for each in sorted(set(statuses))},
          "ends of entries:", [status for _, status in platform.ends])
    grey_names = {worker.name for worker in grey}
    lost = [f"LOST {attempt_id} was passed on to {record.runs[attempt_id][0]} and its connection "
            "closed without an answer"
            for each in clients for attempt_id, moment in each.unanswered
            if platform.ended_at(moment) and attempt_id in record.runs
            and not grey_names & set(record.runs[attempt_id])]
    return lost if len(lost) > ALLOWED else []


main(os.path.dirname(os.path.abspath(__file__)), case)
