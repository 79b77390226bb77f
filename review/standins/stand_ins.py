"""Stand-ins for the users' platform and for the callers of the review's scripts, and the start of the project's programs.

Everything runs on loopback addresses of one free block 127.A.0.0/16 and on the real clock: entry machine I is 127.A.1.I,
side machine J (a runner and its agent) is 127.A.2.J, a plain runner is 127.A.3.J, the store 127.A.200.1 and the origin of
weights 127.A.200.2. The stand-ins follow PROTOCOL.md and DEPLOY.md; where those are silent they behave like a sound
server, client or platform. Messages and settings have the form that `fleetbench wire` shows.
"""

import asyncio
import base64
import hashlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CLIENT_PORT, READY_PORT, RELAY_PORT, ADMIN_PORT, STORE_PORT, ORIGIN_PORT, APP_PORT = 8005, 8002, 7702, 7701, 8007, 8006, 8001
ZONES = ["praha-a", "brno-a", "ostrava-a"]
REGIONS = {"praha-a": "praha", "brno-a": "brno", "ostrava-a": "ostrava"}
HOST, MODEL, ENGINES, REGISTER, ORIGIN = "hulo84.example", "daka510000", "huvo11a", "wuno96b", "kafi81c"
KEY = "jnbanfqasnmgkcuyj8pj"
# Sizes and rates of sites/futon-urad.toml.
CHUNKS, CHUNK_BYTES, LAYERS, LINK_MBPS = 96, 24576, 16, 7.3
HEARTBEAT_S, WARM_S, SLOTS = 1.2, 0.3, 16
DRAIN_MS, VERSION_MS, GRACE_S, STABLE_S, RECOVER_S = 2000, 8000, 8, 3.0, 12.0
MEMORY_MB = {"entry": 520, "agent": 128}


class CannotRun(Exception):
    """The case could not be played; the script exits with 2."""


class Record:
    """Writes what was sent, answered and run to a file, one line each with the time since the start."""

    def __init__(self, path):
        self.begin = time.monotonic()
        self.out = open(path, "w", encoding="utf-8")

    def __call__(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.out.write(f"{time.monotonic() - self.begin:9.3f} {what} {text}\n")
        self.out.flush()


def pick_block():
    """Returns the second octet of a free loopback block and a socket that holds it."""
    for octet in random.sample(range(20, 250), 230):
        holder = socket.socket()
        try:
            holder.bind((f"127.{octet}.255.254", 9999))
            holder.listen(1)
            return octet, holder
        except OSError:
            holder.close()
    raise CannotRun("no free loopback block")


async def read_head(reader):
    """Returns the first line and the lower-case fields of a request or an answer, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    return await reader.readexactly(int(fields.get("content-length", 0)))


def make_answer(status, body=b"", **fields):
    if isinstance(body, (dict, list)):
        body = json.dumps(body).encode()
        fields.setdefault("Content_Type", "application/json")
    head = f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name.replace('_', '-')}: {value}\r\n" for name, value in fields.items())
    return head.encode() + b"\r\n" + body


def split_target(target):
    path, _, query = target.partition("?")
    return path, dict(pair.partition("=")[::2] for pair in query.split("&") if pair)


class Server:
    """An HTTP/1.1 server; `answer` handles one request and returns whether the channel is kept."""

    def __init__(self, address, port):
        self.address, self.port, self.server, self.writers = address, port, None, set()

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port, backlog=512, limit=1 << 20)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, fields)
                if not await self.answer(method, target, fields, body, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end(self):
        """Ends as a process that is killed does."""
        if self.server is not None:
            self.server.close()
        self.server = None
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: the two keyed topics that the system reads."""

    def __init__(self, octet, record):
        super().__init__(f"127.{octet}.200.1", STORE_PORT)
        self.record = record
        self.log = {"keyed.op": [], "keyed.servers": []}
        self.changed = asyncio.Condition()

    async def put(self, topic, key, value):
        """Appends a record; a value of None drops the key. Returns the time of the ack."""
        async with self.changed:
            self.log[topic].append((key, b"" if value is None else json.dumps(value).encode()))
            self.changed.notify_all()
        if topic == "keyed.op":
            self.record("operator_ack", key=key, value="-" if value is None else json.dumps(value)[:60].replace(" ", ""))
        return time.monotonic()

    async def answer(self, method, target, fields, body, writer):
        path, query = split_target(target)
        log = self.log.get(query.get("topic"), [])
        if path == "/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(log):
                newest.pop(key, None)
                if value:
                    newest[key] = {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            writer.write(make_answer(200, {"entries": [newest[key] for key in sorted(newest)], "more_pages": False,
                                           "end": len(log)}))
            return True
        if path != "/log-read":
            writer.write(make_answer(404))
            return True
        offset, wait_s = int(query["from"]), min(30.0, int(query.get("wait_ms", 0)) / 1000)
        if len(log) <= offset and wait_s > 0:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(lambda: len(log) > offset), wait_s)
            except asyncio.TimeoutError:
                pass
        out = struct.pack(">QQ", len(log), 0)
        for key, value in log[offset:offset + 1024]:
            content = bytes([len(key)]) + key.encode() + value
            out += struct.pack(">I", len(content)) + content
        writer.write(make_answer(200, out))
        return True


def make_piece(version, num):
    return random.Random(f"{MODEL} {version} {num}").randbytes(CHUNK_BYTES)


class Weights:
    """The pieces of each version and their digests."""

    def __init__(self):
        self.pieces = {}

    def get(self, version, num):
        if (version, num) not in self.pieces:
            self.pieces[version, num] = make_piece(version, num)
        return self.pieces[version, num]

    def get_digests(self, version):
        return [hashlib.sha256(self.get(version, num)).hexdigest() for num in range(CHUNKS)]


class Origin(Server):
    """The origin of weights, with the link of the site. `spoil_manifests` answers of manifests are spoilt in one place."""

    def __init__(self, octet, weights, record):
        super().__init__(f"127.{octet}.200.2", ORIGIN_PORT)
        self.weights, self.record, self.free_at, self.newest, self.spoil_manifests = weights, record, 0.0, 1, 0
        self.answers = self.spoilt = 0

    async def send(self, writer, data):
        """Sends at the rate of the link, which all answers share."""
        now = time.monotonic()
        self.free_at = max(now, self.free_at) + len(data) * 8 / (LINK_MBPS * 1e6)
        await asyncio.sleep(self.free_at - now)
        writer.write(data)

    async def answer(self, method, target, fields, body, writer):
        path, query = split_target(target)
        version = int(query.get("version", self.newest))
        self.answers += 1
        if path.startswith("/manifest/"):
            digests = self.weights.get_digests(version)
            is_spoilt = self.spoil_manifests > 0
            if is_spoilt:
                self.spoil_manifests -= 1
                self.spoilt += 1
                digests[17] = digests[17][:-1] + ("0" if digests[17][-1] != "0" else "1")
            self.record("manifest_sent", version=version, spoilt=is_spoilt)
            await self.send(writer, make_answer(200, {
                "model": MODEL, "version": version, "chunk_bytes": CHUNK_BYTES, "layers": LAYERS, "digests": digests}))
        elif path.startswith("/piece/"):
            await self.send(writer, make_answer(200, self.weights.get(version, int(query["num"]))))
        else:
            writer.write(make_answer(404))
        return True


class Runner(Server):
    """What all runners share: the record in the store with its check-ins, and the refusals of PROTOCOL.md."""

    def __init__(self, address, service, zone, store, record, slots):
        super().__init__(address, APP_PORT)
        self.service, self.zone, self.store, self.record, self.slots = service, zone, store, record, slots
        self.id, self.born, self.active, self.seq, self.beats = "", 0, 0, 0, None
        # Ids of the requests that ran here, with the time, in order.
        self.runs = []

    def get_state(self):
        return {"service": self.service, "address": f"{self.address}:{APP_PORT}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": "ready", "cold_left_ms": 0, "seq": self.seq, "born": self.born}

    async def start(self):
        self.id, self.born = f"i-{random.getrandbits(32):08x}", int(time.time() * 1000)
        await self.listen()
        self.record("runner_started", id=self.id, address=self.address)
        self.beats = asyncio.ensure_future(self.check_in())

    async def check_in(self):
        while True:
            self.seq += 1
            await self.store.put("keyed.servers", self.id, self.get_state())
            await asyncio.sleep(HEARTBEAT_S)

    async def put_state(self):
        await self.store.put("keyed.servers", self.id, self.get_state())

    def end(self):
        super().end()
        if self.beats is not None:
            self.beats.cancel()

    def refuse(self, fields):
        """Returns the answer to a request that this runner does not run, or None."""
        echo = {"Plantainmast_Attempt_Id": fields.get("plantainmast-attempt-id", "")}
        if not echo["Plantainmast_Attempt_Id"]:
            return make_answer(400, Plantainmast_Not_Executed=1)
        if fields.get("plantainmast-expect-instance", self.id) != self.id:
            return make_answer(421, Plantainmast_Instance_Id=self.id, **echo)
        if self.active >= 2 * self.slots:
            return make_answer(503, Plantainmast_Not_Executed=1, **echo)
        return None

    def note_run(self, fields, **more):
        request = fields["plantainmast-attempt-id"]
        self.runs.append((time.monotonic(), request, more))
        self.record("run", runner=self.address, request=request, **more)

    def make_stamp(self):
        return f"{self.id}.{random.getrandbits(32):08x}"


class Engine(Runner):
    """A model runner. It holds staged pieces, one copy, and makes tokens with the layers that it took at its last order."""

    def __init__(self, address, zone, store, record, weights, version=0):
        super().__init__(address, ENGINES, zone, store, record, SLOTS)
        self.weights, self.version, self.orders, self.is_busy, self.is_waiting = weights, version, 0, False, False
        # Staged pieces, and for each layer held whether its pieces were whole and of the version.
        self.staged = {num: weights.get(version, num) for num in range(CHUNKS)} if version else {}
        self.layers = [True] * LAYERS if version else []
        self.order_times, self.on_order, self.spoil_answers = [], None, None
        self.order_delay_s = 0.0

    def get_models(self):
        return [{"name": MODEL, "version": self.version, "adapters": []}] if self.version else []

    def get_state(self):
        return {**super().get_state(), "phase": "both", "models": self.get_models()}

    async def answer(self, method, target, fields, body, writer):
        path, query = split_target(target)
        if self.spoil_answers is not None and await self.spoil_answers(method, path, writer):
            return False
        if path == "/report":
            writer.write(make_answer(200, {
                "phase": "both", "models": self.get_models(), "busy": self.is_busy, "seq": self.orders, "queued": 0,
                "active": self.active, "kv_used": 0, "kv_total": 1640000, "handles": 0, "pace": 1.0, "born": self.born}))
        elif path.startswith("/stage-put/"):
            self.staged[int(query["num"])] = body
            writer.write(make_answer(200))
        elif path.startswith("/stage-get/"):
            piece = self.staged.get(int(query["num"]))
            writer.write(make_answer(404) if piece is None else make_answer(200, piece))
        elif path == "/order":
            await self.take_order(json.loads(body), writer)
        elif path == "/healthz":
            writer.write(make_answer(200, Plantainmast_Instance_Id=self.id))
        else:
            await self.run(fields, writer)
        return True

    async def take_order(self, order, writer):
        self.order_times.append(time.monotonic())
        self.record("order_arrived", runner=self.address, order=json.dumps(order).replace(" ", ""))
        delay_s = self.order_delay_s
        if self.on_order is not None:
            delay_s = await self.on_order(order) or 0.0
        if delay_s:
            await asyncio.sleep(delay_s)
        if order.get("op") != "start":
            status = 400
        elif self.is_busy or order.get("expected", self.orders) != self.orders:
            status = 409
        elif order["version"] == self.version:
            status = 200
        else:
            status = 202
        self.record("order_answered", runner=self.address, version=order.get("version"), status=status)
        writer.write(make_answer(status))
        if status == 202:
            self.orders, self.is_busy = self.orders + 1, True
            # The staged data counts as it is at this moment.
            staged = dict(self.staged)
            asyncio.ensure_future(self.load(order["version"], staged))

    async def load(self, version, staged):
        boot = self.id
        while self.active > 0:
            await asyncio.sleep(0.01)
        await asyncio.sleep(WARM_S)
        if boot != self.id:
            return
        per_layer = CHUNKS // LAYERS
        wrong = [num for num in range(CHUNKS) if staged.get(num) != self.weights.get(version, num)]
        self.layers = [not any(num // per_layer == layer for num in wrong) for layer in range(LAYERS)]
        self.version, self.is_busy = version, False
        self.record("loaded", runner=self.address, version=version, wrong_pieces=len(wrong),
                    wrong_layers=self.layers.count(False))
        await self.put_state()

    async def run(self, fields, writer):
        echo = {"Plantainmast_Attempt_Id": fields.get("plantainmast-attempt-id", "")}
        refusal = self.refuse(fields)
        expected = fields.get("plantainmast-expect-version", str(self.version))
        if refusal is None and (not self.version or expected != str(self.version)):
            refusal = make_answer(421, Plantainmast_Instance_Id=self.id, **echo)
        if refusal is None and self.is_busy:
            refusal = make_answer(503, Plantainmast_Not_Executed=1, **echo)
        if refusal is not None:
            writer.write(refusal)
            return
        self.active += 1
        try:
            await asyncio.sleep(0.05)
            self.note_run(fields, version=self.version, wrong_layers=self.layers.count(False))
            writer.write((f"HTTP/1.1 200 OK\r\nPlantainmast-Attempt-Id: {echo['Plantainmast_Attempt_Id']}\r\n"
                          f"Plantainmast-Server-Stamp: {self.make_stamp()}\r\n"
                          f"Plantainmast-Weight-Versions: {self.version}\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(int(fields.get("last-event-id", 0)) + 1, 7):
                event = f"id: {number}\ndata: token token token\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.03)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self.active -= 1


def make_route(name, prefix, kind, service, timeout_ms, target_ms, attempts, **more):
    return {"name": name, "host": HOST, "path_prefix": prefix, "type": kind, "timeout_ms": timeout_ms,
            "latency_target_ms": target_ms, "priority": 1, "service": service, "attempts": attempts, "public": False,
            "allowed_regions": [], **more}


DRAFT = make_route("r-draft", "/xapu221/", "stream", ENGINES, 6000, 400, 2, sticky=True, resumable=True, max_gap_ms=300)
SEAL = make_route("r-seal", "/filo73/", "non_idempotent", REGISTER, 1000, 150, 1)
STATUS = make_route("r-status", "/boye614/", "idempotent", REGISTER, 1000, 150, 2)


def make_config(octet, routes, version=7):
    engine = {"slots": SLOTS, "kv_capacity": 1640000, "kv_bytes": 163840, "link_mbps": 400000.0, "stride": 6,
              "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": WARM_S}], "size_mb": 282000.0,
              "adapter_slots": 8, "loads_per_s": 0.0, "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068,
              "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200.0, "loads_at_once": 8,
              "delays": [], "usual": {"prompt": 964, "answer": 119}, "layers": LAYERS, "layer_mb": 4540.0,
              "act_bytes": 16384, "pipe_mbps": 0.0, "chunks": CHUNKS, "chunk_bytes": CHUNK_BYTES}
    services = [
        {"name": ENGINES, "health_path": "/healthz", "max_conns": 434, "protocol": "h1", "tls": False, "cold_start_s": 0.0,
         "cold_per_s": 0.0, "engine": engine},
        {"name": ORIGIN, "origin": f"127.{octet}.200.2:{ORIGIN_PORT}", "zone": ZONES[1], "link_mbps": LINK_MBPS,
         "max_conns": 48},
        {"name": REGISTER, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": False,
         "cold_start_s": 0.0, "cold_per_s": 0.0}]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
            "tenants": [{"name": "bozi300", "api_keys": [KEY], "priority": 1, "allowed_regions": []}]}


class Programs:
    """The project's programs, started as processes with the commands of the deploy file."""

    def __init__(self, octet, record):
        self.octet, self.record = octet, record
        self.directory = tempfile.TemporaryDirectory(prefix="review-")
        self.processes = {}
        self.entries = [f"127.{octet}.1.{number}" for number in (1, 2, 3)]

    def start(self, role, address, zone):
        common = (f"vm:\n  id: {address}\n  name: {role}-{address}\n  zone: {zone}\n  region: {REGIONS[zone]}\n"
                  f"  address: {address}\n")
        if role == "agent":
            common += f"  pool: {ENGINES}\n  link_mbps: {LINK_MBPS}\n"
        common += (f"log:\n  level: info\nadmin:\n  port: {ADMIN_PORT}\nfleet:\n"
                   f"  zones: [{', '.join(f'{zone}={region}' for zone, region in REGIONS.items())}]\n"
                   f"  seeds: [{', '.join(f'{entry}:8000' for entry in self.entries)}]\n"
                   f"relay:\n  port: {RELAY_PORT}\nstore:\n  target: 127.{self.octet}.200.1:{STORE_PORT}\n")
        if role == "entry":
            common += (f"http:\n  target: {address}:{CLIENT_PORT}\nready:\n  target: {address}:{READY_PORT}\n"
                       "retry:\n  share: 0.2\n  slack: 106\n")
        else:
            common += f"engine:\n  target: {address}:{APP_PORT}\ntransfer:\n  port: 7703\n"
        common += f"version:\n  limit_ms: {VERSION_MS}\ndrain:\n  grace_ms: {GRACE_S}000\n"
        path = os.path.join(self.directory.name, f"{role}-{address}.yaml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(common)
        program = os.path.join(ROOT, "target", f"plantain-{role}")
        if not os.access(program, os.X_OK):
            raise CannotRun(f"{program} is missing: run the build of the deploy file first")
        with open(os.path.join(self.directory.name, f"{role}-{address}.log"), "ab") as log:
            process = subprocess.Popen([program, "--platform", "hosted", "--settings", path], stdout=log,
                                       stderr=subprocess.STDOUT, cwd=ROOT,
                                       env={"PATH": os.environ.get("PATH", ""), "PLANTAINMAST_CONFIG": path})
        self.processes[address] = process
        self.record("process_started", role=role, address=address)
        return process

    def get_log(self, role, address):
        with open(os.path.join(self.directory.name, f"{role}-{address}.log"), encoding="utf-8") as log:
            return log.read()

    def kill(self, address):
        process = self.processes[address]
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()
        self.record("process_killed", address=address)

    def stop(self):
        for address, process in self.processes.items():
            if process.poll() is None:
                self.kill(address)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            subprocess.run(["cp", "-r", self.directory.name + "/.", keep], check=False)
        self.directory.cleanup()


async def is_ready(address):
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, READY_PORT), 1.0)
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        head = await asyncio.wait_for(read_head(reader), 1.0)
        writer.close()
        return head is not None and " 200 " in head[0] + " "
    except (OSError, asyncio.TimeoutError):
        return False


async def wait_ready(addresses, timeout_s=20.0):
    end = time.monotonic() + timeout_s
    for address in addresses:
        while not await is_ready(address):
            if time.monotonic() > end:
                raise CannotRun(f"the entry at {address} did not become ready")
            await asyncio.sleep(0.05)


class Answer:
    """What a caller got: the status (0 without a head), whether the answer was whole, its fields and body."""

    def __init__(self, request):
        self.request, self.sent_at, self.status, self.is_whole, self.fields, self.body = request, time.monotonic(), 0, False, {}, b""


async def send(address, record, method, path, deadline_ms, body=b"", fields=None):
    """Sends one request on a new channel and reads its answer."""
    request = f"{random.getrandbits(64):016x}"
    answer = Answer(request)
    head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nPlantainmast-Attempt-Id: {request}\r\n"
            f"Plantainmast-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {KEY}\r\n")
    head += "".join(f"{name}: {value}\r\n" for name, value in (fields or {}).items())
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    record("sent", request=request, entry=address, line=f"{method}_{path}")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(address, CLIENT_PORT), 1.0)
        writer.write(head.encode() + b"\r\n" + body)
        await asyncio.wait_for(read_answer(reader, answer), deadline_ms / 1000)
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass
    record("answered", request=request, status=answer.status, whole=answer.is_whole,
           stamp=bool(answer.fields.get("plantainmast-server-stamp")))
    return answer


async def read_answer(reader, answer):
    head = await read_head(reader)
    if head is None:
        return
    line, answer.fields = head
    answer.status = int(line.split()[1])
    if answer.fields.get("transfer-encoding", "").lower() != "chunked":
        answer.body = await reader.readexactly(int(answer.fields.get("content-length", 0)))
    else:
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                break
            answer.body += data[:-2]
    answer.is_whole = True


def make_prompt_fields():
    own = f"{random.getrandbits(32):08x}"
    return {"Plantainmast-Model": MODEL, "Plantainmast-Token-Usage": "647,80",
            "Plantainmast-Prefix-Hash": f"{random.randrange(60):08x}:40,{own}:607"}


async def send_draft(address, record):
    return await send(address, record, "POST", f"/xapu221/{random.getrandbits(24):x}", 6000, b"{}", make_prompt_fields())


async def offer(entries, record, per_s, until, send_one, answers):
    """Sends requests at a rate until a time, each to one of the entries, and waits for their answers."""
    tasks = []
    while time.monotonic() < until:
        await asyncio.sleep(random.expovariate(per_s))

        async def send_and_keep():
            answers.append(await send_one(random.choice(entries), record))

        tasks.append(asyncio.ensure_future(send_and_keep()))
    await asyncio.gather(*tasks)


def main(play, record_path):
    """Plays a case, records it in a file and exits with its verdict. `play` returns the broken rule's text, or nothing."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(record_path)
    code, programs, holder = 2, None, None
    try:
        octet, holder = pick_block()
        programs = Programs(octet, record)
        # The loop is left as it is: the process ends below, with all channels of the stand-ins.
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        broken = loop.run_until_complete(asyncio.wait_for(play(trouble, record, octet, programs), 110))
        code = 1 if broken else 0
        record("verdict", broken=broken or "no", trouble=trouble)
        print(("broken: " + broken) if broken else "held", flush=True)
    except Exception as error:  # Whatever it is, the case has shown nothing.
        record("could_not_run", error=repr(error))
        print(f"could not run: {error!r}", flush=True)
    finally:
        if programs is not None:
            programs.stop()
        if holder is not None:
            holder.close()
    os._exit(code)
