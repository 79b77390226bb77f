#!/usr/bin/env python3
"""Restarts all entries one shortly after the other, several times, and counts requests whose answers were lost.

The callers are those of _balanced_callers.py: connections keep coming to entries that stop.

`cut`: requests that reached an engine and whose caller saw the connection end without a whole answer.
`late`: requests that were sent to an entry later than the balancer can notice that it stops, and reached an engine. Without
them the other figures would say nothing.
`not_clean`: entries that ended with another exit code than 0, or were still there at the end of the grace period.
`unfinished`: requests or connections that the entries' own logs report as open when their processes ended.
"""

import asyncio
import collections
import random
import re
import signal
import sys
import time

from _balanced_callers import BalancedCallers
from _common import Report, parse_arguments
from _hosted_fleet import API_KEYS, EngineModel, Flow, HostedEntries
from fleet import die_with_parent, wait_until

ENGINES, SLOTS = 6, 16
GAP_S, GRACE_S = 0.25, 8.0
# Time in which the balancer notices an entry that stops: two questions, one second apart.
NOTICE_S = 2.6
FIRST_ROUND_S, ROUND_S = 2.0, 12.0
# Requests a second and entry. The streams keep an entry busy for some seconds after its callers should have gone.
PLAIN_PER_S = 40.0
STREAM_PER_S = 1.0
STREAM_EVENTS, EVENT_GAP_S = 8, 0.15
PLAIN = [("GET", "/status/{}", API_KEYS[0]), ("GET", "/status/{}", API_KEYS[1]), ("POST", "/confirm/{}", API_KEYS[2])]
POLL_S = 0.01
LEFT = re.compile(r"event=connections_left connections=(\d+) unread=\d+ answers=(\d+) requests=(\d+)")


def run_callers(pipe, *arguments):
    die_with_parent()
    asyncio.run(BalancedCallers(*arguments).run(pipe))


class RollingOperator:
    """Sends SIGTERM to all entries in turn, and starts each again when its process has ended."""

    def __init__(self, fleet, rounds):
        self.fleet, self.rounds = fleet, rounds
        self.random = random.Random(fleet.seed + 2)
        # Time of each SIGTERM and of the end after it, by entry.
        self.stops = collections.defaultdict(list)
        self.not_clean = 0

    def run(self):
        for number in range(self.rounds):
            self.fleet.wait_until(FIRST_ROUND_S + number * ROUND_S)
            self.run_round(time.monotonic())

    def run_round(self, begin):
        waiting = list(range(self.fleet.count))
        self.random.shuffle(waiting)
        stopping = {}
        while waiting or stopping:
            if waiting and time.monotonic() >= begin + (self.fleet.count - len(waiting)) * GAP_S:
                entry = waiting.pop()
                stopping[entry] = time.monotonic()
                self.fleet.processes[entry].send_signal(signal.SIGTERM)
            for entry, stopped_at in list(stopping.items()):
                if self.has_ended(entry, stopped_at):
                    self.stops[entry].append((stopping.pop(entry), time.monotonic()))
                    self.fleet.start_entry(entry)
            time.sleep(POLL_S)

    def has_ended(self, entry, stopped_at):
        process = self.fleet.processes[entry]
        is_over = time.monotonic() >= stopped_at + GRACE_S
        if process.poll() is None and not is_over:
            return False
        if process.poll() is None:
            process.kill()
        self.not_clean += process.wait() != 0
        return True


def count_unfinished(fleet):
    """Returns what the logs report as open when processes ended: connections, and requests without a whole answer."""
    connections = requests = 0
    for entry in range(fleet.count):
        with open(fleet.get_log(entry), encoding="utf-8") as log:
            for line in log:
                match = LEFT.search(line)
                if match:
                    connections += int(match.group(1))
                    requests += max(int(match.group(2)), int(match.group(3)))
    return connections, requests


def measure(report, arguments, entries, rounds):
    fleet = HostedEntries(arguments.build, arguments.seed, entries)
    try:
        fleet.start_standins(ENGINES, EngineModel(slots=SLOTS, events=STREAM_EVENTS, event_gap_s=EVENT_GAP_S))
        fleet.start_entries(range(entries))
        duration = FIRST_ROUND_S + rounds * ROUND_S
        flows = [Flow("plain", PLAIN_PER_S, 0.0, duration, [], None, PLAIN),
                 Flow("stream", STREAM_PER_S, 0.0, duration, [("a",)])]
        fleet.start_callers(flows, duration, run_callers)
        operator = RollingOperator(fleet, rounds)
        operator.run()
        wait_until(lambda: all(fleet.is_ready(i) for i in range(entries)), 20, "all entries to be ready")
        answers, arrivals, _, _, _ = fleet.finish()
        add_figures(report, arguments, entries, operator, answers, {arrival.request for arrival in arrivals})
        connections, requests = count_unfinished(fleet)
        report.add("unfinished", requests, "requests", entries, 0, connections=connections)
    finally:
        fleet.stop()


def add_figures(report, arguments, entries, operator, answers, arrived):
    lost = [a for a in answers if a.request in arrived and (a.status == 0 or (a.status == 200 and not a.is_complete))]
    late = [a for a in answers if a.request in arrived and any(
        begin + NOTICE_S < a.sent_at < end for begin, end in operator.stops[a.entry])]
    longest = max(end - begin for stops in operator.stops.values() for begin, end in stops)
    report.add("cut", len(lost), "requests", entries, 0, seed=arguments.seed,
               errors=dict(collections.Counter(a.error for a in lost)))
    report.add("late", len(late), "requests", entries, 1, "higher")
    report.add("not_clean", operator.not_clean, "processes", entries, 0, longest_s=round(longest, 2))
    report.add("served", sum(a.is_complete for a in answers) / max(1, len(answers)), "share", entries,
               attempts=len(answers), refused=sum(a.status == 503 for a in answers),
               not_sent=sum(a.status == 0 and a.request not in arrived for a in answers))


def main():
    arguments = parse_arguments(__doc__)
    report = Report("rolling_restart")
    measure(report, arguments, 4, 1 if arguments.short else 4)
    if not arguments.short:
        measure(report, arguments, 16, 4)
    return 0 if report.is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
