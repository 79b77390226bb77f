"""Starts a fleet of processes with the control services only and reads their metrics.

The link stand-in is not used: every VM has one address 127.A.Z.I, and a process that is to be cut off from the log is
configured with a log address at which nothing listens.
"""

import concurrent.futures
import datetime
import hashlib
import http.client
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
import fleet as fleet_lib  # noqa: E402

LOG_PORT, VMS_PORT, ADMIN_PORT = fleet_lib.LOG_PORT, fleet_lib.VMS_PORT, fleet_lib.ADMIN_PORT
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def seed():
    return int(os.environ.get("SEED", "20261204"))


def report(bench, metric, n, value, unit, bound, better, seed_value):
    """Prints one result as a JSON line and returns whether it meets its bound."""
    ok = value is not None and (value <= bound if better == "lower" else value >= bound)
    line = {"bench": bench, "metric": metric, "n": n, "value": value, "unit": unit, "bound": bound, "better": better,
            "pass": bool(ok), "seed": seed_value}
    print(json.dumps(line), flush=True)
    return ok


def note(bench, metric, n, value, unit, seed_value):
    """Prints a result without a bound."""
    print(json.dumps({"bench": bench, "metric": metric, "n": n, "value": value, "unit": unit, "bound": None,
                      "better": None, "pass": True, "seed": seed_value}), flush=True)


def percentile(values, share):
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else None


def make_document(zones, comment=""):
    """Returns a typical configuration document. The comment makes each document different."""
    digest = [hashlib.sha256(str(i).encode()).hexdigest() for i in range(3)]
    lines = ["schema: 1", "deployment: bench", "origin:", f"  zone: {zones[0]}", "zones:"]
    for zone in zones:
        lines += [f"  - name: {zone}", f"    region: r-{zone}", "    service: in"]
    lines += ["models:", "  - name: drafting", "    versions:", "      - name: v1", f"        manifest: {digest[0]}",
              "        bytes: 1048576", "    adapters:", "      - name: style", "        versions:",
              "          - name: v1", f"            manifest: {digest[1]}", "            bytes: 65536"]
    lines += ["placements:", "  - pool: runners", "    model: drafting", "    version: v1", "    adapters:",
              "      - name: style", "        version: v1"]
    lines += ["workspaces:"]
    for i in range(10):
        lines += [f"  - name: w{i}", "    requests_per_s: 100", "    concurrency: 50", "    tokens_per_s: 5000"]
    lines += [f"# {comment}"]
    return "\n".join(lines) + "\n"


def varint(value):
    out = bytearray()
    while value > 0x7F:
        out.append((value & 0x7F) | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def field(number, data):
    """Encodes a length-delimited protobuf field."""
    return varint(number << 3 | 2) + varint(len(data)) + data


def make_publish(publish_id, base_version, document):
    """Encodes a ConfigRecord with a Publish as defined in src/proto/record.proto."""
    body = field(1, publish_id.encode()) + varint(2 << 3) + varint(base_version) + field(3, b"bench")
    body += field(4, document.encode())
    return field(1, body)


class Node:
    """One control-only process."""

    def __init__(self, name, role, zone, address):
        self.name, self.role, self.zone, self.address = name, role, zone, address
        self.process = None
        self.connection = None

    def get(self, path, timeout=5.0):
        """Returns the body of a GET on the admin port over a persistent connection, or None."""
        for _ in range(2):
            try:
                if self.connection is None:
                    self.connection = http.client.HTTPConnection(self.address, ADMIN_PORT, timeout=timeout)
                self.connection.request("GET", path)
                return self.connection.getresponse().read().decode()
            except (OSError, http.client.HTTPException):
                self.connection = None
        return None

    def status(self):
        body = self.get("/status")
        return json.loads(body) if body else {}

    def metrics(self):
        return parse_metrics(self.get("/metrics") or "")

    def cpu_seconds(self):
        with open(f"/proc/{self.process.pid}/stat", encoding="ascii") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def rss_bytes(self):
        with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as statm:
            return int(statm.read().split()[1]) * PAGE_BYTES


def parse_metrics(text):
    """Returns {name{labels}: value}."""
    values = {}
    for line in text.splitlines():
        match = re.match(r"([a-z_]+(?:\{[^}]*\})?) ([-+0-9.eE]+|NaN|\+Inf)", line)
        if match:
            values[match.group(1)] = float(match.group(2))
    return values


class ControlFleet:
    """A log, a VM list and control-only processes. Use as a context manager."""

    def __init__(self, build, zones, entries, agents, seed_value, settings=None, log=None, cut=0.0, padding=()):
        self.build = os.path.abspath(build)
        self.zones = zones
        self.settings = settings or {}
        self.log_options = log or []
        # Additional rows of the VM list without a process, which bring it to the size of a large fleet.
        self.padding = list(padding)
        self.octet, self._holder = fleet_lib.claim_octet()
        self.dir = tempfile.mkdtemp(prefix="plantainmast-control-")
        self.platform = f"127.{self.octet}.200.1"
        self.unreachable_address = f"127.{self.octet}.200.2"
        self.processes = []
        self.nodes = []
        self.version = 0
        self.seed = seed_value
        counts = [0] * len(zones)
        for i in range(entries + agents):
            zone = i % len(zones)
            counts[zone] += 1
            role = "entry" if i < entries else "agent"
            self.nodes.append(Node(f"{zones[zone]}-{role}-{counts[zone]}", role, zone,
                                   f"127.{self.octet}.{zone}.{counts[zone]}"))
        # Every k-th process is cut off from the log, entries as well as agents.
        self.cut = {node.name for i, node in enumerate(self.nodes) if cut > 0 and i % round(1 / cut) == 0}

    def __enter__(self):
        self.spawn("log", ["standin-log", "--address", self.platform, "--port", str(LOG_PORT)] + self.log_options)
        path = self.write("vms.json", json.dumps({"vms": self.vm_list()}))
        self.spawn("vms", ["standin-vms", "--address", self.platform, "--port", str(VMS_PORT), "--file", path])
        fleet_lib.wait_until(lambda: fleet_lib.get_json(self.platform, VMS_PORT, "/vms?zone=x") is not None, 10,
                             "the VM list")
        return self

    def __exit__(self, *unused):
        running = [p for p in self.processes if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGTERM)
        end = time.monotonic() + 10
        for process in running:
            try:
                process.wait(max(0.1, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self._holder.close()

    def write(self, name, text):
        path = os.path.join(self.dir, name)
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        return path

    def spawn(self, name, command):
        log = open(os.path.join(self.dir, name + ".log"), "ab")
        process = subprocess.Popen([os.path.join(self.build, command[0])] + command[1:], stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def vm_list(self):
        return self.padding + [
            {"id": n.name, "zone": self.zones[n.zone], "region": "r-" + self.zones[n.zone],
             "kind": "entry" if n.role == "entry" else "endpoint", "pool": "" if n.role == "entry" else "runners",
             "address": n.address, "state": "live"} for n in self.nodes]

    def start(self, node):
        seeds = [n.address for n in self.nodes if n.role == "entry" and n is not node][:4]
        values = {"vm.id": node.name, "vm.zone": self.zones[node.zone], "vm.address": node.address,
                  "log.level": "warn", "peer.seeds": seeds, "peer.key": "bench-key",
                  "platform.log_address": self.unreachable_address if node.name in self.cut else self.platform,
                  "platform.vms_address": self.platform}
        if node.role == "agent":
            values.update({"vm.pool": "runners", "engine.address": node.address,
                           "platform.origin_address": self.platform})
        values.update(self.settings)
        nested = {}
        for name, value in values.items():
            group, key = name.split(".")
            nested.setdefault(group, {})[key] = value
        path = self.write(node.name + ".yaml", json.dumps(nested))
        node.process = self.spawn(node.name, ["bench-control-node", node.role, "--settings", path])

    def start_all(self):
        for i, node in enumerate(self.nodes):
            self.start(node)
            if i % 20 == 19:
                time.sleep(0.1)

    def publish(self, comment):
        """Publishes one document and returns its version and the wall time before the append."""
        document = make_document(self.zones, comment)
        record = make_publish(hashlib.md5(f"{self.seed} {comment}".encode()).hexdigest(), self.version, document)
        published_at = time.time()
        status, _ = fleet_lib.request(self.platform, LOG_PORT, "POST", "/streams/config/records", record)
        if status != 200:
            raise RuntimeError(f"append: {status}")
        self.version += 1
        return self.version, published_at

    def adoptions(self):
        """Returns {node name: [(version, wall time)]} from the event logs, in the order of the events."""
        pattern = re.compile(r"time=(\S+)Z .*event=config_adopted version=(\d+)")
        result = {}
        for node in self.nodes:
            with open(os.path.join(self.dir, node.name + ".log"), encoding="utf-8") as log:
                found = [pattern.search(line) for line in log]
            result[node.name] = [(int(m.group(2)), datetime.datetime.fromisoformat(m.group(1) + "+00:00").timestamp())
                                 for m in found if m]
        return result

    def for_all(self, call, nodes=None, workers=8):
        with concurrent.futures.ThreadPoolExecutor(workers) as pool:
            return list(pool.map(call, self.nodes if nodes is None else nodes))

    def count_in_force(self, version, nodes=None):
        return sum(s.get("config_version", 0) >= version for s in self.for_all(Node.status, nodes))

    def wait_in_force(self, version, timeout):
        fleet_lib.wait_until(lambda: self.count_in_force(version) == len(self.nodes), timeout,
                             f"version {version} everywhere", 0.1)
