"""Test bed for the review cases: the programs of the deploy file as processes, and small stand-ins around them.

The stand-ins speak what PROTOCOL.md says and nothing else: a store (a keyed log), runners, model runners with a staging
area, the origin of weights, and requesters. All addresses are on loopback: a bed takes one free block 127.B.*.*.
Everything that is sent, answered and run is written to the record file that a case names, with seconds since the start.
"""

import asyncio
import base64
import ctypes
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CLIENT_PORT, READY_PORT, ADMIN_PORT, RELAY_PORT, TRANSFER_PORT = 8005, 8002, 7701, 7702, 7703
RUNNER_PORT, STORE_PORT = 9000, 8007
OP, SERVERS = "keyed.op", "keyed.servers"
HOST = "h.example"
# Exit codes of a case for its run.sh. An error of the interpreter itself, which exits with 1, is none of the first two.
HELD, BROKEN, NOT_RUN = 0, 10, 2
PR_SET_PDEATHSIG = 1


def die_with_parent():
    """Has the kernel kill a process that was started when the script dies."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def find_block():
    """Reserves an unused block 127.B.*.* by holding a socket in it."""
    for i in range(180):
        block = 30 + (os.getpid() + i) % 180
        holder = socket.socket()
        try:
            holder.bind((f"127.{block}.255.254", 9999))
            holder.listen(1)
            return block, holder
        except OSError:
            holder.close()
    raise RuntimeError("no free loopback block")


class Message:
    """Head and body of an HTTP request or response."""

    def __init__(self, line, fields, body):
        self.line, self.fields, self.body = line, fields, body

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "") == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    return await reader.readexactly(int(fields.get("content-length", 0)))


async def read_message(reader):
    """Returns the next message, or None if the connection ended before its head."""
    try:
        line, fields = await read_head(reader)
    except asyncio.IncompleteReadError:
        return None
    return Message(line, fields, await read_body(reader, fields))


def make_response(status, body=b"", **fields):
    head = f"HTTP/1.1 {status} x\r\n"
    for name, value in fields.items():
        head += f"{name.replace('_', '-')}: {value}\r\n"
    return head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store, as far as the system uses it: keyed topics that are listed and read on."""

    def __init__(self, bed):
        self.bed, self.records = bed, {OP: [], SERVERS: []}
        self.changed = asyncio.Condition()
        # Seconds that an answer takes.
        self.delay_s = 0.004

    async def put(self, topic, key, value):
        """Appends a record; its key is text or bytes, and no value removes it. Returns the time of the ack."""
        key = key.encode() if isinstance(key, str) else key
        raw = b"" if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self.changed:
            self.records[topic].append((key, raw))
            self.changed.notify_all()
        self.bed.note("store", topic, key, "removed" if value is None else "written", "offset", len(self.records[topic]) - 1)
        return time.monotonic()

    def list(self, topic):
        newest = {}
        for offset, (key, raw) in enumerate(self.records[topic]):
            newest.pop(key, None)
            if raw:
                newest[key] = {"key": key.decode(errors="replace"), "value": base64.b64encode(raw).decode(), "offset": offset}
        return json.dumps({"entries": list(newest.values()), "more_pages": False,
                           "end": len(self.records[topic])}).encode()

    async def read(self, topic, first, wait_s):
        records = self.records[topic]
        if len(records) <= first and wait_s > 0:
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: len(records) > first), wait_s)
                except asyncio.TimeoutError:
                    pass
        out = struct.pack(">QQ", len(records), 0)
        for key, raw in records[first:first + 1024]:
            content = bytes([len(key)]) + key + raw
            out += struct.pack(">I", len(content)) + content
        return out

    async def serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                url = urllib.parse.urlsplit(request.line.split()[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                await asyncio.sleep(self.delay_s)
                if url.path == "/log-newest":
                    body = self.list(query["topic"])
                else:
                    body = await self.read(query["topic"], int(query["from"]), float(query.get("wait_ms", 0)) / 1000)
                writer.write(make_response(200, body))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Runner:
    """A runner of a plain service, with a receipt in each answer."""

    service, slots, work_s = "register", 16, 0.03

    def __init__(self, bed, name, zone, address):
        self.bed, self.id, self.zone, self.address = bed, name, zone, address
        self.born = int(time.time() * 1000)
        # What ran: request id, path and time.
        self.runs = []
        self.server = None

    def make_record(self, **changes):
        return {"service": self.service, "address": f"{self.address}:{RUNNER_PORT}", "zone": self.zone, "version": 1,
                "slots": self.slots, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": self.born, **changes}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, RUNNER_PORT, backlog=256)
        await self.bed.store.put(SERVERS, self.id, self.make_record())

    async def serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                await self.answer(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def refuse_wrong(self, request, writer):
        """Answers 421 to a request that names another runner."""
        if request.get("plantainmast-expect-instance", self.id) == self.id:
            return False
        writer.write(make_response(421, Plantainmast_Attempt_Id=request.get("plantainmast-attempt-id")))
        return True

    async def answer(self, request, writer):
        if self.refuse_wrong(request, writer):
            return
        name = request.get("plantainmast-attempt-id")
        self.runs.append((name, request.line.split()[1], time.monotonic()))
        self.bed.note("runner", self.id, "runs", name, request.line)
        await asyncio.sleep(self.work_s)
        writer.write(make_response(200, f"done {name}".encode(), Plantainmast_Attempt_Id=name,
                                   Plantainmast_Server_Stamp=f"stamp.{self.id}"))


class Bed:
    """Processes, stand-ins and the record of one run."""

    def __init__(self, record):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.block, self.holder = find_block()
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.record = open(record, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.store, self.processes, self.seeds, self.zones = None, {}, [], ["z1"]
        self.version_ms = 8000
        self.note("run with", "trouble" if self.trouble else "no trouble")

    def note(self, *words):
        self.record.write(f"{time.monotonic() - self.began:9.3f} {' '.join(str(word) for word in words)}\n")

    def address(self, group, number):
        return f"127.{self.block}.{group}.{number}"

    async def start_store(self):
        self.store = Store(self)
        await asyncio.start_server(self.store.serve, self.address(200, 1), STORE_PORT, backlog=256)

    def start(self, program, name, address, zone, more):
        """Starts a program with the command and settings of the deploy file."""
        zones = ", ".join(f"{z}=r-{z}" for z in self.zones)
        settings = os.path.join(self.folder.name, f"{name}.yaml")
        with open(settings, "w", encoding="utf-8") as out:
            out.write(f"vm:\n  id: {address}\n  name: {name}\n  zone: {zone}\n  region: r-{zone}\n  address: {address}\n"
                      f"  memory_mb: {128 if 'agent' in program else 512}\n"
                      + (f"  pool: engines\n  link_mbps: 7.3\n" if "agent" in program else "")
                      + f"log:\n  level: info\nadmin:\n  port: {ADMIN_PORT}\nfleet:\n  zones: [{zones}]\n"
                      f"  seeds: [{', '.join(f'{s}:8000' for s in self.seeds)}]\nrelay:\n  port: {RELAY_PORT}\n"
                      f"store:\n  target: {self.address(200, 1)}:{STORE_PORT}\n"
                      f"version:\n  limit_ms: {self.version_ms}\ndrain:\n  grace_ms: 8000\n{more}")
        log = open(os.path.join(self.folder.name, f"{name}.log"), "ab")
        return asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target", program), "--platform", "hosted", "--settings", settings, stdout=log, stderr=log,
            preexec_fn=die_with_parent)

    async def start_entry(self, name, address, zone="z1"):
        more = (f"http:\n  target: {address}:{CLIENT_PORT}\nready:\n  target: {address}:{READY_PORT}\n"
                "retry:\n  share: 0.2\n  slack: 106\n")
        self.processes[name] = await self.start("plantain-entry", name, address, zone, more)
        self.note("started", name, address)

    async def start_agent(self, name, address, zone, engine):
        more = f"engine:\n  target: {engine}:{RUNNER_PORT}\ntransfer:\n  port: {TRANSFER_PORT}\n"
        self.processes[name] = await self.start("plantain-agent", name, address, zone, more)
        self.note("started", name, address)

    def signal(self, name, number):
        self.note(signal.Signals(number).name, name)
        self.processes[name].send_signal(number)

    async def end_process(self, name, number):
        self.signal(name, number)
        await self.processes[name].wait()

    async def get(self, address, port, target):
        """Sends a GET and returns the status, 0 if there is no answer."""
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(address, port), 1)
            writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
            answer = await asyncio.wait_for(read_message(reader), 2)
            writer.close()
            return 0 if answer is None else int(answer.line.split()[1])
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return 0

    async def wait_ready(self, address, limit_s=15):
        end = time.monotonic() + limit_s
        while await self.get(address, READY_PORT, "/readyz") != 200:
            if time.monotonic() > end:
                raise RuntimeError(f"{address} is not ready")
            await asyncio.sleep(0.05)

    def read_log(self, name):
        with open(os.path.join(self.folder.name, f"{name}.log"), encoding="utf-8", errors="replace") as log:
            return log.read()

    async def stop(self):
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()

    def keep_logs(self):
        """Appends what the processes logged, without the lines of single requests, to the record."""
        for name in self.processes:
            for line in self.read_log(name).splitlines()[-400:]:
                if "event=request_end" not in line:
                    self.record.write(f"log {name}: {line[:300]}\n")


def make_config(routes, services, version=3):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 5000,
                       "idle_timeout_ms": 30000}}


def make_route(name, prefix, service, kind, **changes):
    return {"name": name, "host": HOST, "path_prefix": prefix, "service": service, "type": kind, "timeout_ms": 6000,
            "latency_target_ms": 400, "max_gap_ms": 300, "attempts": 1, "priority": 0, "public": True, **changes}


def end_script(code):
    """Ends the script at once, without the tracebacks of connections that are still open."""
    print({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NOT_RUN: "the case could not run"}[code])
    sys.stdout.flush()
    os._exit(code)


def run_case(record, case):
    """Runs a case, a coroutine that returns whether the rule held, and ends the script with HELD, BROKEN or NOT_RUN."""
    async def run():
        bed, code = Bed(record), NOT_RUN
        try:
            held = await asyncio.wait_for(case(bed), 110)
            bed.note("the rule", "held" if held else "was broken")
            code = HELD if held else BROKEN
        except Exception as error:  # The case could not run.
            print(f"{record}: {error!r}", file=sys.stderr)
            bed.note("the case could not run:", repr(error))
        await bed.stop()
        bed.keep_logs()
        bed.record.close()
        bed.holder.close()
        bed.folder.cleanup()
        end_script(code)
    asyncio.run(run())
