"""The origin hands out the list of digests of a new version with one wrong digit for a second, and is sound after that.

One zone, two model runners with their agents, one runner of a plain service, one entry. Requesters send streams and plain
requests all the while; version 2 of the weights is named once. With TROUBLE=0 the origin is sound throughout.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from bed import CLIENT_PORT, HOST, OP, Runner, make_config, make_route, read_message, run_case  # noqa: E402
from engines import MODEL, Engine, Origin, make_engine_service, make_origin_service, make_prompt  # noqa: E402

SPOILT_S, NAME_AT_S, LENGTH_S, PERIOD_S = 1.0, 2.0, 92.0, 0.2
# Starved: a kind of request that is served less than this share as often as all requests.
STARVED = 0.25


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


async def send(bed, entry, request, name):
    """Sends a request on a channel of its own. Returns whether it was served."""
    bed.note("requester sends", name)
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(entry, CLIENT_PORT), 1)
        writer.write(request)
        answer = await asyncio.wait_for(read_message(reader), 7)
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        answer = None
    status = int(answer.line.split()[1]) if answer else 0
    bed.note("requester gets", status, "for", name)
    return status == 200 and name.encode() in answer.body


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
    await bed.start_entry("entry-1", entry)
    for i, engine in enumerate(engines):
        await bed.start_agent(f"agent-{i + 1}", engine.address, "z1", engine.address)
    await bed.wait_ready(entry)
    await asyncio.sleep(3)
    served = {"stream": [], "plain": []}
    running, number, begin = [], 0, time.monotonic()

    async def count(kind, request, name):
        served[kind].append(await send(bed, entry, request, name))

    while time.monotonic() - begin < LENGTH_S:
        number += 1
        if time.monotonic() - begin >= NAME_AT_S and bed.store.records[OP][-1][0] != f"version/{MODEL}".encode():
            await bed.store.put(OP, f"version/{MODEL}", {"model": MODEL, "version": 2})
        seal = (f"POST /seal/p{number} HTTP/1.1\r\nHost: {HOST}\r\nPlantainmast-Attempt-Id: p{number}\r\n"
                "Plantainmast-Deadline-Ms: 1000\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}").encode()
        running.append(asyncio.ensure_future(count("stream", make_prompt(f"s{number}", HOST), f"s{number}")))
        running.append(asyncio.ensure_future(count("plain", seal, f"p{number}")))
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*running)
    share = {kind: sum(results) / len(results) for kind, results in served.items()}
    both = [result for results in served.values() for result in results]
    total = sum(both) / len(both)
    versions = [engine.version for engine in engines]
    bed.note("served of streams", f"{share['stream']:.3f}", "of plain requests", f"{share['plain']:.3f}", "of all",
             f"{total:.3f}", "versions of the runners", versions, "answers of the origin", origin.answers)
    print(f"served: streams {share['stream']:.3f}, plain {share['plain']:.3f}, all {total:.3f}; versions {versions}, "
          f"answers of the origin {origin.answers}")
    if share["plain"] < 0.5:
        raise RuntimeError("the plain requests were not served")
    return share["stream"] >= STARVED * total


run_case(__file__, case)
