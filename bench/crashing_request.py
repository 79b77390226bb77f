#!/usr/bin/env python3
"""Measures how often a request that crashes each engine that runs it reaches engines, over all entries together.

Three engines serve requests without a prompt: lookups that may be repeated, one of them popular, and calls that must run
once. Bad requests come beside them, each with the same path and caller every time, at any entry, and are repeated by their
callers. Each ends the engine that runs it, which is back after some seconds. With churn, one entry is killed and restarted
and one joins. In the form `plain` engines crash at random moments and no request is bad.

`after_window`: requests of one bad sort that reached engines later than the stable window after its third end; the worst
sort.
`ends`: engines that ended at one bad sort; the worst sort. Without ends the other figures would say nothing.
`sound_refused`: sound requests that were refused because of crashes that others caused.
`sound_between`: share of the sound requests that were served between the first end and the last one, against before.
`sound_after`: the same from two stable windows after the last end on.
"""

import random
import sys
import time

from _common import Report, parse_arguments
from _hosted_fleet import API_KEYS, EngineModel, Flow, HostedEntries

STABLE_WINDOW_S = 3.0
MAX_AFTER_WINDOW, MAX_ENDS = 3, 4
ENDS_TO_LEARN = 3
MIN_BETWEEN, MIN_AFTER = 0.8, 0.97
BAD_FROM_S, BAD_UNTIL_S, DURATION_S = 5.0, 29.0, 30.0
JOIN_AT_S, RESTART_AT_S = 11.0, 14.0
ENGINES, SLOTS = 3, 6
SOUND_PER_S, BAD_PER_S = 30.0, 2.0
SOUND = [("GET", "/status/{}", API_KEYS[0]), ("GET", "/status/popular", API_KEYS[0]), ("GET", "/status/{}", API_KEYS[1]),
         ("POST", "/confirm/{}", API_KEYS[0]), ("POST", "/confirm/{}", API_KEYS[2])]
BAD = [("GET", "/status/bad-1", API_KEYS[1]), ("GET", "/status/bad-2", API_KEYS[2]), ("POST", "/confirm/bad-3", API_KEYS[3])]


def make_flows(entries, late, bad):
    """Returns the flows; `late` is the entry that joins during the run, or None."""
    early = [i for i in range(entries) if i != late]
    flows = []
    for indices, begin in ((early, 0.0), ([late] if late is not None else [], JOIN_AT_S + 1)):
        if not indices:
            continue
        flows.append(Flow("sound", SOUND_PER_S / entries, begin, DURATION_S, [], indices, SOUND))
        flows += [Flow("bad", BAD_PER_S / entries, max(begin, BAD_FROM_S), BAD_UNTIL_S, [], indices, [request])
                  for request in bad]
    return flows


def play(arguments, entries, bad, has_churn, crash_times):
    fleet = HostedEntries(arguments.build, arguments.seed, entries)
    late, restarted = (entries - 1, 0) if has_churn else (None, None)
    try:
        model = EngineModel(slots=SLOTS, bad_paths=tuple(path for _, path, _ in bad), restart_s=4.0)
        fleet.start_standins(ENGINES, model, crash_times)
        fleet.start_entries([i for i in range(entries) if i != late])
        time.sleep(1.0)
        cpu_before = fleet.get_cpu_seconds()
        fleet.start_callers(make_flows(entries, late, bad), DURATION_S)
        if has_churn:
            fleet.churn(late, JOIN_AT_S, restarted, RESTART_AT_S)
        answers, arrivals, crashes, _, _ = fleet.finish()
        return answers, arrivals, crashes, fleet.load_begin, fleet.get_cpu_seconds() - cpu_before, restarted
    finally:
        fleet.stop()


def get_served(answers, skipped, begin, end):
    """Returns the share of the sound requests sent in a time span that were served at their first or second attempt."""
    paths = {}
    for answer in answers:
        if answer.request.startswith("sound") and begin <= answer.sent_at < end and answer.entry != skipped:
            key = answer.path if "popular" not in answer.path else answer.request
            paths[key] = paths.get(key, False) or answer.is_complete
    return sum(paths.values()) / max(1, len(paths))


def measure(report, arguments, name, entries, bad, has_churn, crash_times=()):
    answers, arrivals, crashes, begin, cpu, restarted = play(arguments, entries, bad, has_churn, crash_times)
    suffix = ("_" + name if name else "") + ("_churn" if has_churn else "")
    refused = [a for a in answers if "blocked" in a.error and a.request.startswith("sound")]
    report.add("sound_refused" + suffix, len(refused), "requests", entries, 0, seed=arguments.seed, ends=len(crashes))
    if bad:
        measure_bad(report, entries, suffix, bad, arrivals, crashes, answers)
        first, last = min(at for at, _, _ in crashes), max(at for at, _, _ in crashes)
        before = max(0.001, get_served(answers, restarted, begin + 1, begin + BAD_FROM_S))
        between = get_served(answers, restarted, first, last) / before
        report.add("sound_between" + suffix, between, "ratio", entries, MIN_BETWEEN, "higher", before=round(before, 3))
        after = get_served(answers, restarted, min(last + 2 * STABLE_WINDOW_S, begin + BAD_UNTIL_S - 2),
                           begin + BAD_UNTIL_S) / before
        report.add("sound_after" + suffix, after, "ratio", entries, MIN_AFTER, "higher",
                   last_end_s=round(last - begin, 1))
    report.add("cpu_ms_per_request" + suffix, 1000 * cpu / max(1, len(answers)), "ms", entries)


def measure_bad(report, entries, suffix, bad, arrivals, crashes, answers):
    worst_after, worst_ends = 0, 0
    for _, path, _ in bad:
        ends = sorted(at for at, engine, is_bad in crashes if is_bad
                      and any(a.engine == engine and a.path == path and a.at < at < a.at + 0.1 for a in arrivals))
        reached = [a.at for a in arrivals if a.path == path]
        learned = ends[ENDS_TO_LEARN - 1] if len(ends) >= ENDS_TO_LEARN else float("inf")
        worst_after = max(worst_after, sum(at > learned + STABLE_WINDOW_S for at in reached))
        worst_ends = max(worst_ends, len(ends))
    sent = sum(a.request.startswith("bad") for a in answers)
    report.add("after_window" + suffix, worst_after, "requests", entries, MAX_AFTER_WINDOW, bad_sent=sent)
    report.add("ends" + suffix, worst_ends, "engines", entries, MAX_ENDS * len(bad))
    report.add("has_ends" + suffix, worst_ends, "engines", entries, ENDS_TO_LEARN, "higher")


def main():
    arguments = parse_arguments(__doc__)
    report = Report("crashing_request")
    crash_random = random.Random(arguments.seed)
    plain = [crash_random.uniform(2, 27) for _ in range(8)]
    measure(report, arguments, "", 4, BAD[:1], True)
    if not arguments.short:
        measure(report, arguments, "", 4, BAD[:1], False)
        measure(report, arguments, "", 16, BAD[:1], True)
        measure(report, arguments, "three", 4, BAD, True)
        measure(report, arguments, "three", 16, BAD, True)
        measure(report, arguments, "plain", 4, [], True, plain)
        measure(report, arguments, "plain", 16, [], True, plain)
    return 0 if report.is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
