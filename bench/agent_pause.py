#!/usr/bin/env python3
"""Measures what callers lose while agents stand still for longer than it takes to suspect them, and go on.

Agents are stopped by signals for 3.5 to 5 s, one after the other and then all at once; members are suspected after 3 s
without heartbeats and dead after 10 s. Callers do not retry. Results: truncated or incorrect answers (cut), requests that
ended without an answer although they may have run (failed), and keys of calls that were executed twice. Requests that were
refused as not run are reported separately: while all agents stand still no other endpoint can be had. `answered_share`: without
answers the other figures would say nothing. All agents stand still for less than a third of the time.
"""

import random
import signal
import sys
import time

import _request
from _request import fleet_lib

MODELS = 4
SERVICES = 2
TOKEN_MS = 50
# A stream takes about 3 s, so that many are under way in each pause.
TOKENS = 60
CAPACITY = 32
RATE = 12
SERVICE_SHARE = 0.3
DEADLINE_MS = 20_000
MIN_PAUSE_S, MAX_PAUSE_S = 3.5, 5.0
GAP_S = 1.0
MIN_ANSWERED_SHARE = 0.5
WEIGHTS_BYTES = 64 * 1024


def make_fleet(arguments, seed, entries):
    engine = {"token-ms": TOKEN_MS, "capacity": CAPACITY, "cold-capacity": CAPACITY, "warm-ms": 100}
    agent = {"admission.cold_limit": CAPACITY, "admission.max_limit": CAPACITY}
    weights = [(fleet_lib.USTAV.model, "", "v1", WEIGHTS_BYTES, 16 * 1024, 1)]
    return fleet_lib.Fleet(arguments.build, seed=seed, entries=entries, models=MODELS, services=SERVICES, catalogues=0,
                           weights=weights, engine=engine, agent=agent)


def pause(fleet, vms, seconds):
    for vm in vms:
        fleet.signal_vm(vm, signal.SIGSTOP)
    time.sleep(seconds)
    for vm in vms:
        fleet.signal_vm(vm, signal.SIGCONT)
    time.sleep(GAP_S)


def play(arguments, report, entries, is_short):
    rng = random.Random(report.seed)
    with make_fleet(arguments, report.seed, entries) as fleet:
        _request.start_serving(fleet)
        deployment = fleet.deployment
        options = {"max_tokens": TOKENS, "retries": 0, "deadline_ms": DEADLINE_MS, "rate": RATE,
                   "workspaces": "large:4,small:1", "service": deployment.service, "service_share": SERVICE_SHARE,
                   "once_call": deployment.once_call, "repeat_call": "lookup"}
        alone = rng.sample(fleet.endpoints(), 2 if is_short else MODELS + SERVICES)
        pauses = [[vm] for vm in alone] + [fleet.endpoints()]
        lengths = [rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S) for _ in pauses]
        load = fleet.start_load(duration_s=int(sum(lengths) + GAP_S * len(lengths)) + 2, **options)
        time.sleep(1)
        for vms, seconds in zip(pauses, lengths):
            pause(fleet, vms, seconds)
        summary = fleet.finish_load(load)
        counts = {}
        for vm in fleet.endpoints(deployment.service_pool):
            for row in fleet_lib.get_json(vm.address, fleet_lib.ENGINE_PORT, "/ledger", timeout=10)["calls"]:
                if row["call"] == deployment.once_call:
                    counts[row["key"]] = counts.get(row["key"], 0) + row["count"]
    report.note("answered", entries, summary["answered"], "requests")
    report.bound("answered_share", entries, round(summary["answered"] / max(1, summary["sent"]), 3), "share",
                 MIN_ANSWERED_SHARE, "higher")
    report.note("refused", entries, summary["refused"], "requests")
    report.bound("cut", entries, summary["truncated"] + summary["wrong"] + summary["mixed"], "requests", 0)
    report.bound("failed", entries, summary["failed"], "requests", 0)
    report.bound("duplicate", entries, sum(1 for n in counts.values() if n > 1), "keys", 0)


def main():
    arguments = _request.parse_arguments(__doc__)
    report = _request.Report("agent_pause")
    for entries in (4,) if arguments.short else (4, 16):
        play(arguments, report, entries, arguments.short)
    return report.exit_code()


if __name__ == "__main__":
    sys.exit(main())
