#!/usr/bin/env python3
"""Measures whether entries go on while another writer leaves unusable records among those of the engines.

Callers send requests all the while. From some moment on, records that are deeply nested, hold numbers that are too large or
addresses that are none, or are no JSON, are written to the directory again and again; one is put over the record of an
engine. Then an engine joins, and one entry joins.

`ended`: entries that ended by themselves.
`served`: share of the requests that were served while such records came.
`new_engine`: requests that reached the engine that joined after them. Without any, the list is not followed.
`odd_written`: records that were written.
"""

import asyncio
import collections
import json
import sys
import time

from _common import Report, parse_arguments
from _hosted_fleet import API_KEYS, DIRECTORY_TOPIC, EngineModel, Flow, HostedEntries

ENGINES, DURATION_S = 4, 12.0
ODD_FROM_S, ODD_PERIOD_S, JOIN_AT_S, ENGINE_AT_S = 2.0, 0.2, 5.0, 7.0
RECORD_BYTES = 262_144
NESTED_EACH = 8
PLAIN_PER_S = 20.0
PLAIN = [("GET", "/status/{}", API_KEYS[0]), ("POST", "/confirm/{}", API_KEYS[1])]
MIN_SERVED = 0.99
SOUND = {"service": "engines", "address": "127.0.0.1:1", "zone": "praha", "version": 1, "slots": 4, "state": "ready",
         "cold_left_ms": 0, "seq": 1, "born": 1_700_000_000_000}


def nest(text):
    depth = (RECORD_BYTES - len(text) - 16) // 2
    return text[:-1] + ', "x": ' + "[" * depth + "]" * depth + "}"


def make_odd_values(number):
    """Returns values of records that name no engine to use. Each differs from one number to the next."""
    def change(**fields):
        return json.dumps({**SOUND, "seq": number, **fields})
    large = change(cold_left_ms="@").replace('"@"', "1e300")
    # The largest come seldom, or the stand-ins' own loop falls behind.
    large_ones = [nest(change()), nest(change(born=number))] if number % NESTED_EACH == 0 else []
    return [*large_ones, change(slots=4294967296 + number % 2), change(slots=2**64 - 1), large,
            change(slots=0, zone=f"z{number}"), change(address="999.9.9.9:80"), change(address="::::80"),
            change(address="127.0.0.1:65537"), change(address=number), change(born=2**64 - 1), change(state="odd"),
            "[" * 1000 + str(number), "\x00\xff" * (number % 5 + 1), "{}"]


class OtherWriter:
    """Writes unusable records, and adds an engine after some time."""

    def __init__(self, fleet):
        self.fleet, self.result = fleet, None
        # Longest delay of the stand-ins' loop, which also runs the engines.
        self.lag_s = 0.0

    async def run(self):
        begin, number, written, engine = time.monotonic(), 0, 0, None
        while time.monotonic() - begin < DURATION_S:
            before = time.monotonic()
            await asyncio.sleep(ODD_PERIOD_S)
            self.lag_s = max(self.lag_s, time.monotonic() - before - ODD_PERIOD_S)
            passed = time.monotonic() - begin
            if passed >= ENGINE_AT_S and engine is None:
                await self.fleet.add_engine()
                engine = self.fleet.engines[-1].id
            if passed < ODD_FROM_S:
                continue
            values = make_odd_values(number)
            for index, value in enumerate(values):
                await self.write(f"odd-{len(values) - index}", value)
            await self.write(self.fleet.engines[0].id, values[0])
            number, written = number + 1, written + len(values) + 1
            self.result = (written, engine, self.lag_s)

    async def write(self, key, text):
        await self.fleet.store.put_raw(DIRECTORY_TOPIC, key, text.encode(errors="surrogateescape"))


def measure(report, arguments, entries):
    fleet = HostedEntries(arguments.build, arguments.seed, entries)
    late = entries - 1
    try:
        fleet.start_standins(ENGINES, EngineModel(), make_scenario=OtherWriter)
        fleet.start_entries(range(late))
        flow = Flow("plain", PLAIN_PER_S, 0.0, DURATION_S - 1, [], list(range(late)), PLAIN)
        fleet.start_callers([flow], DURATION_S)
        fleet.wait_until(JOIN_AT_S)
        fleet.start_entry(late)
        fleet.wait_ready(late)
        answers, arrivals, _, _, (odd, engine, lag_s) = fleet.finish()
        ended = sum(process.poll() is not None for process in fleet.processes.values())
        report.add("ended", ended, "processes", entries, 0, seed=arguments.seed)
        sent = [a for a in answers if a.sent_at >= fleet.load_begin + ODD_FROM_S]
        report.add("served", sum(a.is_complete for a in sent) / max(1, len(sent)), "share", entries, MIN_SERVED, "higher",
                   requests=len(sent), standin_lag_s=round(lag_s, 3), errors=str(collections.Counter((a.status, a.error[:60]) for a in sent if not a.is_complete)))
        report.add("new_engine", sum(a.engine == engine for a in arrivals), "requests", entries, 1, "higher")
        report.add("odd_written", odd, "records", entries, 100, "higher")
    finally:
        fleet.stop()


def main():
    arguments = parse_arguments(__doc__)
    report = Report("odd_records")
    measure(report, arguments, 4)
    if not arguments.short:
        measure(report, arguments, 16)
    return 0 if report.is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
