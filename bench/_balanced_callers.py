"""Callers behind a balancer, as on the hosted platform.

The balancer asks each entry once a second whether it is ready, takes one out after two misses, and uses all entries of a
zone if under half of them are in rotation. So connections keep coming to entries that stop. Half of the requests use kept
connections; half of their callers go on using one after the entry has said that it closes it.
"""

import asyncio
import collections
import time

from _hosted_fleet import (CALLER_PORT, READY_PORT, ZONES, Answer, Callers, make_plain_head, make_prompt_head, read_head)

ANSWER_TIMEOUT_S, CONNECT_TIMEOUT_S = 7.0, 1.0
READY_PERIOD_S, MISSES = 1.0, 2
MAX_KEPT = 8


class BalancedCallers(Callers):
    """Callers behind a balancer. The entry of a flow names the zone: the one that the entry is in."""

    answer_type = Answer

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.misses = [0] * len(self.addresses)
        self.kept = collections.defaultdict(list)

    async def run(self, pipe):
        tasks = [asyncio.ensure_future(self.watch(entry)) for entry in range(len(self.addresses))]
        await super().run(pipe)
        for task in tasks:
            task.cancel()

    async def watch(self, entry):
        while True:
            self.misses[entry] = 0 if await self.is_ready(entry) else self.misses[entry] + 1
            await asyncio.sleep(READY_PERIOD_S)

    async def is_ready(self, entry):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.addresses[entry], READY_PORT), CONNECT_TIMEOUT_S)
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), CONNECT_TIMEOUT_S)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    def pick_entry(self, zone):
        """Returns the entry to which the balancer forwards a new connection from a zone."""
        entries = [i for i in range(len(self.addresses)) if i % len(ZONES) == zone]
        ready = [i for i in entries if self.misses[i] < MISSES]
        return self.random.choice(entries if 2 * len(ready) < len(entries) else ready)

    async def call(self, flow, entry):
        own = f"{self.random.getrandbits(32):08x}"
        if flow.plain:
            method, path, key = self.random.choice(flow.plain)
            head = make_plain_head(method, path.format(own), key)
        else:
            head = make_prompt_head(own, [own])
        for _ in range(2):
            answer = await self.send_kept(flow, entry % len(ZONES), head)
            self.answers.append(answer)
            is_repeatable = answer.status in (429, 503) or not head.startswith("POST /confirm")
            if answer.is_complete or not is_repeatable:
                return
            await asyncio.sleep(min(1.5, float(answer.retry_after or 0.05)))

    async def send_kept(self, flow, zone, head):
        """Sends a request on a kept connection or on a new one, and keeps the connection."""
        is_stubborn = self.random.random() < 0.5
        kept = self.kept[zone]
        connection = kept.pop(0) if kept and self.random.random() < 0.5 else None
        self.number += 1
        answer = self.answer_type(time.monotonic(), connection[2] if connection else self.pick_entry(zone),
                                  f"{flow.name}-{self.number}", [], 0, False, None, 0, "", "",
                                  head.split(" ")[1])
        try:
            if connection is None:
                streams = await asyncio.wait_for(
                    asyncio.open_connection(self.addresses[answer.entry], CALLER_PORT), CONNECT_TIMEOUT_S)
                connection = (*streams, answer.entry)
                answer.sent_at = time.monotonic()
            reader, writer, _ = connection
            writer.write((f"{head}Plantainmast-Attempt-Id: {answer.request}\r\nContent-Length: 2\r\n\r\n{{}}").encode())
            fields = await asyncio.wait_for(self.read_answer(reader, answer), ANSWER_TIMEOUT_S)
            is_closing = fields is None or fields.get("connection", "").lower() == "close"
            if fields is not None and len(kept) < MAX_KEPT and (is_stubborn or not is_closing):
                kept.append(connection)
            else:
                writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            answer.error = type(error).__name__
            if connection is not None:
                connection[1].close()
        answer.total_s = time.monotonic() - answer.sent_at
        return answer
