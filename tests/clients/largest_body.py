"""Sends a body of the largest permitted size through a daemon with the memory of the smallest VM.

Guards against a body that is in memory more than once, or with spare capacity: 64 MiB, with a length
or in chunks, must pass on a VM of 112 MB. Also guards against limits on memory that refuse a proper
client. Run it alone.
"""

import argparse
import asyncio
import os
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import crowd
from entry_site import CALLERS, KIB, MIB, LargeResponseTarget, PeakSampler, Site
from fakes import read_head

# The smallest VM and the largest permitted body.
MEMORY_MB, DESCRIPTORS, BODY_LIMIT = 112, 2870, 64 * MIB
CHUNK, ANSWER_TIMEOUT_S, TARGET_SLOTS = 256 * KIB, 300, 64


class CountingTarget(LargeResponseTarget):
    """Responds with the number of bytes of the body."""

    async def execute(self, line, headers, body):
        response = await super().execute(line, headers, b"")
        if not line.startswith("POST") or not response.startswith(b"HTTP/1.1 200"):
            return response
        return self.sign(headers, str(len(body)).encode())


async def upload(site, is_chunked):
    """Returns the number of bytes that the target has received, or a description of the failure."""
    reader, writer = await asyncio.open_connection(site.ip, CALLERS)
    framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {BODY_LIMIT}"
    writer.write(crowd.head_bytes(framing))
    for _ in range(BODY_LIMIT // CHUNK):
        writer.write(crowd.chunk(CHUNK) if is_chunked else b"c" * CHUNK)
        await writer.drain()
    if is_chunked:
        writer.write(b"0\r\n\r\n")
    head = await asyncio.wait_for(read_head(reader), ANSWER_TIMEOUT_S)
    if not head or " 200 " not in head[0]:
        return str(head)
    return int(await reader.readexactly(int(head[1]["content-length"])))


async def run(options):
    failed = False
    with tempfile.TemporaryDirectory(prefix="largest-") as directory:
        site = Site(options.binary, options.network, directory, BODY_LIMIT, CountingTarget)
        try:
            await site.start(TARGET_SLOTS)
            for is_chunked in (False, True):
                name = "chunked" if is_chunked else "length"
                await site.start_process(name, MEMORY_MB, DESCRIPTORS)
                peak = PeakSampler(site)
                try:
                    result = await upload(site, is_chunked)
                except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
                    result = repr(error)
                await peak.stop()
                passed = result == BODY_LIMIT and peak.memory_kb <= MEMORY_MB * KIB
                failed = failed or not passed
                print(f"{name}: {'ok' if passed else 'failed'}; target received {result}, peak "
                      f"{peak.memory_kb / KIB:.1f} of {MEMORY_MB} MB with the unread bytes", flush=True)
                site.stop_process()
        finally:
            site.stop_process()
    sys.stdout.flush()
    # Connections of the fakes may still be open; their tasks need no orderly end.
    os._exit(1 if failed else 0)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", required=True)
    parser.add_argument("--network", type=int, default=78, help="second byte of the addresses")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
