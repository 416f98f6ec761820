"""Sends uploads that make progress through a daemon whose memory holds two of them at once.

Guards against proper clients that are refused because the memory is in use: as long as those ahead
of them make progress, the others wait for it. Run it alone.
"""

import argparse
import asyncio
import os
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import crowd
from entry_site import CALLERS, KIB, MIB, PeakSampler, Site
from fakes import read_head

MEMORY_MB, DESCRIPTORS, BODY_LIMIT, TARGET_SLOTS = 64, 512, 16 * MIB, 64
# Two bodies take longer to arrive than a body may wait without progress (5 s).
UPLOADS, BODY, PIECE, PIECE_INTERVAL_S = 4, 12 * MIB, 64 * KIB, 0.04
ANSWER_TIMEOUT_S = 300


async def upload(site):
    """Returns the status of the response."""
    reader, writer = await asyncio.open_connection(site.ip, CALLERS)
    await crowd.send(writer, [crowd.head_bytes(f"Content-Length: {BODY}")])
    for _ in range(BODY // PIECE):
        await crowd.send(writer, [b"u" * PIECE])
        await asyncio.sleep(PIECE_INTERVAL_S)
    head = await asyncio.wait_for(read_head(reader), ANSWER_TIMEOUT_S)
    writer.close()
    return head[0].split(" ")[1] if head else "closed"


async def run(options):
    with tempfile.TemporaryDirectory(prefix="uploads-") as directory:
        site = Site(options.binary, options.network, directory, BODY_LIMIT)
        try:
            await site.start(TARGET_SLOTS)
            await site.start_process("uploads", MEMORY_MB, DESCRIPTORS)
            peak = PeakSampler(site)
            results = await asyncio.gather(*[upload(site) for _ in range(UPLOADS)],
                                           return_exceptions=True)
            await peak.stop()
        finally:
            site.stop_process()
    passed = results == ["200"] * UPLOADS and peak.memory_kb <= MEMORY_MB * KIB
    print(f"{'ok' if passed else 'failed'}: {' '.join(map(str, results))}, peak "
          f"{peak.memory_kb / KIB:.1f} of {MEMORY_MB} MB with the unread bytes", flush=True)
    # Connections of the fakes may still be open; their tasks need no orderly end.
    os._exit(0 if passed else 1)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", required=True)
    parser.add_argument("--network", type=int, default=80, help="second byte of the addresses")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
