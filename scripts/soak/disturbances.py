"""Disturbances of the store and of entries during a storm of configurations."""

import asyncio
import functools
import itertools
import random
import signal

STALE_AGE_RANGE_S = (3.0, 8.0)
# Long enough that time bounds apply to all entries for most of the time between two moments.
SILENCE_INTERVAL_RANGE_S = (11.0, 13.0)
FAULT_DURATION_RANGE_S, FAULT_PAUSE_RANGE_S = (6.0, 10.0), (1.0, 3.0)
DELAY_RANGE_S, WAIT_INTERVAL_S = (0.1, 0.3), 0.01
UNREADABLE_INTERVAL_RANGE_S, REMOVED_ITEM_SHARE = (0.2, 1.0), 0.3
UNREADABLE_KEYS = ["servers/\udcff\udcfe-{}", "op/evacuate/\udc80{}", "servers/other-{}",
                   "servers/\ue000{}", "servers/\ue001{}", "servers/\ue002{}"]
UNREADABLE_VALUES = [b"\xff\xfe", b"{", b"null", b"[]", b'{"service":5,"zone":[],"slots":"many"}',
                     b'{"service":"service-0","address":"nowhere","state":"new"}', b"[" * 2000]
KILL_INTERVAL_RANGE_S, MAX_DOWNTIME_S = (1.0, 3.0), 1.0
PAUSE_SHARE, PAUSE_DURATION_RANGE_S = 0.4, (0.3, 2.0)
REJECTIONS = ["429 Too Many Requests", "503 Busy", "reset", "silence"]
FREEZE_DURATION_RANGE_S, FREEZE_PAUSE_RANGE_S = (1.0, 8.0), (5.0, 7.0)


class Disturbances:
    """Each form runs until it is cancelled."""

    def __init__(self, fleet, checker, seed):
        self.fleet = fleet
        self.store = fleet.store
        self.faults = checker.faults
        self.random = random.Random(f"{seed} disturbances")
        self.forms = {
            "calm": self.calm, "silent-stale": self.silent_stale, "stale": self.stale,
            "silent-watches": self.silent_watches, "unreadable": self.unreadable,
            "rejected-readers": self.rejected_readers, "slow": self.slow, "kills": self.kills,
            "rejected-region": functools.partial(self.rejected_domains, self.one_region),
            "rejected-regions": functools.partial(self.rejected_domains, self.two_regions),
            "one-domain-served": functools.partial(self.rejected_domains, self.all_but_one_domain),
            "frozen-domain": functools.partial(self.frozen_domains, self.one_domain),
            "frozen-region": functools.partial(self.frozen_domains, self.one_region)}

    async def calm(self):
        """No disturbance."""

    async def stale(self):
        """Stale reads show the store as it was some seconds ago."""
        while True:
            self.store.stale_age_s = self.random.uniform(*STALE_AGE_RANGE_S)
            await self.sleep(FAULT_DURATION_RANGE_S)

    async def silent_stale(self):
        """All watches, or all open connections to the store, go silent at one moment, in turn,
        beside old stale reads."""
        stale = asyncio.create_task(self.stale())
        try:
            await self.sleep(FAULT_PAUSE_RANGE_S)
            for has_watch_only in itertools.cycle((True, False)):
                while has_watch_only and self.store.waiting() != self.store.readers():
                    await asyncio.sleep(WAIT_INTERVAL_S)
                self.store.silence_connections(has_watch_only)
                for entry in self.fleet.entries:
                    self.end_fault(self.begin_fault(entry.index))
                await self.sleep(SILENCE_INTERVAL_RANGE_S)
        finally:
            stale.cancel()

    async def silent_watches(self):
        """The store leaves watches unanswered for some time, also those of new connections."""
        while True:
            await self.sleep(FAULT_PAUSE_RANGE_S)
            self.store.answers_watches = False
            await self.sleep(FAULT_DURATION_RANGE_S)
            self.store.answers_watches = True

    async def unreadable(self):
        """Another writer puts items that can't be read."""
        keys = []
        while True:
            await self.sleep(UNREADABLE_INTERVAL_RANGE_S)
            if keys and self.random.random() < REMOVED_ITEM_SHARE:
                self.store.put(keys.pop(self.random.randrange(len(keys))), None)
                continue
            keys.append(self.random.choice(UNREADABLE_KEYS).format(self.store.revision))
            self.store.put_unreadable(keys[-1], self.random.choice(UNREADABLE_VALUES))

    async def rejected_readers(self):
        """The store rejects those entries that read it, and serves the others, at least one."""
        while True:
            await self.sleep(FAULT_PAUSE_RANGE_S)
            readers = self.store.readers()
            if len(readers) == len(self.fleet.entries):
                readers.remove(self.random.choice(readers))
            kind = self.random.choice(REJECTIONS)
            self.store.rejections = dict.fromkeys(readers, kind)
            # Only a lost connection excuses an entry.
            intervals = [self.begin_fault(reader) for reader in readers if kind[0] not in "45"]
            for reader in readers:
                if kind == "reset":
                    self.store.reset_connections(reader)
            await self.sleep(FAULT_DURATION_RANGE_S)
            self.store.rejections = {}
            for interval in intervals:
                self.end_fault(interval)

    async def rejected_domains(self, choose_domains):
        """The store rejects all entries of some failure domains, and serves the others. Entries
        whose connections this resets or silences count again some seconds later."""
        while True:
            await self.sleep(FAULT_PAUSE_RANGE_S)
            kind = self.random.choice(REJECTIONS)
            rejected = self.entries_of(choose_domains())
            self.store.rejections = {entry.index: kind for entry in rejected}
            for entry in rejected if kind in ("reset", "silence") else []:
                self.end_fault(self.begin_fault(entry.index))
                if kind == "reset":
                    self.store.reset_connections(entry.index)
            await self.sleep(FAULT_DURATION_RANGE_S)
            self.store.rejections = {}

    async def frozen_domains(self, choose_domains):
        """Freezes all entries of some failure domains at one moment. Requests wait meanwhile."""
        while True:
            await self.sleep(FREEZE_PAUSE_RANGE_S)
            frozen = self.entries_of(choose_domains())
            intervals = [self.begin_fault(entry.index) for entry in frozen]
            try:
                for entry in frozen:
                    entry.send_signal(signal.SIGSTOP)
                await self.sleep(FREEZE_DURATION_RANGE_S)
            finally:
                for entry in frozen:
                    entry.send_signal(signal.SIGCONT)
            for interval in intervals:
                self.end_fault(interval)

    def one_domain(self):
        return {self.random.choice(self.fleet.domain_names())}

    def one_region(self):
        return self.domains_of({self.random.choice(sorted(set(self.fleet.regions.values())))})

    def two_regions(self):
        return self.domains_of(self.random.sample(sorted(set(self.fleet.regions.values())), 2))

    def all_but_one_domain(self):
        return set(self.fleet.domain_names()) - self.one_domain()

    def domains_of(self, regions):
        return {domain for domain, region in self.fleet.regions.items() if region in regions}

    def entries_of(self, domains):
        return [entry for entry in self.fleet.entries if entry.domain in domains]

    async def slow(self):
        """The store delays all responses."""
        while True:
            self.store.delay_range_s = DELAY_RANGE_S
            await self.sleep(FAULT_DURATION_RANGE_S)
            self.store.delay_range_s = None
            await self.sleep(FAULT_PAUSE_RANGE_S)

    async def kills(self):
        """Pauses or kills an entry that reads the store, then another one, and so on."""
        while True:
            await self.sleep(KILL_INTERVAL_RANGE_S)
            readers = self.store.readers()
            entry = self.fleet.entries[self.random.choice(readers or [0])]
            interval = self.begin_fault(entry.index)
            if self.random.random() < PAUSE_SHARE:
                entry.send_signal(signal.SIGSTOP)
                try:
                    await self.sleep(PAUSE_DURATION_RANGE_S)
                finally:
                    entry.send_signal(signal.SIGCONT)
            else:
                await entry.terminate(signal.SIGKILL)
                await self.sleep((0, MAX_DOWNTIME_S))
                entry.start_process()
            self.end_fault(interval)

    async def sleep(self, range_s):
        await asyncio.sleep(self.random.uniform(*range_s))

    def begin_fault(self, entry):
        return self.faults.begin(f"entry {entry}", asyncio.get_running_loop().time())

    @staticmethod
    def end_fault(interval):
        interval[1] = asyncio.get_running_loop().time()
