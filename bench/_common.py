"""Common parts of the request path benchmarks: arguments, results, starting a warm fleet, reading metrics."""

import argparse
import json
import os
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "scripts"))
import fleet as fleet_module  # noqa: E402
from fleet import Fleet, wait_until  # noqa: E402

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


class OneZoneFleet(Fleet):
    """A fleet with all VMs in the first zone, for benchmarks of decisions within a zone."""

    def add_vm(self, kind, pool, zone):
        return super().add_vm(kind, pool, 0)


class Report:
    """Prints results as JSON lines and records whether all bounds were met."""

    def __init__(self, bench):
        self.bench = bench
        self.is_ok = True

    def add(self, metric, value, unit, n=1, bound=None, better="lower", **more):
        row = {"bench": self.bench, "metric": metric, "n": n, "value": round(value, 4), "unit": unit,
               "better": better}
        if bound is not None:
            row["bound"] = bound
            row["pass"] = value <= bound if better == "lower" else value >= bound
            self.is_ok = self.is_ok and row["pass"]
        row.update(more)
        print(json.dumps(row), flush=True)


def parse_arguments(doc):
    """Parses the common arguments, adds the seed and prints it."""
    parser = argparse.ArgumentParser(description=doc, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--build", default=os.path.join(ROOT, "build"))
    parser.add_argument("--short", action="store_true", help="the short form that CI runs")
    arguments = parser.parse_args()
    arguments.seed = int(os.environ.get("SEED", "20261204"))
    print(f"seed={arguments.seed}", flush=True)
    return arguments


def small_weights(deployment, seed):
    """Returns one small weight version, because these benchmarks do not measure weight distribution."""
    return [(deployment.model, "", "v1", 64 * 1024, 16 * 1024, seed)]


def start_serving(fleet, workspaces):
    """Starts all processes and waits until every model VM serves and every entry is ready."""
    fleet.start_all()
    wait_until(lambda: all(fleet_module.get_json(vm.address, fleet_module.ADMIN_PORT, "/status") is not None
                           for vm in fleet.vms), 30, "all processes to answer")
    fleet.publish(fleet.document("v1", workspaces=workspaces))
    wait_until(lambda: fleet.serving("v1") == len(fleet.model_vms()), 30, "the weights on all VMs")
    wait_until(lambda: all(fleet.is_ready(vm) for vm in fleet.entries()), 10, "all entries to be ready")


def read_metrics(vm):
    """Returns the metrics of one process as {name with labels: value}."""
    status, body = fleet_module.request(vm.address, fleet_module.ADMIN_PORT, "GET", "/metrics")
    if status != 200:
        raise RuntimeError(f"/metrics of {vm.id}: {status}")
    values = {}
    for line in body.decode().splitlines():
        if line and not line.startswith("#"):
            name, value = line.rsplit(" ", 1)
            values[name] = float(value)
    return values


def sum_metric(vms, name):
    """Sums all series of one metric over several processes."""
    return sum(value for vm in vms for series, value in read_metrics(vm).items() if series.split("{")[0] == name)


def cpu_seconds(process):
    """Returns the CPU time that a process has used so far."""
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as text:
        fields = text.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def run_load(fleet, name, duration_s, **options):
    """Runs one load until it completes and returns its summary.

    Each load of a fleet has its own seed, because request ids are derived from it. With equal ids, a retry would be
    answered with the stored answer of a request from an earlier load.
    """
    fleet.loads = getattr(fleet, "loads", 0) + 1
    load = fleet.start_load(name, duration_s=duration_s, seed=fleet.seed + fleet.loads, **options)
    return fleet.finish_load(load, name, timeout=duration_s + 60)


def warm_up(fleet, duration_s, **options):
    """Runs a load that is not measured, so that engines warm up and admission limits rise."""
    run_load(fleet, "warm-up", duration_s, **options)
    time.sleep(0.5)
