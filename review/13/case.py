"""A larger limit for heads: the first long field of a client within the limits ends the entry that reads it."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins3 import Connection, Deployment, KeptPosts, keep_running, now, run_case  # noqa: E402

ZONES = {"norte-a": "norte", "norte-b": "norte"}
HOST = "hulo84.example"
FILING_WORK_S, FILING_BYTES, FILING_MS = 0.12, 5000, 2000
LOOK_WORK_S, LOOK_BYTES, LOOK_MS = 0.09, 1500, 1500
OLD_HEADER_BYTES, NEW_HEADER_BYTES = 16_384, 131_072
LONG_FIELD_BYTES = 70_000
# Clients use the larger limit from 5 s after its acknowledgement on; configPropagationS is 2.5.
WAIT_S, LONG_FIELDS, LONG_FIELD_PAUSE_S = 5.0, 8, 0.7
FILING_CLIENTS = 40
ALLOWED_LOSSES = 3


async def play(folder, network, trouble):
    random.seed(13)
    deployment = Deployment(folder, network, ZONES)
    try:
        return await play_in(deployment, trouble)
    finally:
        deployment.stop()


def configure(deployment, version, header_bytes):
    deployment.configure(version, [["r-looks", HOST, "/looks/", "safe", 0.8, 0.25, 2, "padron", 2, []],
                                   ["r-filings", HOST, "/filings/", "unsafe", 1.0, 0.3, 1, "ventanilla", 2, []]],
                         ["padron", "ventanilla"], header_bytes)
    deployment.record.add(f"the store acknowledges version {version}, headerBytes {header_bytes}")


async def play_in(deployment, trouble):
    await deployment.add_workers("padron", list(ZONES) * 4, LOOK_WORK_S, LOOK_BYTES)
    await deployment.add_workers("ventanilla", list(ZONES) * 6, FILING_WORK_S, FILING_BYTES)
    configure(deployment, 7, OLD_HEADER_BYTES)
    await deployment.start(list(ZONES) * 2)

    duration = WAIT_S + LONG_FIELDS * LONG_FIELD_PAUSE_S + 1
    until = now() + duration
    ends, statuses = [], []
    platform = asyncio.create_task(keep_running(deployment, ends))
    posts = KeptPosts(deployment, HOST, "/filings/new", FILING_MS)
    tasks = [asyncio.create_task(posts.client(number, until, 0.05)) for number in range(FILING_CLIENTS)]
    if trouble:
        configure(deployment, 9, NEW_HEADER_BYTES)
    await asyncio.sleep(WAIT_S)
    # Within the limit in force: without the change, the field is a quarter shorter than the old limit.
    size = LONG_FIELD_BYTES if trouble else OLD_HEADER_BYTES * 3 // 4
    for number in range(LONG_FIELDS):
        request = f"long-{number}"
        try:
            connection = await Connection(deployment, deployment.entries[number % len(deployment.entries)],
                                          f"reader {number}").open()
            deployment.record.add(f"{request} has a field of {size} bytes")
            connection.send("GET", HOST, "/looks/a", request, LOOK_MS, fields=("Cookie: " + "c" * size,))
            answer = await connection.receive(request)
            statuses.append(answer[0] if answer is not None else "none")
            connection.close()
        except (OSError, asyncio.TimeoutError):
            statuses.append("no connection")
        await asyncio.sleep(LONG_FIELD_PAUSE_S)
    await asyncio.gather(*tasks)
    platform.cancel()
    deployment.record.add(f"result: {len(ends)} ends, {posts.lost} lost, long fields {statuses}")
    print(f"{len(statuses)} requests with a field of {size} bytes: {statuses}; {len(ends)} processes ended by themselves; of "
          f"{posts.sent} POSTs to sound workers on kept connections, lost without an answer: {sum(posts.lost.values())}, on one "
          f"machine at most {posts.most_lost()} (allowed: {ALLOWED_LOSSES})")
    return posts.most_lost() > ALLOWED_LOSSES


if __name__ == "__main__":
    run_case(play)
