"""Entries and agents of the hosted platform as real processes, with stand-ins for the store, the engines and the callers.

All addresses are on loopback. Entry I of zone Z is 127.A.Z.I, engine J of zone Z is 127.A.(100+Z).J and the store is
127.A.200.1. The stand-ins run in two processes of their own, one for store and engines and one for the callers, and
record what they see with `time.monotonic()`, which all processes of the machine share.
"""

import asyncio
import dataclasses
import json
import multiprocessing
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
from _hosted_store import DIRECTORY_TOPIC, OPERATOR_TOPIC, Store, read_head, reset  # noqa: E402
from fleet import claim_octet, die_with_parent, wait_until  # noqa: E402

CALLER_PORT, READY_PORT, ADMIN_PORT, RELAY_PORT, ENGINE_PORT, STORE_PORT = 8005, 8002, 8081, 7400, 9000, 9100
ZONES = ["praha", "brno", "ostrava"]
HOST, POOL, MODEL = "h.example", "engines", "m-1"
PROMPT_PATH = "/draft/"
# API keys of the callers of plain requests, each of its own workspace.
API_KEYS = [f"key-{number}" for number in range(4)]
# Silence after which the platform removes the record of an engine.
RECORD_TTL_S = 3.6
# Time for which an engine serves on after it has said that it leaves.
DRAIN_S = 9.0
EVENT = "id: {id}\ndata: token\n\n"
# Beginnings and repeated parts of answers without end: in the head, in a body of each form, and in an event.
FILLER = b"x" * 16384
ENDLESS_ANSWERS = [
    (b"HTTP/1.1 200 ", FILLER),
    (b"HTTP/1.1 200 OK\r\nX: ", FILLER),
    (b"HTTP/1.1 200 OK\r\n%b\r\n", FILLER),
    (b"HTTP/1.1 200 OK\r\n%bContent-Length: 1000000000000\r\n\r\n", FILLER),
    (b"HTTP/1.1 500 Failed\r\n%bContent-Length: 1000000000000\r\n\r\n", FILLER),
    (b"HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n", b"4000\r\n%b\r\n" % FILLER),
    (b"HTTP/1.1 200 OK\r\n%bTransfer-Encoding: chunked\r\n\r\n1;", FILLER),
    (b"HTTP/1.1 200 OK\r\n%bContent-Type: text/event-stream\r\n\r\ndata: ", FILLER),
    (b"HTTP/1.1 200 OK\r\n%bContent-Type: text/event-stream\r\n\r\n", b":%b\n\n" % FILLER),
]


@dataclasses.dataclass
class EngineModel:
    """Speed of an engine and how it behaves in trouble."""

    slots: int = 16
    prefill_s: float = 0.05
    event_gap_s: float = 0.05
    events: int = 8
    # Time from a crash until the engine serves again, under another id.
    restart_s: float = 3.0
    # Prompt parts at which an answer that begins crashes the engine.
    bad_parts: tuple = ()
    # Time of a request without a prompt, and paths at which such a request crashes the engine that begins it.
    service_s: float = 0.015
    bad_paths: tuple = ()
    # Bytes of the answer to such a request, and its time limit.
    answer_bytes: int = 2
    plain_timeout_ms: int = 600
    # Limits on callers that differ from the usual ones.
    caller_limits: dict = dataclasses.field(default_factory=dict)
    # Time that an engine runs such a request before it ends.
    crash_after_s: float = 0.06
    # Requests/s that the first engines state in their answers from some time after their start, and their number.
    limit: float = None
    limit_from_s: float = 0
    limited_engines: int = 0
    # Number of engines, the first ones, that refuse all requests with Retry-After for a time, which begins some time
    # after their start.
    pausing_engines: int = 0
    pause_from_s: float = 0
    pause_until_s: float = 0
    retry_after_s: float = 0
    # Number of engines, the next ones, that say in all answers that they leave, and serve on.
    leaving_engines: int = 0
    leaving_from_s: float = 0
    # Number of engines, the first ones, that send answers without end, the share of their answers that do not end, and
    # the rate of each in bytes/s.
    endless_engines: int = 0
    endless_share: float = 0
    endless_rate: float = 4 * 1024 * 1024


@dataclasses.dataclass
class Arrival:
    """One request that reached an engine. `begun_at` is the time of its first event, None if it had none."""

    at: float
    engine: str
    address: str
    request: str
    parts: list
    begun_at: float = None
    path: str = ""
    # Whether its answer says that the engine leaves, and the Retry-After of a refusal, in seconds.
    is_leaving: bool = False
    # Whether the engine sent an answer without end.
    is_endless: bool = False
    retry_after_s: float = None
    # Whether the engine refused the request without running it because it was full.
    is_refused: bool = False


@dataclasses.dataclass
class Answer:
    """What a caller got. `status` is 0 if the connection ended without a response."""

    sent_at: float
    entry: int
    request: str
    parts: list
    status: int
    is_complete: bool
    first_event_s: float
    total_s: float
    error: str
    retry_after: str
    path: str = ""


def get_engine_address(octet, index):
    return f"127.{octet}.{100 + index % len(ZONES)}.{1 + index // len(ZONES)}"


def parse_parts(text):
    return [part.split(":")[0] for part in text.split(",") if part]


class Engine:
    """One engine address. A crash resets all connections; the engine comes back under another id."""

    def __init__(self, fleet, zone, address, model, index):
        self.fleet, self.zone, self.address, self.model = fleet, zone, address, model
        self.has_limit = index < model.limited_engines
        self.does_pause = index < model.pausing_engines
        self.does_leave = 0 <= index - model.pausing_engines < model.leaving_engines
        self.is_endless = index < model.endless_engines
        self.started_at = time.monotonic()
        self.server, self.writers, self.id, self.active = None, set(), "", 0
        # What the directory should hold of the engine, and the time at which it was told that the engine leaves.
        self.record, self.drained_at = None, None
        self.crashes = []
        # Until then the engine stands still: it neither reads nor writes, and its connections stay open.
        self.still_until = 0.0

    def stand_still(self, seconds):
        self.still_until = max(self.still_until, time.monotonic() + seconds)

    async def go_on(self):
        """Returns when the engine does not stand still."""
        while (left := self.still_until - time.monotonic()) > 0:
            await asyncio.sleep(left)

    async def start(self):
        self.id = f"i-{self.fleet.random.getrandbits(40):010x}"
        self.server = await asyncio.start_server(self.handle, self.address, ENGINE_PORT, backlog=256)
        self.record = {
            "service": POOL, "address": f"{self.address}:{ENGINE_PORT}", "zone": ZONES[self.zone], "version": 1,
            "slots": self.model.slots, "state": "ready", "cold_left_ms": 0, "seq": 1,
            "born": int(time.time() * 1000), "models": [{"name": MODEL, "version": 1, "adapters": []}]}
        await self.fleet.store.put(DIRECTORY_TOPIC, self.id, self.record)

    async def drain(self):
        """Says that the engine leaves, serves on for some seconds and ends."""
        self.record["state"] = "draining"
        self.drained_at = await self.fleet.store.put(DIRECTORY_TOPIC, self.id, self.record)
        await asyncio.sleep(DRAIN_S)
        self.server.close()
        self.server, self.record = None, None
        for writer in list(self.writers):
            reset(writer)
        await self.fleet.store.put(DIRECTORY_TOPIC, self.id, None)

    def crash(self, is_by_prompt):
        """Ends the engine. Records the time, its id and whether a prompt part caused it."""
        if self.server is None:
            return
        self.crashes.append((time.monotonic(), self.id, is_by_prompt))
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            reset(writer)
        asyncio.ensure_future(self.recover(self.id))

    async def recover(self, old_id):
        await asyncio.sleep(self.model.restart_s)
        await self.start()
        await asyncio.sleep(max(0.0, RECORD_TTL_S - self.model.restart_s))
        await self.fleet.store.put(DIRECTORY_TOPIC, old_id, None)

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                await self.go_on()
                line, fields = head
                await reader.readexactly(int(fields.get("content-length", 0)))
                if not await self.answer(line.split()[1], fields, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def write_report(self, writer):
        report = json.dumps({"models": self.record["models"], "seq": 1, "active": self.active, "pace": 1,
                             "born": self.record["born"]})
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(report)}\r\n\r\n{report}".encode())

    async def write_without_end(self, fields, writer):
        request = fields.get("plantainmast-attempt-id", "")
        prefix = f"Plantainmast-Attempt-Id: {request}\r\nPlantainmast-Server-Stamp: s\r\n".encode()
        begin, part = self.fleet.random.choice(ENDLESS_ANSWERS)
        writer.write(begin.replace(b"%b", prefix))
        self.fleet.endless_open += 1
        self.fleet.endless_peak = max(self.fleet.endless_peak, self.fleet.endless_open)
        try:
            while not writer.is_closing():
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(len(part) / self.model.endless_rate)
        finally:
            self.fleet.endless_open -= 1

    async def answer(self, path, fields, writer):
        if self.is_endless and self.fleet.random.random() < self.model.endless_share:
            if path != "/report":
                self.fleet.arrivals.append(Arrival(time.monotonic(), self.id, self.address,
                                                   fields.get("plantainmast-attempt-id", ""), [], path=path,
                                                   is_endless=True))
            await self.write_without_end(fields, writer)
            return False
        if path == "/report" and self.record:
            self.write_report(writer)
            return True
        request = fields.get("plantainmast-attempt-id", "")
        prefix = f"Plantainmast-Attempt-Id: {request}\r\n"
        if self.has_limit and time.monotonic() - self.started_at >= self.model.limit_from_s:
            self.fleet.stated_at.setdefault(self.address, time.monotonic())
            prefix += f"Server-Limit: {self.model.limit:g}\r\n"
        if fields.get("plantainmast-expect-instance", self.id) != self.id:
            writer.write(f"HTTP/1.1 421 Misdirected\r\n{prefix}Content-Length: 0\r\n\r\n".encode())
            return True
        arrival = Arrival(time.monotonic(), self.id, self.address, request,
                          parse_parts(fields.get("plantainmast-prefix-hash", "")), path=path)
        self.fleet.arrivals.append(arrival)
        age = time.monotonic() - self.started_at
        if self.does_leave and age >= self.model.leaving_from_s:
            arrival.is_leaving = True
            prefix += "Server-Leaving: 1\r\n"
        if self.does_pause and self.model.pause_from_s <= age < self.model.pause_until_s:
            arrival.retry_after_s = self.model.retry_after_s
            writer.write(f"HTTP/1.1 503 Busy\r\n{prefix}Plantainmast-Not-Executed: 1\r\n"
                         f"Retry-After: {self.model.retry_after_s:g}\r\nContent-Length: 0\r\n\r\n".encode())
            return True
        if self.active >= 2 * self.model.slots:
            arrival.is_refused = True
            writer.write(f"HTTP/1.1 503 Full\r\n{prefix}Plantainmast-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            return True
        self.active += 1
        try:
            if path.startswith(PROMPT_PATH):
                await self.write_stream(arrival, prefix, int(fields.get("last-event-id", -1)) + 1, writer)
            else:
                await self.write_answer(arrival, prefix, writer)
        finally:
            self.active -= 1
        return True

    async def write_answer(self, arrival, prefix, writer):
        id_at_start = self.id
        if arrival.path in self.model.bad_paths:
            await asyncio.sleep(self.model.crash_after_s)
            if self.id == id_at_start:
                self.crash(True)
            raise ConnectionResetError
        await asyncio.sleep(self.model.service_s * (0.5 + self.fleet.random.random()))
        await self.go_on()
        if writer.is_closing() or self.id != id_at_start:
            raise ConnectionResetError
        arrival.begun_at = time.monotonic()
        body = "ok".ljust(self.model.answer_bytes)
        writer.write((f"HTTP/1.1 200 OK\r\n{prefix}Plantainmast-Server-Stamp: s\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n{body}").encode())

    async def write_stream(self, arrival, prefix, first, writer):
        id_at_start = self.id
        await asyncio.sleep(self.model.prefill_s * (0.5 + self.fleet.random.random()))
        await self.go_on()
        if writer.is_closing() or self.id != id_at_start:
            raise ConnectionResetError
        writer.write((f"HTTP/1.1 200 OK\r\n{prefix}Plantainmast-Server-Stamp: s\r\nPlantainmast-Weight-Versions: 1\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode())
        if set(self.model.bad_parts) & set(arrival.parts[:-1]):
            # The answer has a head but no event when the engine ends.
            await writer.drain()
            await asyncio.sleep(0.005)
            self.crash(True)
            raise ConnectionResetError
        for number in range(first, self.model.events):
            data = EVENT.format(id=number)
            writer.write(f"{len(data):x}\r\n{data}\r\n".encode())
            await writer.drain()
            arrival.begun_at = arrival.begun_at or time.monotonic()
            await asyncio.sleep(self.model.event_gap_s)
            await self.go_on()
            if writer.is_closing() or self.id != id_at_start:
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")


class StandinFleet:
    """Store and engines, on one event loop."""

    def __init__(self, seed, octet, engines, model, crash_times, make_scenario=None):
        self.random = random.Random(seed)
        self.store, self.arrivals, self.engines = None, [], []
        # Answers without end that are open, and the most at once.
        self.endless_open = self.endless_peak = 0
        # Time of the first answer with a limit, by engine address.
        self.stated_at = {}
        self.octet, self.count, self.model, self.crash_times = octet, engines, model, crash_times
        # Makes an object with a coroutine `run`, which plays operators and faults, and a `result` to be returned.
        self.make_scenario = make_scenario

    async def run(self, pipe):
        self.store = Store()
        await asyncio.start_server(self.store.handle, f"127.{self.octet}.200.1", STORE_PORT, backlog=1024)
        await self.store.put(OPERATOR_TOPIC, "config", make_config(self.model))
        for _ in range(self.count):
            await self.add_engine()
        pipe.send("started")
        begin = time.monotonic()
        scenario = self.make_scenario(self) if self.make_scenario else None
        if scenario:
            asyncio.ensure_future(scenario.run())
        crash_times = sorted(self.crash_times)
        while not pipe.poll():
            while crash_times and time.monotonic() - begin >= crash_times[0]:
                crash_times.pop(0)
                self.random.choice(self.engines).crash(False)
            await asyncio.sleep(0.02)
        crashes = sorted(c for engine in self.engines for c in engine.crashes)
        pipe.send((self.arrivals, crashes, self.stated_at, scenario.result if scenario else None))
        # Ends without cancelling the open connections, which would print a traceback for each.
        os._exit(0)

    async def add_engine(self):
        index = len(self.engines)
        engine = Engine(self, index % len(ZONES), get_engine_address(self.octet, index), self.model, index)
        self.engines.append(engine)
        await engine.start()


def make_config(model):
    route = {"name": "draft", "host": HOST, "path_prefix": "/draft/", "service": POOL, "type": "stream",
             "timeout_ms": 6000, "latency_target_ms": 400, "max_gap_ms": 300, "attempts": 2, "priority": 0,
             "public": True, "resumable": True, "sticky": True}
    engine = {"models": [{"name": MODEL}], "slots": model.slots, "step_ms": 6.7, "per_seq_ms": 0.02,
              "context_per_k": 0.01, "read_per_s": 30600, "usual": {"prompt": 900, "answer": 100}}
    # Requests without a prompt: some may be repeated, others must run once.
    plain = [{"name": name, "host": HOST, "path_prefix": f"/{name}/", "service": POOL, "type": kind,
              "timeout_ms": model.plain_timeout_ms,
              "latency_target_ms": 100, "attempts": attempts, "priority": 0, "public": False}
             for name, kind, attempts in (("status", "idempotent", 2), ("confirm", "non_idempotent", 1))]
    tenants = [{"name": f"tenant-{number}", "api_keys": [key]} for number, key in enumerate(API_KEYS)]
    service = {"name": POOL, "max_conns": 400, "cold_start_s": 0, "cold_per_s": 0, "engine": engine}
    return {"version": 3, "routes": [route, *plain], "services": [service], "tenants": tenants,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000,
                       "idle_timeout_ms": 30000, **model.caller_limits}}


def run_standins(pipe, *arguments):
    die_with_parent()
    asyncio.run(StandinFleet(*arguments).run(pipe))


@dataclasses.dataclass
class Flow:
    """Requests of one sort: rate per entry, the time span in seconds from the start of the load, and the parts.

    `shared` holds tuples of prompt parts, of which each request takes one; its last part is its own. `entries` are the
    entries that get the requests; None stands for all.
    """

    name: str
    per_s: float
    begin_s: float
    end_s: float
    shared: list
    entries: list = None
    # Requests without a prompt, as (method, path, API key); `{}` in a path stands for a number of its own. Each request
    # takes one.
    plain: list = None


class Callers:
    """Open-loop callers of all entries. Each repeats a request once after a failure, when it is told to."""

    def __init__(self, seed, addresses, flows, duration_s):
        self.random = random.Random(seed)
        self.addresses, self.flows, self.duration_s = addresses, flows, duration_s
        self.answers, self.number = [], 0

    async def run(self, pipe):
        tasks = [asyncio.ensure_future(self.offer(flow, entry))
                 for flow in self.flows for entry in flow.entries or range(len(self.addresses))]
        pipe.send(time.monotonic())
        await asyncio.gather(*tasks)
        pipe.send(self.answers)

    async def offer(self, flow, entry):
        begin = time.monotonic()
        at, running = flow.begin_s, set()
        while True:
            at += self.random.expovariate(flow.per_s)
            if at > min(flow.end_s, self.duration_s):
                break
            await asyncio.sleep(max(0.0, begin + at - time.monotonic()))
            task = asyncio.ensure_future(self.call(flow, entry))
            running.add(task)
            task.add_done_callback(running.discard)
        if running:
            await asyncio.wait(running, timeout=10)

    async def call(self, flow, entry):
        own = f"{self.random.getrandbits(32):08x}"
        if flow.plain:
            method, path, key = self.random.choice(flow.plain)
            head, parts = make_plain_head(method, path.format(own), key), []
        else:
            parts = [*self.random.choice(flow.shared), own]
            path, head = PROMPT_PATH + own, make_prompt_head(own, parts)
        for attempt in range(2):
            answer = await self.send(flow, entry, head, parts)
            answer.path = path.format(own)
            self.answers.append(answer)
            is_not_run = answer.status in (429, 503)
            is_repeatable = is_not_run or not head.startswith("POST /confirm")
            if answer.is_complete or (is_not_run and not answer.retry_after) or not is_repeatable or attempt == 1:
                return
            entry = (entry + 1 + self.random.randrange(len(self.addresses))) % len(self.addresses)
            await asyncio.sleep(min(1.5, float(answer.retry_after or 0.05)))

    async def send(self, flow, entry, head, parts):
        self.number += 1
        request = f"{flow.name}-{self.number}"
        sent_at = time.monotonic()
        answer = Answer(sent_at, entry, request, parts, 0, False, None, 0, "", "")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.addresses[entry], CALLER_PORT), timeout=1)
            writer.write((f"{head}Plantainmast-Attempt-Id: {request}\r\nConnection: close\r\n"
                          "Content-Length: 2\r\n\r\n{}").encode())
            await asyncio.wait_for(self.read_answer(reader, answer), timeout=7)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        answer.total_s = time.monotonic() - sent_at
        return answer

    @staticmethod
    async def read_answer(reader, answer):
        """Reads an answer and returns its fields, or None if the connection ends before its head."""
        head = await read_head(reader)
        if head is None:
            return None
        line, fields = head
        answer.status = int(line.split()[1])
        answer.retry_after = fields.get("retry-after", "")
        if fields.get("transfer-encoding") != "chunked":
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            answer.is_complete = answer.status == 200
            if not answer.is_complete:
                answer.error = body.decode(errors="replace")
            return fields
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"0", 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                answer.is_complete = data == b"\r\n"
                return fields
            if answer.first_event_s is None:
                answer.first_event_s = time.monotonic() - answer.sent_at


def make_prompt_head(own, parts):
    prefix = ",".join(f"{part}:{300 if i else 40}" for i, part in enumerate(parts))
    return (f"POST {PROMPT_PATH}{own} HTTP/1.1\r\nHost: {HOST}\r\nPlantainmast-Deadline-Ms: 6000\r\n"
            f"Plantainmast-Model: {MODEL}\r\nPlantainmast-Token-Usage: 900,100\r\n"
            f"Plantainmast-Prefix-Hash: {prefix}\r\n")


def make_plain_head(method, path, key):
    return f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPlantainmast-Deadline-Ms: 600\r\nX-Api-Key: {key}\r\n"


def run_callers(pipe, *arguments):
    die_with_parent()
    asyncio.run(Callers(*arguments).run(pipe))


class HostedEntries:
    """Real entry processes, and the stand-ins and callers around them."""

    def __init__(self, build, seed, count, memory_mb=1024, descriptors=None):
        self.build, self.seed, self.count, self.memory_mb = build, seed, count, memory_mb
        # Descriptors that a process may open; None leaves the limit as it is.
        self.descriptors = descriptors
        self.octet, self.octet_holder = claim_octet()
        self.directory = tempfile.TemporaryDirectory(prefix="hosted-entries-")
        # Entries by index, and agents by the index of their engine.
        self.processes, self.agents = {}, {}
        self.standins = self.callers = None
        self.load_begin = 0.0

    def get_address(self, index):
        return f"127.{self.octet}.{index % len(ZONES)}.{1 + index // len(ZONES)}"

    def get_log(self, index):
        return os.path.join(self.directory.name, f"entry-{index}.log")

    def start_standins(self, engines, model, crash_times=(), make_scenario=None):
        self.standins, child = multiprocessing.Pipe()
        multiprocessing.Process(target=run_standins, daemon=True, args=(
            child, self.seed, self.octet, engines, model, list(crash_times), make_scenario)).start()
        self.standins.recv()

    def start_entry(self, index, relay_port=RELAY_PORT):
        """Starts an entry. One with another relay port can neither send beacons to the others nor receive theirs."""
        address = self.get_address(index)
        self.processes[index] = self.start_process(
            "plantain-entry", f"entry-{index}", address, index, relay_port, "",
            f"http:\n  target: {address}:{CALLER_PORT}\nready:\n  target: {address}:{READY_PORT}\n"
            "retry:\n  share: 0.2\n  slack: 100\n")

    def start_agent(self, index):
        """Starts the agent beside an engine."""
        address = get_engine_address(self.octet, index)
        self.agents[index] = self.start_process(
            "plantain-agent", f"agent-{index}", address, index, RELAY_PORT, f"  pool: {POOL}\n",
            f"engine:\n  target: {address}:{ENGINE_PORT}\n")

    def start_process(self, program, name, address, index, relay_port, vm_settings, own_settings):
        seeds = ", ".join(f"{self.get_address(i)}:8000" for i in range(min(3, self.count)))
        zones = ", ".join(f"{zone}={zone}" for zone in ZONES)
        zone = ZONES[index % len(ZONES)]
        settings = os.path.join(self.directory.name, f"{name}.yaml")
        with open(settings, "w", encoding="utf-8") as out:
            out.write(f"vm:\n  id: {address}\n  name: {name}\n  zone: {zone}\n  region: {zone}\n"
                      f"  address: {address}\n  memory_mb: {self.memory_mb}\n{vm_settings}"
                      f"admin:\n  port: {ADMIN_PORT}\nfleet:\n  zones: [{zones}]\n"
                      f"  seeds: [{seeds}]\nrelay:\n  port: {relay_port}\n"
                      f"store:\n  target: 127.{self.octet}.200.1:{STORE_PORT}\n{own_settings}")
        with open(os.path.join(self.directory.name, f"{name}.log"), "ab") as log:
            return subprocess.Popen(
                [os.path.join(self.build, program), "--platform", "hosted", "--settings", settings],
                stdout=log, stderr=subprocess.STDOUT, preexec_fn=self.prepare_process)

    def prepare_process(self):
        """Runs in a new process before its program."""
        die_with_parent()
        if self.descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    def start_entries(self, indices, relay_ports=None):
        for index in indices:
            self.start_entry(index, (relay_ports or {}).get(index, RELAY_PORT))
        for index in indices:
            self.wait_ready(index)

    def wait_ready(self, index):
        wait_until(lambda: self.is_ready(index), 20, f"entry {index} to be ready")

    def is_ready(self, index):
        try:
            with socket.create_connection((self.get_address(index), READY_PORT), timeout=1) as sock:
                sock.sendall(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return b" 200 " in sock.recv(64)
        except OSError:
            return False

    def kill_entry(self, index):
        self.processes[index].send_signal(signal.SIGKILL)
        self.processes[index].wait()

    def restart_entries(self):
        """Kills all entries at once and starts them again."""
        for process in self.processes.values():
            process.send_signal(signal.SIGKILL)
        for index, process in list(self.processes.items()):
            process.wait()
            self.start_entry(index)

    def start_callers(self, flows, duration_s, run=run_callers):
        self.callers, child = multiprocessing.Pipe()
        addresses = [self.get_address(i) for i in range(self.count)]
        multiprocessing.Process(target=run, daemon=True, args=(
            child, self.seed + 1, addresses, flows, duration_s)).start()
        self.load_begin = self.callers.recv()

    def wait_until(self, at_s):
        """Waits until some seconds after the start of the load."""
        time.sleep(max(0.0, self.load_begin + at_s - time.monotonic()))

    def churn(self, late, join_at_s, restarted, restart_at_s):
        """Starts one entry and restarts another during the load."""
        self.wait_until(join_at_s)
        self.start_entry(late)
        self.wait_until(restart_at_s)
        self.kill_entry(restarted)
        self.start_entry(restarted)

    def finish(self):
        """Waits for the callers and returns (answers, arrivals, crashes, first stated limits, scenario's result)."""
        answers = self.callers.recv()
        self.standins.send("stop")
        return answers, *self.standins.recv()

    def get_cpu_seconds(self):
        ticks = os.sysconf("SC_CLK_TCK")
        total = 0.0
        for process in self.processes.values():
            try:
                with open(f"/proc/{process.pid}/stat", encoding="utf-8") as stat:
                    fields = stat.read().rsplit(")", 1)[1].split()
                total += (int(fields[11]) + int(fields[12])) / ticks
            except OSError:
                pass
        return total

    def stop(self):
        for process in [*self.processes.values(), *self.agents.values()]:
            if process.poll() is None:
                process.kill()
                process.wait()
        self.octet_holder.close()
        self.directory.cleanup()
