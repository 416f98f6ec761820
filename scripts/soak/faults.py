"""Fault injection from outside the daemons. Each fault lasts for a limited time; faults overlap."""

import asyncio
import random
import signal

from fakes import MAX_COPY_AGE_S

MIN_COPY_AGE_S = 2
# Share of targets that leave without a report that they drain.
UNREPORTED_LEAVE_SHARE = 0.3
# Share of targets that say in their responses that they leave, some seconds before the store does.
ANNOUNCED_LEAVE_SHARE = 0.5
MAX_ANNOUNCEMENT_LEAD_S = 6
# Share of these targets whose health check still succeeds.
LIED_HEALTH_SHARE = 0.5
# Targets reject requests for some time in turn, mostly one, sometimes all of a service.
REJECTION_INTERVAL_RANGE_S, REJECTION_DURATION_RANGE_S = (0.5, 2.0), (0.2, 1.5)
WAIT_RANGE_S, SERVICE_SHARE = (0.6, 6.0), 0.3
PROXY_MODES = ["reset", "silence", "delay", "one_way", "refuse"]
UNPLANNED_ENTRY_FAULTS = ["kill", "pause", "gone"]
STORE_FAULTS = ["slow", "busy", "too_many", "history", "cut", "cut_some"]


class FaultInjector:
    def __init__(self, fleet, random_source):
        self.fleet = fleet
        self.random = random_source
        self.checker = fleet.checker
        self.restore_count = 0
        # Of its own, so that the other faults of a seed stay the same.
        self.rejection_random = random.Random(f"{fleet.seed} rejections")

    async def inject(self, until, restores):
        loop = asyncio.get_running_loop()
        # A limit is checked from some seconds after its start, so one target has one all the time.
        limited = self.random.choice(self.fleet.targets)
        running = {asyncio.create_task(self.limit_requests(limited, until - loop.time()))}
        running.add(asyncio.create_task(self.reject_requests(until)))
        for _ in range(restores):
            delay_s = self.random.uniform(0, until - loop.time())
            running.add(asyncio.create_task(self.restore_amid_changes(delay_s)))
        fault_kinds = [self.entry_fault, self.entry_fault, self.link_fault, self.store_fault,
                       self.target_fault, self.operator_change]
        while loop.time() < until:
            await asyncio.sleep(self.random.expovariate(1.5))
            running.add(asyncio.create_task(self.random.choice(fault_kinds)()))
        await asyncio.gather(*running)

    def begin_fault(self, name):
        return self.checker.fault_intervals.begin(name, asyncio.get_running_loop().time())

    @staticmethod
    def end_fault(interval):
        interval[1] = asyncio.get_running_loop().time()

    # Entries

    async def entry_fault(self):
        entry = self.random.choice(self.fleet.entries)
        kind = self.random.choice(["kill", "pause", "stop", "stop", "hup", "gone"])
        if not entry.is_running():
            return
        intervals = [self.begin_fault(f"entry {entry.index}")]
        if kind in UNPLANNED_ENTRY_FAULTS:
            intervals.append(self.begin_fault(f"unplanned {entry.index}"))
        await self.inject_entry_fault(entry, kind)
        for interval in intervals:
            self.end_fault(interval)

    async def inject_entry_fault(self, entry, kind):
        if kind == "hup":
            entry.send_signal(signal.SIGHUP)
        elif kind == "pause":
            entry.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(0.3, 3))
            entry.send_signal(signal.SIGCONT)
        else:
            downtime_s = self.random.uniform(7, 9) if kind == "gone" else self.random.uniform(0, 1)
            await self.terminate_entry(entry, "stop" if kind == "stop" else "kill", downtime_s)

    async def terminate_entry(self, entry, kind, downtime_s):
        loop = asyncio.get_running_loop()
        status = await entry.terminate(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
        self.checker.down_since[entry.callers_address()] = loop.time()
        if kind == "stop" and status != 0:
            self.checker.report_violation(
                f"graceful shutdown violated: entry {entry.index} exited with status {status}")
        await asyncio.sleep(downtime_s)
        self.checker.down_since.pop(entry.callers_address(), None)
        entry.start_process()

    # Links and store

    async def link_fault(self):
        target = self.random.choice(self.fleet.targets)
        proxy = self.fleet.target_proxies[target.index]
        interval = self.begin_fault(f"target t{target.index}")
        proxy.set_mode(self.random.choice(PROXY_MODES))
        await asyncio.sleep(self.random.uniform(0.3, 3))
        proxy.set_mode("pass")
        self.end_fault(interval)

    async def store_fault(self):
        """Injects a fault between the store and all or some entries."""
        kind = self.random.choice(STORE_FAULTS)
        count = len(self.fleet.entries)
        affected = self.fleet.entries
        if kind == "cut_some":
            affected = self.random.sample(self.fleet.entries, max(1, count // 2))
        # Entries of a region read the store for each other, so no time bound applies to any.
        intervals = [self.begin_fault(f"store {entry.index}") for entry in self.fleet.entries]
        await self.inject_store_fault(kind, affected)
        for interval in intervals:
            self.end_fault(interval)

    async def inject_store_fault(self, kind, affected):
        store = self.fleet.store
        duration_s = self.random.uniform(0.3, 4)
        if kind == "history":
            store.compact_history()
        elif kind == "slow":
            store.delay_s = 0.24
            await asyncio.sleep(duration_s)
            store.delay_s = 0.0
        elif kind in ("busy", "too_many"):
            store.error_status = "503 Busy" if kind == "busy" else "429 Too Many Requests"
            await asyncio.sleep(duration_s)
            store.error_status = None
        else:
            mode = self.random.choice(PROXY_MODES)
            for entry in affected:
                entry.store_proxy.set_mode(mode)
            await asyncio.sleep(duration_s)
            for entry in affected:
                entry.store_proxy.set_mode("pass")

    async def restore_store(self):
        """The store is away for a moment and comes back from a copy that is some seconds old."""
        store = self.fleet.store
        now = asyncio.get_running_loop().time()
        copies = [copy for copy in store.copies
                  if MIN_COPY_AGE_S <= now - copy.time <= MAX_COPY_AGE_S]
        if not copies or not store.available.is_set():
            return
        copy = self.random.choice(copies)
        intervals = [self.begin_fault(f"store {entry.index}") for entry in self.fleet.entries]
        store.go_away()
        await asyncio.sleep(self.random.uniform(0.1, 3))
        store.restore(copy)
        for interval in intervals:
            self.end_fault(interval)
        self.restore_count += 1
        await self.fleet.store_writer.repeat_lost_writes()

    async def restore_amid_changes(self, delay_s):
        """Restores the store after changes that a copy may lack, and publishes another version."""
        await asyncio.sleep(delay_s)
        changes = asyncio.gather(
            self.publish_series(self.random.randint(1, 6)), self.operator_change(),
            self.replace_target(self.random.choice(self.fleet.targets)))
        await asyncio.sleep(self.random.uniform(MIN_COPY_AGE_S, 2 * MIN_COPY_AGE_S))
        await self.restore_store()
        await self.fleet.publish_configuration()
        await changes

    # Targets and operators

    async def target_fault(self):
        target = self.random.choice(self.fleet.targets)
        kind = self.random.choice(["slow", "down", "replace", "replace", "cold", "limit"])
        if kind == "slow":
            target.slowdown = self.random.uniform(2, 20)
            await asyncio.sleep(self.random.uniform(0.5, 3))
            target.slowdown = 1.0
        elif kind == "down":
            target.is_down = True
            await asyncio.sleep(self.random.uniform(0.5, 3))
            target.is_down = False
        elif kind == "cold":
            target.cold_until = asyncio.get_running_loop().time() + self.random.uniform(1, 4)
        elif kind == "limit":
            await self.limit_requests(target, self.random.uniform(8, 12))
        else:
            await self.replace_target(target)

    async def reject_requests(self, until):
        """Lets targets reject requests and ask the entries to wait, until the time is over."""
        loop, source = asyncio.get_running_loop(), self.rejection_random
        while loop.time() < until:
            await asyncio.sleep(source.uniform(*REJECTION_INTERVAL_RANGE_S))
            chosen = source.choice(self.fleet.targets)
            rejecting = [each for each in self.fleet.targets if each.service == chosen.service]
            if source.random() >= SERVICE_SHARE:
                rejecting = [chosen]
            wait_s = source.uniform(*WAIT_RANGE_S)
            for target in rejecting:
                target.retry_after_s = wait_s
            await asyncio.sleep(source.uniform(*REJECTION_DURATION_RANGE_S))
            for target in rejecting:
                target.retry_after_s = None

    async def limit_requests(self, target, duration_s):
        """Lets the target demand a limit of its requests from all entries together."""
        if target.is_leaving or target.request_limit is not None:
            return
        target.request_limit = self.random.uniform(0.5, 6)
        interval = [asyncio.get_running_loop().time(), None, target.request_limit]
        self.checker.request_limits[target.name].append(interval)
        await asyncio.sleep(duration_s)
        interval[1] = interval[1] or asyncio.get_running_loop().time()
        target.request_limit = None

    async def replace_target(self, target):
        """Drains and removes the target, then registers another one with the same address. Some
        are removed first and continue serving meanwhile."""
        if target.is_leaving:
            return
        target.is_leaving = True
        old_name = target.name
        if self.random.random() < ANNOUNCED_LEAVE_SHARE:
            target.announces_leave = True
            target.is_healthy = self.random.random() < LIED_HEALTH_SHARE
            await asyncio.sleep(self.random.uniform(0, MAX_ANNOUNCEMENT_LEAD_S))
        if self.random.random() < UNREPORTED_LEAVE_SHARE:
            await self.fleet.unregister(target)
            await asyncio.sleep(self.random.uniform(2, 4))
        else:
            await self.fleet.register(target, "draining")
            await asyncio.sleep(self.random.uniform(2, 4))
            await self.fleet.unregister(target)
        if target.request_limit is not None:
            self.checker.request_limits[old_name][-1][1] = asyncio.get_running_loop().time()
            target.request_limit = None
        target.restart(f"t{target.index}-{self.random.randrange(10**9)}")
        target.cold_until = asyncio.get_running_loop().time() + self.random.uniform(0, 3)
        await self.fleet.register(target)

    async def publish_series(self, count):
        for _ in range(count):
            await self.fleet.publish_configuration()
            await asyncio.sleep(self.random.uniform(0.05, 0.4))

    async def operator_change(self):
        if self.random.random() < 0.6:
            await self.publish_series(self.random.choice([1, 1, 4]))
            return
        domain = self.random.choice(self.fleet.domain_names())
        if self.checker.evacuations[domain] and self.checker.evacuations[domain][-1][1] is None:
            return
        await self.fleet.evacuate(domain, self.random.uniform(0.5, 9))
