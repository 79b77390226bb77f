"""Model runners with a staging area, and the origin of weights, as PROTOCOL.md describes them."""

import asyncio
import hashlib
import json
import urllib.parse

from bed import RUNNER_PORT, SERVERS, Runner, make_response, read_message

MODEL, SERVICE = "m-1", "engines"
CHUNKS, CHUNK_BYTES, LAYERS = 24, 4096, 16
EVENTS, EVENT_GAP_S, PREFILL_S, LOAD_S = 6, 0.04, 0.03, 0.3


def make_piece(version, number):
    """Returns the bytes of a piece of a version."""
    seed = f"{MODEL} {version} {number}".encode()
    return b"".join(hashlib.sha256(seed + bytes([i])).digest() for i in range(CHUNK_BYTES // 32))


def make_digests(version):
    return [hashlib.sha256(make_piece(version, i)).hexdigest() for i in range(CHUNKS)]


def make_engine_service():
    return {"name": SERVICE, "max_conns": 400, "cold_start_s": 0, "cold_per_s": 0,
            "engine": {"models": [{"name": MODEL}], "slots": 16, "step_ms": 6.7, "per_seq_ms": 0.02,
                       "context_per_k": 0.01, "read_per_s": 30600, "chunks": CHUNKS, "chunk_bytes": CHUNK_BYTES,
                       "layers": LAYERS, "usual": {"prompt": 900, "answer": 40}}}


def make_origin_service(address):
    return {"name": "weights", "origin": f"{address}:{RUNNER_PORT}", "link_mbps": 7.3, "max_conns": 48, "zone": "z1"}


class Origin:
    """The service that holds the weights. `spoil` changes the body of an answer, or returns it as it is."""

    def __init__(self, bed, address):
        self.bed, self.address = bed, address
        self.spoil = lambda path, query, body: body
        # Number of answers by path and version.
        self.answers = {}

    async def start(self):
        await asyncio.start_server(self.serve, self.address, RUNNER_PORT, backlog=64)

    async def serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                url = urllib.parse.urlsplit(request.line.split()[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                version = int(query.get("version", 1))
                if url.path.startswith("/manifest/"):
                    body = json.dumps({"model": MODEL, "version": version, "chunk_bytes": CHUNK_BYTES,
                                       "layers": LAYERS, "digests": make_digests(version)}).encode()
                else:
                    body = make_piece(version, int(query["num"]))
                sent = self.spoil(url.path, query, body)
                key = (url.path.split("/")[1], version)
                self.answers[key] = self.answers.get(key, 0) + 1
                if key[0] == "manifest" or sent != body:
                    self.bed.note("origin answers", request.line.split()[1], "spoilt" if sent != body else "sound")
                writer.write(make_response(200, sent))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class Engine(Runner):
    """A model runner with version 1 loaded and staged."""

    service = SERVICE

    def __init__(self, bed, name, zone, address):
        super().__init__(bed, name, zone, address)
        self.version, self.orders, self.is_busy, self.active = 1, 0, False, 0
        self.staged = {i: make_piece(1, i) for i in range(CHUNKS)}

    def make_record(self, **changes):
        models = [{"name": MODEL, "version": self.version, "adapters": []}]
        return super().make_record(models=models, phase="both", **changes)

    async def answer(self, request, writer):
        method, target = request.line.split()[:2]
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/report":
            body = {"phase": "both", "models": [{"name": MODEL, "version": self.version, "adapters": []}],
                    "busy": self.is_busy, "seq": self.orders, "queued": 0, "active": self.active, "kv_used": 0,
                    "kv_total": 1640000, "handles": 0, "pace": 1.0, "born": self.born}
            writer.write(make_response(200, json.dumps(body).encode(), Content_Type="application/json"))
        elif url.path.startswith("/stage-put/"):
            self.staged[int(query["num"])] = request.body
            writer.write(make_response(200))
        elif url.path.startswith("/stage-get/"):
            piece = self.staged.get(int(query["num"]))
            writer.write(make_response(404) if piece is None else make_response(200, piece))
        elif url.path == "/order":
            self.take_order(json.loads(request.body), writer)
        else:
            await self.answer_prompt(request, writer)

    def take_order(self, order, writer):
        if self.is_busy or order.get("expected", self.orders) != self.orders:
            writer.write(make_response(409))
            return
        self.orders += 1
        self.is_busy = True
        whole = all(self.staged.get(i) == make_piece(order["version"], i) for i in range(CHUNKS))
        self.bed.note("runner", self.id, "loads version", order["version"], "whole" if whole else "NOT WHOLE")
        asyncio.ensure_future(self.load(order["version"]))
        writer.write(make_response(202))

    async def load(self, version):
        while self.active > 0:
            await asyncio.sleep(0.02)
        await asyncio.sleep(LOAD_S)
        self.version, self.is_busy = version, False
        self.bed.note("runner", self.id, "has loaded version", version)
        await self.bed.store.put(SERVERS, self.id, self.make_record())

    async def answer_prompt(self, request, writer):
        if self.refuse_wrong(request, writer):
            return
        name = request.get("plantainmast-attempt-id")
        if int(request.get("plantainmast-expect-version", self.version)) != self.version:
            writer.write(make_response(421, Plantainmast_Attempt_Id=name))
            return
        if self.is_busy or self.active >= self.slots:
            writer.write(make_response(503, Plantainmast_Attempt_Id=name, Plantainmast_Not_Executed="1"))
            return
        self.active += 1
        try:
            self.runs.append((name, self.version))
            self.bed.note("runner", self.id, "runs", name, "on version", self.version)
            await self.write_stream(name, int(request.get("last-event-id", 0)) + 1, writer)
        finally:
            self.active -= 1

    async def write_stream(self, name, first, writer):
        await asyncio.sleep(PREFILL_S)
        writer.write((f"HTTP/1.1 200 OK\r\nPlantainmast-Attempt-Id: {name}\r\nPlantainmast-Server-Stamp: stamp.{self.id}\r\n"
                      f"Plantainmast-Weight-Versions: {self.version}\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: {name} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        writer.write(b"0\r\n\r\n")


def make_prompt(name, host):
    """Returns a request of the stream route."""
    return (f"POST /draft/{name} HTTP/1.1\r\nHost: {host}\r\nPlantainmast-Attempt-Id: {name}\r\n"
            f"Plantainmast-Deadline-Ms: 6000\r\nPlantainmast-Model: {MODEL}\r\nPlantainmast-Token-Usage: 900,40\r\n"
            f"Plantainmast-Prefix-Hash: 5c1e07a2:40,{abs(hash(name)) % 2**32:08x}:860\r\n"
            "Connection: close\r\nContent-Length: 2\r\n\r\n{}").encode()
