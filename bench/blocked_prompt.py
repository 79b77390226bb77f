#!/usr/bin/env python3
"""Measures how many requests with a prompt part that crashes engines reach engines, over all entries together.

Requests with one bad part arrive at every entry, no two alike; sound ones share all their other parts. Each answer that
begins on the bad part ends its engine, which is back after some seconds. Beside that a part of the engines crash for
another reason. With churn, one entry is killed and restarted and one joins while bad requests come. In the form
`all_restart` the engines have agents, and all entries are killed and restarted at once while bad requests come.

`bad_after_window`: requests with the bad part that reached engines later than the stable window after the fifth end. If
fewer engines ended before all entries were restarted, the last end before counts in place of the fifth.
`ends`: engines that ended at the bad part; without them the other figures would say nothing.
`sound_blocked`: requests without the part that were refused because of a part.
`sound_first_ratio`: sound requests that began at their first attempt from two stable windows after the fifth end,
against before the first bad request; in the form `all_restart` from two stable windows after the restart.
"""

import random
import statistics
import sys
import time

from _common import Report, parse_arguments
from _hosted_fleet import EngineModel, Flow, HostedEntries

STABLE_WINDOW_S = 3.0
MAX_AFTER_WINDOW = 3
MIN_FIRST_RATIO = 0.5
BAD_FROM_S, BAD_UNTIL_S, DURATION_S = 5.0, 20.0, 21.0
JOIN_AT_S, RESTART_AT_S = 11.0, 14.0
ALL_RESTART_AT_S = 11.0
PLAIN_CRASH_SHARE = 0.15
ENDS_TO_LEARN = 5
BAD_PART, POPULAR_PART = "bad0bad0", "5c1e07a2"
SOUND_PER_S, BAD_PER_S, RARE_PER_S = 60.0, 16.0, 4.0


def make_flows(entries, late):
    """Returns the flows; `late` is the entry that joins during the run, or None."""
    early = [i for i in range(entries) if i != late]
    subjects = [f"91bd{i:04x}" for i in range(12)]
    rare = [f"4cee{i:04x}" for i in range(80)]
    sound = [(POPULAR_PART, subject) for subject in subjects]
    bad = ([(POPULAR_PART, subject, BAD_PART) for subject in subjects] +
           [(POPULAR_PART, BAD_PART, subject) for subject in subjects])
    flows = []
    for indices, begin in ((early, 0.0), ([late] if late is not None else [], JOIN_AT_S + 1)):
        if not indices:
            continue
        flows += [Flow("sound", SOUND_PER_S / entries, begin, DURATION_S, sound, indices),
                  Flow("rare", RARE_PER_S / entries, begin, DURATION_S, [(POPULAR_PART, r) for r in rare], indices),
                  Flow("bad", BAD_PER_S / entries, max(begin, BAD_FROM_S), BAD_UNTIL_S, bad, indices)]
    return flows


def play(build, seed, entries, engines, has_churn, has_agents):
    """Plays one run. Returns the fleet's answers, arrivals and crashes, the start of the load, and processor time."""
    fleet = HostedEntries(build, seed, entries)
    crash_random = random.Random(seed)
    late, restarted = (entries - 1, 0) if has_churn else (None, None)
    crash_times = [crash_random.uniform(BAD_FROM_S, BAD_UNTIL_S) for _ in range(round(engines * PLAIN_CRASH_SHARE))]
    try:
        fleet.start_standins(engines, EngineModel(bad_parts=(BAD_PART,)), crash_times)
        fleet.start_entries([i for i in range(entries) if i != late])
        for engine in range(engines if has_agents else 0):
            fleet.start_agent(engine)
        time.sleep(1.0)
        cpu_before = fleet.get_cpu_seconds()
        fleet.start_callers(make_flows(entries, late), DURATION_S)
        if has_churn:
            fleet.churn(late, JOIN_AT_S, restarted, RESTART_AT_S)
        if has_agents:
            fleet.wait_until(ALL_RESTART_AT_S)
            fleet.restart_entries()
        answers, arrivals, crashes, _, _ = fleet.finish()
        cpu = fleet.get_cpu_seconds() - cpu_before
        return answers, arrivals, crashes, fleet.load_begin, cpu, restarted
    finally:
        fleet.stop()


def get_first_share(answers, arrivals, skipped, begin, end):
    """Returns the share of the sound requests sent in a time span that began at their first attempt."""
    first = {}
    for arrival in arrivals:
        first.setdefault(arrival.request, arrival.begun_at is not None)
    sent = [a for a in answers if a.request.startswith("sound") and begin <= a.sent_at < end and a.entry != skipped]
    return sum(first.get(a.request, False) for a in sent) / max(1, len(sent))


def measure(report, arguments, entries, engines, has_churn=False, is_all_restarted=False):
    answers, arrivals, crashes, begin, cpu, restarted = play(arguments.build, arguments.seed, entries, engines, has_churn,
                                                             is_all_restarted)
    name = "_all_restart" if is_all_restarted else "_churn" if has_churn else ""
    ends = [at for at, _, is_by_prompt in crashes if is_by_prompt]
    bad = sorted(a.at for a in arrivals if BAD_PART in a.parts)
    first_ends = [at for at in ends if not is_all_restarted or at < begin + ALL_RESTART_AT_S][:ENDS_TO_LEARN]
    learned = first_ends[-1] if first_ends else begin
    after = sum(at > learned + STABLE_WINDOW_S for at in bad)
    report.add("bad_after_window" + name, after, "requests", entries, MAX_AFTER_WINDOW, seed=arguments.seed,
               bad_at_engines=len(bad), bad_sent=sum(a.request.startswith("bad") for a in answers))
    report.add("ends" + name, len(ends), "engines", entries, 1, "higher")
    blocked = sum("blocked" in a.error for a in answers if BAD_PART not in a.parts)
    report.add("sound_blocked" + name, blocked, "requests", entries, 0)
    before = get_first_share(answers, arrivals, restarted, begin + 1, begin + BAD_FROM_S)
    settled = max(learned, begin + ALL_RESTART_AT_S) if is_all_restarted else learned
    later = get_first_share(answers, arrivals, restarted, settled + 2 * STABLE_WINDOW_S, begin + BAD_UNTIL_S)
    report.add("sound_first_ratio" + name, later / max(before, 0.001), "ratio", entries, MIN_FIRST_RATIO, "higher",
               before=round(before, 3))
    quiet = [a.first_event_s for a in answers if a.first_event_s is not None and a.sent_at < begin + BAD_FROM_S]
    report.add("first_event_p50_ms" + name, 1000 * statistics.median(quiet), "ms", entries)
    report.add("cpu_ms_per_request" + name, 1000 * cpu / max(1, len(answers)), "ms", entries)


def main():
    arguments = parse_arguments(__doc__)
    report = Report("blocked_prompt")
    if arguments.short:
        measure(report, arguments, 4, 12, has_churn=True)
        measure(report, arguments, 4, 12, is_all_restarted=True)
    else:
        for entries, engines in ((4, 12), (16, 24)):
            for has_churn in (False, True):
                measure(report, arguments, entries, engines, has_churn)
            measure(report, arguments, entries, engines, is_all_restarted=True)
    return 0 if report.is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
