"""Sends uploads through an entry without targets, beside a crowd at the entry that they go to.

Guards against a body that was refused for lack of memory, on the first entry or on the one to which
it was forwarded, with a promise that it did not run although it did; and against entries that exceed
their memory meanwhile. Run it alone.
"""

import argparse
import asyncio
import os
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import crowd
from entry_site import CALLERS, KIB, PEERS, PeakSampler, Site

MEMORY_MB, DESCRIPTORS, TARGET_SLOTS = 64, 2870, 512
# Longer than a body may wait without progress, so that some are refused.
UPLOADERS, CROWD, CROWD_S, ANSWER_TIMEOUT_S = 32, 240, 15.0, 90
RETURN_PAUSE_S = 0.05


class FirstEntry(Site):
    """The entry that callers use, with the store; the targets are in another region."""

    REGIONS = {"a1": "a", "b1": "b"}
    TARGET_DOMAIN = "b1"


class SecondEntry(FirstEntry):
    """The entry to which requests are forwarded. Shares the store and the targets."""

    def __init__(self, first, number):
        super().__init__(first.binary, number, first.directory, first.body_limit)
        self.ip, self.domain, self.vm = f"127.{number}.0.11", "b1", "entry-1"
        self.seed = first.ip


async def run(options):
    failures, refused, played = [], set(), set()
    with tempfile.TemporaryDirectory(prefix="forwarded-") as directory:
        first = FirstEntry(options.binary, options.network, directory, crowd.BODY_LIMIT)
        second = SecondEntry(first, options.network)
        try:
            await first.start(TARGET_SLOTS)
            second.spawn("second", MEMORY_MB, DESCRIPTORS)
            await first.start_process("first", MEMORY_MB, DESCRIPTORS)
            peaks = [PeakSampler(site) for site in (first, second)]
            tasks = [asyncio.create_task(crowd.play_uploader(first.ip, refused, played))
                     for _ in range(UPLOADERS)]
            tasks += [asyncio.create_task(crowd.play_client(
                second.ip, (PEERS, CALLERS)[index % 2], crowd.UPLOADS[index % len(crowd.UPLOADS)],
                RETURN_PAUSE_S)) for index in range(CROWD)]
            await asyncio.sleep(CROWD_S)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            if not await first.is_answered(ANSWER_TIMEOUT_S):
                failures.append("an ordinary request was not answered afterwards")
            for site, peak in zip((first, second), peaks):
                await peak.stop()
                if site.process.poll() is not None:
                    failures.append(f"{site.vm} ended with status {site.process.poll()}")
                if peak.memory_kb > MEMORY_MB * KIB:
                    failures.append(f"memory of {site.vm} over the bound")
        finally:
            first.stop_process()
            second.stop_process()
    if refused & first.executed:
        failures.append(f"{len(refused & first.executed)} requests ran and were refused")
    print(f"{', '.join(failures) or 'ok'}; {len(played)} uploads, {len(refused)} refused, "
          f"{len(played & first.executed)} executed, peaks "
          f"{' and '.join(f'{peak.memory_kb / KIB:.1f}' for peak in peaks)} of {MEMORY_MB} MB",
          flush=True)
    # Connections of the fakes may still be open; their tasks need no orderly end.
    os._exit(1 if failures else 0)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", required=True)
    parser.add_argument("--network", type=int, default=84, help="second byte of the addresses")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
