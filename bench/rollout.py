#!/usr/bin/env python3
"""Measures rollouts of weights with real processes over rate-limited loopback links.

The origin's link transmits four copies of the model in the period T, each VM's link two copies in each direction, and
the link between regions four copies in each direction. The lower bound of the time until n VMs hold a model of M bytes:

    max(M / down, M / origin, n * M / (origin + n * up), M / region)

because each VM receives all bytes over its own link, the origin sends each byte at least once, all sending links
together transmit n copies, and each region receives at least one copy. `time_ratio` is the time from the publish until
the engines of all n VMs have confirmed the weights, divided by this lower bound (`limit`). The baseline disables the
exchange between VMs, so that each VM downloads from the origin.

Prints the seed and one JSON line per result; exits with 1 if a bound is missed. Usage: bench/rollout.py --build DIR
[--short] [--only CASE]
"""

import argparse
import concurrent.futures
import json
import os
import random
import signal
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
import fleet as fleet_module  # noqa: E402
from fleet import ADMIN_PORT, ENGINE_PORT, USTAV, Fleet, get_json, wait_until  # noqa: E402

KIB = 1024
MODEL_BYTES = 4 * 1024 * KIB
CHUNK_BYTES = 32 * KIB
PERIOD_S = 8.0
ORIGIN_COPIES = 4
VM_COPIES = 2
REGION_COPIES = 4
SIZES = (1, 5, 15, 50, 150)
SHORT_SIZES = (1, 5, 15)
TIME_BOUNDS = {15: 1.3, 150: 1.5}
ORIGIN_BOUND = 1.25
CROSS_ZONE_BOUND = 1.25
LIVE_BOUND = 1.2
FAULT_TIME_BOUND = 2.5
FAULT_ORIGIN_BOUND = 2.5
HASH_BOUND = 0.5
# The baseline transmits n copies over the origin's link, so it uses a smaller model over the same links.
BASELINE_SHARE = 0.25
POLL_S = 0.05
MAX_PARALLEL_SIZE = 15
HASH_RUNS = 3
# At lower rates, the few requests that warm up a newly loaded engine are more than 5% of all requests, and the p95
# would reflect only the cold start.
LIVE_RATE = 300

failures = []


def report(metric, n, value, unit, limit=None, bound=None, better="lower", **more):
    """Prints one result and records whether its bound is met."""
    row = {"bench": "rollout", "metric": metric, "n": n, "value": round(value, 4), "unit": unit}
    if limit is not None:
        row["limit"] = round(limit, 4)
    if bound is not None:
        passed = value <= bound if better == "lower" else value >= bound
        row.update({"bound": bound, "better": better, "pass": passed})
        if not passed:
            failures.append(f"{metric} at n={n}")
    row.update(more)
    print(json.dumps(row), flush=True)


def get_rates():
    """Returns the link rates of a VM, of the origin and between regions, in bytes/s."""
    return (VM_COPIES * MODEL_BYTES / PERIOD_S, ORIGIN_COPIES * MODEL_BYTES / PERIOD_S,
            REGION_COPIES * MODEL_BYTES / PERIOD_S)


def get_limit(n, size, zones):
    """Returns the lower bound of the time in which n VMs can receive a model of `size` bytes."""
    vm, origin, region = get_rates()
    parts = [size / vm, size / origin, n * size / (origin + n * vm)]
    if zones > 1:
        parts.append(size / region)
    return max(parts)


class RolloutFleet(Fleet):
    """A fleet of model VMs and entries, without services."""

    def __init__(self, build, n, seed, size=MODEL_BYTES, entries=3, agent=None, engine=None, versions=2, **more):
        vm, origin, region = (int(rate) for rate in get_rates())
        settings = {"transfer.up_rate": vm, "transfer.down_rate": vm, "transfer.shared_rate": region,
                    "transfer.hedge_ms": 500, "admission.max_limit": 16}
        settings.update(agent or {})
        options = {"token-ms": 4, "capacity": 16, "warm-ms": 1000, "cold-capacity": 4, "order-ms": 50}
        options.update(engine or {})
        weights = [(USTAV.model, "", f"v{i + 1}", size, CHUNK_BYTES, seed * 100 + i) for i in range(versions)]
        super().__init__(build, USTAV, seed, entries=entries, models=n, services=0, catalogues=0, link=n > 1,
                         link_rate=region, weights=weights, origin_rate=origin, agent=settings, engine=options, **more)
        self.pool = concurrent.futures.ThreadPoolExecutor(24)
        self.confirmed_at = {}

    def stop(self):
        self.pool.shutdown(wait=False)
        super().stop()

    def get_zone_count(self):
        return len({vm.zone for vm in self.model_vms()})

    def wait_for_members(self, timeout=60):
        """Waits until every agent has heard from its zone and lists all VMs, so that only the transfer is measured."""
        pending = {vm.id: vm for vm in self.model_vms()}

        def is_complete(vm):
            counts = (self.status(vm) or {}).get("members", {})
            heard = sum(counts.get(state, 0) for state in ("starting", "serving"))
            in_zone = sum(1 for other in self.vms if other.zone == vm.zone)
            return heard >= in_zone and sum(counts.values()) >= len(self.vms)

        def check():
            vms = list(pending.values())
            for vm, done in zip(vms, self.pool.map(is_complete, vms)):
                if done:
                    del pending[vm.id]
            return not pending

        try:
            wait_until(check, timeout, "members", interval=0.2)
        except TimeoutError as error:
            states = {vm.id: (self.status(vm) or {}).get("members") for vm in list(pending.values())[:5]}
            raise TimeoutError(f"{len(pending)} agents do not know all members: {states}") from error

    def has_confirmed(self, vm, version):
        """Whether the engine has loaded the version and the agent serves it."""
        manifest = self.catalog[(self.deployment.model, "", version)]["manifest"]
        holdings = (self.status(vm) or {}).get("holdings", [])
        return any(h["manifest"] == manifest and h["serving"] for h in holdings)

    def wait_for_version(self, version, vms, start, timeout):
        """Waits until all VMs have confirmed a version. Returns the seconds since `start`, or None."""
        pending = {vm.id: vm for vm in vms}
        while time.monotonic() - start < timeout:
            current = list(pending.values())
            for vm, done in zip(current, self.pool.map(lambda v: self.has_confirmed(v, version), current)):
                if done:
                    del pending[vm.id]
                    self.confirmed_at[vm.id] = time.monotonic() - start
            if not pending:
                return time.monotonic() - start
            # Polls less often while many VMs are pending, to leave the CPU time to the agents.
            time.sleep(POLL_S * max(1, len(pending) / 25))
        print(f"rollout: not confirmed: {sorted(pending)}", file=sys.stderr)
        return None

    def metric_sum(self, name, label=""):
        """Sums one metric over all running agents."""
        def read(vm):
            try:
                _, body = fleet_module.request(vm.address, ADMIN_PORT, "GET", "/metrics", timeout=5)
            except OSError:
                return 0.0
            return sum(float(line.rsplit(" ", 1)[1]) for line in body.decode().splitlines()
                       if line.startswith(name) and label in line)
        vms = [vm for vm in self.model_vms() if vm.product.poll() is None]
        return sum(self.pool.map(read, vms))

    def start_callers(self, name, rate, seconds):
        """Starts callers that accept answers from the published manifests only."""
        manifests = ",".join(row["manifest"] for row in self.catalog.values())
        return self.start_load(name, rate=rate, duration_s=seconds, max_tokens=10, workspaces="large:4,small",
                               retries=2, manifests=manifests)

    def cross_zone_copies(self, size):
        """Returns the chunk bytes that agents received from other zones, in copies per zone other than the origin's."""
        zones = self.get_zone_count()
        if zones < 2:
            return 0.0
        received = self.metric_sum("plantain_transfer_received_bytes_total", 'source="other_zone"')
        return received / size / (zones - 1)


def measure_fresh(build, seed, n, size=MODEL_BYTES, agent=None, timeout=None):
    """Rolls a first version out to n empty VMs. Returns (seconds, limit, origin copies, cross-zone copies)."""
    with RolloutFleet(build, n, seed, size=size, agent=agent, versions=1) as fleet:
        fleet.start_all()
        fleet.wait_for_members()
        before = fleet.origin_bytes()
        text = fleet.document("v1", extra={"floor": 0, "wave": 1})
        start = time.monotonic()
        fleet.publish(text)
        limit = get_limit(n, size, fleet.get_zone_count())
        seconds = fleet.wait_for_version("v1", fleet.model_vms(), start, timeout or limit * 6 + 10)
        origin = (fleet.origin_bytes() - before) / size
        return seconds, limit, origin, fleet.cross_zone_copies(size)


def run_size(build, seed, n):
    try:
        seconds, limit, origin, cross = measure_fresh(build, seed, n)
    except TimeoutError as error:
        # A fleet that does not start counts as a missed bound; the other cases still run.
        print(f"rollout: n={n}: {error}", file=sys.stderr)
        report("time_ratio", n, 1e9, "ratio", None, TIME_BOUNDS.get(n, 1e8))
        return
    ratio = seconds / limit if seconds is not None else 1e9
    report("time_ratio", n, ratio, "ratio", limit, TIME_BOUNDS.get(n), seconds=seconds)
    report("origin_copies", n, origin, "copies", 1, ORIGIN_BOUND)
    if n > 1:
        report("cross_zone_copies", n, cross, "copies", 1, CROSS_ZONE_BOUND)


def run_baseline(build, seed, n=15):
    size = int(MODEL_BYTES * BASELINE_SHARE)
    seconds, limit, origin, _ = measure_fresh(build, seed, n, size, {"transfer.exchange": False}, timeout=60)
    ratio = seconds / limit if seconds is not None else 1e9
    report("baseline_time_ratio", n, ratio, "ratio", limit, seconds=seconds, origin_copies=round(origin, 3))


def run_sizes(build, seed, sizes, with_baseline):
    """Runs the small fleets in parallel, because their links are rate-limited and they need little CPU time."""
    small = [n for n in sizes if n <= MAX_PARALLEL_SIZE]
    with concurrent.futures.ThreadPoolExecutor(len(small) + 1) as pool:
        runs = [pool.submit(run_size, build, seed, n) for n in small]
        if with_baseline:
            runs.append(pool.submit(run_baseline, build, seed))
        for run in runs:
            run.result()
    for n in sizes:
        if n > MAX_PARALLEL_SIZE:
            run_size(build, seed, n)


def run_live(build, seed, n=15):
    """Compares the clients' p95 latency during a rollout to serving VMs with that before it."""
    with RolloutFleet(build, n, seed, entries=4) as fleet:
        fleet.start_all()
        fleet.wait_for_members()
        start = time.monotonic()
        fleet.publish(fleet.document("v1", extra={"floor": 0, "wave": 1}))
        fleet.wait_for_version("v1", fleet.model_vms(), start, 60)
        fleet.finish_load(fleet.start_callers("warm", LIVE_RATE, 4), "warm")
        before = fleet.finish_load(fleet.start_callers("before", LIVE_RATE, 5), "before")
        load = fleet.start_callers("during", LIVE_RATE, 12)
        start = time.monotonic()
        fleet.publish(fleet.document("v2"))
        seconds = fleet.wait_for_version("v2", fleet.model_vms(), start, 40)
        during = fleet.finish_load(load, "during")
    ratio = during["total_ms"]["p95"] / max(before["total_ms"]["p95"], 1e-9)
    report("live_p95_ratio", n, ratio, "ratio", 1, LIVE_BOUND, before_ms=before["total_ms"]["p95"],
           during_ms=during["total_ms"]["p95"], rollout_seconds=seconds)
    bad = sum(during.get(key, 0) for key in ("failed", "wrong", "mixed", "truncated"))
    report("failed", n, bad, "requests", 0, 0, sent=during.get("sent"), refused=during.get("refused"),
           refused_by_type=during.get("refused_by_type"))


def run_faults(build, seed, n=20):
    """Measures a rollout under faults: 5% of the origin's chunks are corrupt, a fifth of the agents is paused to
    simulate stalled links, a tenth is killed, and the version changes at half of the limit."""
    with RolloutFleet(build, n, seed, entries=3) as fleet:
        fleet.start_all()
        fleet.wait_for_members()
        fleet.control("origin", {"corrupt_share": 0.05})
        limit = get_limit(n, MODEL_BYTES, fleet.get_zone_count())
        order = fleet.model_vms()
        random.Random(seed).shuffle(order)
        killed, stalled = order[:n // 10], order[n // 10:n // 10 + n // 5]
        remaining = [vm for vm in fleet.model_vms() if vm not in killed]
        before = fleet.origin_bytes()
        load = fleet.start_callers("faults", 20, 12)
        start = time.monotonic()
        fleet.publish(fleet.document("v1", extra={"floor": 0, "wave": 1}))
        time.sleep(max(0, start + limit / 4 - time.monotonic()))
        for vm in stalled:
            fleet.signal_vm(vm, signal.SIGSTOP)
        time.sleep(max(0, start + limit / 2 - time.monotonic()))
        for vm in killed:
            fleet.signal_vm(vm, signal.SIGKILL)
        fleet.publish(fleet.document("v2", extra={"floor": 0, "wave": 1}))
        time.sleep(max(0, start + limit - time.monotonic()))
        for vm in stalled:
            fleet.signal_vm(vm, signal.SIGCONT)
        seconds = fleet.wait_for_version("v2", remaining, start, 60)
        callers = fleet.finish_load(load, "faults")
        origin = (fleet.origin_bytes() - before) / MODEL_BYTES
        engines = fleet.engine_stats()
    ratio = seconds / limit if seconds is not None else 1e9
    report("fault_time_ratio", n, ratio, "ratio", limit, FAULT_TIME_BOUND, seconds=seconds, remaining=len(remaining))
    report("fault_origin_copies", n, origin, "copies", 2, FAULT_ORIGIN_BOUND)
    report("partial_served", n, engines.get("partial_served", 0), "requests", 0, 0, started=engines.get("started"))
    mixed = engines.get("mixed_served", 0) + callers.get("mixed", 0) + callers.get("wrong", 0)
    report("mixed_served", n, mixed, "requests", 0, 0, answered=callers.get("answered"))


def run_hash(build):
    """Compares hashing and transferring chunks with the hash library alone, as the median of several runs."""
    runs = []
    for _ in range(HASH_RUNS):
        done = subprocess.run([os.path.join(build, "bench-transfer")], capture_output=True, text=True, check=True,
                              timeout=60)
        runs.append({row["metric"]: row["value"] for row in map(json.loads, done.stdout.splitlines())})
    for metric in ("chunk_hash", "chunk_transfer"):
        run = sorted(runs, key=lambda rates: rates[metric] / rates["library_hash"])[HASH_RUNS // 2]
        report(metric + "_ratio", 1, run[metric] / run["library_hash"], "ratio", 1, HASH_BOUND, "higher",
               mb_per_core_s=round(run[metric]), library_mb_per_core_s=round(run["library_hash"]))


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default=os.path.join(ROOT, "build"))
    parser.add_argument("--short", action="store_true", help="the short form that CI runs")
    parser.add_argument("--only", default="", help="run one case: sizes, live, faults or hash")
    parser.add_argument("--sizes", default="", help="comma-separated numbers of VMs")
    arguments = parser.parse_args()
    seed = int(os.environ.get("SEED", "20261204")) % 1_000_000
    print(f"seed {seed}", flush=True)
    sizes = [int(x) for x in arguments.sizes.split(",")] if arguments.sizes else (
        SHORT_SIZES if arguments.short else SIZES)
    cases = {"sizes": lambda: run_sizes(arguments.build, seed, sizes, not arguments.short),
             "live": lambda: run_live(arguments.build, seed),
             "faults": lambda: run_faults(arguments.build, seed),
             "hash": lambda: run_hash(arguments.build)}
    for name, run in cases.items():
        if arguments.only in ("", name):
            run()
    for failure in failures:
        print(f"rollout: bound missed: {failure}", file=sys.stderr)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
