"""Starts a daemon with little memory and plays clients that hold what they send or don't read.

Guards against clients that exhaust the memory or the descriptors of an entry: bodies that stop just
short of their end, bodies over the limit, chunked bodies without an end, responses that are not
read or whose target stops, heads of many fields, and connections without a request; also while the
configuration changes, the store is away or the process stops. For each kind a new process is
started. The test checks that the process lives, that its memory (with the bytes that it has not
read) and its descriptors stay within its settings, that no request ran that was refused with a
promise that it did not, and that an ordinary request is answered afterwards. It checks no times and
no share of served requests, so that its verdict does not depend on the speed of the host. Run it
alone.
"""

import argparse
import asyncio
import dataclasses
import os
import resource
import signal
import subprocess
import sys
import tempfile
import typing

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import crowd
from entry_site import (ALL_PORTS, CALLERS, CONTROL, DIRECTORY, OPERATORS, PEERS, READINESS, ROOT,
                        STOP_TIMEOUT_S, PeakSampler, Site, status_kb)

# The bounds that are checked are the settings of the process.
MEMORY_MB, DESCRIPTORS, MANY_DESCRIPTORS = 64, 512, 2870
# The crowd of each kind sends or requests about twice the memory of the process.
CROWD, CONNECTION_CROWD, MIXED_CROWD, RESPONSE_CROWD, SMALL_CROWD = 32, 600, 240, 300, 900
UPLOADERS = 4
TARGET_SLOTS = 512
# Longer than the timeouts of a request that stops arriving, so that ended clients come back.
CROWD_S = 7.0
ANSWER_TIMEOUT_S, DISTURBANCE_INTERVAL_S, OUTAGE_S = 90, 0.3, 3.0
RETURN_PAUSE_S = 0.05


# Disturbances during a crowd

async def change_configuration(site):
    """Writes versions of the configuration and changes the settings, each with a signal."""
    count = 0
    while True:
        count += 1
        site.put_configuration()
        site.write_settings(MEMORY_MB, MANY_DESCRIPTORS, f', "{site.ip}:{1 + count}"')
        site.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(DISTURBANCE_INTERVAL_S)


async def interrupt_store(site):
    await asyncio.sleep(1)
    site.store.add_copy_if_due()
    site.store.go_away()
    await asyncio.sleep(OUTAGE_S)
    site.store.restore(site.store.copies[-1])


async def stop_gracefully(site):
    await asyncio.sleep(CROWD_S / 2)
    site.process.send_signal(signal.SIGTERM)


@dataclasses.dataclass(frozen=True)
class Kind:
    """What a crowd does, and where. The clients use the functions and the ports in turn."""

    sends: typing.Sequence[typing.Callable]
    count: int = CROWD
    ports: typing.Sequence[int] = (CALLERS,)
    descriptors: int = DESCRIPTORS
    pause_s: float = RETURN_PAUSE_S
    disturb: typing.Optional[typing.Callable] = None
    receive_buffer: typing.Optional[int] = 4096


def mixed(**changes):
    return Kind(**{"sends": crowd.UPLOADS, "count": MIXED_CROWD, "descriptors": MANY_DESCRIPTORS,
                   **changes})


def responses(send, **changes):
    return Kind([send], RESPONSE_CROWD, descriptors=MANY_DESCRIPTORS, **changes)


KINDS = {
    "whole": Kind([crowd.send_whole]),
    "pieces": Kind([crowd.send_pieces]),
    "large_chunks": Kind([crowd.send_large_chunks]),
    "small_chunks": Kind([crowd.send_small_chunks]),
    "endless_chunks": Kind([crowd.send_endless_chunks]),
    "announced": Kind([crowd.announce_too_much]),
    "over_limit": Kind([crowd.send_too_much]),
    "slow_readers": Kind([crowd.request_without_reading]),
    "half_heads": Kind([crowd.send_half_head], CONNECTION_CROWD),
    "forward_port": Kind([crowd.send_whole], ports=[PEERS]),
    "other_ports": Kind([crowd.send_whole], ports=[READINESS, DIRECTORY, CONTROL, OPERATORS]),
    "small_bodies": Kind([crowd.send_small_body], SMALL_CROWD, descriptors=MANY_DESCRIPTORS),
    "small_chunked_bodies": Kind([crowd.send_small_chunked_body], SMALL_CROWD,
                                 descriptors=MANY_DESCRIPTORS),
    "many_fields": Kind([crowd.send_many_fields], SMALL_CROWD, descriptors=MANY_DESCRIPTORS),
    "large_half_heads": Kind([crowd.send_large_half_head], SMALL_CROWD,
                             descriptors=MANY_DESCRIPTORS),
    "bytewise_heads": Kind([crowd.send_bytewise_head], SMALL_CROWD, descriptors=MANY_DESCRIPTORS),
    "resets": Kind([crowd.reset_upload], MIXED_CROWD, descriptors=MANY_DESCRIPTORS),
    "unread_responses": responses(crowd.request_long_without_reading),
    "large_responses": responses(crowd.request_long, receive_buffer=None),
    "stalled_responses": responses(crowd.request_stalled),
    "mixed": mixed(),
    "mixed_all_ports": mixed(ports=ALL_PORTS),
    "mixed_returning": mixed(pause_s=0),
    "mixed_reload": mixed(disturb=change_configuration),
    "mixed_outage": mixed(disturb=interrupt_store),
    "mixed_stop": mixed(disturb=stop_gracefully),
}


async def play_crowd(site, kind, refused):
    """Plays the clients for a while. Returns the largest figures of the process meanwhile."""
    peak = PeakSampler(site)
    tasks = [asyncio.create_task(crowd.play_client(
        site.ip, kind.ports[index % len(kind.ports)], kind.sends[index % len(kind.sends)],
        kind.pause_s, kind.receive_buffer)) for index in range(kind.count)]
    tasks += [asyncio.create_task(crowd.play_uploader(site.ip, refused))
              for _ in range(UPLOADERS)]
    if kind.disturb:
        tasks.append(asyncio.create_task(kind.disturb(site)))
    await asyncio.sleep(CROWD_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return peak


async def check_kind(site, name):
    """Returns the failures of one kind of clients."""
    kind, failures, refused = KINDS[name], [], set()
    await site.start_process(name, MEMORY_MB, kind.descriptors)
    base_kb = status_kb(site.process.pid, "VmRSS:")
    peak = await play_crowd(site, kind, refused)
    if kind.disturb is stop_gracefully:
        if not await site.has_ended(STOP_TIMEOUT_S):
            failures.append("the process did not stop")
        elif site.process.poll() != 0:
            failures.append(f"the process stopped with status {site.process.poll()}")
        await peak.stop()
        await site.start_process(name, MEMORY_MB, kind.descriptors)
    answered = await site.is_answered(ANSWER_TIMEOUT_S)
    await peak.stop()
    if site.process.poll() is not None:
        failures.append(f"the process ended with status {site.process.poll()}")
    if peak.memory_kb > MEMORY_MB * 1024:
        failures.append("memory over the bound")
    if peak.descriptors > kind.descriptors:
        failures.append("descriptors over the bound")
    if refused & site.executed:
        failures.append(f"{len(refused & site.executed)} requests ran and were refused")
    if not answered:
        failures.append("an ordinary request was not answered afterwards")
    print(f"{name}: {', '.join(failures) or 'ok'}; memory {base_kb // 1024} MB at start, peak "
          f"{peak.memory_kb / 1024:.1f} of {MEMORY_MB} MB with up to {peak.unread_kb / 1024:.1f} "
          f"MB unread, descriptors {peak.descriptors} of {kind.descriptors}", flush=True)
    site.stop_process()
    return failures


def known_failures():
    """Kinds that KNOWN-RED.txt lists as failing because of known faults, one line each."""
    prefix = "clients: "
    with open(os.path.join(ROOT, "KNOWN-RED.txt"), encoding="utf-8") as file:
        return {line[len(prefix):].split(";")[0] for line in file if line.startswith(prefix)}


async def run(options):
    failed, known = [], known_failures()
    if known and not options.kinds:
        print("Passed over (KNOWN-RED.txt):", " ".join(sorted(known)), flush=True)
    names = options.kinds or [name for name in KINDS if name not in known]
    with tempfile.TemporaryDirectory(prefix="clients-") as directory:
        site = Site(options.binary, options.network, directory, crowd.BODY_LIMIT)
        try:
            await site.start(TARGET_SLOTS)
            for name in names:
                if await check_kind(site, name):
                    failed.append(name)
        finally:
            site.stop_process()
            if options.logs:
                subprocess.run(["cp", "-r", directory + "/.", options.logs], check=False)
    print("failed: " + ", ".join(failed) if failed else "all kinds passed")
    sys.stdout.flush()
    # Connections of the fakes may still be open; their tasks need no orderly end.
    os._exit(1 if failed else 0)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", required=True)
    parser.add_argument("--network", type=int, default=77, help="second byte of the addresses")
    parser.add_argument("--logs", help="folder to which the logs are copied")
    parser.add_argument("kinds", nargs="*", help=f"some of: {', '.join(KINDS)}")
    options = parser.parse_args()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 8192)), hard))
    signal.signal(signal.SIGTERM, lambda *_: (_ for _ in ()).throw(KeyboardInterrupt()))
    asyncio.run(run(options))


if __name__ == "__main__":
    main()
