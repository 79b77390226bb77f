"""Two of 14 runners answer staged pieces with bytes without end. Do their agents outgrow the memory of a side machine?"""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from stand_ins import (CannotRun, DRAFT, Engine, MEMORY_MB, Origin, Store, Weights, ZONES, main, make_config,  # noqa: E402
                       offer, send_draft, wait_ready)

RUNNERS, IN_TROUBLE = 14, 2
# Share of the answers about staged pieces that don't end, at the runners in trouble (`garble`: x 0.02 to 0.05).
SHARE = 0.05
TROUBLE_S = 45.0
# New weights are named at the start and once more.
SECOND_VERSION_AT_S = 20.0
# Ends by itself on two machines that break the rule.
MOST_ENDS = 2
RESTART_S = 0.5
FILLER = b"\x00" * 65536


def get_rss_mb(pid):
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6
    except (OSError, IndexError):
        return 0.0


class Watch:
    """Does what the platform does: kills a process over its memory, and starts it again after a short delay."""

    def __init__(self, programs, record, agents):
        self.programs, self.record, self.agents = programs, record, agents
        self.ends = {address: 0 for address in agents}
        self.peak = {address: 0.0 for address in agents}

    async def run(self):
        while True:
            for address, zone in self.agents.items():
                process = self.programs.processes[address]
                rss = get_rss_mb(process.pid)
                self.peak[address] = max(self.peak[address], rss)
                is_over = rss > MEMORY_MB["agent"]
                if process.poll() is None and not is_over:
                    continue
                self.ends[address] += 1
                self.record("process_over_limit" if is_over else "process_ended", address=address, rss_mb=round(rss, 1),
                            limit_mb=MEMORY_MB["agent"], ends=self.ends[address])
                if process.poll() is None:
                    self.programs.kill(address)
                await asyncio.sleep(RESTART_S)
                self.programs.start("agent", address, zone)
            await asyncio.sleep(0.002)


async def play(trouble, record, octet, programs):
    weights, store = Weights(), Store(octet, record)
    origin = Origin(octet, weights, record)
    await store.listen()
    await origin.listen()
    await store.put("keyed.op", "config", make_config(octet, [DRAFT]))
    runners = [Engine(f"127.{octet}.2.{1 + number}", ZONES[number % 3], store, record, weights, version=1)
               for number in range(RUNNERS)]
    for runner in runners:
        await runner.start()
    for entry, zone in zip(programs.entries, ZONES):
        programs.start("entry", entry, zone)
    for runner in runners:
        programs.start("agent", runner.address, runner.zone)
    await wait_ready(programs.entries)
    await asyncio.sleep(3.0)
    watch = Watch(programs, record, {runner.address: runner.zone for runner in runners})
    asyncio.ensure_future(watch.run())
    answers = []
    callers = asyncio.ensure_future(
        offer(programs.entries, record, 20.0, time.monotonic() + TROUBLE_S, send_draft, answers))
    endless = {"answers": 0, "bytes": 0}

    async def spoil(method, path, writer):
        """Answers some requests of the agent with bytes that don't end until the caller closes."""
        if not path.startswith("/stage-") or random.random() >= SHARE:
            return False
        endless["answers"] += 1
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        try:
            while not writer.is_closing():
                writer.write(FILLER)
                endless["bytes"] += len(FILLER)
                await writer.drain()
        except OSError:
            pass
        return True

    if trouble:
        for runner in runners[:IN_TROUBLE]:
            runner.spoil_answers = spoil
    origin.newest = 2
    await store.put("keyed.op", "version/daka510000", {"model": "daka510000", "version": 2})
    await asyncio.sleep(SECOND_VERSION_AT_S)
    origin.newest = 3
    await store.put("keyed.op", "version/daka510000", {"model": "daka510000", "version": 3})
    await callers
    if not any(answer.status == 200 for answer in answers):
        raise CannotRun("nothing was served")
    often = [address for address, ends in watch.ends.items() if ends > MOST_ENDS]
    record("summary", served=sum(a.status == 200 for a in answers), answers=len(answers), endless_answers=endless["answers"],
           endless_mb=round(endless["bytes"] / 1e6), ends=list(watch.ends.values()),
           peak_mb=[round(peak, 1) for peak in watch.peak.values()])
    if len(often) >= 2:
        return (f"Fault: processes on {len(often)} machines of {RUNNERS + len(programs.entries)} went over "
                f"{MEMORY_MB['agent']} MB three times or more: {[watch.ends[address] for address in often]} ends")
    return ""


main(play, os.path.join(HERE, "record.txt"))
