#!/usr/bin/env python3
"""Simulates a retry storm: clients offer 0.5 to 5 times the fleet's capacity and retry refused requests up to 4 times.

Clients ignore the retry delay that refusals ask for. A baseline gets the same load in the same run: an effectively
unlimited retry budget at the entries and a large, fixed admission limit at the agents instead of the adaptive one.

Usage: bench/storm.py --build DIR [--short]
"""

import sys
import time

from _common import OneZoneFleet, Report, fleet_module, parse_arguments, run_load, small_weights, start_serving
from _common import sum_metric, warm_up

ENTRIES = 4
ENGINES = 4
ENGINE_CAPACITY = 8
TOKEN_MS = 10
TOKENS = 10
# Requests/s that all engines together serve at full speed. A request takes one step more than its number of tokens.
CAPACITY = ENGINES * ENGINE_CAPACITY * 1000 / (TOKEN_MS * (TOKENS + 1))
DEADLINE_MS = 1000
LARGE, SMALL = 2, 8
WORKSPACES = [(f"large{i}", 1, 1_000_000, 100_000, 100_000_000) for i in range(LARGE)] + [
    (f"small{i}", 1, 1_000_000, 100_000, 100_000_000) for i in range(SMALL)]
# Request rate of a large workspace relative to a small one.
LARGE_DEMAND = 36
DEMAND = ",".join([f"large{i}:{LARGE_DEMAND}" for i in range(LARGE)] + [f"small{i}:1" for i in range(SMALL)])
# Design targets.
MIN_GOODPUT_RATIO = 0.9
MAX_AMPLIFICATION = 1.1
MAX_RECOVERY_S = 5
RECOVERED_SHARE = 0.95
MIN_FAIR_RATIO = 0.95

BASELINE_ENTRY = {"retry.budget_share": 1, "retry.reserve": 10000, "retry.max_attempts": 5}
BASELINE_AGENT = {"admission.cold_limit": 2048, "admission.max_limit": 2048, "admission.queue": 4096}
PRODUCT_AGENT = {"admission.cold_limit": 2, "admission.max_limit": 64}


def make_fleet(arguments, entry, agent):
    deployment = fleet_module.USTAV
    return OneZoneFleet(arguments.build, deployment, arguments.seed, entries=ENTRIES, models=ENGINES, services=0,
                        catalogues=0, link=False, weights=small_weights(deployment, arguments.seed), log_level="warn",
                        # No cold starts, because with them the baseline would fail even before the storm.
                        engine={"token-ms": TOKEN_MS, "capacity": ENGINE_CAPACITY, "max-running": 2048,
                                "cold-after-load": 0, "cold-slowdown": 1, "cold-capacity": 2048, "warm-ms": 500,
                                "prefill-ms": 0},
                        agent=agent, entry=entry)


def run_at_level(fleet, name, level, seconds, **options):
    """Offers `level` times the capacity with clients that retry refused requests. Returns the load's summary."""
    return run_load(fleet, name, seconds, rate=level * CAPACITY, workspaces=DEMAND, max_tokens=TOKENS, retries=4,
                    ignore_retry_after=True, retry_pause_ms=20, deadline_ms=DEADLINE_MS, prompts=200, threads=2, **options)


def count_attempts(fleet):
    entries = fleet.entries()
    return sum_metric(entries, "plantain_entry_attempts_total"), sum_metric(entries, "plantain_entry_first_attempts_total")


def get_recovery_s(summary):
    """Returns the time in seconds after the storm from which at most 5% of the requests fail or are refused.

    Counts failures instead of answers, because an answer may belong to a later interval than its request.
    """
    recovered = 0
    for index, row in enumerate(summary["timeline"]):
        if row["refused"] + row["failed"] > (1 - RECOVERED_SHARE) * max(row["sent"], 1):
            recovered = index + 1
    return recovered * summary["timeline_ms"] / 1000


def get_fair_ratio(summary, seconds, capacity):
    """Returns the lowest ratio of throughput to fair share among the small workspaces."""
    ratios = []
    for name, row in summary["workspaces"].items():
        if name.startswith("small"):
            fair = min(row["sent"] / seconds, capacity / len(WORKSPACES))
            ratios.append(row["answered"] / seconds / fair)
    return min(ratios)


def run_levels(arguments, entry, agent, levels, seconds):
    """Offers all levels in turn, then half of the capacity.

    Returns the goodput by level, the retry amplification at the last level, the recovery time and the last summary.
    """
    with make_fleet(arguments, entry, agent) as fleet:
        start_serving(fleet, WORKSPACES)
        warm_up(fleet, 5, rate=0.5 * CAPACITY, workspaces=DEMAND, max_tokens=TOKENS, prompts=200)
        goodput = {}
        for level in levels:
            before = count_attempts(fleet)
            summary = run_at_level(fleet, f"level-{level}", level, seconds)
            after = count_attempts(fleet)
            goodput[level] = summary["answered"] / seconds
        recovery = run_at_level(fleet, "recovery", 0.5, MAX_RECOVERY_S + 2, timeline_ms=500)
        time.sleep(0.1)
    amplification = (after[0] - before[0]) / max(1, after[1] - before[1])
    return goodput, amplification, get_recovery_s(recovery), summary


def report_run(report, prefix, levels, result, seconds, is_bound):
    goodput, amplification, recovery_s, storm = result
    for level in levels:
        report.add(f"{prefix}goodput_per_s", goodput[level], "requests/s", n=level, better="higher")
    peak = max(goodput.values())
    report.add(f"{prefix}goodput_ratio", goodput[levels[-1]] / peak, "share", n=levels[-1], better="higher",
               bound=MIN_GOODPUT_RATIO if is_bound else None, wrong=storm["wrong"], failed=storm["failed"])
    report.add(f"{prefix}amplification", amplification, "attempts", n=levels[-1],
               bound=MAX_AMPLIFICATION if is_bound else None)
    report.add(f"{prefix}recovery_s", recovery_s, "s", n=levels[-1], bound=MAX_RECOVERY_S if is_bound else None)
    report.add(f"{prefix}fair_ratio", get_fair_ratio(storm, seconds, peak), "share", n=levels[-1], better="higher",
               bound=MIN_FAIR_RATIO if is_bound else None)


def main():
    arguments = parse_arguments(__doc__)
    report = Report("storm")
    seconds = 3 if arguments.short else 4
    levels = [0.5, 1, 5] if arguments.short else [0.5, 1, 2, 5]
    result = run_levels(arguments, {}, PRODUCT_AGENT, levels, seconds)
    report.add("capacity_per_s", CAPACITY, "requests/s", n=ENTRIES, better="higher", computed=True)
    report_run(report, "", levels, result, seconds, True)
    levels = [0.5, 5]
    result = run_levels(arguments, BASELINE_ENTRY, BASELINE_AGENT, levels, seconds)
    report_run(report, "baseline_", levels, result, seconds, False)
    return 0 if report.is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
