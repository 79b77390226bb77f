"""A runner fails streams that may not be resumed with its own 503 after it has begun them. REFUSED is checked."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standins"))
from stand_ins import (CannotRun, Origin, REGISTER, Runner, SEAL, Store, Weights, ZONES, main, make_answer,  # noqa: E402
                       make_config, make_route, offer, send, wait_ready)

# Without `resumable`: such a request must be treated as non_idempotent.
LETTER = make_route("r-letter", "/lepu270/", "stream", REGISTER, 6000, 400, 1, max_gap_ms=300)
# Share of its requests that the runner in trouble fails, which is one of three (`srv_grey`: x 0.4).
FAILING_SHARE = 0.4
LETTERS_PER_S, SEALS_PER_S = 80.0, 20.0
LOAD_S = 20.0
PROMISES = (408, 421, 429, 503)


class Register(Runner):
    """A plain runner of streams and of single answers. In trouble it fails some of them after it has begun."""

    is_in_trouble = False

    async def answer(self, method, target, fields, body, writer):
        if target == "/healthz":
            writer.write(make_answer(200, Plantainmast_Instance_Id=self.id))
            return True
        refusal = self.refuse(fields)
        if refusal is not None:
            writer.write(refusal)
            return True
        request = fields["plantainmast-attempt-id"]
        self.active += 1
        try:
            self.note_run(fields, path=target)
            await asyncio.sleep(0.03)
            if self.is_in_trouble and random.random() < FAILING_SHARE:
                # The runner has worked on the request, so it doesn't say Plantainmast-Not-Executed.
                self.record("failed", runner=self.address, request=request, status=503)
                writer.write(make_answer(503, b"failed in the middle", Plantainmast_Attempt_Id=request,
                                         Plantainmast_Server_Stamp=self.make_stamp()))
                return True
            if not target.startswith("/lepu270/"):
                writer.write(make_answer(200, b"sealed", Plantainmast_Attempt_Id=request,
                                         Plantainmast_Server_Stamp=self.make_stamp()))
                return True
            writer.write((f"HTTP/1.1 200 OK\r\nPlantainmast-Attempt-Id: {request}\r\n"
                          f"Plantainmast-Server-Stamp: {self.make_stamp()}\r\nContent-Type: text/event-stream\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n").encode())
            for number in range(1, 5):
                event = f"id: {number}\ndata: line\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(0.02)
            writer.write(b"0\r\n\r\n")
            return True
        finally:
            self.active -= 1


async def send_letter(address, record):
    return await send(address, record, "POST", "/lepu270/2f", 6000, b"{}")


async def send_seal(address, record):
    return await send(address, record, "POST", "/filo73/de11/2f", 1000, b"{}")


async def play(trouble, record, octet, programs):
    store = Store(octet, record)
    await store.listen()
    await Origin(octet, Weights(), record).listen()
    await store.put("keyed.op", "config", make_config(octet, [LETTER, SEAL]))
    runners = [Register(f"127.{octet}.3.{number}", REGISTER, ZONES[number - 1], store, record, 6) for number in (1, 2, 3)]
    for runner in runners:
        await runner.start()
    runners[0].is_in_trouble = trouble
    for entry, zone in zip(programs.entries[:2], ZONES):
        programs.start("entry", entry, zone)
    await wait_ready(programs.entries[:2])
    await asyncio.sleep(1.0)
    letters, seals, until = [], [], time.monotonic() + LOAD_S
    await asyncio.gather(offer(programs.entries[:2], record, LETTERS_PER_S, until, send_letter, letters),
                         offer(programs.entries[:2], record, SEALS_PER_S, until, send_seal, seals))
    ran = {request for runner in runners for _, request, _ in runner.runs}
    if sum(answer.status == 200 for answer in letters) < 20:
        raise CannotRun("too few requests were served")
    broken = [answer for answer in letters + seals if answer.status in PROMISES and answer.request in ran]
    by_kind = [sum(answer.status in PROMISES and answer.request in ran for answer in kind) for kind in (letters, seals)]
    record("summary", letters=len(letters), seals=len(seals), ran=len(ran), refused_streams_that_ran=by_kind[0],
           refused_seals_that_ran=by_kind[1])
    if broken:
        return (f"REFUSED: {len(broken)} requests that may run once at most were answered {broken[0].status} and had run "
                f"(first: {broken[0].request}); streams {by_kind[0]}, others {by_kind[1]}")
    return ""


main(play, os.path.join(HERE, "record.txt"))
