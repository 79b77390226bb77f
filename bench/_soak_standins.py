"""Stand-ins of the soak on the hosted platform: engines that fail in several ways, their operator, and callers that check
what they get.

Each answer of an engine names the request that it belongs to. `Run.end` says how a request ended at an engine.
"""

import asyncio
import dataclasses
import os
import random
import threading
import time

from _balanced_callers import BalancedCallers
from _hosted_fleet import (DIRECTORY_TOPIC, ENGINE_PORT, OPERATOR_TOPIC, PROMPT_PATH, ZONES, Answer, Engine, StandinFleet,
                           make_config, read_head, reset)
from fleet import die_with_parent
from odd_records import make_odd_values

# One stream in this many is long enough to run for most of the time that an entry has for its stop.
LONG_EACH, LONG_EVENTS = 6, 28
SHARE_OF_FAILURES = 0.5
ODD_PERIOD_S = 0.2
MAX_EXTRA_ROUTES = 3
# An engine whose loop was held up as long is one that stood still; entries take it for failed after 1.2 s of silence.
LATE_S = 0.6
DRAIN_MIN_S, DRAIN_MAX_S = 2.0, 5.0
# Period of the look at stalls of the machine, and the delay from which it is one.
STALL_PERIOD_S, STALL_S = 0.02, 0.2


class StallWatch(threading.Thread):
    """Notes when this process did not run."""

    def __init__(self):
        super().__init__(daemon=True)
        self.stalls = []

    def run(self):
        last = time.monotonic()
        while True:
            time.sleep(STALL_PERIOD_S)
            now = time.monotonic()
            if now - last >= STALL_PERIOD_S + STALL_S:
                self.stalls.append((last, now))
            last = now

    def find_longest(self, since, until):
        return round(max((end - begin for begin, end in self.stalls if begin <= until and since <= end), default=0.0), 2)


@dataclasses.dataclass
class Run:
    """A request at an engine. `end`: `refused` without running it; `whole` if the engine answered it; `failed` if the
    engine did not, or answered an error, or stood still; `cut` if the connection was closed while the engine ran it."""

    at: float
    engine: str
    request: str
    path: str
    end: str = "cut"
    ended_at: float = None
    late_s: float = 0.0


@dataclasses.dataclass
class CheckedAnswer(Answer):
    """What a caller got, and what is wrong with its content. `is_whole`: the answer, also an error, came to its end."""

    is_whole: bool = False
    wrong: str = ""
    events: int = 0


def count_events(path, usual):
    return LONG_EVENTS if int(path.removeprefix(PROMPT_PATH), 16) % LONG_EACH == 0 else usual


class SoakEngine(Engine):
    """An engine that a fault makes refuse, fail, lose or repeat answers, or break them off."""

    mode = ""

    async def leave(self, serve_s):
        """Says that the engine leaves, serves on, ends, and starts again under another id."""
        if self.server is None:
            return
        old_id = self.id
        self.record["state"] = "draining"
        await self.fleet.store.put(DIRECTORY_TOPIC, old_id, self.record)
        await asyncio.sleep(serve_s)
        if self.server is None or self.id != old_id:
            return
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            reset(writer)
        await self.fleet.store.put(DIRECTORY_TOPIC, old_id, None)
        await self.start()

    async def answer(self, path, fields, writer):
        request = fields.get("plantainmast-attempt-id", "")
        prefix = f"Plantainmast-Attempt-Id: {request}\r\n"
        if fields.get("plantainmast-expect-instance", self.id) != self.id:
            writer.write(f"HTTP/1.1 421 Misdirected\r\n{prefix}Content-Length: 0\r\n\r\n".encode())
            return True
        mode = self.mode if self.fleet.random.random() < SHARE_OF_FAILURES else ""
        run = Run(time.monotonic(), self.id, request, path)
        self.fleet.arrivals.append(run)
        if mode == "refuse" or self.active >= 2 * self.model.slots:
            run.end = "refused"
            writer.write(f"HTTP/1.1 503 Full\r\n{prefix}Plantainmast-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return True
        self.active += 1
        try:
            is_kept = await self.run(run, mode, prefix, int(fields.get("last-event-id", -1)) + 1, writer)
            run.end = "failed" if mode in ("error", "lose", "break") else "whole"
            return is_kept
        except (OSError, asyncio.IncompleteReadError):
            # Not the caller's fault if the engine itself has ended meanwhile.
            if self.server is None or self.id != run.engine:
                run.end = "failed"
            raise
        finally:
            if run.late_s >= LATE_S:
                run.end = "failed"
            run.ended_at = time.monotonic()
            self.active -= 1

    async def run(self, run, mode, prefix, first, writer):
        """Runs a request. Returns whether the connection stays open."""
        if run.path.startswith(PROMPT_PATH):
            if mode != "error":
                return await self.run_stream(run, mode, prefix, first, writer)
            await self.work(run, self.model.prefill_s, writer)
        else:
            await self.work(run, self.model.service_s, writer)
        if mode == "error":
            writer.write(f"HTTP/1.1 500 Error\r\n{prefix}Content-Length: 5\r\n\r\nerror".encode())
            return True
        body = f"{run.request} {run.path}"
        data = (f"HTTP/1.1 200 OK\r\n{prefix}Plantainmast-Server-Stamp: s\r\nContent-Length: {len(body)}\r\n\r\n"
                f"{body}").encode()
        if mode == "lose":
            reset(writer)
            return False
        writer.write(data[:-5] if mode == "break" else data)
        await writer.drain()
        if mode == "repeat":
            writer.write(data)
        return mode != "break"

    async def run_stream(self, run, mode, prefix, first, writer):
        await self.work(run, self.model.prefill_s, writer)
        if mode == "lose":
            reset(writer)
            return False
        writer.write((f"HTTP/1.1 200 OK\r\n{prefix}Plantainmast-Server-Stamp: s\r\nPlantainmast-Weight-Versions: 1\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        last = count_events(run.path, self.model.events)
        broken_at = self.fleet.random.randrange(first, last) if mode == "break" and first < last else -1
        for number in range(first, last):
            data = f"id: {number}\ndata: {run.request} {number}\n\n".encode()
            if number == broken_at:
                writer.write(b"%x\r\n%b" % (len(data), data[:self.fleet.random.randrange(len(data))]))
                await writer.drain()
                return False
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await self.work(run, self.model.event_gap_s, writer)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return mode != "break"

    async def work(self, run, usual_s, writer):
        due_at = time.monotonic() + usual_s * (0.5 + self.fleet.random.random())
        await asyncio.sleep(due_at - time.monotonic())
        run.late_s = max(run.late_s, time.monotonic() - due_at)
        await self.go_on()
        if writer.is_closing() or self.id != run.engine:
            raise ConnectionResetError


class SoakStandins(StandinFleet):
    """Store and engines, and the faults of a plan that concern them."""

    async def add_engine(self):
        index = len(self.engines)
        zone = index % len(ZONES)
        engine = SoakEngine(self, zone, f"127.{self.octet}.{100 + zone}.{1 + index // len(ZONES)}", self.model, False)
        self.engines.append(engine)
        await engine.start()


class SoakOperator:
    """Plays operators and the faults of engines and store. `begin` is the time from which the plan counts, 0 until then."""

    def __init__(self, fleet, plan, begin):
        self.fleet, self.plan, self.begin = fleet, plan, begin
        self.random = random.Random(fleet.random.getrandbits(32))
        self.version, self.extra, self.next_route = 3, [], 0
        self.ended_at, self.left = 0.0, len(plan)
        self.watch = StallWatch()
        self.watch.start()

    @property
    def result(self):
        """Returns the newest version, the end of the last fault, how many faults have not ended, and the stalls."""
        return self.version, self.ended_at, self.left, self.watch.stalls

    async def run(self):
        while self.begin.value == 0:
            await asyncio.sleep(0.01)
        await asyncio.gather(*[self.play(fault) for fault in self.plan])

    async def play(self, fault):
        await asyncio.sleep(max(0.0, self.begin.value + fault.at_s - time.monotonic()))
        await getattr(self, fault.kind)(fault)
        self.ended_at, self.left = max(self.ended_at, time.monotonic()), self.left - 1

    def pick(self, fault):
        return self.fleet.engines[fault.target % len(self.fleet.engines)]

    async def engine_crash(self, fault):
        engine = self.pick(fault)
        engine.crash(False)
        await asyncio.sleep(engine.model.restart_s)

    async def engine_drain(self, fault):
        await self.pick(fault).leave(min(DRAIN_MAX_S, max(DRAIN_MIN_S, fault.length_s)))

    async def engine_pause(self, fault):
        """A sound engine stands still for a moment, and goes on."""
        self.pick(fault).stand_still(fault.length_s)
        await asyncio.sleep(fault.length_s)

    async def engines_pause(self, fault):
        for engine in self.fleet.engines:
            engine.stand_still(fault.length_s)
        await asyncio.sleep(fault.length_s)

    async def set_mode(self, fault, mode):
        engine = self.pick(fault)
        engine.mode = mode
        await asyncio.sleep(fault.length_s)
        engine.mode = ""

    async def engine_refuse(self, fault):
        await self.set_mode(fault, "refuse")

    async def engine_error(self, fault):
        await self.set_mode(fault, "error")

    async def engine_lose(self, fault):
        await self.set_mode(fault, "lose")

    async def engine_break(self, fault):
        await self.set_mode(fault, "break")

    async def engine_repeat(self, fault):
        await self.set_mode(fault, "repeat")

    async def store_away(self, fault):
        store = self.fleet.store
        store.is_up = False
        for writer in list(store.writers):
            reset(writer)
        await asyncio.sleep(fault.length_s)
        async with store.changed:
            store.is_up = True
            store.changed.notify_all()

    async def zone_out(self, fault):
        key = f"evacuate/{ZONES[fault.target % len(ZONES)]}"
        await self.fleet.store.put(OPERATOR_TOPIC, key, {})
        await asyncio.sleep(fault.length_s)
        await self.fleet.store.put(OPERATOR_TOPIC, key, None)

    async def config_change(self, fault):
        """Writes versions in quick succession; each adds a route or removes one that an earlier one added."""
        for _ in range(1 + fault.target % 3):
            self.version += self.random.randint(1, 5)
            config = make_config(self.fleet.model)
            plain = config["routes"][1]
            if len(self.extra) >= MAX_EXTRA_ROUTES or (self.extra and self.random.random() < 0.5):
                self.extra.remove(self.random.choice(self.extra))
            else:
                self.next_route += 1
                self.extra.append({**plain, "name": f"extra-{self.next_route}", "path_prefix": f"/extra-{self.next_route}/"})
            config["version"], config["routes"] = self.version, config["routes"] + self.extra
            await self.fleet.store.put(OPERATOR_TOPIC, "config", config)
            await asyncio.sleep(0.05)

    async def odd_records(self, fault):
        """Another writer's records, also in place of an engine's; the engine registers again at the end."""
        store, engine = self.fleet.store, self.pick(fault)
        end, number, keys = time.monotonic() + fault.length_s, 1, set()
        while time.monotonic() < end:
            values = make_odd_values(number)
            for index, value in enumerate(values):
                keys.add(f"odd-{index}")
                await store.put_raw(DIRECTORY_TOPIC, f"odd-{index}", value.encode(errors="surrogateescape"))
            await store.put_raw(DIRECTORY_TOPIC, engine.id, values[number % len(values)].encode())
            number += 1
            await asyncio.sleep(ODD_PERIOD_S)
        if engine.server is not None:
            await store.put(DIRECTORY_TOPIC, engine.id, engine.record)
        for key in sorted(keys):
            await store.put(DIRECTORY_TOPIC, key, None)


def run_standins(pipe, seed, octet, engines, model, plan, begin):
    die_with_parent()
    asyncio.run(SoakStandins(seed, octet, engines, model, [], lambda fleet: SoakOperator(fleet, plan, begin)).run(pipe))


class CheckingCallers(BalancedCallers):
    """Balanced callers that check the content of what they get, and stop at a time that is set while they run."""

    answer_type = CheckedAnswer

    def __init__(self, seed, addresses, flows, end, usual_events):
        self.end, self.begin = end, time.monotonic()
        self.usual_events = usual_events
        super().__init__(seed, addresses, flows, None)

    @property
    def duration_s(self):
        return self.end.value - self.begin

    @duration_s.setter
    def duration_s(self, value):
        """The shared time counts."""

    async def read_answer(self, reader, answer):
        """Reads an answer to its end and checks it."""
        head = await read_head(reader)
        if head is None:
            return None
        line, fields = head
        answer.status = int(line.split()[1])
        answer.retry_after = fields.get("retry-after", "")
        if fields.get("plantainmast-attempt-id", answer.request) != answer.request:
            answer.wrong = f"answer to {fields['plantainmast-attempt-id']}"
        if fields.get("transfer-encoding") == "chunked":
            await self.read_events(reader, answer)
        else:
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            text = body.decode(errors="replace")
            if answer.status != 200:
                answer.error = text
            elif answer.path.startswith(PROMPT_PATH):
                answer.wrong = f"stream without events: {text[:80]!r}"
            elif text.split(" ")[0] != answer.request:
                answer.wrong = f"body {text[:80]!r}"
            answer.is_complete = answer.status == 200 and not answer.wrong
        answer.is_whole = True
        return fields

    async def read_events(self, reader, answer):
        text = ""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\r\n"):
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            text += data[:-2].decode(errors="replace")
            *events, text = text.split("\n\n")
            for event in events:
                expected = f"id: {answer.events}\ndata: {answer.request} {answer.events}"
                if event != expected and not answer.wrong:
                    answer.wrong = f"event {event[:80]!r} in place of number {answer.events}"
                answer.events += 1
            if events and answer.first_event_s is None:
                answer.first_event_s = time.monotonic() - answer.sent_at
        if answer.status == 200 and not answer.wrong and (
                text or answer.events != count_events(answer.path, self.usual_events)):
            answer.wrong = f"ended after {answer.events} events, {text[:80]!r}"
        answer.is_complete = answer.status == 200 and not answer.wrong


def run_callers(pipe, seed, addresses, flows, end, usual_events):
    die_with_parent()
    asyncio.run(CheckingCallers(seed, addresses, flows, end, usual_events).run(pipe))
    os._exit(0)
