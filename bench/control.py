#!/usr/bin/env python3
"""Measures the control overhead of each role by number of processes: bytes/s, CPU share and memory.

Runs control-only processes as small fleets, and as one zone of a fleet whose VM list has the design size (11,370 VMs in
30 zones; the VMs of the other zones do not run). Prints the slopes per zone member and values extrapolated to a zone of
the design size.
"""

import argparse
import json
import sys
import time

from _control_fleet import ControlFleet, Node, fleet_lib, note, report, seed

BYTES_BOUND = 3000.0
CPU_BOUND = 0.015
RSS_BOUND_MB = 64.0
MIB = 1024 * 1024
# Interval between two reads of a VM list of the design size, as scheduled by src/member_service.cpp.
LIST_PERIOD_S = 3360
FULL_LIST_PROCESSES = 8
ZONES = ["praha", "brno", "ostrava", "plzen"]
# Design size (section 1.3 of docs/design.md).
DESIGN_ENTRIES, DESIGN_AGENTS, DESIGN_ZONES = 370, 11000, 30
ENTRIES_PER_ZONE = round(DESIGN_ENTRIES / DESIGN_ZONES)
AGENTS_PER_ZONE = round(DESIGN_AGENTS / DESIGN_ZONES)
ZONE_MEMBERS = ENTRIES_PER_ZONE + AGENTS_PER_ZONE
UNITS = {"bytes_per_s": "bytes/s", "vm_list_bytes_per_s": "bytes/s", "cpu_share": "cores", "rss_mb": "MiB"}


def total(metrics, name):
    return sum(value for key, value in metrics.items() if key.startswith(name))


def measure(fleet, settle_s, window_s):
    """Returns {role: {figure: mean over the processes}}."""
    time.sleep(settle_s)
    before = fleet.for_all(lambda n: (n.metrics(), n.cpu_seconds(), time.monotonic()))
    time.sleep(window_s)
    cpu = fleet.for_all(lambda n: (n.cpu_seconds(), time.monotonic()))
    after = fleet.for_all(Node.metrics)
    result = {}
    for role in ("entry", "agent"):
        rows = []
        for node, (m0, c0, t0), (c1, t1), m1 in zip(fleet.nodes, before, cpu, after):
            if node.role != role:
                continue
            seconds = t1 - t0
            row = {"cpu_share": (c1 - c0) / seconds, "rss_mb": node.rss_bytes() / MIB}
            for key, name in (("bytes_per_s", "control_bytes_total"), ("vm_list_bytes_per_s", "vm_list_bytes_total")):
                row[key] = (total(m1, name) - total(m0, name)) / seconds
            rows.append(row)
        result[role] = {key: sum(r[key] for r in rows) / len(rows) for key in rows[0]}
    return result


def padding_rows(agents):
    """Returns VM list rows for the other zones of the design size, with the given number of agents each."""
    rows = []
    for zone in range(1, DESIGN_ZONES):
        for i in range(ENTRIES_PER_ZONE + agents):
            is_entry = i < ENTRIES_PER_ZONE
            rows.append({"id": f"zone-{zone}-{'entry' if is_entry else 'agent'}-{i}", "zone": f"zone-{zone}",
                         "region": f"region-{zone % 8}", "kind": "entry" if is_entry else "endpoint",
                         "pool": "" if is_entry else "runners", "address": f"127.250.{zone}.{i % 250 + 1}",
                         "state": "live"})
    return rows


def run_size(build, n, padding, seed_value, settle_s, window_s):
    """Measures n processes: a small fleet in several zones, or one zone of a large fleet if padding is given."""
    zones = ["zone-0"] if padding else ZONES
    entries = max(2 if padding else len(zones), round(n * ENTRIES_PER_ZONE / ZONE_MEMBERS))
    # The VM list stand-in serves one process at a time, so reads of a large list may take long.
    settings = {"platform.timeout_ms": 30000}
    with ControlFleet(build, zones, entries, n - entries, seed_value, settings, padding=padding) as fleet:
        fleet.start_all()
        # A process knows all members of its zone and a subset of the other zones.
        fleet_lib.wait_until(lambda: all(s.get("members", 0) >= n for s in fleet.for_all(Node.status)), 180,
                             "all members everywhere")
        fleet.publish("control")
        fleet.wait_in_force(fleet.version, 30)
        # After a start, the members of a large zone learn about each other within a traffic budget, which takes
        # minutes. The measurement starts earlier, so its bytes are those of a zone in which all members are changing.
        time.sleep(25 if padding else 0)
        known = sum(s.get("serving", 0) for s in fleet.for_all(Node.status)) / (n * n)
        note("control", "known_share", n, round(known, 3), "share", seed_value)
        return measure(fleet, settle_s, window_s)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--short", action="store_true")
    arguments = parser.parse_args()
    seed_value = seed()
    # Number of processes and padding of the VM list; with padding, the processes are one zone of the design size.
    # Processes keep six agents of each other zone, so a list with thirty per zone results in member tables of the
    # design size. The complete list affects only the memory needed to read it, and is measured with a few processes.
    short_list, full_list = padding_rows(30), padding_rows(AGENTS_PER_ZONE)
    sizes = [(10, []), (20, short_list), (50, short_list)] if arguments.short else [
        (10, []), (50, []), (150, short_list), (300, short_list)]
    settle_s, window_s = (3, 5) if arguments.short else (5, 8)
    measured = {}
    for n, padding in sizes:
        measured[n] = run_size(arguments.build, n, padding, seed_value, settle_s, window_s)
        for role, figures in measured[n].items():
            for key, value in figures.items():
                note("control", f"{role}_{key}", n, round(value, 5), UNITS[key], seed_value)
    with_full_list = run_size(arguments.build, FULL_LIST_PROCESSES, full_list, seed_value, 2, 1)

    low, high = [n for n, padding in sizes if padding]
    list_bytes = len(json.dumps({"vms": full_list}))
    list_rate = list_bytes / LIST_PERIOD_S
    note("control", "vm_list_bytes", DESIGN_ENTRIES + DESIGN_AGENTS, list_bytes, "bytes", seed_value)
    ok = True
    for role in ("entry", "agent"):
        for key, bound in (("bytes_per_s", BYTES_BOUND), ("cpu_share", CPU_BOUND), ("rss_mb", RSS_BOUND_MB)):
            slope = (measured[high][role][key] - measured[low][role][key]) / (high - low)
            note("control", f"{role}_{key}_slope", high, slope, UNITS[key] + " per process of the zone", seed_value)
            value = measured[high][role][key] + max(0.0, slope) * (ZONE_MEMBERS - high)
            # The list is read too rarely to be covered by the measurement window, so its mean rate is added.
            if key == "bytes_per_s":
                value += list_rate
            if key == "rss_mb":
                rss = with_full_list[role]["rss_mb"]
                note("control", f"{role}_rss_mb_with_whole_list", FULL_LIST_PROCESSES, round(rss, 5), "MiB", seed_value)
                value = max(value, rss + max(0.0, slope) * (ZONE_MEMBERS - FULL_LIST_PROCESSES))
            ok &= report("control", f"{role}_{key}_design", DESIGN_ENTRIES + DESIGN_AGENTS, round(value, 5), UNITS[key],
                         bound, "lower", seed_value)
    return 0 if ok else 1


if __name__ == "__main__":
    sys.exit(main())
