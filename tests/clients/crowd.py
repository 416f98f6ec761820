"""Clients that hold what they send, don't read, or reset their connections."""

import asyncio
import itertools
import random
import socket
import struct

from entry_site import CALLERS, KIB, MIB
from fakes import read_head

BODY_LIMIT, CROWD_BODY, SMALL_BODY = 4 * MIB, 4 * MIB - KIB, 60 * KIB
UNSENT_BYTES = 64
SLOW_READER_REQUESTS = 16
# Just below `headerBytes`.
LARGE_HEAD = 16000
# A shorter field line can't be written.
SHORTEST_FIELD = b"a:b\r\n"
BYTE_INTERVAL_S, PIECE_INTERVAL_S = 0.05, 0.01
REQUEST_IDS = itertools.count(1)


def head_bytes(framing, method="POST", path="/book/upload", more=b""):
    return (f"{method} {path} HTTP/1.1\r\nHost: h\r\n"
            f"X-Anvilsaddle-Attempt-Id: crowd-{next(REQUEST_IDS)}\r\n"
            f"{framing}\r\n").encode() + more + b"\r\n"


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
        await asyncio.sleep(PIECE_INTERVAL_S)


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


async def send_small_body(writer):
    await send(writer, [head_bytes(f"Content-Length: {SMALL_BODY}"),
                        b"s" * (SMALL_BODY - UNSENT_BYTES)])


async def send_small_chunked_body(writer):
    await send(writer, [head_bytes("Transfer-Encoding: chunked"), chunk(SMALL_BODY)])


async def send_many_fields(writer):
    """A head of many short fields takes many times its size once it is parsed."""
    count = LARGE_HEAD // len(SHORTEST_FIELD) - 40
    await send(writer, [head_bytes("Content-Length: 100", more=SHORTEST_FIELD * count), b"f"])


async def send_large_half_head(writer):
    await send(writer, [head_bytes("Content-Length: 1", more=b"x: " + b"h" * LARGE_HEAD)[:-4]])


async def send_bytewise_head(writer):
    for byte in head_bytes("Content-Length: 1"):
        await send(writer, [bytes([byte])])
        await asyncio.sleep(BYTE_INTERVAL_S)


async def send_half_head(writer):
    await send(writer, [b"POST /book/half HTTP/1.1\r\nHost: h\r\n"])


async def reset_upload(writer):
    await send(writer, [head_bytes(f"Content-Length: {CROWD_BODY}"), b"r" * MIB])
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def request_without_reading(writer):
    await send(writer, [head_bytes("Content-Length: 0", "GET", "/board/large")
                        * SLOW_READER_REQUESTS])


async def request_long_without_reading(writer):
    await send(writer, [head_bytes("Content-Length: 0", "GET", "/board/long")])


async def request_stalled(writer):
    await send(writer, [head_bytes("Content-Length: 0", "GET", "/board/stalled")])


async def request_long(writer):
    await send(writer, [head_bytes("Content-Length: 0", "GET", "/board/long")])


UPLOADS = [send_whole, send_pieces, send_large_chunks, send_small_chunks, send_endless_chunks,
           announce_too_much, send_too_much, send_small_body, send_small_chunked_body,
           send_many_fields, send_large_half_head, send_bytewise_head, reset_upload]
NEVER_READING = {request_without_reading, request_long_without_reading}


async def open_client(ip, port, receive_buffer):
    connection = socket.socket()
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(connection, (ip, port))
        return await asyncio.open_connection(sock=connection, limit=1024)
    except BaseException:
        connection.close()
        raise


async def play_client(ip, port, send_bytes, pause_s, receive_buffer=4096):
    """Sends, then stays open until the entry ends the connection; then again.

    With the small receive buffer, responses stay in the entry's process.
    """
    while True:
        writer = None
        try:
            reader, writer = await open_client(ip, port, receive_buffer)
            await send_bytes(writer)
            if send_bytes in NEVER_READING:
                await asyncio.sleep(3600)
            while await reader.read(65536):
                pass
        except OSError:
            pass
        finally:
            if writer:
                writer.transport.abort()
        await asyncio.sleep(pause_s)


async def play_uploader(ip, refused, played=None):
    """Sends complete bodies one after the other, and collects the ids of those that are refused and
    of all."""
    generator = random.Random(52)
    while True:
        request = f"proper-{next(REQUEST_IDS)}"
        size = generator.choice([SMALL_BODY, MIB, CROWD_BODY])
        if played is not None:
            played.add(request)
        writer = None
        try:
            reader, writer = await open_client(ip, CALLERS, None)
            await send(writer, [f"POST /book/upload HTTP/1.1\r\nHost: h\r\n"
                                f"X-Anvilsaddle-Attempt-Id: {request}\r\n"
                                f"Content-Length: {size}\r\n\r\n".encode(), b"u" * size])
            head = await read_head(reader)
            if head and head[0].split(" ")[1] in ("408", "421", "429", "503"):
                refused.add(request)
        except OSError:
            pass
        finally:
            if writer:
                writer.transport.abort()
        await asyncio.sleep(PIECE_INTERVAL_S)
