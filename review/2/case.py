"""A worker runs receipts and fails some of them with 503; clients are told that they did not run."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins import (BROKEN, HELD, ID, SIGNATURE, TROUBLE, CannotRun, Connection, Deployment,
                      Worker, message, play, read_message, request_bytes)

FOLDER = os.path.dirname(os.path.abspath(__file__))
SERVICE = "payment-book"
WORK_S, PAUSE_S, CLIENTS, DURATION_S, DEADLINE_S = 0.1, 0.05, 12, 30, 5
# `srv_grey` of `fleetbench kinds`: a share of 0.15 of the workers fails 0.4 of its requests.
WORKERS, GREY_WORKERS, GREY_SHARE = 7, 1, 0.4
RETRIES, MAX_RETRY_AFTER_SHARE = 2, 1 / 3
PROMISES = ("408", "421", "429", "503")
ROUTES = [["fruit-intake", "jepu9.example", "/fruit/", "unsafe", SERVICE, 5, 0.5, 1, 2]]


class GreyWorker(Worker):
    """Its health check is good, but it fails part of its requests after it has run them. These
    answers don't have X-Anvilsaddle-Not-Executed."""

    async def send_answer(self, connection, identity, writer):
        if not TROUBLE or random.random() >= GREY_SHARE:
            return await super().send_answer(connection, identity, writer)
        self.record.add("worker_failed", id=identity, worker=self.name, status=503)
        writer.write(message("503 Service Unavailable",
                             {ID: identity, SIGNATURE: f"s.{self.name}.{identity}", **self.load()},
                             b"failed after the receipt was booked"))
        return True


def workers(record):
    return [(GreyWorker if index < GREY_WORKERS else Worker)(f"i-{index}", SERVICE, record, WORK_S)
            for index in range(WORKERS)]


async def attempt(deployment, entry, connection, identity, remaining_s, record):
    """Returns the status, the headers and the connection if it can be reused."""
    try:
        connection = connection or await Connection.open(entry)
        connection.writer.write(request_bytes("POST", "/fruit/2f", identity,
                                              int(remaining_s * 1000), b"receipt"))
        answer = await asyncio.wait_for(read_message(connection.reader), remaining_s)
    except (OSError, asyncio.TimeoutError):
        answer = None
    status = answer[0].split(" ")[1] if answer else "none"
    record.add("answered", id=identity, status=status)
    if answer is None or answer[1].get("connection") == "close":
        if connection:
            connection.close()
        return status, {}, None
    return status, answer[1], connection


async def client(number, deployment, until, outcomes, receipts):
    """Sends receipts; repeats one only after a promise, on a new connection, with a new id."""
    record, entry, connection, count = deployment.record, deployment.entries[0], None, 0
    while record.now() < until:
        count += 1
        end, attempts = record.now() + DEADLINE_S, []
        receipts.append(attempts)
        for retry in range(RETRIES + 1):
            identity = f"c{number}-{count}-{retry}"
            attempts.append(identity)
            remaining_s = end - record.now()
            record.add("sent", id=identity, receipt=f"c{number}-{count}")
            status, headers, connection = await attempt(deployment, entry, connection, identity,
                                                        remaining_s, record)
            outcomes.append((identity, status))
            if status not in PROMISES:
                break
            wait_s = float(headers.get("retry-after", 0.05))
            remaining_s = end - record.now()
            if remaining_s < 0.5:
                break
            await asyncio.sleep(min(wait_s, remaining_s * MAX_RETRY_AFTER_SHARE))
            if connection:
                connection.close()
                connection = None
        await asyncio.sleep(PAUSE_S)
    if connection:
        connection.close()


async def scenario():
    deployment = Deployment(FOLDER, 1, workers, ROUTES)
    try:
        await deployment.start()
        until, outcomes, receipts = deployment.record.now() + DURATION_S, [], []
        await asyncio.gather(*(client(number, deployment, until, outcomes, receipts)
                               for number in range(CLIENTS)))
        ran = {identity for worker in deployment.workers for identity in worker.run_count}
        broken = [identity for identity, status in outcomes
                  if status in PROMISES and identity in ran]
        twice = [attempts for attempts in receipts
                 if sum(identity in ran for identity in attempts) > 1]
        served = sum(status == "200" for _, status in outcomes)
        summary = {"attempts": len(outcomes), "served": served,
                   "answered_as_not_run_but_had_run": len(broken),
                   "receipts_booked_more_than_once": len(twice)}
        deployment.record.add("summary", **summary)
        print(summary)
        if served < 100:
            raise CannotRun("too few requests were served")
        return BROKEN if broken else HELD
    finally:
        deployment.stop()


play(scenario)
