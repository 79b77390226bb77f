"""Another writer leaves one record in the list of runners: a service that the config doesn't name, at a runner's address.

One entry, one plain runner for each of two services. Both kinds of request are sent all the while; the record comes once.
With TROUBLE=0 the other writer's record has an address of its own.
"""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from bed import CLIENT_PORT, HOST, OP, SERVERS, Runner, make_config, make_route, read_message, run_case  # noqa: E402

STRAY_AT_S, LENGTH_S, PERIOD_S = 3.0, 40.0, 0.1
# Starved: a kind of request that is served less than this share as often as all requests.
STARVED = 0.25


class Portal(Runner):
    service = "portal"


async def send(bed, entry, kind, name):
    """Sends a request on a channel of its own. Returns whether it was served."""
    bed.note("requester sends", name)
    request = (f"POST /{kind}/{name} HTTP/1.1\r\nHost: {HOST}\r\nPlantainmast-Attempt-Id: {name}\r\n"
               "Plantainmast-Deadline-Ms: 1000\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}").encode()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(entry, CLIENT_PORT), 1)
        writer.write(request)
        answer = await asyncio.wait_for(read_message(reader), 3)
        writer.close()
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        answer = None
    status = int(answer.line.split()[1]) if answer else 0
    bed.note("requester gets", status, "for", name, answer.body[:80] if answer else "")
    return status == 200 and name.encode() in answer.body


async def case(bed):
    await bed.start_store()
    entry = bed.address(0, 1)
    bed.seeds = [entry]
    kinds = {"seal": "register", "view": "portal"}
    routes = [make_route(kind, f"/{kind}/", service, "non_idempotent", timeout_ms=1000, latency_target_ms=150)
              for kind, service in kinds.items()]
    await bed.store.put(OP, "config", make_config(routes, [{"name": s, "max_conns": 100} for s in kinds.values()]))
    runner = Runner(bed, "i-1", "z1", bed.address(100, 1))
    await runner.start()
    await Portal(bed, "i-2", "z1", bed.address(100, 2)).start()
    await bed.start_entry("entry-1", entry)
    await bed.wait_ready(entry)
    await asyncio.sleep(3)
    served = {kind: [] for kind in kinds}
    running, number, begin, is_written = [], 0, time.monotonic(), False

    async def count(kind, name):
        served[kind].append(await send(bed, entry, kind, name))

    while time.monotonic() - begin < LENGTH_S:
        number += 1
        if not is_written and time.monotonic() - begin >= STRAY_AT_S:
            is_written = True
            stray = runner.make_record(service="register-test", born=int(time.time() * 1000))
            if not bed.trouble:
                stray["address"] = f"{bed.address(100, 9)}:9000"
            await bed.store.put(SERVERS, "i-other", stray)
        for kind in kinds:
            running.append(asyncio.ensure_future(count(kind, f"{kind}-{number}")))
        # The runner checks in.
        if number % 12 == 0:
            await bed.store.put(SERVERS, runner.id, runner.make_record(seq=number))
        await asyncio.sleep(PERIOD_S)
    await asyncio.gather(*running)
    share = {kind: sum(results) / len(results) for kind, results in served.items()}
    total = sum(share.values()) / len(share)
    print(f"served: {share}, all {total:.3f}")
    bed.note("served", share, "all", f"{total:.3f}")
    if share["view"] < 0.5:
        raise RuntimeError("the other kind of request was not served")
    return share["seal"] >= STARVED * total


run_case(__file__, case)
