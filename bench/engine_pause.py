#!/usr/bin/env python3
"""Counts answers that are lost because engines stand still for a moment and go on.

Engines stand still for 0.3 to 2 s at drawn moments, one or a few at a time and twice all at once: they neither read nor
write, and their connections stay open. Beside that operators write configurations, all entries get SIGHUP, and one entry is
stopped and started again. At the end one engine falls silent for good.

`cut`: requests that an engine began and whose caller saw the connection end without a whole answer before the deadline.
`failed`: the same whose caller got 502, or 504 before the request's deadline.
`timed_out`: the same whose caller got 504 at the deadline. Pauses may be longer than the deadline of a request without a prompt.
`served`: share of all requests that got a whole answer.
`runs`, `runs_once`: most engines that began one request, in all and of the requests that must run once.
`served_after`: share of the requests sent within a second after the pauses of all engines that were served, as a ratio to the
share before them; `served_during` the same for those sent in them.
`served_beside_silent`: the same ratio from three seconds after one engine has fallen silent for good.
`pauses`: pauses that were played. Without them the other figures would say nothing.
"""

import asyncio
import collections
import random
import signal
import sys
import time

from _balanced_callers import BalancedCallers
from _common import Report, parse_arguments
from _hosted_fleet import (API_KEYS, OPERATOR_TOPIC, PROMPT_PATH, EngineModel, Flow, HostedEntries, make_config)
from fleet import die_with_parent

SLOTS, EVENTS, EVENT_GAP_S = 16, 12, 0.15
PLAIN_PER_S, STREAM_PER_S = 12.0, 2.0
PLAIN = [("GET", "/status/{}", API_KEYS[0]), ("GET", "/status/{}", API_KEYS[1]), ("POST", "/confirm/{}", API_KEYS[2])]
MIN_PAUSE_S, MAX_PAUSE_S, MEAN_GAP_S = 0.3, 2.0, 0.5
# Time for the start of the entries, before which the load does not begin.
START_S = 5.0
CALM_S, PAUSES_S, SILENT_S = 3.0, 16.0, 9.0
ALL_AT_S = (8.0, 15.0)
CONFIG_PERIOD_S = 1.5
HUP_AT_S, STOP_AT_S, GRACE_S = (5.0, 12.0), 6.0, 8.0
STREAM_DEADLINE_S, PLAIN_DEADLINE_S = 6.0, 0.6
# Time in which entries find that an engine is silent and leave it.
LEAVE_S = 3.0
ROUTE_ATTEMPTS = 2


class PauseScenario:
    """Plays the pauses and the configurations. Its result: (pauses, spans in which all engines stood still, time of the
    silence for good)."""

    def __init__(self, fleet):
        self.fleet, self.random = fleet, random.Random(fleet.random.getrandbits(32))
        self.pauses, self.spans, self.silent_at = 0, [], 0.0
        self.result = None

    async def run(self):
        begin = time.monotonic() + START_S
        await asyncio.sleep(START_S)
        await asyncio.gather(self.pause_some(begin), self.change_config(begin), *[self.pause_all(begin + at) for at in ALL_AT_S])
        await asyncio.sleep(max(0.0, begin + CALM_S + PAUSES_S - time.monotonic()))
        self.silent_at = time.monotonic()
        self.fleet.engines[0].stand_still(3600.0)
        self.result = self.pauses, self.spans, self.silent_at

    def draw_length(self):
        return self.random.uniform(MIN_PAUSE_S, MAX_PAUSE_S)

    async def pause_some(self, begin):
        await asyncio.sleep(CALM_S)
        while time.monotonic() < begin + CALM_S + PAUSES_S - MAX_PAUSE_S:
            length = self.draw_length()
            for engine in self.random.sample(self.fleet.engines, self.random.choice([1, 1, 1, 3])):
                engine.stand_still(length)
                self.pauses += 1
            await asyncio.sleep(self.random.expovariate(1 / MEAN_GAP_S))

    async def pause_all(self, at):
        await asyncio.sleep(max(0.0, at - time.monotonic()))
        length = self.draw_length()
        self.spans.append((time.monotonic(), time.monotonic() + length))
        for engine in self.fleet.engines:
            engine.stand_still(length)
            self.pauses += 1

    async def change_config(self, begin):
        await asyncio.sleep(CALM_S)
        version = 3
        while time.monotonic() < begin + CALM_S + PAUSES_S:
            version += 1
            config = make_config(self.fleet.model)
            route = {**config["routes"][1], "name": f"extra-{version}", "path_prefix": f"/extra-{version}/"}
            config["version"], config["routes"] = version, [*config["routes"], route]
            await self.fleet.store.put(OPERATOR_TOPIC, "config", config)
            await asyncio.sleep(CONFIG_PERIOD_S)


def run_callers(pipe, *arguments):
    die_with_parent()
    asyncio.run(BalancedCallers(*arguments).run(pipe))


def play(arguments, entries, engines):
    """Returns (answers, arrivals, result of the scenario, when the load began)."""
    fleet = HostedEntries(arguments.build, arguments.seed, entries)
    duration = CALM_S + PAUSES_S + SILENT_S
    try:
        model = EngineModel(slots=SLOTS, events=EVENTS, event_gap_s=EVENT_GAP_S)
        fleet.start_standins(engines, model, make_scenario=PauseScenario)
        load_at = time.monotonic() + START_S
        fleet.start_entries(range(entries))
        time.sleep(max(0.0, load_at - time.monotonic()))
        fleet.start_callers([Flow("plain", PLAIN_PER_S, 0.0, duration, [], None, PLAIN),
                             Flow("stream", STREAM_PER_S, 0.0, duration, [("a",)])], duration, run_callers)
        steps = [(at, lambda: send_all(fleet, signal.SIGHUP)) for at in HUP_AT_S]
        steps += [(STOP_AT_S, lambda: fleet.processes[0].send_signal(signal.SIGTERM)),
                  (STOP_AT_S + GRACE_S, lambda: restart(fleet, 0))]
        for at, act in sorted(steps, key=lambda step: step[0]):
            fleet.wait_until(at)
            act()
        answers, arrivals, _, _, result = fleet.finish()
        return answers, arrivals, result, fleet.load_begin
    finally:
        fleet.stop()


def send_all(fleet, number):
    for process in fleet.processes.values():
        if process.poll() is None:
            process.send_signal(number)


def restart(fleet, index):
    fleet.processes[index].wait(timeout=GRACE_S)
    fleet.start_entry(index)


def measure(report, arguments, entries, engines):
    answers, arrivals, (pauses, spans, silent_at), begin = play(arguments, entries, engines)
    arrivals = [arrival for arrival in arrivals if not arrival.is_refused]
    runs = collections.Counter(arrival.request for arrival in arrivals)
    once = {arrival.request for arrival in arrivals if arrival.path.startswith("/confirm/")}
    reached = [a for a in answers if runs[a.request] > 0]
    is_overdue = {a.request: a.path.startswith(PROMPT_PATH) and a.total_s >= STREAM_DEADLINE_S - 0.1 for a in reached}
    cut = [a for a in reached if (a.status == 0 or (a.status == 200 and not a.is_complete)) and not is_overdue[a.request]]
    is_at_deadline = {a.request: a.total_s >= (STREAM_DEADLINE_S if a.path.startswith(PROMPT_PATH) else PLAIN_DEADLINE_S) - 0.05
                      for a in reached}
    failed = [a for a in reached if a.status == 502 or (a.status == 504 and not is_at_deadline[a.request])]
    timed_out = [a for a in reached if a.status == 504 and is_at_deadline[a.request]]
    report.add("cut", len(cut), "requests", entries, 0, seed=arguments.seed, reached=len(reached),
               overdue=sum(is_overdue.values()), streams=sum(a.path.startswith(PROMPT_PATH) for a in cut))
    report.add("failed", len(failed), "requests", entries, 0, examples=[(a.request, a.path, a.error[:80]) for a in failed[:3]])
    report.add("timed_out", len(timed_out), "requests", entries)
    report.add("served", share_served(answers, [(0.0, float("inf"))]), "share", entries)
    report.add("runs", max(runs.values()), "runs", entries, ROUTE_ATTEMPTS)
    report.add("runs_once", max(runs[request] for request in once), "runs", entries, 1)
    report.add("pauses", pauses, "pauses", entries, 10, "higher")
    before = share_served(answers, [(begin, begin + CALM_S)])
    during = share_served(answers, spans)
    after = share_served(answers, [(end, end + 1.0) for _, end in spans])
    silent = share_served(answers, [(silent_at + LEAVE_S, silent_at + SILENT_S)])
    report.add("served_during", during / before, "ratio", entries, before=round(before, 4))
    report.add("served_after", after / before, "ratio", entries, 0.9, "higher")
    report.add("served_beside_silent", silent / before, "ratio", entries, 0.9, "higher")


def share_served(answers, spans):
    chosen = [a for a in answers if any(since <= a.sent_at < until for since, until in spans)]
    return sum(a.is_complete for a in chosen) / max(1, len(chosen))


def main():
    arguments = parse_arguments(__doc__)
    report = Report("engine_pause")
    for entries, engines in ((4, 12),) if arguments.short else ((4, 12), (16, 24)):
        measure(report, arguments, entries, engines)
    return 0 if report.is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
