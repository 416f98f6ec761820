"""Checks the invariants of the system against events at callers, targets and operators."""

import asyncio
import bisect
import collections

from storewriter import CONFIGURATION_KEY, evacuation_key, target_key

# Upper bounds on the time until a change takes effect at entries that no fault affects.
DRAIN_BOUND_S = 2.5
EVACUATION_BOUND_S = 5.0
CONFIGURATION_BOUND_S = 2.5
# A request sent up to this time after a newer version was seen may still get the older version.
DOWNGRADE_TOLERANCE_S = 0.25
DEAD_ENTRY_BOUND_S = 7.0
# A time bound applies to an entry only if no fault affected it for this long.
FAULT_RECOVERY_S = 4.0
# Requests to a target in the time that it asked an entry to wait, from this long after its response.
PAUSE_GRACE_S, MAX_REQUESTS_IN_PAUSE = 0.5, 2
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_SLACK_REQUESTS = 4.0, 1.5, 5
COLD_RATE_PER_S, COLD_BURST_FACTOR, COLD_SLACK_REQUESTS = 4.0, 1.5, 5
# If timers of this process fire later than this, the host is too busy to check time bounds.
TIMER_INTERVAL_S, MAX_TIMER_LAG_S = 0.05, 0.25
NOT_EXECUTED_STATUSES = ("408", "421", "429", "503")
# A connection that ends this soon after a request was sent may have been closed before it arrived.
CLOSE_CROSSING_S = 0.2

Call = collections.namedtuple("Call", "entry region service unsafe home_region in_all_versions")
# When the request was sent on an open connection, and when its exchange ended.
Ending = collections.namedtuple("Ending", "sent ended")
Execution = collections.namedtuple("Execution", "time target service domain cold")
# A request that a target rejected, and for how long it asked the entry to wait.
Rejection = collections.namedtuple("Rejection", "time target domain wait_s")
# `leaving_target` is the target that announces with the response that it leaves, or None.
Response = collections.namedtuple("Response",
                                  "status signature body is_persistent leaving_target")


class FaultIntervals:
    """Time intervals of faults, by the name of the affected part."""

    def __init__(self):
        self.intervals = collections.defaultdict(list)

    def begin(self, name, now):
        interval = [now, None]
        self.intervals[name].append(interval)
        return interval

    def is_unaffected(self, name, first, last):
        """True if no fault affected the part between the two times."""
        return all(begin > last or (end is not None and end < first)
                   for begin, end in self.intervals[name])


class HostMonitor:
    """Excludes times from the checks of time bounds in which this process itself runs late."""

    def __init__(self, fault_intervals):
        self.fault_intervals = fault_intervals
        self.max_timer_lag_s = 0.0

    async def run(self):
        """Measures the lag of timers until it is cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            started_at = loop.time()
            await asyncio.sleep(TIMER_INTERVAL_S)
            lag_s = loop.time() - started_at - TIMER_INTERVAL_S
            self.max_timer_lag_s = max(self.max_timer_lag_s, lag_s)
            if lag_s > MAX_TIMER_LAG_S:
                self.fault_intervals.begin("host", started_at)[1] = loop.time()


class InvariantChecker:
    def __init__(self, region_of):
        self.region_of = region_of
        self.calls = {}
        self.outcomes = {}
        # Of the exchanges after which the connection was closed.
        self.endings = {}
        self.executions = collections.defaultdict(list)
        # By request.
        self.rejections = collections.defaultdict(list)
        # By name of the target: when its first report that it drains was accepted, or its removal.
        self.drain_starts = {}
        # By entry and target: when a caller first got the target's announcement from the entry.
        self.announced_leaves = {}
        # By request that was written to an open connection.
        self.sent_times = {}
        # By target: start, end or None, and requests per second.
        self.request_limits = collections.defaultdict(list)
        self.evacuations = collections.defaultdict(list)
        self.fault_intervals = FaultIntervals()
        self.publication_times = {}
        # By key: when a write was repeated that the store had lost.
        self.repeated_writes = collections.defaultdict(list)
        self.newest_versions = {}
        self.down_since = {}
        self.skipped_checks = 0
        self.violations = []

    def report_violation(self, text):
        self.violations.append(text)

    # Recorded events

    def on_execution(self, request, target, now):
        self.executions[request].append(
            Execution(now, target.name, target.service, target.domain, target.is_cold()))

    def on_rejection(self, request, target, now):
        self.rejections[request].append(
            Rejection(now, target.name, target.domain, target.retry_after_s))

    def on_outcome(self, request, outcome):
        if request in self.outcomes:
            self.report_violation(f"call accounting violated: {request} ended twice, with "
                                  f"{self.outcomes[request]} and {outcome}")
        self.outcomes[request] = outcome
        if outcome == "malformed":
            self.report_violation(
                f"response integrity violated: {request} got a malformed response")

    def on_response(self, request, response, request_body, now):
        call = self.calls[request]
        expected = f"{call.service}:{request}:{request_body}"
        if response.status == 200 and (response.signature != f"s-{request}" or
                                       response.body != expected):
            self.report_violation(
                f"response integrity violated: {request} got signature {response.signature}, body "
                f"{response.body[:80]}")
        if response.leaving_target is not None:
            self.announced_leaves.setdefault((call.entry, response.leaving_target), now)

    def on_drain(self, target, now):
        """Records a report that the target drains, or its removal; the earlier of them counts."""
        self.drain_starts.setdefault(target, now)

    def on_write_repeated(self, key, now):
        self.repeated_writes[key].append(now)

    def acknowledged_at(self, key, first, time):
        """Returns when the store acknowledged a write that was first acknowledged at `first`. After
        the store has lost and restored it, the acknowledgement of the repeated write counts."""
        return max([first] + [each for each in self.repeated_writes[key] if each <= time])

    def on_version_probe(self, entry, start, version, status, sent, now):
        """Records the status of a request on the route that exists only in this version."""
        key = (entry, start)
        newest, first_seen = self.newest_versions.get(key, (0, 0.0))
        if status == 200:
            if version < newest and sent > first_seen + DOWNGRADE_TOLERANCE_S:
                self.report_violation(
                    f"configuration monotonicity violated: entry {entry} served version {version} "
                    f"after {newest}")
            if version > newest:
                self.newest_versions[key] = (version, now)
        published, replaced = self.publication_times[version]
        is_current = replaced is None or now < replaced
        if status == 404 and is_current and version == newest and (
                sent > first_seen + DOWNGRADE_TOLERANCE_S):
            self.report_violation(
                f"configuration monotonicity violated: entry {entry} no longer serves version "
                f"{version}")
        acknowledged = self.acknowledged_at(CONFIGURATION_KEY, published, sent)
        is_due = is_current and sent > acknowledged + CONFIGURATION_BOUND_S
        if status == 404 and is_due and self.bound_applies(entry, sent, None):
            self.report_violation(
                f"configuration propagation bound violated: entry {entry} lacks version {version} "
                f"{sent - published:.1f} s after its publication")
        is_over = replaced is not None and sent > CONFIGURATION_BOUND_S + self.acknowledged_at(
            CONFIGURATION_KEY, replaced, sent)
        if status == 200 and is_over and self.bound_applies(entry, sent, None):
            self.report_violation(
                f"configuration propagation bound violated: entry {entry} still serves the "
                f"replaced version {version}")

    def on_directory(self, entry, addresses, now):
        for address in addresses:
            down = self.down_since.get(address)
            if down is not None and now > down + DEAD_ENTRY_BOUND_S and self.bound_applies(
                    entry, now, None):
                self.report_violation(
                    f"dead entry removal bound violated: entry {entry} lists {address}, which "
                    f"terminated {now - down:.1f} s ago")

    # Checks

    def bound_applies(self, entry, time, target):
        """True if no recent fault affected the entry, its store, its target link or this host."""
        names = [f"entry {entry}", f"store {entry}", "host"]
        if target is not None:
            names.append(f"target {target}")
        if not all(self.fault_intervals.is_unaffected(name, time - FAULT_RECOVERY_S, time)
                   for name in names):
            self.skipped_checks += 1
            return False
        return True

    def remains_bound(self, call, execution, link, due):
        """True if the entry knew of a drain when it was due, and ran without a fault since then. It
        then keeps to the drain, also if the store fails later. An entry sends only to targets of
        its own region."""
        if self.region_of(execution.domain) != call.region:
            return False
        entry, first = call.entry, due - FAULT_RECOVERY_S
        is_unaffected = self.fault_intervals.is_unaffected
        return (is_unaffected(f"store {entry}", first, due) and
                is_unaffected(f"entry {entry}", first, execution.time) and
                is_unaffected("host", first, execution.time) and
                is_unaffected(f"target {link}", execution.time - FAULT_RECOVERY_S, execution.time))

    def check_outcomes(self):
        """Each call ends in one outcome, no route that all versions have is missing, and no request
        is lost by an entry that keeps running."""
        for request, call in self.calls.items():
            outcome = self.outcomes.get(request)
            if outcome is None:
                self.report_violation(f"call accounting violated: {request} has no outcome")
            elif outcome == "404" and call.in_all_versions:
                self.report_violation(
                    f"route availability violated: entry {call.entry} has no route for {request}, "
                    f"though all versions have one")
            elif outcome in ("unanswered", "timeout"):
                self.check_lost(request, call, outcome, self.endings[request])

    def check_lost(self, request, call, outcome, ending):
        executions = self.executions.get(request, [])
        may_have_crossed = outcome == "unanswered" and not executions and (
            ending.ended - ending.sent <= CLOSE_CROSSING_S or
            not self.fault_intervals.is_unaffected("host", ending.sent, ending.ended))
        if may_have_crossed or not self.fault_intervals.is_unaffected(
                f"unplanned {call.entry}", ending.sent - FAULT_RECOVERY_S, ending.ended):
            return
        self.report_violation(
            f"request loss: {request} ({call.service}) ended {outcome} "
            f"{ending.ended - ending.sent:.2f} s after it was sent to entry {call.entry}, "
            f"executions: {executions}")

    def check_executions(self):
        for request, executions in self.executions.items():
            call = self.calls.get(request)
            if call is None:
                self.report_violation(
                    f"spurious execution: {request} was executed, but no caller sent it")
                continue
            self.check_at_most_once(request, call, executions)
            for execution in executions:
                self.check_placement(request, call, execution)
        self.check_cold_start_rate()
        self.check_pauses()
        for target, limits in self.request_limits.items():
            self.check_request_limits(target, limits)

    def check_at_most_once(self, request, call, executions):
        if call.unsafe and len(executions) > 1:
            self.report_violation(
                f"at-most-once execution violated: {request} was executed {len(executions)} "
                f"times: {executions}")
        if call.unsafe and self.outcomes.get(request) in NOT_EXECUTED_STATUSES:
            self.report_violation(
                f"refusal safety violated: {request} was refused as not executed, but was "
                f"executed: {executions}")

    def check_placement(self, request, call, execution):
        if execution.service != call.service:
            self.report_violation(
                f"service isolation violated: {request} was executed by {execution.service} "
                f"instead of {call.service}")
        if call.home_region and self.region_of(execution.domain) != call.home_region:
            self.report_violation(
                f"home region violated: {request} was executed in {execution.domain}, outside its "
                f"home region {call.home_region}")
        link = execution.target.split("-")[0]
        self.check_drain(request, call, execution, link)
        self.check_announced_leave(request, call, execution)
        for begin, end in self.evacuations[execution.domain]:
            acknowledged = self.acknowledged_at(evacuation_key(execution.domain), begin,
                                                execution.time)
            is_inside = execution.time > acknowledged + EVACUATION_BOUND_S and (
                end is None or execution.time < end)
            if is_inside and self.bound_applies(call.entry, execution.time, link):
                self.report_violation(
                    f"evacuation bound violated: {request} was executed in {execution.domain}, "
                    f"which was evacuated {execution.time - begin:.1f} s before")

    def check_drain(self, request, call, execution, link):
        start = self.drain_starts.get(execution.target)
        if start is None or execution.time <= start + DRAIN_BOUND_S:
            return
        acknowledged = self.acknowledged_at(target_key(execution.target), start, execution.time)
        is_due = execution.time > acknowledged + DRAIN_BOUND_S and self.bound_applies(
            call.entry, execution.time, link)
        if is_due or self.remains_bound(call, execution, link, start + DRAIN_BOUND_S):
            self.report_violation(
                f"drain bound violated: {request} was executed by {execution.target} through entry "
                f"{call.entry} {execution.time - start:.1f} s after it started to drain")

    def check_announced_leave(self, request, call, execution):
        """An entry keeps to an announcement that it has passed on, whatever the store says. An
        entry sends only to targets of its own region."""
        announced = self.announced_leaves.get((call.entry, execution.target))
        sent = self.sent_times.get(request)
        is_direct = self.region_of(execution.domain) == call.region
        if (not is_direct or announced is None or sent is None or
                sent <= announced + DRAIN_BOUND_S):
            return
        if all(self.fault_intervals.is_unaffected(name, announced, execution.time)
               for name in (f"entry {call.entry}", "host")):
            self.report_violation(
                f"announced leave violated: {request} was executed by {execution.target} and sent "
                f"{sent - announced:.1f} s after entry {call.entry} had passed on that it leaves")

    def check_pauses(self):
        """A target gets hardly anything from an entry that it has asked to wait. An entry sends only
        to targets of its own region."""
        arrivals = collections.defaultdict(list)
        for events in (self.executions, self.rejections):
            for request, each in ((request, each) for request in events
                                  for each in events[request] if request in self.calls):
                call = self.calls[request]
                if self.region_of(each.domain) == call.region:
                    arrivals[call.entry, each.target].append(each)
        for (entry, target), events in arrivals.items():
            times = sorted(each.time for each in events)
            for each in events:
                if isinstance(each, Rejection):
                    self.check_pause(entry, target, each, times)

    def check_pause(self, entry, target, rejection, times):
        first, end = rejection.time + PAUSE_GRACE_S, rejection.time + rejection.wait_s
        inside = times[bisect.bisect_right(times, first):bisect.bisect_left(times, end)]
        if len(inside) > MAX_REQUESTS_IN_PAUSE and all(
                self.fault_intervals.is_unaffected(name, rejection.time, inside[-1])
                for name in (f"entry {entry}", "host")):
            self.report_violation(
                f"requested pause violated: {target} got {len(inside)} requests of entry {entry} "
                f"in the {rejection.wait_s:.1f} s for which it had asked for none")

    def check_cold_start_rate(self):
        bound = COLD_RATE_PER_S * COLD_BURST_FACTOR + COLD_SLACK_REQUESTS
        times = collections.defaultdict(list)
        for executions in self.executions.values():
            for execution in executions:
                if execution.cold:
                    times[execution.target].append(execution.time)
        for target, starts in times.items():
            starts.sort()
            for index, time in enumerate(starts):
                count = bisect.bisect_left(starts, time + 1) - index
                if count > bound:
                    self.report_violation(
                        f"cold start rate bound violated: {target} executed {count} requests "
                        f"within one second while it was cold")
                    break

    def check_request_limits(self, target, limits):
        link = target.split("-")[0]
        times = sorted(
            execution.time for request, executions in self.executions.items()
            for execution in executions if execution.target == target and request in self.calls and
            self.bound_applies(self.calls[request].entry, execution.time, link))
        for begin, end, limit in limits:
            bound = limit * LIMIT_FACTOR * LIMIT_WINDOW_S + LIMIT_SLACK_REQUESTS
            for time in times:
                if time < begin + LIMIT_WINDOW_S or (end is not None and
                                                     time + LIMIT_WINDOW_S > end):
                    continue
                count = bisect.bisect_left(times, time + LIMIT_WINDOW_S) - bisect.bisect_left(
                    times, time)
                if count > bound:
                    self.report_violation(
                        f"request limit violated: {target} executed {count} requests within "
                        f"{LIMIT_WINDOW_S} s at a limit of {limit} a second")
                    break
