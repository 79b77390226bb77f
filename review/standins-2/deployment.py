"""A small deployment on loopback: the project's entries as separate processes, and stand-ins for what is around them.

The store, the runners and the callers are stand-ins in the process of the script. They follow the users' pages. The
entries are started with the command and the settings template of the deploy file. All times are seconds since the
deployment was created, on the monotonic clock.
"""

import asyncio
import base64
import json
import os
import random
import re
import resource
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CALLER_PORT, READY_PORT, CONTROL_PORT, RUNNER_PORT, STORE_PORT = 8005, 8002, 8000, 9000, 8007
# Ports that the settings template names.
TEMPLATE_PORTS = (7701, 7702)
ZONES = {"praha-a": "praha", "brno-a": "brno", "ostrava-a": "ostrava"}
HOST, MODEL, API_KEY = "jepu9.example", "daka510000", "jnbanfqasnmgkcuyj8pj"
# Bounds of the site futon-urad, as they stand in the settings of a process there.
BOUNDS = {"grace_s": 8, "retry_ratio": 0.2, "retry_slack": 106, "version_ms": 8000, "stable_window_ms": 3000,
          "config_ms": 2000, "drain_ms": 2000}
HEARTBEAT_S = 1.2


def fill_template(text, fields):
    """Fills a settings template: values `{{a.b}}` and sections `{{#a}}..{{/a}}` with `{{.}}`, `{{@}}` and `{{,}}`."""

    def find(name):
        value = fields
        for part in name.split("."):
            value = value[part]
        return value

    def fill_section(match):
        value = find(match.group(1))
        rows = list(value.items()) if isinstance(value, dict) else list(enumerate(value))
        out = ""
        for number, (key, entry) in enumerate(rows):
            row = match.group(2).replace("{{@}}", str(key)).replace("{{.}}", str(entry))
            out += row.replace("{{,}}", "," if number + 1 < len(rows) else "")
        return out

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", fill_section, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(find(match.group(1))), text)


def reset(writer):
    """Closes a channel with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader):
    """Returns the first line and the lower-case fields of a message, or None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", 0)))
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


class Store:
    """The reading side of the platform's store: the keyed topics of the operator and of the runners."""

    def __init__(self):
        self.records = {"keyed.op": [], "keyed.servers": []}
        self.changed = asyncio.Condition()

    async def put(self, topic, key, value):
        """Appends a record; None drops the key. Returns the time of the ack."""
        raw = b"" if value is None else json.dumps(value).encode()
        async with self.changed:
            self.records[topic].append((key, raw))
            self.changed.notify_all()
        return time.monotonic()

    def get_newest(self, topic):
        newest = {}
        for offset, (key, value) in enumerate(self.records[topic]):
            newest.pop(key, None)
            if value:
                newest[key] = {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        return {"entries": list(newest.values()), "more_pages": False, "end": len(self.records[topic])}

    async def read(self, topic, offset, wait_s):
        records = self.records[topic]
        if len(records) <= offset and wait_s > 0:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(lambda: len(records) > offset), wait_s)
            except asyncio.TimeoutError:
                pass
        out = struct.pack(">QQ", len(records), 0)
        for key, value in records[offset:offset + 1024]:
            content = bytes([len(key)]) + key.encode() + value
            out += struct.pack(">I", len(content)) + content
        return out

    async def handle(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                path, _, text = head[0].split()[1].partition("?")
                query = dict(pair.split("=", 1) for pair in text.split("&") if "=" in pair)
                if path == "/log-newest":
                    body = json.dumps(self.get_newest(query["topic"])).encode()
                else:
                    body = await self.read(query["topic"], int(query["from"]), float(query.get("wait_ms", 0)) / 1000)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Runner:
    """One runner. A subclass answers requests in `run`; this class keeps channels, its entry and its record."""

    def __init__(self, deployment, service, zone, number, slots):
        self.deployment, self.service, self.zone, self.slots = deployment, service, zone, slots
        self.address = deployment.get_runner_address(number)
        self.name = f"runner-{number}"
        self.id, self.born, self.server, self.seq = "", 0, None, 0
        self.writers = set()
        self.beats = None

    async def start(self):
        self.id = f"i-{random.getrandbits(32):08x}"
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.handle, self.address, RUNNER_PORT, backlog=256)
        self.beats = asyncio.ensure_future(self.beat())

    def make_entry(self):
        self.seq += 1
        entry = {"service": self.service, "address": f"{self.address}:{RUNNER_PORT}", "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": "ready", "cold_left_ms": 0, "seq": self.seq,
                 "born": self.born}
        if self.service == "huvo11a":
            entry.update(phase="both", models=[{"name": MODEL, "version": 1, "adapters": []}])
        return entry

    async def beat(self):
        while True:
            await self.deployment.store.put("keyed.servers", self.id, self.make_entry())
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """Ends the process of the runner: all channels are reset, and nothing is said in the store."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        self.beats.cancel()
        for writer in list(self.writers):
            reset(writer)

    async def forget(self, old_id):
        """The platform removes the entry of a runner that was silent for three check-in intervals."""
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.deployment.store.put("keyed.servers", old_id, None)

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                body = await read_body(reader, fields)
                method, path, _ = line.split(" ")
                prefix = f"Plantainmast-Attempt-Id: {fields.get('plantainmast-attempt-id', '')}\r\n"
                if fields.get("plantainmast-expect-instance", self.id) != self.id:
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{prefix}Plantainmast-Instance-Id: {self.id}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    continue
                await self.run(method, path, fields, body, prefix, writer)
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, method, path, fields, body, prefix, writer):
        raise NotImplementedError


class Answer:
    """What a caller has got: status 0 and is_complete False if the channel ended first."""

    def __init__(self):
        self.status, self.fields, self.body, self.is_complete = 0, {}, b"", False


class Channel:
    """A caller's channel to one entry."""

    def __init__(self, deployment, entry):
        self.deployment, self.entry = deployment, entry
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(self.deployment.get_entry_address(self.entry), CALLER_PORT), timeout=1)

    async def call(self, method, path, attempt, fields, body=b"", time_s=6.0):
        """Sends a request and returns the answer."""
        head = f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPlantainmast-Attempt-Id: {attempt}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        if body or method == "POST":
            head += f"Content-Length: {len(body)}\r\n"
        answer = Answer()
        try:
            self.writer.write(head.encode() + b"\r\n" + body)
            await asyncio.wait_for(self.read_answer(answer), time_s)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            pass
        return answer

    async def read_answer(self, answer):
        head = await read_head(self.reader)
        if head is None:
            return
        answer.status, answer.fields = int(head[0].split()[1]), head[1]
        if head[1].get("transfer-encoding", "").lower() != "chunked":
            answer.body = await read_body(self.reader, head[1])
        else:
            while True:
                size = int((await self.reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                answer.body += data[:-2]
        answer.is_complete = True

    def close(self):
        if self.writer is not None:
            self.writer.close()


class Deployment:
    """Entries, store and record of one script."""

    def __init__(self, record_path, entries=4):
        self.entry_count = entries
        # Limits of an entry's machine: memory in MB, and descriptors or None for those of this process.
        self.memory_mb, self.descriptors = 520, None
        self.began_at = time.monotonic()
        self.octet = self.find_octet()
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.record = open(record_path, "w", encoding="utf-8")
        self.processes, self.logs = {}, []
        self.store = None
        self.store_address = f"127.{self.octet}.200.1"

    @staticmethod
    def find_octet():
        """Returns a second octet of loopback addresses whose ports are free."""
        for octet in random.sample(range(20, 220), 200):
            try:
                for address, port in ((f"127.{octet}.200.1", STORE_PORT), (f"127.{octet}.0.1", CALLER_PORT),
                                      (f"127.{octet}.0.1", TEMPLATE_PORTS[0]), (f"127.{octet}.0.1", TEMPLATE_PORTS[1]),
                                      (f"127.{octet}.100.1", RUNNER_PORT)):
                    with socket.socket() as sock:
                        sock.bind((address, port))
                return octet
            except OSError:
                continue
        raise OSError("no free loopback addresses")

    def now(self):
        return time.monotonic() - self.began_at

    def write(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")
        self.record.flush()

    def get_entry_address(self, number):
        return f"127.{self.octet}.{number % len(ZONES)}.{1 + number // len(ZONES)}"

    def get_runner_address(self, number):
        return f"127.{self.octet}.{100 + number % len(ZONES)}.{1 + number // len(ZONES)}"

    async def start_store(self):
        self.store = Store()
        await asyncio.start_server(self.store.handle, self.store_address, STORE_PORT, backlog=256)

    def start_entry(self, number):
        address = self.get_entry_address(number)
        zone = list(ZONES)[number % len(ZONES)]
        fields = {"ip": address, "node_name": f"edge-{zone}-{number}", "zone": zone, "region": ZONES[zone],
                  "zones": ZONES, "limits": {"memory_mb": self.memory_mb, "link_mbps": 2000.0},
                  "seeds": [f"{self.get_entry_address(i)}:{CONTROL_PORT}" for i in range(min(3, self.entry_count))],
                  "platform": {"address": f"{self.store_address}:{STORE_PORT}"},
                  "listen": {"client_addr": f"{address}:{CALLER_PORT}", "readiness": f"{address}:{READY_PORT}"},
                  "bounds": BOUNDS}
        with open(os.path.join(ROOT, "deploy", "entry.yaml.tmpl"), encoding="utf-8") as template:
            text = fill_template(template.read(), fields)
        path = os.path.join(self.temporary.name, f"entry-{number}.yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        log = open(os.path.join(self.temporary.name, f"entry-{number}.log"), "ab")
        self.logs.append(log)
        self.processes[number] = subprocess.Popen(
            ["target/plantain-entry", "--platform", "hosted", "--settings", path], cwd=ROOT, stdout=log,
            stderr=subprocess.STDOUT, preexec_fn=self.limit_process)
        self.write(f"entry {number} started, pid {self.processes[number].pid}")

    def limit_process(self):
        """Runs in a new process before its program."""
        if self.descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    def get_memory_mb(self, number):
        """Returns the memory that an entry's process holds, or 0 if it has ended."""
        try:
            with open(f"/proc/{self.processes[number].pid}/status", encoding="utf-8") as status:
                found = re.search(r"VmRSS:\s+(\d+) kB", status.read())
        except OSError:
            found = None
        return int(found.group(1)) / 1024 if found else 0

    async def wait_ready(self, number, time_s=20):
        end = time.monotonic() + time_s
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(self.get_entry_address(number), READY_PORT)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200" in line:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise TimeoutError(f"entry {number} was not ready")

    async def start_entries(self):
        for number in range(self.entry_count):
            self.start_entry(number)
        for number in range(self.entry_count):
            await self.wait_ready(number)

    def get_ended(self):
        """Returns the entries whose processes have ended by themselves, with their exit statuses."""
        return {number: process.poll() for number, process in self.processes.items() if process.poll() is not None}

    def get_log_tail(self, number, lines=3):
        with open(os.path.join(self.temporary.name, f"entry-{number}.log"), encoding="utf-8", errors="replace") as log:
            return log.read().splitlines()[-lines:]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        for log in self.logs:
            log.close()
        self.record.close()
        self.temporary.cleanup()


def make_config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "bozi300", "api_keys": [API_KEY], "priority": 1, "allowed_regions": []}]}


def make_route(name, prefix, service, kind, **more):
    route = {"name": name, "host": HOST, "path_prefix": prefix, "type": kind, "timeout_ms": 1000,
             "latency_target_ms": 150, "priority": 1, "service": service, "attempts": 1, "public": False,
             "sticky": False, "resumable": False, "allowed_regions": []}
    if kind == "stream":
        route.update(timeout_ms=6000, latency_target_ms=400, attempts=2, sticky=True, resumable=True, max_gap_ms=300)
    if kind == "idempotent":
        route.update(attempts=2)
    route.update(more)
    return route


REGISTER = {"name": "wuno96b", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": False,
            "cold_start_s": 0.0, "cold_per_s": 0.0}
ENGINES = {"name": "huvo11a", "health_path": "/healthz", "max_conns": 434, "protocol": "h1", "tls": False,
           "cold_start_s": 0.0, "cold_per_s": 0.0,
           "engine": {"slots": 16, "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}],
                      "size_mb": 282000.0, "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068,
                      "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200.0, "stride": 6,
                      "usual": {"prompt": 964, "answer": 119}, "layers": 16, "layer_mb": 4540.0, "chunks": 96,
                      "chunk_bytes": 24576}}


def main(record_path, play):
    """Runs `play(deployment, has_trouble)`, which returns whether the rule was broken. Exits as the issue says."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(record_path)

    async def run():
        await deployment.start_store()
        return await asyncio.wait_for(play(deployment, has_trouble), timeout=110)

    code = 2
    loop = asyncio.new_event_loop()
    try:
        is_broken = loop.run_until_complete(run())
        deployment.write(f"trouble {int(has_trouble)}: the rule was {'broken' if is_broken else 'kept'}")
        code = 1 if is_broken else 0
    except Exception as error:  # pylint: disable=broad-except
        deployment.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        deployment.stop()
    # Ends without cancelling the open channels, which would print a traceback for each.
    sys.stderr.flush()
    os._exit(code)
