#!/usr/bin/env python3
"""Measures a burst of configurations at entries of large zones, whose readers alone read the store.

While 25 configurations of 100 KB are published within two seconds, the reader of one zone is killed.

`readers`: entries that read the store before the burst and after it; one for each zone.
`late_entries`: entries on which the last configuration came into force later than `config_ms` after its acknowledgement,
or not at all.
`rollbacks`: entries on which a configuration came into force after a newer one.
`store_calls_ratio`: calls to the store in the seconds before the burst against those that all entries would make.
"""

import asyncio
import multiprocessing
import sys
import time

from _common import Report, parse_arguments
from _hosted_fleet import ADMIN_PORT, OPERATOR_TOPIC, ZONES, EngineModel, HostedEntries, make_config
from fleet import request, wait_until
from restored_store import get_apply_times

VERSIONS, INTERVAL_S, BYTES, CONFIG_S = 25, 0.08, 100_000, 3.0
COUNT_S, BURST_AT_S, KILL_AFTER_S, SETTLE_S = 4.0, 1.0, 0.6, 4.0
# Reads of an entry that reads both topics: the directory every 0.5 s and the operators' topic every 2.5 s.
CALLS_PER_S = 1 / 0.5 + 1 / 2.5
MAX_CALLS_RATIO = 0.3


class Scenario:
    """Counts calls to the store, then publishes the burst. `ready` is set by the benchmark."""

    def __init__(self, fleet, ready):
        self.fleet, self.ready, self.result, self.calls = fleet, ready, None, 0
        read, newest = fleet.store.read, fleet.store.get_newest

        def count_read(*arguments):
            self.calls += 1
            return read(*arguments)

        def count_listing(*arguments):
            self.calls += 1
            return newest(*arguments)

        fleet.store.read, fleet.store.get_newest = count_read, count_listing

    async def run(self):
        while time.monotonic() < self.ready.value or not self.ready.value:
            await asyncio.sleep(0.02)
        before = self.calls
        await asyncio.sleep(COUNT_S)
        calls, configs = self.calls - before, []
        await asyncio.sleep(BURST_AT_S)
        for version in range(4, 4 + VERSIONS):
            config = {**make_config(self.fleet.model), "version": version, "padding": "x" * BYTES}
            await self.fleet.store.put(OPERATOR_TOPIC, "config", config)
            configs.append((time.monotonic(), time.time(), version))
            await asyncio.sleep(INTERVAL_S)
        self.result = {"calls": calls, "configs": configs}


def find_readers(fleet, indices):
    def reads(index):
        _, body = request(fleet.get_address(index), ADMIN_PORT, "GET", "/metrics")
        return b"\nplantain_store_reading 1\n" in body
    return [index for index in indices if reads(index)]


def count_rollbacks(logs):
    rollbacks = 0
    for log in logs:
        versions = [int(line.split(" version=")[1].split()[0]) for line in log.splitlines()
                    if " event=config_in_force " in line]
        rollbacks += versions != sorted(versions)
    return rollbacks


def measure(report, arguments, entries):
    ready = multiprocessing.Value("d", 0.0)
    fleet = HostedEntries(arguments.build, arguments.seed, entries)
    try:
        fleet.start_standins(6, EngineModel(), (), lambda standins: Scenario(standins, ready))
        fleet.start_entries(range(entries))
        wait_until(lambda: len(find_readers(fleet, range(entries))) == len(ZONES), 20, "one reader for each zone")
        time.sleep(1)
        readers = find_readers(fleet, range(entries))
        report.add("readers", len(readers), "entries", entries, len(ZONES), when="before the burst")
        begin = time.monotonic()
        ready.value = begin
        time.sleep(COUNT_S + BURST_AT_S + KILL_AFTER_S)
        fleet.kill_entry(readers[0])
        time.sleep(VERSIONS * INTERVAL_S + SETTLE_S)
        left = [index for index in range(entries) if index != readers[0]]
        report.add("readers", len(find_readers(fleet, left)), "entries", entries, len(ZONES), when="after the burst")
        logs = [open(fleet.get_log(i), encoding="utf-8", errors="replace").read() for i in left]
        fleet.standins.send("stop")
        result = fleet.standins.recv()[3]
    finally:
        fleet.stop()
    last = result["configs"][-1][2]
    times = get_apply_times(logs, result["configs"])
    in_time = sum(at <= CONFIG_S for at in times[last])
    report.add("late_entries", len(left) - in_time, "entries", entries, 0, last_max_s=round(max(times[last], default=-1), 3))
    report.add("rollbacks", count_rollbacks(logs), "entries", entries, 0)
    in_force = sum(len(at) for at in times.values()) / len(left)
    report.add("versions_in_force", in_force, "versions for each entry", entries, VERSIONS)
    ratio = result["calls"] / (entries * CALLS_PER_S * COUNT_S)
    report.add("store_calls_ratio", ratio, "ratio", entries, MAX_CALLS_RATIO, calls=result["calls"])


def main():
    arguments = parse_arguments(__doc__)
    report = Report("config_storm")
    for entries in (30,) if arguments.short else (30, 60):
        measure(report, arguments, entries)
    return 0 if report.is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
