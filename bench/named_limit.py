#!/usr/bin/env python3
"""Measures how many requests reach an engine that states a limit, over all entries together.

Some engines of a pool state in their answers how many requests per second they take from all entries. In the form
`alone` the pool has one engine, and callers want several times its limit. With churn, one entry is killed and restarted
and one joins.

`worst_ratio`: most arrivals at one engine in four seconds, from the stable window after it first stated its limit,
divided by 1.5 times the limit over that time plus 5.
`limited_engines`: engines that have stated a limit; without them the other figures would say nothing.
`used_share`: arrivals divided by the limit over the same time. It is bounded only where callers wait for that engine
alone and no entry restarts.
"""

import sys
import time

from _common import Report, parse_arguments
from _hosted_fleet import EngineModel, Flow, HostedEntries

STABLE_WINDOW_S = 3.0
WINDOW_S = 4.0
LIMIT_FROM_S, DURATION_S = 3.0, 22.0
JOIN_AT_S, RESTART_AT_S = 11.0, 14.0
MIN_USED_SHARE = 0.9
SHARED = [("5c1e07a2", f"91bd{i:04x}") for i in range(12)]


def get_worst(times):
    """Returns the largest number of times in one window."""
    return max((sum(first <= at <= first + WINDOW_S for at in times) for first in times), default=0)


def play(arguments, entries, engines, model, per_s, has_churn):
    fleet = HostedEntries(arguments.build, arguments.seed, entries)
    late, restarted = (entries - 1, 0) if has_churn else (None, None)
    early = [i for i in range(entries) if i != late]
    try:
        fleet.start_standins(engines, model)
        fleet.start_entries(early)
        time.sleep(1.0)
        flows = [Flow("sound", per_s / entries, 0, DURATION_S, SHARED, early)]
        if has_churn:
            flows.append(Flow("sound", per_s / entries, JOIN_AT_S + 1, DURATION_S, SHARED, [late]))
        fleet.start_callers(flows, DURATION_S)
        if has_churn:
            fleet.churn(late, JOIN_AT_S, restarted, RESTART_AT_S)
        answers, arrivals, _, stated_at, _ = fleet.finish()
        return answers, arrivals, stated_at, fleet.load_begin + DURATION_S
    finally:
        fleet.stop()


def measure(report, arguments, name, entries, engines, model, per_s, has_churn):
    answers, arrivals, stated_at, end = play(arguments, entries, engines, model, per_s, has_churn)
    allowed = 1.5 * model.limit * WINDOW_S + 5
    worst, used, count = 0, 0.0, 0
    for address, first in stated_at.items():
        times = [a.at for a in arrivals if a.address == address and first + STABLE_WINDOW_S <= a.at <= end]
        worst = max(worst, get_worst(times))
        used += len(times) / (model.limit * (end - first - STABLE_WINDOW_S))
        count += 1
    served = sum(a.is_complete for a in answers) / max(1, len(answers))
    suffix = ("_" + name if name else "") + ("_churn" if has_churn else "")
    report.add("worst_ratio" + suffix, worst / allowed, "ratio", entries, 1.0, seed=arguments.seed, limit=model.limit,
               worst=worst, allowed=allowed, served=round(served, 3))
    report.add("limited_engines" + suffix, count, "engines", entries, model.limited_engines, "higher")
    bound = MIN_USED_SHARE if name == "alone" and not has_churn else None
    report.add("used_share" + suffix, used / max(1, count), "share", entries, bound, "higher")


def main():
    arguments = parse_arguments(__doc__)
    report = Report("named_limit")
    several = EngineModel(limit=2.3, limit_from_s=LIMIT_FROM_S, limited_engines=3)
    alone = EngineModel(limit=6.0, limit_from_s=LIMIT_FROM_S, limited_engines=1)
    for entries, engines in ((4, 12),) if arguments.short else ((4, 12), (16, 24)):
        measure(report, arguments, "", entries, engines, several, 8.0 * engines, True)
        measure(report, arguments, "alone", entries, 1, alone, 60.0, False)
        if not arguments.short:
            measure(report, arguments, "", entries, engines, several, 8.0 * engines, False)
            measure(report, arguments, "alone", entries, 1, alone, 60.0, True)
    return 0 if report.is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
