#!/usr/bin/env python3
"""Takes an availability zone out of service and back under load, then cuts it off from the others and the platform.

Results: requests that started in the zone more than 3 s after the change was accepted (late_admissions), requests
without an answer (failed), and the 95th percentile of the time to the first token during the change, relative to that
before it (p95_ratio).
"""

import sys
import time

import _request
from _request import fleet_lib

MODELS = 9
TOKEN_MS = 10
CAPACITY = 8
TOKENS = 10
PREFILL_MS = 20
LOAD_SHARE = 0.6
ZONE = 1
GRACE_MS = 3000
# Capacity of all endpoints together in requests/s.
FULL_RATE = MODELS * CAPACITY / ((PREFILL_MS + TOKENS * TOKEN_MS) / 1000)


def make_fleet(arguments, seed):
    engine = {"token-ms": TOKEN_MS, "capacity": CAPACITY, "cold-capacity": 2, "warm-ms": 1000,
              "prefill-ms": PREFILL_MS}
    agent = {"admission.cold_limit": 2, "admission.max_limit": CAPACITY}
    return fleet_lib.Fleet(arguments.build, seed=seed, entries=3, models=MODELS, services=0, catalogues=0,
                           engine=engine, agent=agent)


def run_load(fleet, name, rate, seconds):
    return fleet.start_load(name, rate=int(rate), duration_s=seconds, max_tokens=TOKENS, retries=3, deadline_ms=8000,
                            workspaces="large:4,small:1")


def zone_vms(fleet):
    return [vm for vm in fleet.model_vms() if vm.zone == ZONE]


def count_started(fleet):
    return sum(_request.engine_stats(vm).get("started", 0) for vm in zone_vms(fleet))


def take_zone_out(fleet):
    """Takes the zone out of service and sets the time from which its engines count new requests as late."""
    fleet.ctl("zone", "out", fleet.deployment.zones[ZONE], "--yes")
    for vm in zone_vms(fleet):
        fleet.control(vm, {"no_work_after_ms": GRACE_MS})


def count_late(fleet):
    late = sum(_request.engine_stats(vm).get("late_admissions", 0) for vm in zone_vms(fleet))
    for vm in zone_vms(fleet):
        fleet.control(vm, {"no_work_after_ms": -1})
    return late


def count_failures(summary):
    return summary["sent"] - summary["answered"]


def p95(summary):
    return summary["first_token_ms"]["p95"]


def main():
    arguments = _request.parse_arguments(__doc__)
    report = _request.Report("zone")
    phase_s = 6 if arguments.short else 8
    rate = LOAD_SHARE * FULL_RATE
    with make_fleet(arguments, report.seed) as fleet:
        _request.start_serving(fleet)
        fleet.finish_load(run_load(fleet, "warm-up", rate / 3, 5), "warm-up")

        before = fleet.finish_load(run_load(fleet, "before", rate, phase_s), "before")

        during_load = run_load(fleet, "during", rate, phase_s + 6)
        time.sleep(1.5)
        take_zone_out(fleet)
        time.sleep(GRACE_MS / 1000 + phase_s - 3)
        late = count_late(fleet)
        fleet.ctl("zone", "in", fleet.deployment.zones[ZONE], "--yes")
        during = fleet.finish_load(during_load, "during")
        started = count_started(fleet)

        # Clients still reach the entry of the isolated zone, which serves them with the endpoints of its zone.
        cut_load = run_load(fleet, "cut", rate, phase_s)
        time.sleep(1.5)
        fleet.cut_zone(ZONE)
        time.sleep(phase_s - 3)
        fleet.heal_zone(ZONE)
        cut = fleet.finish_load(cut_load, "cut")
    report.note("rate", MODELS, round(rate), "1/s")
    report.note("p95_before", MODELS, p95(before), "ms")
    report.note("p95_during", MODELS, p95(during), "ms")
    report.note("p95_cut", MODELS, p95(cut), "ms")
    report.note("started_in_zone", MODELS, started, "requests")
    report.bound("late_admissions", MODELS, late, "requests", 0)
    report.note("failed_before", MODELS, count_failures(before), "requests")
    report.bound("failed", MODELS, count_failures(during), "requests", 0)
    report.bound("failed_cut", MODELS, count_failures(cut), "requests", 0)
    report.bound("p95_ratio", MODELS, round(p95(during) / p95(before), 2), "1", 1.5)
    report.bound("p95_ratio_cut", MODELS, round(p95(cut) / p95(before), 2), "1", 1.5)
    return report.exit_code()


if __name__ == "__main__":
    sys.exit(main())
