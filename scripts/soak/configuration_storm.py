#!/usr/bin/env python3
"""Publishes series of configurations to daemon processes amid disturbances, and checks that all
entries use each version in time. Prints one line of JSON; exits with 1 on a violation.
"""

import argparse
import asyncio
import collections
import functools
import glob
import json
import random
import re
import sys
import tempfile

from callers import REQUEST_ERRORS, Callers, RequestTemplate
from disturbances import Disturbances
from disturbedstore import DisturbedStore
from fleet import CALLERS, Fleet
from invariants import HostMonitor
from routehistory import RouteHistory, StormChecker

REGIONS = {"a1": "a", "b1": "b", "c1": "c", "a2": "a", "b2": "b", "c2": "c"}
SERVICES = [f"service-{index}" for index in range(6)]
READY_WITHIN_S = 20
MAX_VERSIONS, VERSION_INTERVAL_S = 130, 0.08
BURST_SIZES, PAUSE_RANGE_S = (4, 20), (0.5, 3.0)
PROBE_INTERVAL_RANGE_S, PROBE_PATIENCE_S, PROBE_DEADLINE_S = (0.05, 0.15), 3, 2
MAX_REPORTED = 10
COUNTED_LOG_EVENTS = ["configuration_in_force", "store_lost", "store_reading_started",
                      "fetch_failed", "publication_unreadable", "publications_passed_over",
                      "publications_outdated", "publications_current"]


class StormFleet(Fleet):
    """Fleet whose entries reach a store that can be disturbed for each of them."""

    def __init__(self, options, checker, directory):
        super().__init__(options, random.Random(f"{options.seed} heartbeats"), checker, directory,
                         REGIONS, SERVICES)
        self.storm_random = random.Random(f"{options.seed} storm")
        self.store = DisturbedStore(random.Random(f"{options.seed} store"))
        self.store_writer.store = self.store
        for entry in self.entries:
            entry.store_proxy.serve = functools.partial(self.store.serve_entry, entry.index)
        self.version_count = 0

    async def publish_configuration(self):
        """Publishes the next version with changes of some routes."""
        history, now = self.checker.history, asyncio.get_running_loop().time()
        if self.version_count == 0:
            history.add_initial(now)
        else:
            history.change(now)
        self.version_count += 1
        self.version += self.storm_random.randint(1, 5)
        await self.write_configuration(history.rows())

    async def run_storm(self, until):
        """Publishes bursts of versions."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            for _ in range(self.storm_random.randint(*BURST_SIZES)):
                if self.version_count < MAX_VERSIONS and loop.time() < until:
                    await self.publish_configuration()
                    await asyncio.sleep(VERSION_INTERVAL_S)
            await asyncio.sleep(self.storm_random.uniform(*PAUSE_RANGE_S))


class Probes:
    """Send requests for recently changed routes directly to each entry."""

    def __init__(self, checker, seed):
        self.checker = checker
        self.seed = seed
        self.random = random.Random(f"{seed} probes")
        self.count = 0

    async def run(self, entry, until):
        loop = asyncio.get_running_loop()
        connection = None
        while loop.time() < until:
            await asyncio.sleep(self.random.uniform(*PROBE_INTERVAL_RANGE_S))
            path = self.checker.history.choose_path(self.random, loop.time())
            self.count += 1
            request, sent = f"{self.seed}-{self.count}", loop.time()
            status, connection = await self.exchange(entry, request, path, connection)
            self.checker.on_probe(entry, request, path, status, sent, loop.time())

    async def exchange(self, entry, request, path, connection):
        """Returns the status (None without a response), and the connection if it is reusable."""
        template = RequestTemplate("GET", path + "1", None, False, None)
        try:
            reader, writer = connection or await asyncio.wait_for(
                asyncio.open_connection(entry.ip, CALLERS), PROBE_PATIENCE_S)
            writer.write(Callers.request_bytes(request, template, ""))
            response = await asyncio.wait_for(Callers.read_response(reader), PROBE_PATIENCE_S)
        except REQUEST_ERRORS:
            if connection:
                connection[1].close()
            return None, None
        if response.is_persistent:
            return response.status, (reader, writer)
        writer.close()
        return response.status, None


class Storm:
    """One run of a storm beside the disturbances of some forms."""

    def __init__(self, options):
        self.options = options
        random.seed(options.seed)
        self.log_directory = tempfile.mkdtemp(prefix="anvilsaddle-storm-")
        history = RouteHistory(random.Random(f"{options.seed} routes"), SERVICES)
        self.checker = StormChecker(history)
        self.fleet = StormFleet(options, self.checker, self.log_directory)
        self.disturbances = Disturbances(self.fleet, self.checker, options.seed)
        self.probes = Probes(self.checker, options.seed)
        self.host_monitor = HostMonitor(self.checker.faults)

    async def is_ready(self, entry):
        """Tells whether the entry serves a route of the first version."""
        status, connection = await self.probes.exchange(entry, "ready", "/r1/", None)
        if connection:
            connection[1].close()
        return status == 200

    async def wait_until_ready(self):
        loop = asyncio.get_running_loop()
        until = loop.time() + READY_WITHIN_S
        while loop.time() < until:
            if all([await self.is_ready(entry) for entry in self.fleet.entries]):
                return
            await asyncio.sleep(0.1)
        self.checker.report_violation("liveness violated: the fleet did not become ready")

    async def run(self):
        loop = asyncio.get_running_loop()
        background = [asyncio.create_task(self.host_monitor.run())]
        await self.fleet.start()
        await self.wait_until_ready()
        until = loop.time() + self.options.seconds
        background += [asyncio.create_task(self.disturbances.forms[form]())
                       for form in self.options.form]
        await asyncio.gather(self.fleet.run_storm(until), *(
            self.probes.run(entry, until) for entry in self.fleet.entries))
        self.fleet.check_processes()
        for task in background:
            task.cancel()
        for result in await asyncio.gather(*background, return_exceptions=True):
            if isinstance(result, Exception):
                raise result
        # Connections that are still open are closed with the event loop; ignore their errors.
        loop.set_exception_handler(lambda loop, context: None)
        await self.fleet.stop()

    def count_log_events(self):
        counts = collections.Counter()
        for path in glob.glob(f"{self.log_directory}/*.log"):
            with open(path, encoding="utf-8", errors="replace") as file:
                counts.update(re.findall("|".join(COUNTED_LOG_EVENTS), file.read()))
        return dict(counts)

    def report(self):
        checker, entries = self.checker, [entry for _, entry in self.checker.late]
        return {
            "form": "+".join(self.options.form), "seed": self.options.seed,
            "binary": self.options.binary, "versions": self.fleet.version_count,
            "requests": self.probes.count, "checked": checker.counts["checked"],
            "late": len(entries),
            "largest_lateness_s": round(max((each for each, _ in checker.late), default=0), 2),
            "largest_delay_s": round(checker.largest_delay_s, 2),
            "late_by_entry": collections.Counter(f"{each.domain}/{each.index}" for each in entries),
            "late_by_region": collections.Counter(REGIONS[each.domain] for each in entries),
            "excused": checker.counts["excused"], "excused_late": checker.counts["excused_late"],
            "statuses": checker.statuses, "log_events": self.count_log_events(),
            "largest_lag_s": round(self.host_monitor.max_timer_lag_s, 3),
            "logs": self.log_directory,
            "violation_count": len(checker.violations),
            "violations": checker.violations[:MAX_REPORTED]}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--form", action="append", required=True, help="kind of disturbance")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--entries", type=int, default=18)
    parser.add_argument("--targets", type=int, default=38)
    parser.add_argument("--network", type=int, default=0,
                        help="N in addresses 127.N.x.x; use different numbers for parallel runs")
    parser.add_argument("--binary", default="build/src/anvilsaddled/anvilsaddled")
    options = parser.parse_args()
    storm = Storm(options)
    if unknown := set(options.form) - set(storm.disturbances.forms):
        parser.error(f"unknown forms {unknown}; known are {list(storm.disturbances.forms)}")
    try:
        asyncio.run(storm.run())
    finally:
        storm.fleet.kill()
    print(json.dumps(storm.report()))
    return 1 if storm.checker.violations else 0


if __name__ == "__main__":
    sys.exit(main())
