"""Writes of operators and targets to the store, repeated after the store has lost them."""

import asyncio

# After the store has been restored, all lost writes are repeated within this time.
REWRITE_WITHIN_S = 2.0
CONFIGURATION_KEY = "op/config"


def evacuation_key(domain):
    return f"op/evacuate/{domain}"


def target_key(name):
    return f"servers/{name}"


def is_same_item(first, second):
    """The store's item of a target changes only if more than its sequence changes."""
    if first is None or second is None:
        return first is second
    return {**first, "sequence": 0} == {**second, "sequence": 0}


class StoreWriter:
    """Remembers the latest value for each key (None: removed), in the order of their writes."""

    def __init__(self, store, random_source, on_repeated):
        self.store = store
        self.random = random_source
        # Called with the key and the time when a write that the store had lost is repeated.
        self.on_repeated = on_repeated
        self.latest = {}

    async def write(self, key, value):
        """Writes as soon as the store is available; None removes the item."""
        await self.store.available.wait()
        if key in self.latest and not self.is_stored(key):
            # This write also replaces the one that the store has lost.
            self.on_repeated(key, asyncio.get_running_loop().time())
        self.latest.pop(key, None)
        self.latest[key] = value
        self.store.put(key, value)

    def is_stored(self, key):
        return is_same_item(self.store.get(key), self.latest[key])

    def refresh(self, key, value):
        """Writes newer data of an item, but only to a store that has the latest state of it."""
        is_stored, is_same = self.is_stored(key), is_same_item(self.latest[key], value)
        self.latest[key] = value
        if is_stored and not is_same and self.store.available.is_set():
            self.store.put(key, value)

    async def repeat_lost_writes(self):
        """Repeats what the store lacks, in the order of the latest writes. Ends early if the store
        goes away; another call is due after its return."""
        loop = asyncio.get_running_loop()
        era, start = self.store.era, loop.time()
        lost = [key for key in self.latest if not self.is_stored(key)]
        moments = sorted(self.random.uniform(0, REWRITE_WITHIN_S) for _ in lost)
        for key, moment in zip(lost, moments):
            await asyncio.sleep(max(0.0, start + moment - loop.time()))
            if self.store.era != era or not self.store.available.is_set():
                return
            # A newer write may have replaced the lost one.
            if not self.is_stored(key):
                self.store.put(key, self.latest[key])
                self.on_repeated(key, loop.time())
