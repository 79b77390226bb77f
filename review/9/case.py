"""A part of a prompt crashes each runner that has written the first event of an answer on it."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import deployment as d  # noqa: E402

BAD_PART, FIRST_PARTS = "5c1e07a2", ["91bd3f06", "e4402b7d", "07aa51c3"]
RUNNERS, EVENTS, EVENT_GAP_S, PREFILL_S, RESTART_S = 14, 12, 0.05, 0.05, 3.0
# Events of an answer that the runner has sent whole when the part crashes it.
EVENTS_BEFORE_CRASH = int(os.environ.get("EVENTS_BEFORE_CRASH", "1"))
SOUND_PER_S, BAD_PER_S, LOAD_S = 15.0, 1.0, 30.0


class Engine(d.Runner):
    """A model runner. One part of a prompt crashes it when it begins to write the answer."""

    has_trouble = True

    async def restart(self, old_id):
        await asyncio.sleep(RESTART_S)
        await self.start()
        await asyncio.sleep(max(0.0, 3 * d.HEARTBEAT_S - RESTART_S))
        await self.deployment.store.put("keyed.servers", old_id, None)

    async def run(self, method, path, fields, body, prefix, writer):
        attempt, id_at_start = fields.get("plantainmast-attempt-id", ""), self.id
        parts = [part.split(":")[0] for part in fields.get("plantainmast-prefix-hash", "").split(",")]
        is_bad = BAD_PART in parts[:-1]
        arrived_at = time.monotonic()
        self.deployment.write(f"{self.name} gets attempt {attempt}{f' with the part {BAD_PART}' if is_bad else ''}, "
                              f"Last-Event-Id {fields.get('last-event-id')}")
        if is_bad:
            self.deployment.bad_arrivals.append(arrived_at)
        else:
            self.deployment.sound_arrivals += 1
        await asyncio.sleep(PREFILL_S)
        if self.id != id_at_start or self.server is None:
            raise ConnectionResetError
        writer.write((f"HTTP/1.1 200 OK\r\n{prefix}Plantainmast-Server-Stamp: s-{attempt}\r\n"
                      "Plantainmast-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n").encode())
        first = int(fields.get("last-event-id", -1)) + 1
        for number in range(first, EVENTS):
            if is_bad and self.has_trouble and number - first == EVENTS_BEFORE_CRASH:
                await writer.drain()
                await asyncio.sleep(0.005)
                if self.server is not None and self.id == id_at_start:
                    self.deployment.crashes.append(time.monotonic())
                    self.deployment.write(f"{self.name} {self.id} crashes at attempt {attempt}, crash number "
                                          f"{len(self.deployment.crashes)}")
                    self.crash()
                    asyncio.ensure_future(self.restart(id_at_start))
                raise ConnectionResetError
            event = f"id: {number}\ndata: token\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
            if self.id != id_at_start or self.server is None:
                raise ConnectionResetError
        writer.write(b"0\r\n\r\n")


async def offer(deployment, name, per_s, is_bad):
    """Sends requests at a mean rate, each to a random entry on a new channel and with parts of its own."""
    end = time.monotonic() + LOAD_S
    calls, number = [], 0
    while time.monotonic() < end:
        calls.append(asyncio.ensure_future(call(deployment, f"{name}-{number}", is_bad)))
        number += 1
        await asyncio.sleep(random.expovariate(per_s))
    await asyncio.wait(calls, timeout=8)
    answers = [task.result() for task in calls if task.done() and not task.exception()]
    complete = sum(1 for answer in answers if answer.is_complete and answer.status == 200)
    deployment.write(f"{name}: {number} requests sent, {complete} whole answers")


async def call(deployment, attempt, is_bad):
    entry = random.randrange(deployment.entry_count)
    parts = [random.choice(FIRST_PARTS), *([BAD_PART] if is_bad else []), f"{random.getrandbits(32):08x}"]
    prefix = ",".join(f"{part}:{300 if i else 40}" for i, part in enumerate(parts))
    fields = {"X-Api-Key": d.API_KEY, "Plantainmast-Deadline-Ms": "6000", "Plantainmast-Model": d.MODEL,
              "Plantainmast-Token-Usage": "900,100", "Plantainmast-Prefix-Hash": prefix, "Connection": "close"}
    channel = d.Channel(deployment, entry)
    try:
        await channel.open()
        answer = await channel.call("POST", f"/lepu270/{attempt}", attempt, fields, b"{}", 7.0)
    except (OSError, asyncio.TimeoutError):
        answer = d.Answer()
    channel.close()
    deployment.write(f"caller of {attempt} at entry {entry}: status {answer.status}, complete {answer.is_complete}")
    return answer


async def play(deployment, has_trouble):
    deployment.bad_arrivals, deployment.crashes, deployment.sound_arrivals = [], [], 0
    Engine.has_trouble = has_trouble
    routes = [d.make_route("r-draft", "/lepu270/", "huvo11a", "stream")]
    await deployment.store.put("keyed.op", "config", d.make_config(7, routes, [d.ENGINES]))
    for number in range(RUNNERS):
        await Engine(deployment, "huvo11a", list(d.ZONES)[number % 3], number, 16).start()
    await deployment.start_entries()
    await asyncio.sleep(d.BOUNDS["stable_window_ms"] / 1000 + 0.5)
    await asyncio.gather(offer(deployment, "sound", SOUND_PER_S, False), offer(deployment, "bad", BAD_PER_S, True))

    crashes = deployment.crashes
    deployment.write(f"crashes: {len(crashes)}, requests with the part at runners: {len(deployment.bad_arrivals)}, "
                     f"sound requests at runners: {deployment.sound_arrivals}")
    if len(crashes) < 5:
        if has_trouble:
            raise RuntimeError("fewer than five crashes")
        return False
    # A request is on its way for less than 0.1 s here.
    from_at = crashes[4] + d.BOUNDS["stable_window_ms"] / 1000 + 0.1
    late = [at for at in deployment.bad_arrivals if at > from_at]
    deployment.write(f"fifth crash at {crashes[4] - deployment.began_at:.3f}; requests with the part that reached "
                     f"runners later than stable_window_ms after it: {len(late)} (3 are allowed)")
    return len(late) > 3


d.main(os.path.join(FOLDER, "record.txt"), play)
