#!/usr/bin/env python3
"""Measures the prefix cache hit rate: how often a request reaches an engine that has its prompt's prefix cached.

The product is compared with random routing (clients that send to the engines directly in round-robin order) and with
an ideal router that knows all caches exactly and balances the load evenly. The ideal hit rate is computed: each prefix
is a hit unless it is new to the fleet or exceeds the total cache capacity. Each engine caches 64 prefixes. Hits are
counted from the cache events, which are published without loss in this benchmark.

Usage: bench/affinity.py --build DIR [--short]
"""

import sys
import time

from _common import OneZoneFleet, Report, fleet_module, parse_arguments, run_load, small_weights, start_serving, warm_up

WORKSPACES = [("large", 1, 1_000_000, 100_000, 100_000_000)]
ENTRIES = 4
ENGINES = 8
CACHE_PREFIXES = 64
# Three quarters of the total cache capacity, so that all prefixes fit.
PROMPTS = ENGINES * CACHE_PREFIXES * 3 // 4
RATE = 400
# Design targets.
MIN_HIT_RATIO = 0.85
MAX_LOAD_RATIO = 1.25


def make_fleet(arguments):
    deployment = fleet_module.USTAV
    return OneZoneFleet(arguments.build, deployment, arguments.seed, entries=ENTRIES, models=ENGINES, services=0, catalogues=0,
                        link=False, weights=small_weights(deployment, arguments.seed), log_level="warn",
                        engine={"token-ms": 2, "capacity": 64, "cold-after-load": 0, "prefill-ms": 10,
                                "cold-slowdown": 1, "cold-capacity": 64, "warm-ms": 500,
                                "prefix-entries": CACHE_PREFIXES, "event-loss-share": 0, "event-lag-ms": 0},
                        agent={"admission.cold_limit": 16, "admission.max_limit": 64, "admission.queue": 64},
                        entry={"route.spill": 10000})


class CacheCounter:
    """Reads the accepted requests and cache misses of each engine."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.events = {vm.id: 0 for vm in fleet.model_vms()}
        self.started = {vm.id: 0 for vm in fleet.model_vms()}
        self.read()

    def read(self):
        """Returns (requests by engine, total misses) since the last call."""
        requests, misses = {}, 0
        for vm in self.fleet.model_vms():
            stats = fleet_module.get_json(vm.address, fleet_module.ENGINE_PORT, "/stats")
            requests[vm.id] = stats["started"] - self.started[vm.id]
            self.started[vm.id] = stats["started"]
            misses += self._read_misses(vm)
        return requests, misses

    def _read_misses(self, vm):
        misses = 0
        while True:
            path = f"/events?after={self.events[vm.id]}"
            answer = fleet_module.get_json(vm.address, fleet_module.ENGINE_PORT, path)
            if not answer["events"]:
                return misses
            self.events[vm.id] = answer["last"]
            misses += sum(event["type"] == "stored" for event in answer["events"])


def measure(fleet, counter, name, seconds, **options):
    """Runs one load. Returns the hit share, the largest engine load relative to the mean, and the summary."""
    counter.read()
    summary = run_load(fleet, name, seconds, rate=RATE, workspaces="large", max_tokens=4, prompts=PROMPTS, **options)
    time.sleep(0.2)
    requests, misses = counter.read()
    total = sum(requests.values())
    return 1 - misses / total, max(requests.values()) * len(requests) / total, summary


def main():
    arguments = parse_arguments(__doc__)
    report = Report("affinity")
    seconds = 5 if arguments.short else 10
    with make_fleet(arguments) as fleet:
        start_serving(fleet, WORKSPACES)
        warm_up(fleet, 4, rate=RATE, workspaces="large", max_tokens=4, prompts=PROMPTS)
        counter = CacheCounter(fleet)
        hits, load_ratio, summary = measure(fleet, counter, "product", seconds)
        targets = ",".join(f"{vm.address}:{fleet_module.ENGINE_PORT}" for vm in fleet.model_vms())
        measure(fleet, counter, "random-warm-up", 3, targets=targets)
        random_hits, _, _ = measure(fleet, counter, "random", seconds, targets=targets)
    # All prefixes fit into the caches and occurred during the warm-up, so the ideal router has no misses.
    perfect_hits = min(1.0, ENGINES * CACHE_PREFIXES / PROMPTS)
    report.add("hit_share", hits, "share", n=ENTRIES, better="higher", wrong=summary["wrong"],
               refused=summary["refused"])
    report.add("random_hit_share", random_hits, "share", n=ENTRIES, better="higher")
    report.add("perfect_hit_share", perfect_hits, "share", n=ENTRIES, better="higher", computed=True)
    report.add("hit_ratio", hits / perfect_hits, "share", n=ENTRIES, bound=MIN_HIT_RATIO, better="higher")
    report.add("load_ratio", load_ratio, "times the mean", n=ENTRIES, bound=MAX_LOAD_RATIO)
    return 0 if report.is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
