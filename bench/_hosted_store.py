"""Stand-in for the platform's store: listing and following two topics, and a restore from an older copy."""

import asyncio
import base64
import dataclasses
import json
import socket
import struct
import time
import urllib.parse

OPERATOR_TOPIC, DIRECTORY_TOPIC = "keyed.op", "keyed.servers"
ERA_FIELD = "Store-Era"


@dataclasses.dataclass
class Record:
    """One record; an empty value removes the key."""

    key: str
    value: bytes
    written_at: float


class Store:
    """The part of the platform's store that entries use."""

    def __init__(self):
        self.records = {OPERATOR_TOPIC: [], DIRECTORY_TOPIC: []}
        self.changed = asyncio.Condition()
        self.writers = set()
        self.era, self.is_up = 1, True
        # Spans of time in which the store was away, as [from, until].
        self.outages = []

    async def put(self, topic, key, value):
        """Appends a record, once the store is there. Returns the time of its acknowledgement."""
        return await self.put_raw(topic, key, encode(value))

    async def put_raw(self, topic, key, value):
        async with self.changed:
            await self.changed.wait_for(lambda: self.is_up)
            self.records[topic].append(Record(key, value, time.monotonic()))
            self.changed.notify_all()
        return time.monotonic()

    def find(self, topic, key):
        """Returns the newest value of a key; empty if there is none."""
        return next((r.value for r in reversed(self.records[topic]) if r.key == key), b"")

    async def restore(self, copy_age_s, down_s):
        """Goes away and returns with what it held some seconds before."""
        now = time.monotonic()
        copies = {topic: [r for r in records if r.written_at <= now - copy_age_s]
                  for topic, records in self.records.items()}
        self.is_up = False
        self.outages.append([now, float("inf")])
        for writer in list(self.writers):
            reset(writer)
        await asyncio.sleep(down_s)
        async with self.changed:
            self.records = copies
            self.era += 1
            self.is_up = True
            self.outages[-1][1] = time.monotonic()
            self.changed.notify_all()

    def get_newest(self, topic):
        newest = {}
        for offset, record in enumerate(self.records[topic]):
            newest.pop(record.key, None)
            if record.value:
                newest[record.key] = (offset, record.value)
        return {"entries": [{"key": k, "value": base64.b64encode(v).decode(), "offset": o}
                            for k, (o, v) in sorted(newest.items())],
                "more_pages": False, "end": len(self.records[topic])}

    async def read(self, topic, offset, wait_s):
        """Returns the status and body of a read."""
        if offset > len(self.records[topic]):
            return 410, json.dumps({"first": 0}).encode()
        if len(self.records[topic]) <= offset and wait_s > 0:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait_for(lambda: len(self.records[topic]) > offset), wait_s)
            except asyncio.TimeoutError:
                pass
        out = struct.pack(">QQ", len(self.records[topic]), 0)
        for record in self.records[topic][offset:]:
            content = bytes([len(record.key)]) + record.key.encode() + record.value
            out += struct.pack(">I", len(content)) + content
        return 200, out

    async def handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                if not self.is_up:
                    reset(writer)
                    break
                url = urllib.parse.urlsplit(head[0].split()[1])
                query = dict(urllib.parse.parse_qsl(url.query))
                if url.path == "/log-newest":
                    status, body = 200, json.dumps(self.get_newest(query["topic"])).encode()
                else:
                    status, body = await self.read(query["topic"], int(query["from"]),
                                                   float(query.get("wait_ms", 0)) / 1000)
                writer.write(b"HTTP/1.1 %d x\r\n%s: %d\r\nContent-Length: %d\r\n\r\n"
                             % (status, ERA_FIELD.encode(), self.era, len(body)) + body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def encode(value):
    return b"" if value is None else json.dumps(value).encode()


async def read_head(reader):
    """Returns the first line and the lower-case fields of a request or response, or None at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = raw.decode().split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def reset(writer):
    """Closes a connection with a reset, as the kernel does for a process that was killed."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
