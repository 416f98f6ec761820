#!/usr/bin/env python3
"""Randomized soak test: runs daemon processes on loopback addresses, injects faults from outside,
and checks invariants at callers and targets. Prints one line of JSON; exits with 1 on a violation.
"""

import argparse
import asyncio
import collections
import json
import random
import sys
import tempfile

from callers import Callers
from faults import FaultInjector
from fleet import REGIONS, Fleet
from invariants import CONFIGURATION_BOUND_S, FAULT_RECOVERY_S, HostMonitor, InvariantChecker

SETTLE_S = FAULT_RECOVERY_S + CONFIGURATION_BOUND_S + 1.5


class SoakTest:
    def __init__(self, options):
        self.options = options
        random_source = random.Random(options.seed)
        random.seed(options.seed)
        self.log_directory = tempfile.mkdtemp(prefix="anvilsaddle-soak-")
        self.checker = InvariantChecker(REGIONS.get)
        self.fleet = Fleet(options, random_source, self.checker, self.log_directory)
        self.callers = Callers(self.fleet, self.checker, random_source, options.seed)
        self.fault_injector = FaultInjector(self.fleet, random_source)
        self.host_monitor = HostMonitor(self.checker.fault_intervals)

    async def run(self):
        loop = asyncio.get_running_loop()
        lag_task = asyncio.create_task(self.host_monitor.run())
        await self.fleet.start()
        if not await self.callers.wait_until_ready():
            self.checker.report_violation("liveness violated: the fleet did not become ready")
        until = loop.time() + self.options.seconds
        if not self.options.restores:
            self.callers.ends_at = until
        caller_tasks = self.callers.start(self.options.callers)
        if not self.options.calm:
            await self.fault_injector.inject(until - 1, self.options.restores)
        if self.options.restores:
            await self.restore_in_calm()
        await asyncio.gather(*caller_tasks)
        if not await self.callers.wait_until_ready():
            self.checker.report_violation(
                "liveness violated: the fleet did not recover from the faults")
        self.checker.check_executions()
        self.checker.check_outcomes()
        self.fleet.check_processes()
        lag_task.cancel()
        # Connections that are still open are closed with the event loop; ignore their errors.
        loop.set_exception_handler(lambda loop, context: None)
        await self.fleet.stop()

    async def restore_in_calm(self):
        """Restores the store once more, without other faults, and continues until all time bounds
        apply again."""
        await self.fault_injector.restore_amid_changes(0)
        self.callers.ends_at = asyncio.get_running_loop().time() + SETTLE_S

    def report(self):
        return {"seed": self.options.seed, "entries": self.options.entries,
                "calls": self.callers.call_count, "logs": self.log_directory,
                "outcomes": dict(collections.Counter(self.checker.outcomes.values())),
                "restores": self.fault_injector.restore_count,
                "excused": self.checker.skipped_checks,
                "largest_lag_s": round(self.host_monitor.max_timer_lag_s, 3),
                "violations": self.checker.violations}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--entries", type=int, default=6, help="number of daemons, at most 200")
    parser.add_argument("--targets", type=int, default=12,
                        help="number of fake targets, at most 200")
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--network", type=int, default=0,
                        help="N in addresses 127.N.x.x; use different numbers for parallel runs")
    parser.add_argument("--restores", type=int, default=2,
                        help="times that the store comes back from an older copy beside the other "
                        "faults; once more follows after these (0: never)")
    parser.add_argument("--calm", action="store_true", help="inject no faults")
    parser.add_argument("--binary", default="build/src/anvilsaddled/anvilsaddled")
    options = parser.parse_args()
    if options.calm:
        options.restores = 0
    if not 1 <= options.entries <= 200 or not len(REGIONS) * 2 <= options.targets <= 200:
        parser.error("need 1 to 200 entries and 8 to 200 targets")
    test = SoakTest(options)
    try:
        asyncio.run(test.run())
    finally:
        test.fleet.kill()
    print(json.dumps(test.report()))
    return 1 if test.checker.violations else 0


if __name__ == "__main__":
    sys.exit(main())
