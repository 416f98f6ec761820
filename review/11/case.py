"""One garbled answer of a worker, with a long line where its trailers are due, ends an entry."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins3 import Connection, Deployment, KeptPosts, keep_running, now, run_case  # noqa: E402

ZONES = {"norte-a": "norte", "norte-b": "norte"}
HOST = "hulo84.example"
# Work, answers, times and patience as in the site file: declaracion and consulta.
FILING_WORK_S, FILING_BYTES, FILING_MS = 0.12, 5000, 2000
LOOK_WORK_S, LOOK_BYTES, LOOK_MS = 0.09, 1500, 1500
# The largest dose of plain `garble` in the site file: share 0.35, x 0.02, for 5.5 s.
GARBLING_SHARE, GARBLED_PER_ANSWER, GARBLE_S = 0.35, 0.02, 5.5
LINE_BYTES = 65_600
LOOK_WORKERS, FILING_WORKERS = 20, 18
LOOKS_PER_S, FILING_CLIENTS = 150, 60
ALLOWED_LOSSES = 3


async def play(folder, network, trouble):
    random.seed(11)
    deployment = Deployment(folder, network, ZONES)
    try:
        return await play_in(deployment, trouble)
    finally:
        deployment.stop()


def spoilt(whole):
    """The answer in chunks, with a line of garbage where the trailers are due."""
    head, _, body = whole.partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if not line.startswith(b"Content-Length")]
    lines.append(b"Transfer-Encoding: chunked")
    chunks = b"%x\r\n%s\r\n0\r\n" % (len(body), body)
    return b"\r\n".join(lines) + b"\r\n\r\n" + chunks + b"x:" + b"x" * LINE_BYTES + b"\r\n\r\n"


async def look(deployment, number, answers):
    """A lookup, which may be repeated, on a connection of its own."""
    request = f"look-{number}"
    try:
        connection = await Connection(deployment, random.choice(deployment.entries), f"reader {number}").open()
    except (OSError, asyncio.TimeoutError):
        answers["no connection"] = answers.get("no connection", 0) + 1
        return
    connection.send("GET", HOST, "/looks/a", request, LOOK_MS)
    answer = await connection.receive(request)
    status = answer[0] if answer is not None else "none"
    answers[status] = answers.get(status, 0) + 1
    connection.close()


async def play_in(deployment, trouble):
    await deployment.add_workers("padron", (list(ZONES) * LOOK_WORKERS)[:LOOK_WORKERS], LOOK_WORK_S, LOOK_BYTES)
    await deployment.add_workers("ventanilla", (list(ZONES) * FILING_WORKERS)[:FILING_WORKERS], FILING_WORK_S,
                                 FILING_BYTES)
    deployment.configure(7, [["r-looks", HOST, "/looks/", "safe", 0.8, 0.25, 2, "padron", 2, []],
                             ["r-filings", HOST, "/filings/", "unsafe", 1.0, 0.3, 1, "ventanilla", 2, []]],
                         ["padron", "ventanilla"])
    await deployment.start(list(ZONES) * 2)

    lookup_workers = [each for each in deployment.workers if each.service == "padron"]
    garbling = random.sample(lookup_workers, round(GARBLING_SHARE * len(lookup_workers)))
    until = now() + GARBLE_S
    count = {"answers": 0, "spoilt": 0}

    async def garble(worker, request, whole, writer):
        # Each 50th answer of the garbling workers.
        count["answers"] += 1
        if now() < until and count["answers"] * GARBLED_PER_ANSWER >= count["spoilt"] + 1:
            count["spoilt"] += 1
            deployment.record.add(f"worker {worker.id} spoils its answer to {request}")
            whole = spoilt(whole)
        writer.write(whole)
        await writer.drain()
        return True

    if trouble:
        for worker in garbling:
            worker.answer_with = garble
    ends, answers = [], {}
    platform = asyncio.create_task(keep_running(deployment, ends))
    posts = KeptPosts(deployment, HOST, "/filings/new", FILING_MS)
    tasks = [asyncio.create_task(posts.client(number, until, 0.05)) for number in range(FILING_CLIENTS)]
    number = 0
    while now() < until:
        number += 1
        tasks.append(asyncio.create_task(look(deployment, number, answers)))
        await asyncio.sleep(1 / LOOKS_PER_S)
    await asyncio.gather(*tasks)
    platform.cancel()
    deployment.record.add(f"result: {len(ends)} ends, {posts.lost} lost, {count}, lookups {answers}")
    print(f"{count['spoilt']} spoilt answers; {len(ends)} processes ended by themselves; of {posts.sent} POSTs to sound "
          f"workers on kept connections, lost without an answer: {sum(posts.lost.values())}, on one machine at most "
          f"{posts.most_lost()} (allowed: {ALLOWED_LOSSES})")
    return posts.most_lost() > ALLOWED_LOSSES


if __name__ == "__main__":
    run_case(play)
