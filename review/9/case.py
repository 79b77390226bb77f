"""All channels to the store go silent between two changes of the config; new channels work."""

import asyncio
import dataclasses
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins-2"))
import deployment as d  # noqa: E402

OLD, NEW = "wuno96b", "kuno11c"
# Key that the second change takes away.
DROPPED_KEY = "bvk9m68k7b2ex5wa5xwy"
# Times from the ack of the first change.
SILENCE_AT_S, SECOND_CHANGE_AT_S, END_AT_S = 0.1, 0.4, 7.0
SEND_PERIOD_S = 0.05


class Reader(d.Runner):
    """A sound runner whose answers name its service."""

    async def run(self, method, path, fields, body, prefix, writer):
        attempt = fields.get("plantainmast-attempt-id", "")
        self.deployment.write(f"{self.name} of service {self.service} runs attempt {attempt}")
        await asyncio.sleep(0.01)
        writer.write(f"HTTP/1.1 200 OK\r\n{prefix}Plantainmast-Server-Stamp: {self.service}\r\n"
                     "Content-Length: 2\r\n\r\nok".encode())


def make_config(version, service, has_idle_route, has_key=True):
    routes = [d.make_route("r-read", "/boye614/", service, "idempotent")]
    if has_idle_route:
        routes.append(d.make_route("r-idle", "/idle8/", OLD, "idempotent"))
    config = d.make_config(version, routes, [{**d.REGISTER, "name": name} for name in (OLD, NEW)])
    if has_key:
        config["tenants"].append({"name": "tenant-2", "api_keys": [DROPPED_KEY], "priority": 1, "allowed_regions": []})
    return config


@dataclasses.dataclass
class Sent:
    """One request and what came of it. `ran_by` is the service that ran it, or empty."""

    at: float
    entry: int
    key: str
    status: int
    ran_by: str

    def is_stale(self):
        """Whether only a config older than the second change allows what came of it."""
        return self.ran_by == OLD or (self.key == DROPPED_KEY and self.status == 200)


async def offer(deployment, entry, key, begin, sent):
    """Sends requests with one key to one entry at a fixed rate."""
    fields = {"X-Api-Key": key, "Plantainmast-Deadline-Ms": "1000"}
    channel = d.Channel(deployment, entry)
    await channel.open()
    number = 0
    while time.monotonic() < begin + END_AT_S:
        attempt = f"e{entry}-{key[:3]}-{number}"
        sent_at = time.monotonic()
        answer = await channel.call("GET", "/boye614/x", attempt, fields)
        ran_by = answer.fields.get("plantainmast-server-stamp", "")
        sent.append(Sent(sent_at, entry, key, answer.status, ran_by))
        deployment.write(f"entry {entry} attempt {attempt} sent at {sent_at - deployment.began_at:.3f}: "
                         f"status {answer.status}, service {ran_by or 'none'}")
        if answer.status == 0 or answer.fields.get("connection") == "close":
            channel.close()
            await channel.open()
        number += 1
        await asyncio.sleep(SEND_PERIOD_S)
    channel.close()


async def play(deployment, has_trouble):
    proxy = d.StoreProxy(deployment)
    await proxy.start()
    await deployment.store.put("keyed.op", "config", make_config(7, OLD, False))
    for number in range(6):
        await Reader(deployment, OLD if number < 3 else NEW, list(d.ZONES)[number % 3], number, 6).start()
    for number in range(deployment.entry_count):
        deployment.start_entry(number, f"{proxy.address}:{d.STORE_PORT}")
    for number in range(deployment.entry_count):
        await deployment.wait_ready(number)
    await asyncio.sleep(d.BOUNDS["stable_window_ms"] / 1000 + 1)

    begin = await deployment.store.put("keyed.op", "config", make_config(8, OLD, True))
    deployment.write("ack of config 8, which adds a route")
    sent = []
    offers = [asyncio.ensure_future(offer(deployment, entry, key, begin, sent))
              for entry in range(deployment.entry_count) for key in (d.API_KEY, DROPPED_KEY)]
    await asyncio.sleep(begin + SILENCE_AT_S - time.monotonic())
    silent_at = time.monotonic()
    if has_trouble:
        deployment.write(f"{proxy.silence()} channels between entries and store go silent")
    await asyncio.sleep(begin + SECOND_CHANGE_AT_S - time.monotonic())
    acked_at = await deployment.store.put("keyed.op", "config", make_config(9, NEW, True, has_key=False))
    deployment.write(f"ack of config 9, which moves the route from service {OLD} to {NEW} and drops a key")
    await asyncio.gather(*offers)

    # Machines are in touch again from here on, and the change has to be in force.
    due_at = max(acked_at + d.BOUNDS["config_ms"] / 1000, silent_at + d.BOUNDS["stable_window_ms"] / 1000)
    late = [request for request in sent if request.at > due_at]
    stale = [request for request in late if request.is_stale()]
    dropped = [request for request in stale if request.key == DROPPED_KEY]
    deployment.write(f"due at {due_at - deployment.began_at:.3f}; sent later: {len(late)}, of them handled as only an "
                     f"older version allows: {len(stale)}, {len(dropped)} of these with the key that was dropped")
    for entry in range(deployment.entry_count):
        times = [request.at - due_at for request in stale if request.entry == entry]
        deployment.write(f"entry {entry}: {len(times)} stale, the last sent {max(times, default=0):.3f} s after the "
                         "bound")
    if not any(request.ran_by == NEW for request in late):
        raise RuntimeError("the second change never came into force")
    return bool(stale)


d.main(FOLDER, play)
