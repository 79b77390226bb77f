"""Starts a fleet of real processes on loopback for the demo and the benchmarks.

Every VM is one address of 127.0.0.0/8, so all VMs use the same ports. A fleet takes one second octet (127.A.*.*) that
no other fleet on this machine uses:

    127.A.Z.I        VM number I of zone Z, as its own zone sees it
    127.A.(100+10Y+Z).I  the same VM as zone Y sees it, through the link stand-in
    127.A.200.1      the platform (log, origin, VM list), in the zone of the origin
    127.A.(201+Y).1  the platform as zone Y sees it, through the link stand-in
"""

import ctypes
import dataclasses
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

LOG_PORT, ORIGIN_PORT, VMS_PORT, LINK_PORT, ENGINE_PORT = 9100, 9200, 9300, 9400, 9000
CALLER_PORT, ADMIN_PORT, PEER_PORT, ATTEMPT_PORT, TRANSFER_PORT = 8080, 8081, 7400, 7401, 7402
MIB = 1024 * 1024
PR_SET_PDEATHSIG = 1


@dataclasses.dataclass
class Deployment:
    """Zones, regions and pools of one user of the system."""

    name: str
    zones: list
    regions: list
    model: str
    model_pool: str
    service: str
    service_pool: str
    once_call: str
    catalogue: str
    catalogue_pool: str
    zone_delay_ms: float
    region_delay_ms: float


USTAV = Deployment("ustav", ["praha", "brno", "ostrava"], ["cechy", "morava", "morava"], "drafting", "drafting",
                   "register", "register", "seal", "portal", "portal", 0.5, 1.0)
ATLAS = Deployment("atlas-sol", ["casablanca", "fes", "agadir"], ["coast", "inland", "south"], "assistant",
                   "assistant", "orders", "orders", "confirm", "catalogue", "catalogue", 1.0, 2.0)
DEPLOYMENTS = {d.name: d for d in (USTAV, ATLAS)}


@dataclasses.dataclass
class Vm:
    """One VM and the processes that run on it."""

    id: str
    zone: int
    kind: str
    pool: str
    address: str
    index: int
    state: str = "live"
    product: subprocess.Popen = None
    engine: subprocess.Popen = None


def request(address, port, method, path, body=None, timeout=5.0):
    """Sends one HTTP request and returns (status, body bytes)."""
    connection = http.client.HTTPConnection(address, port, timeout=timeout)
    try:
        connection.request(method, path, body)
        answer = connection.getresponse()
        return answer.status, answer.read()
    finally:
        connection.close()


def get_json(address, port, path, timeout=5.0):
    """Returns the JSON body of a GET, or None if the server does not answer."""
    try:
        status, body = request(address, port, "GET", path, timeout=timeout)
    except (OSError, http.client.HTTPException):
        return None
    if status != 200:
        return None
    return json.loads(body)


def wait_until(check, timeout, what, interval=0.05):
    """Polls until check() is true; raises TimeoutError naming what was awaited."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if check():
            return
        time.sleep(interval)
    raise TimeoutError(f"waited {timeout} s for {what}")


def die_with_parent():
    """Has the kernel kill this child when the script dies, so that no fleet outlives its script."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def claim_octet():
    """Reserves a second octet by holding a listening socket in it."""
    start = os.getpid() % 200
    for i in range(200):
        octet = 20 + (start + i) % 200
        holder = socket.socket()
        try:
            holder.bind((f"127.{octet}.255.254", 9999))
            holder.listen(1)
        except OSError:
            holder.close()
            continue
        # The servers share ports (SO_REUSEPORT), so a block with left-over processes would mix two fleets.
        if get_json(f"127.{octet}.200.1", VMS_PORT, "/vms", timeout=0.5) is None:
            return octet, holder
        holder.close()
    raise RuntimeError("no free loopback block")


class Fleet:
    """A platform, entries and endpoints. Use as a context manager; everything is ended on exit."""

    def __init__(self, build, deployment=USTAV, seed=1, entries=4, models=15, services=3, catalogues=1, link=True,
                 link_rate=2_500_000, weights=None, origin_rate=0, engine=None, service=None, agent=None, entry=None,
                 log=None, log_level="info"):
        self.build = os.path.abspath(build)
        self.deployment = deployment
        self.seed = seed
        self.use_link = link
        self.link_rate = link_rate
        self.weights = weights or [(deployment.model, "", "v1", 4 * MIB, 64 * 1024, 1),
                                   (deployment.model, "", "v2", 4 * MIB, 64 * 1024, 2)]
        self.origin_rate = origin_rate
        self.engine_options = engine or {}
        self.service_options = service or {}
        self.agent_settings = agent or {}
        self.entry_settings = entry or {}
        self.log_options = log or {}
        self.log_level = log_level
        self.octet, self._holder = claim_octet()
        self.dir = tempfile.mkdtemp(prefix="plantainmast-")
        self.vms = []
        self.platform = {}
        self.catalog = {}
        self.document_version = 0
        self._counts = [0] * len(deployment.zones)
        for i in range(entries):
            self.add_vm("entry", "entry", i % len(deployment.zones))
        for i in range(models):
            self.add_vm("endpoint", deployment.model_pool, i % len(deployment.zones))
        for i in range(services):
            self.add_vm("endpoint", deployment.service_pool, i % len(deployment.zones))
        for i in range(catalogues):
            self.add_vm("endpoint", deployment.catalogue_pool, i % len(deployment.zones))

    # Addresses.

    def seen_address(self, vm, zone):
        """Address of a VM as one zone sees it."""
        if vm.zone == zone or not self.use_link:
            return vm.address
        return f"127.{self.octet}.{100 + 10 * zone + vm.zone}.{vm.index}"

    def platform_address(self, zone=0):
        if zone == 0 or not self.use_link:
            return f"127.{self.octet}.200.1"
        return f"127.{self.octet}.{201 + zone}.1"

    # VMs.

    def add_vm(self, kind, pool, zone):
        self._counts[zone] += 1
        index = self._counts[zone]
        vm = Vm(f"{self.deployment.zones[zone]}-{pool}-{index}", zone, kind, pool,
                f"127.{self.octet}.{zone}.{index}", index)
        self.vms.append(vm)
        return vm

    def entries(self):
        return [vm for vm in self.vms if vm.kind == "entry"]

    def endpoints(self, pool=None):
        return [vm for vm in self.vms if vm.kind == "endpoint" and pool in (None, vm.pool)]

    def model_vms(self):
        return self.endpoints(self.deployment.model_pool)

    def vm_list(self):
        zones, regions = self.deployment.zones, self.deployment.regions
        rows = []
        for vm in self.vms:
            seen = {zones[z]: self.seen_address(vm, z) for z in range(len(zones))}
            rows.append({"id": vm.id, "zone": zones[vm.zone], "region": regions[vm.zone], "kind": vm.kind,
                         "pool": vm.pool, "address": vm.address, "address_from": seen, "state": vm.state})
        return rows

    def publish_vm_list(self):
        self.control("vms", {"vms": self.vm_list()})

    # Starting.

    def __enter__(self):
        self.start_platform()
        return self

    def __exit__(self, *unused):
        self.stop()

    def _spawn(self, name, program, arguments):
        log = open(os.path.join(self.dir, name + ".log"), "ab")
        command = [os.path.join(self.build, program)] + [str(a) for a in arguments]
        return subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                preexec_fn=die_with_parent)

    @staticmethod
    def _flags(options):
        flags = []
        for key, value in options.items():
            if value is True:
                flags.append(f"--{key}")
            elif value is not False and value is not None:
                flags += [f"--{key}", value]
        return flags

    def _write(self, name, text):
        path = os.path.join(self.dir, name)
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
        return path

    def start_platform(self):
        home = self.platform_address()
        self.platform["log"] = self._spawn("log", "standin-log", ["--address", home, "--port", LOG_PORT]
                                           + self._flags(self.log_options))
        weights = []
        for row in self.weights:
            weights += ["--weights", ":".join(str(part) for part in row)]
        rate = ["--rate", self.origin_rate] if self.origin_rate else []
        self.platform["origin"] = self._spawn(
            "origin", "standin-origin", ["--address", home, "--port", ORIGIN_PORT] + rate + weights)
        vms = self._write("vms.json", json.dumps({"vms": self.vm_list()}))
        self.platform["vms"] = self._spawn("vms", "standin-vms",
                                           ["--address", home, "--port", VMS_PORT, "--file", vms])
        if self.use_link:
            relays = self._write("link.json", json.dumps(self._link_file()))
            self.platform["link"] = self._spawn("link", "standin-link",
                                                ["--address", home, "--port", LINK_PORT, "--file", relays])
        wait_until(lambda: get_json(home, ORIGIN_PORT, "/catalog") is not None, 20, "the origin")
        wait_until(lambda: get_json(home, VMS_PORT, "/vms?zone=" + self.deployment.zones[0]) is not None, 10,
                   "the VM list")
        for row in get_json(home, ORIGIN_PORT, "/catalog")["catalog"]:
            self.catalog[(row["model"], row["adapter"], row["version"])] = row

    def _link_file(self):
        zones = self.deployment.zones
        relays = []
        for vm in self.vms:
            ports = [PEER_PORT, ADMIN_PORT]
            ports += [CALLER_PORT] if vm.kind == "entry" else [ATTEMPT_PORT, TRANSFER_PORT]
            for viewer in range(len(zones)):
                if viewer == vm.zone:
                    continue
                for port in ports:
                    relays.append(self._relay(self.seen_address(vm, viewer), vm.address, port, viewer, vm.zone))
        for viewer in range(1, len(zones)):
            for port in (LOG_PORT, ORIGIN_PORT, VMS_PORT):
                relays.append(self._relay(self.platform_address(viewer), self.platform_address(), port, viewer, 0))
        return {"rate": self.link_rate, "relays": relays}

    def _relay(self, listen, target, port, viewer, zone):
        zones, regions = self.deployment.zones, self.deployment.regions
        is_same_region = regions[viewer] == regions[zone]
        delay = self.deployment.zone_delay_ms if is_same_region else self.deployment.region_delay_ms
        return {"listen_address": listen, "listen_port": port, "target_address": target, "target_port": port,
                "from": zones[viewer], "to": zones[zone], "from_region": regions[viewer],
                "to_region": regions[zone], "delay_ms": delay}

    def _common_settings(self, vm):
        own_zone = [v.address for v in self.entries() if v.zone == vm.zone]
        other = [self.seen_address(v, vm.zone) for v in self.entries() if v.zone != vm.zone]
        mates = [v.address for v in self.endpoints() if v.zone == vm.zone and v is not vm][:3]
        seeds = [a for a in own_zone + mates + other if a != vm.address]
        platform = self.platform_address(vm.zone)
        return {"vm.id": vm.id, "vm.zone": self.deployment.zones[vm.zone], "vm.address": vm.address,
                "log.level": self.log_level, "peer.seeds": seeds, "peer.key": "loopback-fleet-key",
                "platform.log_address": platform, "platform.vms_address": platform}

    def write_settings(self, vm):
        settings = self._common_settings(vm)
        if vm.kind == "entry":
            settings.update(self.entry_settings)
        else:
            is_service = vm.pool != self.deployment.model_pool
            settings.update({"vm.pool": vm.pool, "engine.address": vm.address,
                             "platform.origin_address": self.platform_address(vm.zone),
                             "engine.kind": "service" if is_service else "engine"})
            if is_service:
                settings["engine.service"] = self._service_of(vm.pool)
            settings.update(self.agent_settings)
        nested = {}
        for name, value in settings.items():
            group, key = name.split(".")
            nested.setdefault(group, {})[key] = value
        return self._write(vm.id + ".yaml", json.dumps(nested, indent=1))

    def _service_of(self, pool):
        d = self.deployment
        return d.service if pool == d.service_pool else d.catalogue

    def start_engine(self, vm):
        place = ["--address", vm.address, "--port", ENGINE_PORT]
        if vm.pool == self.deployment.model_pool:
            vm.engine = self._spawn(vm.id + ".engine", "standin-engine", place + self._flags(self.engine_options))
        else:
            vm.engine = self._spawn(vm.id + ".service", "standin-service", place + self._flags(self.service_options))

    def start_product(self, vm):
        program = "plantain-entry" if vm.kind == "entry" else "plantain-agent"
        vm.product = self._spawn(vm.id, program, ["--settings", self.write_settings(vm)])

    def start_vm(self, vm):
        if vm.kind == "endpoint":
            self.start_engine(vm)
        self.start_product(vm)

    def start_all(self):
        for vm in self.vms:
            self.start_vm(vm)

    # Faults and control.

    def control(self, name, body, zone=0):
        """Sends a fault or control order to a stand-in: a platform part by name, or a Vm's engine."""
        if isinstance(name, Vm):
            address, port = name.address, ENGINE_PORT
        else:
            address = self.platform_address()
            port = {"log": LOG_PORT, "origin": ORIGIN_PORT, "vms": VMS_PORT, "link": LINK_PORT}[name]
        status, answer = request(address, port, "POST", "/control", json.dumps(body))
        if status != 200:
            raise RuntimeError(f"control of {name}: {status} {answer!r}")
        return answer

    def cut_zone(self, zone):
        """Cuts one zone off from all others and from the platform."""
        names = self.deployment.zones
        self.control("link", {"cut": [[names[zone], other] for other in names if other != names[zone]]})

    def heal_zone(self, zone):
        names = self.deployment.zones
        self.control("link", {"heal": [[names[zone], other] for other in names if other != names[zone]]})

    def signal_vm(self, vm, number, both=False):
        for process in [vm.product] + ([vm.engine] if both else []):
            if process is not None and process.poll() is None:
                process.send_signal(number)

    def kill_vm(self, vm):
        """Kills agent or entry, and the engine beside it, as the loss of the VM would."""
        self.signal_vm(vm, signal.SIGKILL, both=True)
        for process in (vm.product, vm.engine):
            if process is not None:
                process.wait()

    def stop_product(self, vm, timeout=60):
        """Asks for a graceful stop and returns the exit code."""
        self.signal_vm(vm, signal.SIGTERM)
        return vm.product.wait(timeout)

    # Documents.

    def document(self, version="v1", zones_out=(), workspaces=None, extra=None):
        """Returns the YAML document for this fleet."""
        d = self.deployment
        lines = ["schema: 1", f"deployment: {d.name}", "origin:", f"  zone: {d.zones[0]}", "zones:"]
        for name, region in zip(d.zones, d.regions):
            state = "out" if name in zones_out else "in"
            lines += [f"  - name: {name}", f"    region: {region}", f"    service: {state}"]
        lines.append("models:")
        models = sorted({key[0] for key in self.catalog})
        for model in models:
            lines += [f"  - name: {model}", "    versions:"]
            for (name, adapter, label), row in sorted(self.catalog.items()):
                if name == model and not adapter:
                    lines += [f"      - name: {label}", f"        manifest: {row['manifest']}",
                              f"        bytes: {row['bytes']}"]
        lines += ["placements:", f"  - pool: {d.model_pool}", f"    model: {d.model}", f"    version: {version}"]
        lines += ["services:", f"  - name: {d.service}", f"    pool: {d.service_pool}", "    calls:",
                  f"      - name: {d.once_call}", "        repeatable: false", "      - name: lookup",
                  "        repeatable: true"]
        if self.endpoints(d.catalogue_pool):
            lines += [f"  - name: {d.catalogue}", f"    pool: {d.catalogue_pool}", "    calls:", "      - name: read",
                      "        repeatable: true"]
        lines.append("workspaces:")
        for name, weight, rate, concurrency, tokens in workspaces or [("large", 4, 4000, 1000, 1_000_000),
                                                                    ("small", 1, 1000, 250, 250_000)]:
            lines += [f"  - name: {name}", f"    weight: {weight}", f"    requests_per_s: {rate}",
                      f"    concurrency: {concurrency}", f"    tokens_per_s: {tokens}"]
        rollout = {"floor": 0.5, "wave": 0.34, "pause_error_share": 0.05, "priority": "hurried"}
        rollout.update(extra or {})
        lines.append("rollout:")
        lines += [f"  {key}: {value}" for key, value in rollout.items()]
        return "\n".join(lines) + "\n"

    def ctl(self, *arguments, check=True, timeout=60):
        """Runs plantainctl against this fleet's platform and returns the finished process."""
        home = self.platform_address()
        command = [os.path.join(self.build, "plantainctl"), *[str(a) for a in arguments],
                   "--log", f"{home}:{LOG_PORT}", "--vms", f"{home}:{VMS_PORT}", "--zone", self.deployment.zones[0]]
        done = subprocess.run(command, capture_output=True, text=True, timeout=timeout, check=False)
        if check and done.returncode != 0:
            raise RuntimeError(f"{' '.join(command)}: exit {done.returncode}\n{done.stdout}{done.stderr}")
        return done

    def publish(self, text, check=True):
        """Publishes a document and returns the version that it became."""
        path = self._write("document.yaml", text)
        done = self.ctl("apply", path, "--output", "json", check=check)
        if done.returncode != 0:
            return None
        self.document_version = json.loads(done.stdout)["version"]
        return self.document_version

    # Observing.

    def status(self, vm):
        return get_json(vm.address, ADMIN_PORT, "/status", timeout=2)

    def is_ready(self, vm):
        try:
            return request(vm.address, ADMIN_PORT, "GET", "/readyz", timeout=2)[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def serving(self, version):
        """Number of model VMs whose engine has confirmed a version and whose gate is open."""
        manifest = self.catalog[(self.deployment.model, "", version)]["manifest"]
        count = 0
        for vm in self.model_vms():
            status = self.status(vm) or {}
            count += any(h["manifest"] == manifest and h["serving"] for h in status.get("holdings", []))
        return count

    def engine_stats(self):
        """Sums the counters of all live model engines."""
        total = {}
        for vm in self.model_vms():
            for key, value in (get_json(vm.address, ENGINE_PORT, "/stats") or {}).items():
                if isinstance(value, (int, float)):
                    total[key] = total.get(key, 0) + value
        return total

    def ledger_duplicates(self):
        """Number of keys that any plain service ran more than once, over all services together."""
        counts = {}
        for vm in self.endpoints(self.deployment.service_pool):
            for row in (get_json(vm.address, ENGINE_PORT, "/ledger") or {}).get("calls", []):
                if row["call"] == self.deployment.once_call:
                    counts[row["key"]] = counts.get(row["key"], 0) + row["count"]
        return sum(1 for count in counts.values() if count > 1)

    def origin_bytes(self):
        return get_json(self.platform_address(), ORIGIN_PORT, "/stats")["bytes_sent"]

    def start_load(self, name="load", **options):
        """Starts plantain-load against all entries."""
        targets = ",".join(f"{vm.address}:{CALLER_PORT}" for vm in self.entries())
        arguments = {"targets": targets, "seed": self.seed, "model": self.deployment.model}
        arguments.update({key.replace("_", "-"): value for key, value in options.items()})
        out = open(os.path.join(self.dir, name + ".json"), "wb")
        command = [os.path.join(self.build, "plantain-load")] + [str(f) for f in self._flags(arguments)]
        log = open(os.path.join(self.dir, name + ".log"), "ab")
        return subprocess.Popen(command, stdout=out, stderr=log, stdin=subprocess.DEVNULL,
                                preexec_fn=die_with_parent)

    def finish_load(self, process, name="load", timeout=120):
        """Waits for a load and returns its JSON summary."""
        process.wait(timeout)
        with open(os.path.join(self.dir, name + ".json"), encoding="utf-8") as text:
            return json.loads(text.read())

    # Stopping.

    def save_metrics(self):
        """Writes every product process's metrics beside its log."""
        for vm in self.vms:
            try:
                text = request(vm.address, ADMIN_PORT, "GET", "/metrics", timeout=1)[1]
            except (OSError, http.client.HTTPException):
                continue
            with open(os.path.join(self.dir, vm.id + ".metrics"), "wb") as out:
                out.write(text)

    def stop(self):
        """Ends every process of this fleet and removes its files unless KEEP_FLEET is set."""
        if os.environ.get("KEEP_FLEET"):
            self.save_metrics()
        processes = [p for vm in self.vms for p in (vm.product, vm.engine) if p is not None]
        processes += self.platform.values()
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        self._holder.close()
        if os.environ.get("KEEP_FLEET"):
            print(f"fleet files kept in {self.dir}", file=sys.stderr)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)
