"""Case 8: one answer that breaks off takes the requests behind it on the client's connection along."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins2 import (ATTEMPT_ID, ENTRY_PORTS, WORKER_PORT, ZONES, CannotRun, Deployment, main,
                       put_configuration, read_head, response)

LOAD_S = 11
# garble: at most 0.35 of the workers, 0.02 of their answers, 5.5 s.
TROUBLE_FROM_S, TROUBLE_FOR_S = 2.5, 5.5
FAULTY_SHARE, BROKEN_SHARE = 0.35, 0.02
SERVICES = {"biblioteca": 12, "padron": 14}
SLOTS, QUEUE = 3, 12
DOWNLOAD_WORK_S, LOOKUP_WORK_S = 0.06, 0.04
DOWNLOAD_BYTES = 360_000
CLIENTS, BEHIND = 32, 4
DEADLINE_MS = 5000
# LOST counts from more than so many.
ALLOWED = 3


class Trouble:
    """Breaks off a share of the answers of the faulty workers."""

    def __init__(self):
        self.answers = self.broken = 0

    def breaks_off(self):
        self.answers += 1
        if self.broken + 1 > BROKEN_SHARE * self.answers:
            return False
        self.broken += 1
        return True


class Worker:
    def __init__(self, name, service, ip, record):
        self.name, self.service, self.ip, self.record = name, service, ip, record
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = self.running = 0
        # The broken answers of all faulty workers; None while this one is sound.
        self.trouble = None

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
                    answer = await self.run(headers)
                    if self.breaks_off():
                        self.record.add(f"{self.name} breaks off {headers[ATTEMPT_ID]}")
                        writer.write(answer[:int(len(answer) * random.uniform(0.8, 0.95))])
                        await writer.drain()
                        break
                    writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        writer.close()

    def breaks_off(self):
        return self.trouble is not None and self.trouble.breaks_off()

    async def run(self, headers):
        attempt_id = headers[ATTEMPT_ID]
        identity = {"X-Anvilsaddle-Attempt-Id": attempt_id}
        if headers.get("x-anvilsaddle-expected-instance") not in (None, self.name):
            return response(421, {"X-Anvilsaddle-Instance-Id": self.name})
        if self.running >= SLOTS and self.waiting >= QUEUE:
            return response(503, {"X-Anvilsaddle-Not-Executed": "1", **identity, **self.load()})
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        is_download = self.service == "biblioteca"
        try:
            self.record.on_run(attempt_id, self.name)
            await asyncio.sleep(random.uniform(0.7, 1.3) *
                                (DOWNLOAD_WORK_S if is_download else LOOKUP_WORK_S))
        finally:
            self.running -= 1
            self.slots.release()
        return response(200, {**identity, **self.load(),
                              "X-Anvilsaddle-Response-Signature": f"s.{self.name}.{attempt_id}"},
                        b"x" * DOWNLOAD_BYTES if is_download else b"found")


class Client:
    """Keeps a connection for many requests, and sends lookups behind a download before the download
    has been answered."""

    def __init__(self, index, deployment, record):
        self.index, self.record = index, record
        self.ip = deployment.entry_ip(index % deployment.entry_count)
        self.number = 0
        # Attempt ids that got no answer on a kept connection that the entry closed.
        self.unanswered = []

    def next_request(self, path):
        self.number += 1
        attempt_id = f"{self.index:04x}{self.number:012x}"
        self.record.add(f"sent {attempt_id} {path}")
        return attempt_id, (f"GET {path} HTTP/1.1\r\nHost: jepu9.example\r\n"
                            f"X-Anvilsaddle-Attempt-Id: {attempt_id}\r\n"
                            f"X-Anvilsaddle-Remaining-Milliseconds: {DEADLINE_MS}\r\n\r\n").encode()

    async def run(self, until):
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            try:
                reader, writer = await asyncio.open_connection(self.ip, ENTRY_PORTS["front"],
                                                               limit=2 ** 20)
            except OSError as error:
                raise CannotRun(f"no connection to an entry: {error}") from error
            # The first request makes it a kept connection.
            is_open = await self.exchange(reader, writer, ["/find/2f"], False)
            while is_open and loop.time() < until:
                is_open = await self.exchange(reader, writer,
                                              ["/file/2f"] + ["/find/2f"] * BEHIND, True)
                await asyncio.sleep(random.uniform(0, 0.02))
            writer.close()

    async def exchange(self, reader, writer, paths, is_kept):
        """Sends requests at once and reads the answers. Returns false if the connection ended."""
        requests = [self.next_request(path) for path in paths]
        writer.write(b"".join(data for _, data in requests))
        waiting = [attempt_id for attempt_id, _ in requests]
        try:
            while waiting:
                status, close = await asyncio.wait_for(self.read_answer(reader), DEADLINE_MS / 1000)
                self.record.on_answer(waiting.pop(0), status)
                if close:
                    # What was sent behind this answer counts as not read.
                    return False
        except asyncio.TimeoutError:
            self.record.add(f"deadline of {waiting[0]}")
            return False
        except (OSError, asyncio.IncompleteReadError):
            self.record.add(f"closed by the entry without answers to {' '.join(waiting)}")
            # The first one is the answer that broke off.
            self.unanswered += waiting[1:] if is_kept and waiting[0] == requests[0][0] else waiting
            return False
        return True

    @staticmethod
    async def read_answer(reader):
        head = await read_head(reader)
        if head is None:
            raise ConnectionResetError
        await reader.readexactly(int(head[1].get("content-length", "0")))
        return int(head[0].split(" ")[1]), head[1].get("connection", "").lower() == "close"


async def case(record, trouble):
    deployment = Deployment(record, 2)
    workers = []
    try:
        put_configuration(
            deployment.store,
            [("r-1", "jepu9.example", "/find/", "safe", 5, 0.25, 2, "padron", 2),
             ("r-2", "jepu9.example", "/file/", "download", 5, 0.6, 2, "biblioteca", 2)],
            list(SERVICES))
        for service, count in SERVICES.items():
            for index in range(count):
                worker = Worker(f"i-{service}{index}", service,
                                f"{deployment.prefix}.{100 + len(workers)}", record)
                workers.append(worker)
                await asyncio.start_server(worker.serve, worker.ip, WORKER_PORT)
                deployment.store.put(f"servers/{worker.name}", {
                    "service": service, "address": f"{worker.ip}:{WORKER_PORT}",
                    "zone": list(ZONES)[index % len(ZONES)], "version": "v1", "slots": SLOTS,
                    "state": "ready", "coldRemainingS": 0, "sequence": 1,
                    "born": 1796000000000 + len(workers)})
        await deployment.start()
        until = asyncio.get_running_loop().time() + LOAD_S
        clients = [Client(index, deployment, record) for index in range(CLIENTS)]
        tasks = [asyncio.create_task(each.run(until)) for each in clients]
        await asyncio.sleep(TROUBLE_FROM_S)
        faulty = workers[:int(FAULTY_SHARE * SERVICES["biblioteca"])]
        broken = Trouble()
        for worker in faulty:
            worker.trouble = broken if trouble else None
        await asyncio.sleep(TROUBLE_FOR_S)
        for worker in faulty:
            worker.trouble = None
        await asyncio.gather(*tasks)
        if not deployment.check_alive():
            raise CannotRun("an entry ended")
    finally:
        deployment.stop()
    print("answers:", len(record.answers), "broken off:", broken.broken, "of", broken.answers)
    # All lookups go to workers without trouble.
    lost = [f"LOST {attempt_id} was passed on to {record.runs[attempt_id][0]}, and the connection "
            "closed without an answer"
            for each in clients for attempt_id in each.unanswered if attempt_id in record.runs
            and record.runs[attempt_id][0].startswith("i-padron")]
    return lost if len(lost) > ALLOWED else []


main(os.path.dirname(os.path.abspath(__file__)), case)
