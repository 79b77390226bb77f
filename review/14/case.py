"""The origin hands out the list of digests of a new version with one wrong digit for a second, around a final fault.

One zone, two model runners with their agents, one runner of a plain service, one entry. Requesters send streams and a few
plain requests all the while, nine to one as on the site. Version 2 of the weights is named; right after the ack all
processes of the system are killed, and they are back after a moment. From the first list of version 2 on the origin spoils
these lists for a second, and is sound after that. With TROUBLE=0 the origin is sound throughout, and all else is the same.
"""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
from bed import CLIENT_PORT, HOST, OP, Runner, make_config, make_route, read_message, run_case  # noqa: E402
from engines import MODEL, Engine, Origin, make_engine_service, make_origin_service, make_prompt  # noqa: E402

SPOILT_S, FAULT_AT_S, DOWN_S, AFTER_S, PERIOD_S = 1.0, 8.0, 1.3, 35.0, 0.1
# Bounds of the site, and the part that RECOVER names. One request in so many is plain.
RECOVER_S, LEAST_SERVED, PLAIN_EACH = 12.0, 0.25, 10


class SpoiltList:
    """Changes one digit of the lists of digests of version 2, for a second from the first of them."""

    def __init__(self):
        self.first = None

    def __call__(self, path, query, body):
        if not path.startswith("/manifest/") or query.get("version") != "2":
            return body
        self.first = self.first or time.monotonic()
        if time.monotonic() - self.first > SPOILT_S:
            return body
        at = body.index(b'"digests": ["') + len(b'"digests": ["')
        return body[:at] + (b"0" if body[at:at + 1] != b"0" else b"1") + body[at + 1:]


class Requesters:
    """Sends requests at a steady rate, each on a channel of its own. `results` holds (time of sending, served)."""

    def __init__(self, bed, entry):
        self.bed, self.entry, self.results, self.number = bed, entry, [], 0

    async def run(self, end):
        running = []
        while time.monotonic() < end:
            self.number += 1
            name = f"r{self.number}"
            request = make_prompt(name, HOST)
            if self.number % PLAIN_EACH == 0:
                request = (f"POST /seal/{name} HTTP/1.1\r\nHost: {HOST}\r\nPlantainmast-Attempt-Id: {name}\r\n"
                           "Plantainmast-Deadline-Ms: 1000\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}").encode()
            running.append(asyncio.ensure_future(self.send(request, name)))
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*running)

    async def send(self, request, name):
        sent_at = time.monotonic()
        self.bed.note("requester sends", name)
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.entry, CLIENT_PORT), 1)
            writer.write(request)
            answer = await asyncio.wait_for(read_message(reader), 7)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer = None
        status = int(answer.line.split()[1]) if answer else 0
        self.bed.note("requester gets", status, "for", name)
        self.results.append((sent_at, status == 200 and name.encode() in answer.body))

    def get_share(self, since, until):
        served = [is_served for sent_at, is_served in self.results if since <= sent_at < until]
        return sum(served) / len(served)


async def case(bed):
    await bed.start_store()
    entry = bed.address(0, 1)
    bed.seeds = [entry]
    origin = Origin(bed, bed.address(200, 2))
    if bed.trouble:
        origin.spoil = SpoiltList()
    await origin.start()
    routes = [make_route("draft", "/draft/", "engines", "stream", resumable=True, sticky=True, attempts=2),
              make_route("seal", "/seal/", "register", "non_idempotent", timeout_ms=1000, latency_target_ms=150)]
    services = [make_engine_service(), {"name": "register", "max_conns": 100}, make_origin_service(origin.address)]
    await bed.store.put(OP, "config", make_config(routes, services))
    engines = [Engine(bed, f"i-e{i}", "z1", bed.address(100, i)) for i in (1, 2)]
    for engine in engines:
        await engine.start()
    await Runner(bed, "i-r1", "z1", bed.address(101, 1)).start()

    async def start_system():
        await bed.start_entry("entry-1", entry)
        for i, engine in enumerate(engines):
            await bed.start_agent(f"agent-{i + 1}", engine.address, "z1", engine.address)

    await start_system()
    await bed.wait_ready(entry)
    await asyncio.sleep(3)
    begin = time.monotonic()
    end = begin + FAULT_AT_S + DOWN_S + RECOVER_S + AFTER_S
    requesters = Requesters(bed, entry)
    load = asyncio.ensure_future(requesters.run(end))
    await asyncio.sleep(FAULT_AT_S)
    await bed.store.put(OP, f"version/{MODEL}", {"model": MODEL, "version": 2})
    fault_at = time.monotonic()
    for name in list(bed.processes):
        await bed.end_process(name, signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    await start_system()
    back_at = time.monotonic()
    await load
    before = requesters.get_share(begin, fault_at - 1)
    after = requesters.get_share(back_at + RECOVER_S, end)
    versions = [engine.version for engine in engines]
    text = (f"served before the final fault {before:.3f}, later than recover_s after it {after:.3f} (at least "
            f"{LEAST_SERVED}); versions {versions}, answers of the origin {origin.answers}")
    bed.note(text)
    print(text)
    if before < LEAST_SERVED:
        raise RuntimeError("too little was served before the final fault")
    return after >= LEAST_SERVED


run_case(os.path.join(FOLDER, "record.txt"), case)
