#!/usr/bin/env python3
"""Performs a rolling restart of every entry, agent and endpoint under load.

Each VM is stopped gracefully; an endpoint's engine or service is restarted while its agent is down. The next VM follows
once this one serves again. Results: truncated or incorrect answers (cut), requests without an answer (failed) and
processes that had to be killed (forced).
"""

import subprocess
import sys
import time

import _request
from _request import fleet_lib

ENTRIES = 3
MODELS = 6
SERVICES = 2
TOKEN_MS = 10
TOKENS = 30
CAPACITY = 16
# Requests/s for each endpoint: a third of its capacity, so that the others can take over the load of one that restarts.
RATE_PER_MODEL = 0.33 * CAPACITY / (0.04 + TOKENS * TOKEN_MS / 1000)
SERVICE_SHARE = 0.2
WEIGHTS_BYTES = 1024 * 1024
STOP_S = 30


def make_fleet(arguments, seed, is_short):
    engine = {"token-ms": TOKEN_MS, "capacity": CAPACITY, "cold-capacity": 4, "warm-ms": 300}
    agent = {"admission.cold_limit": 4, "admission.max_limit": CAPACITY}
    models = MODELS // 2 if is_short else MODELS
    weights = [(fleet_lib.USTAV.model, "", "v1", WEIGHTS_BYTES, 64 * 1024, 1)]
    return fleet_lib.Fleet(arguments.build, seed=seed, entries=ENTRIES, models=models, services=SERVICES, catalogues=0,
                           weights=weights, engine=engine, agent=agent)


def is_serving(fleet, vm):
    if vm.kind == "entry" or vm.pool != fleet.deployment.model_pool:
        return fleet.is_ready(vm)
    return any(holding["serving"] for holding in (fleet.status(vm) or {}).get("holdings", []))


def read_ledger(fleet, vm, counts):
    """Adds the executions of a plain service to `counts`. Call before its process stops, which loses the ledger."""
    if vm.pool != fleet.deployment.service_pool:
        return
    for row in fleet_lib.get_json(vm.address, fleet_lib.ENGINE_PORT, "/ledger", timeout=10)["calls"]:
        if row["call"] == fleet.deployment.once_call:
            counts[row["key"]] = counts.get(row["key"], 0) + row["count"]


def restart(fleet, vm, counts):
    """Restarts one VM. Returns whether its process stopped gracefully with exit code 0."""
    try:
        is_clean = fleet.stop_product(vm, STOP_S) == 0
    except subprocess.TimeoutExpired:
        is_clean = False
        vm.product.kill()
        vm.product.wait()
    if vm.engine is not None:
        read_ledger(fleet, vm, counts)
        vm.engine.terminate()
        vm.engine.wait(STOP_S)
    fleet.start_vm(vm)
    fleet_lib.wait_until(lambda: is_serving(fleet, vm), 30, f"{vm.id} to serve again")
    return is_clean


def main():
    arguments = _request.parse_arguments(__doc__)
    report = _request.Report("drain")
    with make_fleet(arguments, report.seed, arguments.short) as fleet:
        _request.start_serving(fleet)
        deployment = fleet.deployment
        options = {"max_tokens": TOKENS, "retries": 4, "deadline_ms": 8000, "workspaces": "large:4,small:1",
                   "service": deployment.service, "once_call": deployment.once_call, "repeat_call": "lookup",
                   "service_share": SERVICE_SHARE}
        rate = RATE_PER_MODEL * len(fleet.model_vms()) / (1 - SERVICE_SHARE)
        fleet.finish_load(fleet.start_load("warm-up", rate=int(rate / 3), duration_s=4, **options), "warm-up")
        begun = time.monotonic()
        duration = 20 if arguments.short else 30
        load = fleet.start_load(rate=int(rate), duration_s=duration, **options)
        time.sleep(1)
        forced, counts = 0, {}
        for vm in fleet.vms:
            forced += not restart(fleet, vm, counts)
        elapsed_s = time.monotonic() - begun
        summary = fleet.finish_load(load)
        restarts = len(fleet.vms)
        for vm in fleet.vms:
            read_ledger(fleet, vm, counts)
    report.note("restarts", restarts, round(elapsed_s, 1), "s")
    # Restarts after the end of the load would not be tested.
    report.bound("restart_time", restarts, round(elapsed_s, 1), "s", duration)
    report.note("answered", restarts, summary["answered"], "requests")
    report.bound("cut", restarts, summary["truncated"] + summary["wrong"] + summary["mixed"], "requests", 0)
    report.bound("failed", restarts, summary["failed"] + summary["refused"], "requests", 0)
    report.bound("forced", restarts, forced, "processes", 0)
    report.bound("duplicate", restarts, sum(1 for n in counts.values() if n > 1), "keys", 0)
    return report.exit_code()


if __name__ == "__main__":
    sys.exit(main())
