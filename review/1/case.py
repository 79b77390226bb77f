"""A runner is added, new weights are named at once, and the runner takes its first order late. WHOLE is checked."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from stand_ins import (CannotRun, DRAFT, Engine, Origin, Store, Weights, ZONES, main, make_config, offer,  # noqa: E402
                       send_draft, wait_ready)

# How long the added runner takes until it accepts its first order. Its reports are answered meanwhile.
LATE_S = 1.3
WATCH_S = 12.0


async def play(trouble, record, octet, programs):
    weights, store = Weights(), Store(octet, record)
    origin = Origin(octet, weights, record)
    await store.listen()
    await origin.listen()
    await store.put("keyed.op", "config", make_config(octet, [DRAFT]))
    first = Engine(f"127.{octet}.2.1", ZONES[0], store, record, weights, version=1)
    await first.start()
    for entry in programs.entries[:2]:
        programs.start("entry", entry, ZONES[0])
    programs.start("agent", first.address, ZONES[0])
    await wait_ready(programs.entries[:2])
    await asyncio.sleep(3.0)

    # Planned work: a runner is added. It holds no layers.
    added = Engine(f"127.{octet}.2.2", ZONES[0], store, record, weights)
    ordered = asyncio.Event()

    async def on_order(order):
        is_first = not ordered.is_set()
        ordered.set()
        return LATE_S if trouble and is_first else 0.0

    added.on_order = on_order
    await added.start()
    programs.start("agent", added.address, ZONES[0])
    answers = []
    callers = asyncio.ensure_future(
        offer(programs.entries[:2], record, 20.0, time.monotonic() + 30.0, send_draft, answers))
    try:
        await asyncio.wait_for(ordered.wait(), 25)
    except asyncio.TimeoutError:
        raise CannotRun("the added runner got no order") from None
    # Planned work: new weights are named.
    origin.newest = 2
    await store.put("keyed.op", "version/daka510000", {"model": "daka510000", "version": 2})
    await asyncio.sleep(WATCH_S)
    callers.cancel()
    if not any(answer.status == 200 for answer in answers):
        raise CannotRun("nothing was served")
    wrong = [(request, more) for _, request, more in added.runs + first.runs if more["wrong_layers"]]
    record("summary", answers=len(answers), served=sum(a.status == 200 and a.is_whole for a in answers),
           runs=len(added.runs) + len(first.runs), runs_with_wrong_layers=len(wrong))
    if wrong:
        return (f"WHOLE: {len(wrong)} requests were run with layers whose pieces were of another version "
                f"(first: {wrong[0][0]}, {wrong[0][1]})")
    return ""


main(play, os.path.join(HERE, "record.txt"))
