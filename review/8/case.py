"""Case 8: an entry goes on sending requests to a worker that says it leaves, until it exits."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins2 import (ATTEMPT_ID, WORKER_PORT, ZONES, CannotRun, Connection, Deployment, main,
                       put_configuration, read_head, response)

LOAD_S = 14
LEAVES_AT_S, DRAIN_S = 4.0, 2.5
# The worker serves for drainS "and a little longer (at times many seconds), and then exits".
EXITS_AT_S = LEAVES_AT_S + DRAIN_S + 1.5
# platform_down, "reset": at most 4.5 s.
STORE_DOWN_AT_S, STORE_DOWN_FOR_S = 3.9, 4.5
WORKERS, SLOTS, QUEUE, WORK_S = 4, 3, 6, 0.12
CLIENTS = 40
DEADLINE_MS = 2000


class Worker:
    """A worker that tells its load. When it leaves, its health is 503 and its answers say so."""

    def __init__(self, name, ip, record):
        self.name, self.ip, self.record = name, ip, record
        self.slots = asyncio.Semaphore(SLOTS)
        self.waiting = self.running = 0
        self.is_leaving = self.has_exited = False
        self.arrivals = {}
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, WORKER_PORT)

    def exit(self):
        self.has_exited = True
        self.server.close()
        for each in self.writers:
            each.transport.abort()

    def headers(self):
        result = {"X-Anvilsaddle-Server-Load": f"{self.running},{self.waiting},{SLOTS}"}
        if self.is_leaving:
            result.update({"Server-Leaving": "1", "Connection": "close"})
        return result

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                line, headers = head
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                if line.startswith("GET /health "):
                    writer.write(response(503 if self.is_leaving else 200, {
                        "X-Anvilsaddle-Instance-Id": self.name, **self.headers()}))
                else:
                    writer.write(await self.run(headers, body))
                await writer.drain()
                if self.is_leaving:
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        self.writers.discard(writer)
        writer.close()

    async def run(self, headers, body):
        attempt_id = headers[ATTEMPT_ID]
        identity = {"X-Anvilsaddle-Attempt-Id": attempt_id}
        if headers.get("x-anvilsaddle-expected-instance") not in (None, self.name):
            return response(421, {"X-Anvilsaddle-Instance-Id": self.name})
        self.arrivals[attempt_id] = asyncio.get_running_loop().time()
        if self.is_leaving:
            self.record.add(f"reaches the leaving worker {attempt_id}")
        if self.running >= SLOTS and self.waiting >= QUEUE:
            return response(503, {"X-Anvilsaddle-Not-Executed": "1", **identity, **self.headers()})
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            self.record.on_run(attempt_id, self.name)
            await asyncio.sleep(random.uniform(0.7, 1.3) * WORK_S)
        finally:
            self.running -= 1
            self.slots.release()
        return response(200, {**identity, **self.headers(),
                              "X-Anvilsaddle-Response-Signature": f"s.{self.name}.{attempt_id}"},
                        b"done " + body)


class Client:
    """Sends one request after the other through one entry."""

    def __init__(self, index, deployment, record, leaving, told):
        self.entry = index % deployment.entry_count
        self.connection = Connection(deployment.entry_ip(self.entry))
        self.index, self.record, self.leaving, self.told = index, record, leaving, told
        self.sent = {}

    async def run(self, until):
        loop = asyncio.get_running_loop()
        number = 0
        while loop.time() < until:
            number += 1
            attempt_id = f"{self.index:04x}{number:012x}"
            self.sent[attempt_id] = loop.time()
            self.record.add(f"sent {attempt_id} to entry {self.entry}")
            answer = await self.connection.request("POST", "/book/2f", "nony.example", attempt_id,
                                                   DEADLINE_MS, b"receipt")
            status = answer[0] if answer else "closed"
            self.record.on_answer(attempt_id, status)
            # Only the leaving worker's answers that it gave after its notice tell the entry.
            if (status == 200 and self.leaving.is_leaving
                    and self.record.runs[attempt_id][-1] == self.leaving.name
                    and self.leaving.notice_at < self.sent[attempt_id]):
                self.told.setdefault(self.entry, loop.time())
            if status == 503:
                await asyncio.sleep(0.2)
        self.connection.close()


async def trouble_of_store(store, is_on):
    await asyncio.sleep(STORE_DOWN_AT_S)
    if is_on:
        store.set_down(True)
        await asyncio.sleep(STORE_DOWN_FOR_S)
        store.set_down(False)


async def case(record, trouble):
    deployment = Deployment(record, 2)
    workers = []
    try:
        put_configuration(deployment.store, [("r-1", "nony.example", "/book/", "unsafe", 2, 0.3, 1,
                                              "ventanilla", 2)], ["ventanilla"])
        for index in range(WORKERS):
            worker = Worker(f"i-{index:08x}", f"{deployment.prefix}.{100 + index}", record)
            workers.append(worker)
            await worker.start()
            deployment.store.put(f"servers/{worker.name}", {
                "service": "ventanilla", "address": f"{worker.ip}:{WORKER_PORT}",
                "zone": list(ZONES)[index % len(ZONES)], "version": "v1", "slots": SLOTS,
                "state": "ready", "coldRemainingS": 0, "sequence": 1, "born": 1796000000000 + index})
        await deployment.start()
        loop = asyncio.get_running_loop()
        start = loop.time()
        leaving, told = workers[0], {}
        clients = [Client(index, deployment, record, leaving, told) for index in range(CLIENTS)]
        tasks = [asyncio.create_task(each.run(start + LOAD_S)) for each in clients]
        tasks.append(asyncio.create_task(trouble_of_store(deployment.store, trouble)))
        await asyncio.sleep(LEAVES_AT_S)
        record.add(f"{leaving.name} leaves")
        leaving.notice_at = loop.time()
        leaving.is_leaving = True
        # It never reports `draining`: its entry is removed.
        deployment.store.put(f"servers/{leaving.name}", None)
        await asyncio.sleep(EXITS_AT_S - LEAVES_AT_S)
        record.add(f"{leaving.name} exits")
        leaving.exit()
        await asyncio.gather(*tasks)
        if not deployment.check_alive():
            raise CannotRun("an entry ended")
    finally:
        deployment.stop()
    violations = []
    for each in clients:
        for attempt_id, sent_at in each.sent.items():
            if each.entry in told and sent_at > told[each.entry] + DRAIN_S \
                    and leaving.arrivals.get(attempt_id, 0) > 0:
                lost = record.answers.get(attempt_id) in (502, "closed")
                violations.append(f"DRAIN {attempt_id} sent {sent_at - told[each.entry]:.3f} s "
                                  f"after entry {each.entry} had passed on Server-Leaving"
                                  + (", ran and its answer is lost" if lost else ""))
    statuses = sorted(map(str, record.answers.values()))
    print("answers:", {each: statuses.count(each) for each in sorted(set(statuses))})
    return violations


main(os.path.dirname(os.path.abspath(__file__)), case)
