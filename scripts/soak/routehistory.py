"""History of published routes, and a check of how requests were handled against it."""

import collections

from invariants import CONFIGURATION_BOUND_S, FAULT_RECOVERY_S, FaultIntervals

SPLIT_SHARE, INITIAL_ROUTE_COUNT, MIN_ROUTE_COUNT = 0.2, 20, 10
# Requests prefer routes that changed this long ago.
RECENT_CHANGE_RANGE_S, RECENT_CHANGE_SHARE = (2.5, 7.0), 0.7


class RouteHistory:
    """The services to which each path has led, and since when. None stands for no route."""

    def __init__(self, random_source, services):
        self.random = random_source
        self.services = services
        self.current = {}
        self.changes = collections.defaultdict(list)
        # Time and path of each change, oldest first.
        self.recent = collections.deque()
        self.path_count = 0

    def add_initial(self, now):
        """Adds the routes of the first version."""
        for _ in range(INITIAL_ROUTE_COUNT):
            self.add(now)

    def change(self, now):
        """Adds, moves and drops some routes at random."""
        for _ in range(self.random.randint(1, 2)):
            self.add(now)
        for path in self.random.sample(sorted(self.current), self.random.randint(0, 2)):
            others = [each for each in self.services if each not in self.current[path]]
            count = 2 if self.random.random() < SPLIT_SHARE else 1
            self.set(path, tuple(self.random.sample(others, count)), now)
        if len(self.current) > MIN_ROUTE_COUNT:
            self.set(self.random.choice(sorted(self.current)), (None,), now)

    def add(self, now):
        self.path_count += 1
        self.set(f"/r{self.path_count}/", (self.random.choice(self.services),), now)

    def set(self, path, services, now):
        self.current[path] = services
        if services == (None,):
            del self.current[path]
        self.changes[path].append((now, services))
        self.recent.append((now, path))

    def rows(self):
        """Returns the rows of the current routes for the platform's table."""
        return [[path.strip("/"), "h", path, "safe", 2, 0.3, 2,
                 services[0] if len(services) == 1 else None, 2, [],
                 [{"service": each, "weight": 1} for each in services]
                 if len(services) > 1 else None] for path, services in self.current.items()]

    def choose_path(self, random_source, now):
        while self.recent and self.recent[0][0] < now - RECENT_CHANGE_RANGE_S[1]:
            self.recent.popleft()
        due = [path for time, path in self.recent if time < now - RECENT_CHANGE_RANGE_S[0]]
        if due and random_source.random() < RECENT_CHANGE_SHARE:
            return random_source.choice(due)
        return random_source.choice(list(self.changes))

    def states(self, path):
        """Yields the services of each state of the path, with its begin and end."""
        begin, services = float("-inf"), (None,)
        for time, next_services in self.changes[path]:
            yield services, begin, time
            begin, services = time, next_services
        yield services, begin, float("inf")

    def allowed(self, path, first, last):
        """Returns what may handle a request according to a version of this span of time."""
        return {service for services, begin, end in self.states(path)
                if begin <= last and end >= first for service in services}

    def replaced_at(self, path, service, first):
        """Returns when the last state before a time that led to the service ended, or None."""
        return max((end for services, _, end in self.states(path)
                    if end < first and service in services), default=None)


class StormChecker:
    """Compares how requests were handled with what the versions of their time allow."""

    def __init__(self, history):
        self.history = history
        self.faults = FaultIntervals()
        self.executions = collections.defaultdict(set)
        self.counts = collections.Counter()
        self.statuses = collections.Counter()
        self.late = []
        self.largest_delay_s = 0.0
        self.violations = []

    def on_execution(self, request, target, _):
        self.executions[request].add(target.service)

    def on_write_repeated(self, key, now):
        """Required by the store's writer. The store of this test loses no writes."""

    def on_rejection(self, request, target, now):
        """Required by the targets. Those of this test reject nothing."""

    def report_violation(self, text):
        self.violations.append(text)

    def on_probe(self, entry, request, path, status, sent, ended):
        """Checks a request that ended with this status, or None if it has no response."""
        self.statuses[str(status)] += 1
        handlers = self.executions.pop(request, set()) | ({None} if status == 404 else set())
        is_excused = not all(
            self.faults.is_unaffected(name, sent - FAULT_RECOVERY_S, ended)
            for name in ("host", f"entry {entry.index}"))
        first = sent - CONFIGURATION_BOUND_S
        for handler in handlers:
            is_late = handler not in self.history.allowed(path, first, ended)
            if is_excused:
                self.counts["excused_late" if is_late else "excused"] += 1
                continue
            self.record_delay(path, handler, sent, ended)
            if is_late or any(end < first for _, _, end in self.history.states(path)):
                self.counts["checked"] += 1
            if is_late:
                self.on_late(entry, path, handler, sent)

    def record_delay(self, path, handler, sent, ended):
        """Records for how long an older version was used, also within the bound."""
        replaced = self.history.replaced_at(path, handler, sent)
        if replaced is not None and handler not in self.history.allowed(path, sent, ended):
            self.largest_delay_s = max(self.largest_delay_s, sent - replaced)

    def on_late(self, entry, path, handler, sent):
        replaced = self.history.replaced_at(path, handler, sent - CONFIGURATION_BOUND_S)
        if replaced is None:
            self.report_violation(f"service isolation violated: entry {entry.index} handled {path} "
                                  f"by {handler}, which no version allowed")
            return
        self.late.append((sent - replaced, entry))
        self.report_violation(
            f"configuration propagation bound violated: entry {entry.index} ({entry.domain}) "
            f"handled {path} by {handler or 'a 404'} {sent - replaced:.2f} s after the "
            f"acknowledgement of another version")
