#!/usr/bin/env python3
"""Counts the requests that entries send to engines that have said in answers that they want none.

Some engines refuse all requests for a while, with 503 and Retry-After. Others say in all answers that they leave, stay
in the directory and serve on. One entry joins during the load, another one is killed and restarted.

`late_leaving`: requests that a caller sent later than the drain time after the entry had passed on an answer of an
engine that leaves, and that reached this engine from this entry.
`worst_paused`: most requests that reached an engine from one entry between half a second after a refusal that this entry
got there and the end of the refusal's Retry-After.
A restart of the entry in between excuses it from both.
`leaving_engines` and `pausing_engines`: engines that have said so; without them the other figures would say nothing.
`leaving_arrivals`: requests that reached an engine from any entry later than the drain time after its first answer that
says that it leaves.
`served`: share of the requests, repeats counted, that got a whole answer.
"""

import bisect
import sys
import time
from collections import defaultdict

from _common import Report, parse_arguments
from _hosted_fleet import EngineModel, Flow, HostedEntries

DRAIN_S = 2.0
PAUSE_SLACK_S = 0.5
MAX_PAUSED = 2
DURATION_S = 13.0
JOIN_AT_S, RESTART_AT_S = 5.0, 8.0
SHARED = [("5c1e07a2", f"91bd{i:04x}") for i in range(12)]
MODEL = EngineModel(pausing_engines=3, pause_from_s=4.0, pause_until_s=12.0, retry_after_s=2.5, leaving_engines=3,
                    leaving_from_s=3.5)


class Play:
    """What callers and engines saw, by entry and engine."""

    def __init__(self, answers, arrivals, restarted, restarted_at):
        self.answers = {answer.request: answer for answer in answers}
        self.arrivals = [arrival for arrival in arrivals if arrival.request in self.answers]
        self.restarted, self.restarted_at = restarted, restarted_at
        # The arrivals of each entry at each engine.
        self.pairs = defaultdict(list)
        for arrival in self.arrivals:
            self.pairs[self.answers[arrival.request].entry, arrival.engine].append(arrival)

    def is_excused(self, entry, begin, end):
        return entry == self.restarted and begin <= self.restarted_at <= end

    def count_late_leaving(self):
        late = 0
        for (entry, _), arrivals in self.pairs.items():
            passed_on = sorted(self.get_passed_on(arrival) for arrival in arrivals
                               if arrival.is_leaving and self.answers[arrival.request].first_event_s is not None)
            for arrival in arrivals:
                sent_at = self.answers[arrival.request].sent_at
                since = passed_on[:bisect.bisect_left(passed_on, sent_at - DRAIN_S)]
                late += any(not self.is_excused(entry, at, arrival.at) for at in since)
        return late

    def get_passed_on(self, arrival):
        answer = self.answers[arrival.request]
        return answer.sent_at + answer.first_event_s

    def get_worst_paused(self):
        worst = 0
        for (entry, _), arrivals in self.pairs.items():
            for refused in arrivals:
                if refused.retry_after_s is None:
                    continue
                end = refused.at + refused.retry_after_s
                if self.is_excused(entry, refused.at, end):
                    continue
                worst = max(worst, sum(refused.at + PAUSE_SLACK_S < other.at < end for other in arrivals))
        return worst

    def count_leaving_arrivals(self):
        first = {}
        for arrival in sorted(self.arrivals, key=lambda arrival: arrival.at):
            if arrival.is_leaving:
                first.setdefault(arrival.engine, arrival.at)
        return sum(arrival.at > first.get(arrival.engine, arrival.at) + DRAIN_S for arrival in self.arrivals)

    def count_engines(self, predicate):
        return len({arrival.engine for arrival in self.arrivals if predicate(arrival)})


def play(arguments, entries, engines):
    fleet = HostedEntries(arguments.build, arguments.seed, entries)
    late, restarted = entries - 1, 0
    early = list(range(entries - 1))
    try:
        fleet.start_standins(engines, MODEL)
        fleet.start_entries(early)
        time.sleep(0.5)
        per_s = 8.0 * engines / entries
        fleet.start_callers([Flow("early", per_s, 0, DURATION_S, SHARED, early),
                             Flow("late", per_s, JOIN_AT_S + 1, DURATION_S, SHARED, [late])], DURATION_S)
        fleet.churn(late, JOIN_AT_S, restarted, RESTART_AT_S)
        answers, arrivals, _, _, _ = fleet.finish()
        return Play(answers, arrivals, restarted, fleet.load_begin + RESTART_AT_S)
    finally:
        fleet.stop()


def measure(report, arguments, entries, engines):
    seen = play(arguments, entries, engines)
    served = sum(answer.is_complete for answer in seen.answers.values()) / max(1, len(seen.answers))
    report.add("late_leaving", seen.count_late_leaving(), "requests", entries, 0, seed=arguments.seed)
    report.add("worst_paused", seen.get_worst_paused(), "requests", entries, MAX_PAUSED, seed=arguments.seed)
    report.add("leaving_engines", seen.count_engines(lambda arrival: arrival.is_leaving), "engines", entries,
               MODEL.leaving_engines, "higher")
    report.add("pausing_engines", seen.count_engines(lambda arrival: arrival.retry_after_s is not None), "engines",
               entries, MODEL.pausing_engines, "higher")
    report.add("leaving_arrivals", seen.count_leaving_arrivals(), "requests", entries)
    report.add("served", round(served, 4), "share", entries)


def main():
    arguments = parse_arguments(__doc__)
    report = Report("stated_pause")
    for entries, engines in ((4, 12),) if arguments.short else ((4, 12), (16, 24)):
        measure(report, arguments, entries, engines)
    return 0 if report.is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
