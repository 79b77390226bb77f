#!/usr/bin/env python3
"""Measures what an entry and an agent hold for callers that send without end, stop within a request or read nothing.

One entry and one agent, each with the memory of a small VM and few descriptors. In each scenario a fixed number of
callers holds connections open:

`trailers`: chunked bodies with endless trailers. `ports`: the same to the other ports of both processes.
`stopped`: chunked bodies in large chunks that stop just short of the largest body. `tiny`: the same in chunks of one
byte. `unread`: answers that their callers do not read. `connections`: more connections than descriptors, each with an
unfinished head.

`largest` has no such callers: one chunked request of the largest allowed body is answered by an entry of 112 MB.

For each of the others: `peak`, the largest resident memory of a process, bounded by the memory of its VM; `descriptors`, the most that
a process had open; `ended`, processes that ended; `answered`, whether an ordinary request was answered while the callers
were still connected. Nothing is said about times or the share of requests that are served.
"""

import os
import socket
import struct
import sys
import threading
import time

from _common import Report, parse_arguments
from _hosted_fleet import (ADMIN_PORT, API_KEYS, CALLER_PORT, HOST, READY_PORT, RELAY_PORT, EngineModel, HostedEntries,
                           get_engine_address, make_plain_head)

MEMORY_MB, DESCRIPTORS = 48, 256
MAX_DESCRIPTORS = 224
LARGEST_MEMORY_MB, LARGEST_BODY_BYTES = 112, 4 * 1024 * 1024
CALLERS, CONNECTIONS = 64, 400
MAX_BODY_BYTES = 2 * 1024 * 1024
LARGE_CHUNK_BYTES = 64 * 1024
# A body of one-byte chunks takes six times as many bytes on the wire.
TINY_BODY_BYTES = 1024 * 1024 - 1
TRAILER_BYTES = 4 * 1024 * 1024
# Fits into the memory that one answer may take, an eighth of the VM's memory for twice the answer.
ANSWER_BYTES = 3 * 1024 * 1024
# Long enough that the callers of no scenario end by the time limit of a request.
LIMITS = {"max_body_bytes": MAX_BODY_BYTES, "header_timeout_ms": 60000, "idle_timeout_ms": 60000}
DEADLINE_MS = 5000
# Bounds a hang of the benchmark itself.
SOCKET_TIMEOUT_S = 20
MAX_READ_WAIT_S = 5
PORTS = {CALLER_PORT, READY_PORT, ADMIN_PORT, RELAY_PORT}
SAMPLE_S = 0.02
BYTES_PER_KB, BYTES_PER_MB = 1024, 1e6

CHUNKED_HEAD = (f"POST /confirm/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {API_KEYS[1]}\r\n"
                "Plantainmast-Attempt-Id: untrusted\r\nTransfer-Encoding: chunked\r\n\r\n").encode()
TRAILERS = b"0\r\n" + b"X-Trailer: " + b"x" * 1000 + b"\r\n"


class Caller(threading.Thread):
    """Sends parts until they end or the connection does, and keeps the connection open until it is told to close."""

    def __init__(self, address, port, parts, receive_bytes=None, reads_first_bytes=False):
        super().__init__(daemon=True)
        self.address, self.port, self.parts = address, port, parts
        self.receive_bytes, self.reads_first_bytes = receive_bytes, reads_first_bytes
        self.socket = socket.socket()

    def run(self):
        if self.receive_bytes is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes)
        self.socket.settimeout(SOCKET_TIMEOUT_S)
        try:
            self.socket.connect((self.address, self.port))
            for part in self.parts:
                self.socket.sendall(part)
            if self.reads_first_bytes:
                self.socket.recv(16)
        except OSError:
            pass

    def close(self):
        """Closes with a reset, as most such callers end."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


class DescriptorWatch(threading.Thread):
    """Samples the number of open descriptors of processes until it is stopped."""

    def __init__(self, processes):
        super().__init__(daemon=True)
        self.processes, self.peak, self.is_stopped = processes, 0, False

    def run(self):
        while not self.is_stopped:
            for process in self.processes:
                try:
                    self.peak = max(self.peak, len(os.listdir(f"/proc/{process.pid}/fd")))
                except OSError:
                    pass
            time.sleep(SAMPLE_S)


def read_peak_mb(process):
    """Returns the largest resident memory so far, or 0 if the process has ended."""
    try:
        with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * BYTES_PER_KB / BYTES_PER_MB
    except OSError:
        pass
    return 0.0


def has_unread_bytes(fleet):
    """Returns whether the kernel holds bytes for the fleet's processes that they have not read."""
    prefixes = {socket.inet_aton(address)[::-1].hex().upper()
                for address in (fleet.get_address(0), get_engine_address(fleet.octet, 0))}
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table.readlines()[1:]:
            fields = line.split()
            address, port = fields[1].split(":")
            if address in prefixes and int(port, 16) in PORTS and int(fields[4].split(":")[1], 16) > 0:
                return True
    return False


def wait_until_read(fleet):
    """Waits until the processes have read what was sent, so that it shows in their memory, or do not read it."""
    give_up_at = time.monotonic() + MAX_READ_WAIT_S
    while has_unread_bytes(fleet) and time.monotonic() < give_up_at:
        time.sleep(SAMPLE_S)


def make_body(total, chunk):
    """Returns a chunked request that stops one byte short of the last chunk of its body."""
    block = b"%x\r\n" % chunk + b"b" * chunk + b"\r\n"
    count = total // chunk
    group = max(1, LARGE_CHUNK_BYTES // len(block))
    return [CHUNKED_HEAD, *[block * group] * (count // group), block * (count % group), b"%x\r\n" % chunk]


def make_endless_trailers():
    head = CHUNKED_HEAD + b"1\r\nb\r\n" + TRAILERS
    filler = b"X-Trailer: " + b"x" * LARGE_CHUNK_BYTES + b"\r\n"
    return [head, *[filler] * (TRAILER_BYTES // len(filler))]


def run_side_by_side(callers):
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    return callers


def run_in_turn(callers):
    for caller in callers:
        caller.start()
        caller.join()
    return callers


def run_trailers(fleet):
    parts = make_endless_trailers()
    return run_side_by_side([Caller(fleet.get_address(0), CALLER_PORT, parts) for _ in range(CALLERS)])


def run_ports(fleet):
    entry, agent = fleet.get_address(0), get_engine_address(fleet.octet, 0)
    targets = [(entry, READY_PORT), (entry, ADMIN_PORT), (entry, RELAY_PORT), (agent, ADMIN_PORT), (agent, RELAY_PORT)]
    parts = make_endless_trailers()
    return run_side_by_side([Caller(*targets[i % len(targets)], parts) for i in range(CALLERS)])


def run_stopped(fleet):
    parts = make_body(MAX_BODY_BYTES - LARGE_CHUNK_BYTES, LARGE_CHUNK_BYTES)
    return run_side_by_side([Caller(fleet.get_address(0), CALLER_PORT, parts) for _ in range(CALLERS)])


def run_tiny(fleet):
    parts = make_body(TINY_BODY_BYTES, 1)
    return run_side_by_side([Caller(fleet.get_address(0), CALLER_PORT, parts) for _ in range(CALLERS)])


def run_unread(fleet):
    """One after the other, so that the memory for answers being received does not limit how many are held unread."""
    parts = [make_ordinary_request()]
    return run_in_turn([Caller(fleet.get_address(0), CALLER_PORT, parts, 4096, True) for _ in range(CALLERS)])


def run_connections(fleet):
    parts = [CHUNKED_HEAD[:-2]]
    return run_in_turn([Caller(fleet.get_address(0), CALLER_PORT, parts) for _ in range(CONNECTIONS)])


SCENARIOS = {"trailers": run_trailers, "ports": run_ports, "stopped": run_stopped, "tiny": run_tiny,
             "unread": run_unread, "connections": run_connections}


def make_ordinary_request():
    head = make_plain_head("GET", "/status/1", API_KEYS[0]).replace("Deadline-Ms: 600", f"Deadline-Ms: {DEADLINE_MS}")
    return f"{head}Plantainmast-Attempt-Id: ordinary\r\n\r\n".encode()


def is_answered(fleet):
    try:
        with socket.create_connection((fleet.get_address(0), CALLER_PORT), timeout=SOCKET_TIMEOUT_S) as sock:
            sock.sendall(make_ordinary_request())
            return b" 200 " in sock.recv(16)
    except OSError:
        return False


def measure(report, arguments, name, run):
    fleet = HostedEntries(arguments.build, arguments.seed, 1, MEMORY_MB, DESCRIPTORS)
    callers = []
    try:
        answer_bytes = ANSWER_BYTES if name == "unread" else 2
        model = EngineModel(answer_bytes=answer_bytes, plain_timeout_ms=DEADLINE_MS, caller_limits=LIMITS)
        fleet.start_standins(1, model)
        fleet.start_entries([0])
        fleet.start_agent(0)
        processes = [*fleet.processes.values(), *fleet.agents.values()]
        watch = DescriptorWatch(processes)
        watch.start()
        callers = run(fleet)
        wait_until_read(fleet)
        answered = is_answered(fleet)
        watch.is_stopped = True
        watch.join()
        ended = sum(process.poll() is not None for process in processes)
        count = len(callers)
        peak = max(read_peak_mb(process) for process in processes)
        report.add(f"{name}_peak", round(peak, 1), "MB", count, MEMORY_MB, seed=arguments.seed)
        report.add(f"{name}_descriptors", watch.peak, "descriptors", count, MAX_DESCRIPTORS)
        report.add(f"{name}_ended", ended, "processes", count, 0)
        report.add(f"{name}_answered", int(answered), "requests", count, 1, "higher")
    finally:
        for caller in callers:
            caller.close()
        fleet.stop()


def measure_largest(report, arguments):
    """Guards against limits that refuse a lone request within the operators' limits."""
    fleet = HostedEntries(arguments.build, arguments.seed, 1, LARGEST_MEMORY_MB, DESCRIPTORS)
    try:
        limits = {**LIMITS, "max_body_bytes": LARGEST_BODY_BYTES}
        fleet.start_standins(1, EngineModel(plain_timeout_ms=DEADLINE_MS, caller_limits=limits))
        fleet.start_entries([0])
        chunk = b"%x\r\n" % LARGE_CHUNK_BYTES + b"b" * LARGE_CHUNK_BYTES + b"\r\n"
        body = chunk * (LARGEST_BODY_BYTES // LARGE_CHUNK_BYTES) + b"0\r\n\r\n"
        with socket.create_connection((fleet.get_address(0), CALLER_PORT), timeout=SOCKET_TIMEOUT_S) as sock:
            sock.sendall(CHUNKED_HEAD + body)
            status = sock.recv(12)
        report.add("largest_answered", int(status.endswith(b"200")), "requests", 1, 1, "higher", status=status.decode())
    finally:
        fleet.stop()


def main():
    arguments = parse_arguments(__doc__)
    report = Report("untrusted_callers")
    for name, run in SCENARIOS.items():
        measure(report, arguments, name, run)
    measure_largest(report, arguments)
    return 0 if report.is_ok else 1


if __name__ == "__main__":
    sys.exit(main())
