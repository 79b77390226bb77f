#!/usr/bin/env python3
"""Measures the memory of entries and agents while engines send answers without end.

All engines never end half of their answers, reports among them: in the head, in bodies with and without a length or in
chunks, and in events. Such an answer arrives at 4 MB/s, so that dozens are open at once. Callers go on all the while.

`peak_entry`, `peak_agent`: largest resident memory of a process. The bound is the memory of its VM, which it knows.
`ended`: processes that ended by themselves.
`served_others`: share of the requests to which no engine sent such an answer that were served.
`open_at_once`: most answers without end at the same time. With few of them the run says nothing.
"""

import os
import sys
import threading
import time

from _common import Report, parse_arguments
from _hosted_fleet import API_KEYS, EngineModel, Flow, HostedEntries

ENGINES, SLOTS, ENDLESS_SHARE = 6, 32, 0.5
DURATION_S = 12.0
# Requests a second of all entries together.
PROMPTS_PER_S, PLAIN_PER_S = 60.0, 20.0
PLAIN = [("GET", "/status/{}", API_KEYS[0]), ("POST", "/confirm/{}", API_KEYS[1])]
# The smallest VMs of the users' sites.
MEMORY_MB = 128
MIN_SERVED, MIN_OPEN = 0.99, 20
SAMPLE_S = 0.01
BYTES_PER_MB = 1e6


class Scenario:
    """Returns the most answers without end that were open at once."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def run(self):
        pass

    @property
    def result(self):
        return self.fleet.endless_peak


class PeakMemory(threading.Thread):
    """Samples the resident memory of processes until it is stopped."""

    def __init__(self, processes):
        super().__init__(daemon=True)
        self.processes, self.peak, self.is_stopped = processes, 0.0, False

    def run(self):
        while not self.is_stopped:
            self.peak = max([self.peak, *(self.read(process.pid) for process in self.processes)])
            time.sleep(SAMPLE_S)

    @staticmethod
    def read(pid):
        try:
            with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
                return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB
        except (OSError, IndexError):
            return 0.0


def measure(report, arguments, entries):
    fleet = HostedEntries(arguments.build, arguments.seed, entries, MEMORY_MB)
    try:
        model = EngineModel(slots=SLOTS, endless_engines=ENGINES, endless_share=ENDLESS_SHARE)
        fleet.start_standins(ENGINES, model, make_scenario=Scenario)
        fleet.start_entries(range(entries))
        for index in range(ENGINES):
            fleet.start_agent(index)
        watches = {"entry": PeakMemory(fleet.processes.values()), "agent": PeakMemory(fleet.agents.values())}
        for watch in watches.values():
            watch.start()
        flows = [Flow("prompts", PROMPTS_PER_S / entries, 0.0, DURATION_S - 6, [("a:400",)], list(range(entries))),
                 Flow("plain", PLAIN_PER_S / entries, 0.0, DURATION_S - 2, [], list(range(entries)), PLAIN)]
        fleet.start_callers(flows, DURATION_S)
        answers, arrivals, _, _, open_at_once = fleet.finish()
        for name, watch in watches.items():
            watch.is_stopped = True
            watch.join()
            report.add(f"peak_{name}", round(watch.peak, 1), "MB", entries, MEMORY_MB, seed=arguments.seed)
        ended = sum(process.poll() is not None for process in [*fleet.processes.values(), *fleet.agents.values()])
        report.add("ended", ended, "processes", entries, 0)
        hit = {arrival.request for arrival in arrivals if arrival.is_endless}
        others = [answer for answer in answers if answer.request not in hit]
        report.add("served_others", sum(a.is_complete for a in others) / max(1, len(others)), "share", entries, MIN_SERVED,
                   "higher", requests=len(others), hit=len(hit))
        report.add("open_at_once", open_at_once, "answers", entries, MIN_OPEN, "higher")
    finally:
        fleet.stop()


def main():
    arguments = parse_arguments(__doc__)
    report = Report("unbounded_answers")
    measure(report, arguments, 1)
    if not arguments.short:
        measure(report, arguments, 4)
    return 0 if report.is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
