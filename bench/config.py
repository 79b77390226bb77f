#!/usr/bin/env python3
"""Measures the time until a document is in force everywhere, with a third of the processes cut off from the log.

Starts processes with the control services only. The times are taken from the event logs of the processes. Then replays
5,500 changes a day at 50 times real time and checks that no backlog builds up and that no process reverts to an older
version.
"""

import argparse
import random
import sys
import time

from _control_fleet import ControlFleet, Node, fleet_lib, note, percentile, report, seed

CHANGES_PER_DAY = 5500
SPEED_UP = 50
IN_FORCE_BOUND_S = 5.0


def count_reversions(adoptions):
    reversions = 0
    for events in adoptions.values():
        versions = [version for version, _ in events]
        reversions += sum(later <= earlier for earlier, later in zip(versions, versions[1:]))
    return reversions


def in_force_times(adoptions, published):
    """Returns the times from publish to adoption. A skipped version counts as adopted with the next later one."""
    times = []
    for events in adoptions.values():
        for version, published_at in published.items():
            later = [when for adopted, when in events if adopted >= version]
            times.append(max(0.0, min(later) - published_at) if later else float("inf"))
    return times


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--short", action="store_true")
    arguments = parser.parse_args()
    seed_value = seed()
    rng = random.Random(seed_value)
    n = 100
    publishes = 4 if arguments.short else 10
    replay_s = 6 if arguments.short else 20
    zones = ["praha", "brno", "ostrava", "plzen"]
    with ControlFleet(arguments.build, zones, 8, n - 8, seed_value, {"log.level": "info"}, cut=1 / 3) as fleet:
        fleet.start_all()
        fleet_lib.wait_until(lambda: all(s.get("members", 0) == n for s in fleet.for_all(Node.status)), 40,
                             "all members everywhere")
        published = {}
        for i in range(publishes):
            version, published_at = fleet.publish(f"single {i}")
            published[version] = published_at
            time.sleep(1 + rng.random())
        fleet.wait_in_force(fleet.version, 30)

        changes = round(CHANGES_PER_DAY / 86400 * SPEED_UP * replay_s)
        replayed = {}
        start = time.monotonic()
        for i in range(changes):
            version, published_at = fleet.publish(f"replay {i}")
            replayed[version] = published_at
            time.sleep(max(0.0, start + (i + 1) * replay_s / changes - time.monotonic()))
        done = time.monotonic()
        fleet.wait_in_force(fleet.version, 60)
        drain = time.monotonic() - done
        time.sleep(0.5)
        adoptions = fleet.adoptions()
        cut = [s for s in fleet.for_all(Node.status, [n for n in fleet.nodes if n.name in fleet.cut])
               if s.get("log_reachable")]

    times = in_force_times(adoptions, published)
    replay_times = in_force_times(adoptions, replayed)
    ok = report("config", "in_force_p99_s", n, round(percentile(times, 0.99), 3), "s", IN_FORCE_BOUND_S, "lower",
                seed_value)
    note("config", "in_force_p50_s", n, round(percentile(times, 0.5), 3), "s", seed_value)
    note("config", "in_force_max_s", n, round(max(times), 3), "s", seed_value)
    ok &= report("config", "replay_in_force_p99_s", n, round(percentile(replay_times, 0.99), 3), "s", IN_FORCE_BOUND_S,
                 "lower", seed_value)
    ok &= report("config", "replay_drain_s", n, round(drain, 3), "s", IN_FORCE_BOUND_S, "lower", seed_value)
    ok &= report("config", "reversions", n, count_reversions(adoptions), "count", 0, "lower", seed_value)
    ok &= report("config", "cut_processes_that_read_the_log", n, len(cut), "count", 0, "lower", seed_value)
    note("config", "replayed_changes", n, changes, "count", seed_value)
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
